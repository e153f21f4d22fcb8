//! Epochs: settings in force, and how the next ones follow from a file that has changed. Pure: nothing is read here.

use loomlb_policy::raw_settings::{NetworkSettings, SettingNames};
use loomlb_policy::{Class, ClassId, ClassOrigin, KindId, Nanos, Settings, Tenant, ZoneId};

/// Classes that may have a number at once, those kept for open flows included.
const CLASSES: usize = 256;
/// The name of a number without a class: no request can say it.
const NOBODY: &str = "\n";

/// Settings with the names in them.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    /// For the module.
    pub policy: Settings,
    /// The names, in the settings' order.
    pub names: SettingNames,
    /// For the network code.
    pub network: NetworkSettings,
}

impl RuntimeSettings {
    /// The longest time that a client of any class waits.
    pub fn longest_client_timeout(&self) -> Nanos {
        self.policy.classes.iter().map(|c| c.client_timeout).max().unwrap_or(0)
    }

    /// Where each class's answers are wanted by.
    pub fn latency_objectives(&self) -> Vec<Nanos> {
        self.policy.classes.iter().map(|c| c.latency_objective).collect()
    }

    /// The epoch after this one, from a file's settings in their own order, with where each class starts. Numbers of
    /// classes that flows are open for (`in_use`) keep their rules.
    pub fn merge(
        &self,
        fresh: RuntimeSettings,
        in_use: impl Fn(ClassId) -> bool,
    ) -> Result<(RuntimeSettings, Vec<ClassOrigin>), String> {
        let mut next = fresh.clone();
        (next.names.zones, next.names.kinds) =
            (joined(&self.names.zones, &fresh.names.zones), joined(&self.names.kinds, &fresh.names.kinds));
        (next.policy.zone_count, next.policy.kind_count) = (next.names.zones.len(), next.names.kinds.len());
        next.policy.own_zone = ZoneId(moved(&fresh.names.zones, &next.names.zones, fresh.policy.own_zone.0));
        let kind = |k: KindId| KindId(moved(&fresh.names.kinds, &next.names.kinds, k.0));
        let class = |c: &Class| Class { kind: c.kind.map(kind), ..c.clone() };

        let (mut names, mut classes) = (self.names.classes.clone(), self.policy.classes.clone());
        let mut starts = vec![ClassOrigin::Kept; classes.len()];
        let mut homeless = Vec::new();
        for name in names.iter_mut().filter(|n| !fresh.names.classes.contains(n)) {
            *name = NOBODY.into();
        }
        for (name, new) in fresh.names.classes.iter().zip(fresh.policy.classes.iter().map(class)) {
            match names.iter().position(|n| n == name) {
                Some(at) if classes[at] == new => {}
                Some(at) if !in_use(ClassId(at)) => {
                    (classes[at], starts[at]) = (new, ClassOrigin::LearnedFrom(ClassId(at)))
                }
                Some(at) => {
                    names[at] = NOBODY.into();
                    homeless.push((name, new, ClassOrigin::LearnedFrom(ClassId(at))));
                }
                None => homeless.push((name, new, ClassOrigin::New)),
            }
        }
        for (name, new, start) in homeless {
            // A number that was given up in this very moment may still be open; one that nobody uses may not.
            let free = (0..names.len()).find(|&at| names[at] == NOBODY && !in_use(ClassId(at)));
            let at = free.unwrap_or(names.len());
            if at == names.len() {
                names.push(String::new());
                classes.push(Class::default());
                starts.push(ClassOrigin::New);
            }
            (names[at], classes[at], starts[at]) = (name.clone(), new, start);
        }
        if classes.len() > CLASSES {
            return Err(format!(
                "settings.classes: more than {CLASSES} with those that requests are open for; try again later"
            ));
        }
        (next.names.classes, next.policy.classes) = (names, classes);

        next.names.tenants = joined(&self.names.tenants, &fresh.names.tenants);
        let tenant = |(at, name): (usize, &String)| match place(&fresh.names.tenants, name) {
            Some(new) => fresh.policy.tenants[new].clone(),
            None => self.policy.tenants.get(at).cloned().unwrap_or(Tenant::default()),
        };
        next.policy.tenants = next.names.tenants.iter().enumerate().map(tenant).collect();
        for name in next.names.tenants.iter_mut().filter(|n| !fresh.names.tenants.contains(n)) {
            *name = NOBODY.into();
        }
        Ok((next, starts))
    }
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The names of before, then those that are new.
fn joined(before: &[String], fresh: &[String]) -> Vec<String> {
    let new = fresh.iter().filter(|name| place(before, name).is_none());
    before.iter().chain(new).cloned().collect()
}

/// A number among some names, among others.
fn moved(from: &[String], to: &[String], at: usize) -> usize {
    from.get(at).and_then(|name| place(to, name)).unwrap_or(to.len())
}

#[cfg(test)]
mod tests {
    use super::*;
    use loomlb_policy::Idempotency;

    fn settings(classes: &[(&str, Nanos)]) -> RuntimeSettings {
        let class = |c: &(&str, Nanos)| Class { client_timeout: c.1, ..Class::default() };
        let settings = Settings { classes: classes.iter().map(class).collect(), ..Settings::default() };
        let names = SettingNames {
            classes: classes.iter().map(|c| c.0.to_string()).collect(),
            ..SettingNames::default()
        };
        RuntimeSettings { policy: settings, names, ..RuntimeSettings::default() }
    }

    fn shown(settings: &RuntimeSettings) -> String {
        let classes = settings.names.classes.iter().zip(&settings.policy.classes);
        classes.map(|(n, c)| format!("{}={} ", n.replace(NOBODY, "-"), c.client_timeout)).collect()
    }

    #[test]
    fn classes_keep_their_numbers_by_name_and_open_ones_their_rules() {
        let first = settings(&[("view", 1), ("sign", 2), ("lodge", 3)]);
        let step = |from: &RuntimeSettings, to: &[(&str, Nanos)], open: &[usize]| {
            from.merge(settings(to), |c| open.contains(&c.0)).unwrap()
        };
        // Another order alone changes nothing.
        let (same, starts) = step(&first, &[("lodge", 3), ("view", 1), ("sign", 2)], &[0, 1, 2]);
        assert_eq!((shown(&same), starts), (shown(&first), vec![ClassOrigin::Kept; 3]));
        // Changed in use, changed out of use, dropped in use, new.
        let (next, starts) = step(&first, &[("view", 9), ("sign", 8), ("new", 7)], &[0, 2]);
        assert_eq!(shown(&next), "-=1 sign=8 -=3 view=9 new=7 ");
        let (view, sign) = (ClassOrigin::LearnedFrom(ClassId(0)), ClassOrigin::LearnedFrom(ClassId(1)));
        assert_eq!(starts, [ClassOrigin::Kept, sign, ClassOrigin::Kept, view, ClassOrigin::New]);
        // Numbers are used again once no flow has them, and not before.
        let (after, _) = step(&next, &[("view", 9), ("sign", 8), ("new", 7), ("more", 6)], &[0]);
        assert_eq!(shown(&after), "-=1 sign=8 more=6 view=9 new=7 ");
        // A class that was dropped and comes back is a new one.
        let (back, starts) = step(&after, &[("lodge", 3)], &[0, 1, 2, 3, 4]);
        assert_eq!((shown(&back), starts[5]), ("-=1 -=8 -=6 -=9 -=7 lodge=3 ".into(), ClassOrigin::New));
    }

    #[test]
    fn kinds_zones_and_tenants_keep_their_places() {
        let named = |kinds: &[&str], kind: usize, tenants: &[(&str, f64)]| {
            let mut e = settings(&[("view", 1)]);
            e.policy.classes[0].kind = Some(KindId(kind));
            e.policy.classes[0].idempotency = Idempotency::Idempotent;
            e.names.kinds = kinds.iter().map(|k| k.to_string()).collect();
            e.names.zones = vec!["z".into()];
            e.names.tenants = tenants.iter().map(|t| t.0.to_string()).collect();
            e.policy.tenants = tenants.iter().map(|t| Tenant { quota_per_s: t.1 }).collect();
            e
        };
        let first = named(&["a", "b"], 1, &[("x", 1.0), ("y", 2.0)]);
        let (next, starts) = first.merge(named(&["b", "c"], 0, &[("y", 3.0), ("w", 4.0)]), |_| true).unwrap();
        assert_eq!(starts, [ClassOrigin::Kept], "its kind is the same one by another number");
        assert_eq!(next.names.kinds, ["a", "b", "c"]);
        assert_eq!(next.names.tenants, [NOBODY, "y", "w"]);
        let quotas: Vec<f64> = next.policy.tenants.iter().map(|t| t.quota_per_s).collect();
        assert_eq!(quotas, [1.0, 3.0, 4.0]);
        assert_eq!((next.policy.own_zone, next.policy.kind_count), (ZoneId(0), 3));
    }

    #[test]
    fn numbers_are_bounded_while_flows_stay_open() {
        let mut now = settings(&[("view", 0)]);
        let fault = (1..).find_map(|i| match now.merge(settings(&[("view", i)]), |_| true) {
            Ok((next, _)) => {
                now = next;
                None
            }
            Err(fault) => Some(fault),
        });
        assert!(fault.unwrap().starts_with("settings.classes: more than 256"));
        assert_eq!(now.policy.classes.len(), CLASSES);
    }
}

//! The active settings, and how they change at a reload. Pure: nothing is read here.

use loomlb_policy::raw_settings::{NetworkSettings, SettingNames};
use loomlb_policy::{Class, ClassId, ClassOrigin, KindId, Nanos, Settings, Tenant, ZoneId};

/// Maximum number of classes, including old ones that open flows still use.
const MAX_CLASSES: usize = 256;
/// The name of a class or tenant number that is no longer in use. No request can contain it.
const UNUSED_NAME: &str = "\n";

/// The settings by consumer, with the names that they define.
#[derive(Clone, Debug, Default)]
pub struct RuntimeSettings {
    /// For the decision module.
    pub policy: Settings,
    /// The names of classes, tenants, zones and kinds, by number.
    pub names: SettingNames,
    /// For the network code.
    pub network: NetworkSettings,
}

impl RuntimeSettings {
    /// Returns the longest client timeout of the classes that requests can name. The platform counts these alone, also
    /// while requests of an earlier class are open.
    pub fn longest_client_timeout(&self) -> Nanos {
        let classes = self.names.classes.iter().zip(&self.policy.classes);
        let in_force = classes.filter(|(name, _)| *name != UNUSED_NAME);
        in_force.map(|(_, class)| class.client_timeout).max().unwrap_or(0)
    }

    /// Returns whether no other scheduler serves the clients.
    pub fn is_only_scheduler(&self) -> bool {
        self.policy.dispatcher_count <= 1
    }

    /// Returns the latency objective of each class.
    pub fn latency_objectives(&self) -> Vec<Nanos> {
        self.policy.classes.iter().map(|c| c.latency_objective).collect()
    }

    /// Merges reloaded settings into these. Names keep their numbers, and the result says for each class
    /// where its learned state starts. A class that has changed while flows use it (`in_use`) gets a new
    /// number, and its old number keeps the old rules.
    pub fn merge(
        &self,
        reloaded: RuntimeSettings,
        in_use: impl Fn(ClassId) -> bool,
    ) -> Result<(RuntimeSettings, Vec<ClassOrigin>), String> {
        let mut next = reloaded.clone();
        (next.names.zones, next.names.kinds) = (
            append_new(&self.names.zones, &reloaded.names.zones),
            append_new(&self.names.kinds, &reloaded.names.kinds),
        );
        (next.policy.zone_count, next.policy.kind_count) = (next.names.zones.len(), next.names.kinds.len());
        next.policy.own_zone =
            ZoneId(translate(&reloaded.names.zones, &next.names.zones, reloaded.policy.own_zone.0));
        let kind = |k: KindId| KindId(translate(&reloaded.names.kinds, &next.names.kinds, k.0));
        let class = |c: &Class| Class { kind: c.kind.map(kind), ..c.clone() };

        let (mut names, mut classes) = (self.names.classes.clone(), self.policy.classes.clone());
        let mut origins = vec![ClassOrigin::Kept; classes.len()];
        let mut unplaced = Vec::new();
        for name in names.iter_mut().filter(|n| !reloaded.names.classes.contains(n)) {
            *name = UNUSED_NAME.into();
        }
        for (name, new_class) in reloaded.names.classes.iter().zip(reloaded.policy.classes.iter().map(class))
        {
            match names.iter().position(|n| n == name) {
                Some(number) if classes[number] == new_class => {}
                Some(number) if !in_use(ClassId(number)) => {
                    (classes[number], origins[number]) =
                        (new_class, ClassOrigin::LearnedFrom(ClassId(number)))
                }
                Some(number) => {
                    names[number] = UNUSED_NAME.into();
                    unplaced.push((name, new_class, ClassOrigin::LearnedFrom(ClassId(number))));
                }
                None => unplaced.push((name, new_class, ClassOrigin::New)),
            }
        }
        for (name, new_class, origin) in unplaced {
            // A number that was released just now may still be in use by open flows.
            let free =
                (0..names.len()).find(|&number| names[number] == UNUSED_NAME && !in_use(ClassId(number)));
            let number = free.unwrap_or(names.len());
            if number == names.len() {
                names.push(String::new());
                classes.push(Class::default());
                origins.push(ClassOrigin::New);
            }
            (names[number], classes[number], origins[number]) = (name.clone(), new_class, origin);
        }
        if classes.len() > MAX_CLASSES {
            return Err(format!(
                "settings.classes: more than {MAX_CLASSES} with those that requests are open for; try again later"
            ));
        }
        (next.names.classes, next.policy.classes) = (names, classes);

        next.names.tenants = append_new(&self.names.tenants, &reloaded.names.tenants);
        let tenant = |(number, name): (usize, &String)| match position(&reloaded.names.tenants, name) {
            Some(new) => reloaded.policy.tenants[new].clone(),
            None => self.policy.tenants.get(number).cloned().unwrap_or(Tenant::default()),
        };
        next.policy.tenants = next.names.tenants.iter().enumerate().map(tenant).collect();
        for name in next.names.tenants.iter_mut().filter(|n| !reloaded.names.tenants.contains(n)) {
            *name = UNUSED_NAME.into();
        }
        Ok((next, origins))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Returns the old names followed by the new ones.
fn append_new(old: &[String], reloaded: &[String]) -> Vec<String> {
    let new = reloaded.iter().filter(|name| position(old, name).is_none());
    old.iter().chain(new).cloned().collect()
}

/// Translates a number from one list of names to another; the length of `to` if the name is missing.
fn translate(from: &[String], to: &[String], number: usize) -> usize {
    from.get(number).and_then(|name| position(to, name)).unwrap_or(to.len())
}

#[cfg(test)]
mod tests {
    use super::*;
    use loomlb_policy::Idempotency;

    fn settings_with(classes: &[(&str, Nanos)]) -> RuntimeSettings {
        let class = |c: &(&str, Nanos)| Class { client_timeout: c.1, ..Class::default() };
        let settings = Settings { classes: classes.iter().map(class).collect(), ..Settings::default() };
        let names = SettingNames {
            classes: classes.iter().map(|c| c.0.to_string()).collect(),
            ..SettingNames::default()
        };
        RuntimeSettings { policy: settings, names, ..RuntimeSettings::default() }
    }

    fn format_classes(settings: &RuntimeSettings) -> String {
        let classes = settings.names.classes.iter().zip(&settings.policy.classes);
        classes.map(|(n, c)| format!("{}={} ", n.replace(UNUSED_NAME, "-"), c.client_timeout)).collect()
    }

    #[test]
    fn classes_keep_their_numbers_by_name_and_classes_in_use_keep_their_rules() {
        let original = settings_with(&[("view", 1), ("sign", 2), ("lodge", 3)]);
        let merge_into = |from: &RuntimeSettings, to: &[(&str, Nanos)], open: &[usize]| {
            from.merge(settings_with(to), |c| open.contains(&c.0)).unwrap()
        };
        // A different order alone changes nothing.
        let (same, origins) = merge_into(&original, &[("lodge", 3), ("view", 1), ("sign", 2)], &[0, 1, 2]);
        assert_eq!((format_classes(&same), origins), (format_classes(&original), vec![ClassOrigin::Kept; 3]));
        // Changed while in use, changed while not in use, removed while in use, and new.
        let (next, origins) = merge_into(&original, &[("view", 9), ("sign", 8), ("new", 7)], &[0, 2]);
        assert_eq!(format_classes(&next), "-=1 sign=8 -=3 view=9 new=7 ");
        let (view, sign) = (ClassOrigin::LearnedFrom(ClassId(0)), ClassOrigin::LearnedFrom(ClassId(1)));
        assert_eq!(origins, [ClassOrigin::Kept, sign, ClassOrigin::Kept, view, ClassOrigin::New]);
        // A number is reused only when no flow has it.
        let (after, _) = merge_into(&next, &[("view", 9), ("sign", 8), ("new", 7), ("more", 6)], &[0]);
        assert_eq!(format_classes(&after), "-=1 sign=8 more=6 view=9 new=7 ");
        // A class that was removed and added again counts as new.
        let (back, origins) = merge_into(&after, &[("lodge", 3)], &[0, 1, 2, 3, 4]);
        assert_eq!(
            (format_classes(&back), origins[5]),
            ("-=1 -=8 -=6 -=9 -=7 lodge=3 ".into(), ClassOrigin::New)
        );
    }

    #[test]
    fn kinds_zones_and_tenants_keep_their_numbers() {
        let named = |kinds: &[&str], kind: usize, tenants: &[(&str, f64)]| {
            let mut settings = settings_with(&[("view", 1)]);
            settings.policy.classes[0].kind = Some(KindId(kind));
            settings.policy.classes[0].idempotency = Idempotency::Idempotent;
            settings.names.kinds = kinds.iter().map(|k| k.to_string()).collect();
            settings.names.zones = vec!["z".into()];
            settings.names.tenants = tenants.iter().map(|t| t.0.to_string()).collect();
            settings.policy.tenants = tenants.iter().map(|t| Tenant { quota_per_s: t.1 }).collect();
            settings
        };
        let original = named(&["a", "b"], 1, &[("x", 1.0), ("y", 2.0)]);
        let (next, origins) =
            original.merge(named(&["b", "c"], 0, &[("y", 3.0), ("w", 4.0)]), |_| true).unwrap();
        assert_eq!(origins, [ClassOrigin::Kept], "its kind is the same, with another number");
        assert_eq!(next.names.kinds, ["a", "b", "c"]);
        assert_eq!(next.names.tenants, [UNUSED_NAME, "y", "w"]);
        let quotas: Vec<f64> = next.policy.tenants.iter().map(|t| t.quota_per_s).collect();
        assert_eq!(quotas, [1.0, 3.0, 4.0]);
        assert_eq!((next.policy.own_zone, next.policy.kind_count), (ZoneId(0), 3));
    }

    #[test]
    fn the_number_of_classes_is_bounded_while_flows_stay_open() {
        let mut current = settings_with(&[("view", 0)]);
        let error = (1..).find_map(|i| match current.merge(settings_with(&[("view", i)]), |_| true) {
            Ok((next, _)) => {
                current = next;
                None
            }
            Err(error) => Some(error),
        });
        assert!(error.unwrap().starts_with("settings.classes: more than 256"));
        assert_eq!(current.policy.classes.len(), MAX_CLASSES);
    }
}

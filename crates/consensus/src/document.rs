//! Which changes of a document contradict each other, and what is the strictest of two documents. Total: every pair of
//! documents has an answer.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// What the whole tier acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentBody {
    /// The settings, without what is each scheduler's own.
    #[serde(rename = "settings")]
    pub settings: Value,
    /// Workers that staff have taken out.
    #[serde(default)]
    #[serde(rename = "out")]
    pub workers_out: BTreeSet<String>,
}

/// Keys of the settings that are each scheduler's own and never agreed on.
pub const LOCAL_KEYS: [&str; 2] = ["rank", "my_zone"];

impl DocumentBody {
    /// A body of a scheduler's settings.
    pub fn new(settings: &Value, out: BTreeSet<String>) -> DocumentBody {
        let mut settings = settings.clone();
        if let Value::Object(keys) = &mut settings {
            LOCAL_KEYS.iter().for_each(|own| _ = keys.remove(*own));
        }
        DocumentBody { settings, workers_out: out }
    }

    /// The settings of a scheduler that acts on this: its own keys come from `mine`.
    pub fn settings_for(&self, mine: &Value) -> Value {
        let mut settings = self.settings.clone();
        if let Value::Object(keys) = &mut settings {
            for own in LOCAL_KEYS {
                if let Some(value) = mine.get(own) {
                    keys.insert(own.into(), value.clone());
                }
            }
        }
        settings
    }
}

/// What two schedulers that differ in a key may do to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangeKind {
    /// Nothing: either value may hold beside the other.
    #[serde(rename = "Harmless")]
    Compatible,
    /// They contradict each other, and one of the two is the stricter, or a third is.
    Ordered,
    /// They contradict each other and nothing is known to be stricter than both: such a change needs a restart.
    Unordered,
}

/// One key that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Where, as in the file: `classes.lodge.effect`.
    pub key: String,
    /// What it means.
    pub kind: ChangeKind,
}

/// How the values of a key are ordered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Order {
    /// Either may hold beside the other.
    Free,
    /// The lower number, `false` before `true`, is the stricter.
    Lower,
    /// The strictest is the job that runs once at most.
    Effect,
    /// The higher number is the stricter.
    Higher,
    Unknown,
}

/// The effect that is stricter than all.
const ONCE: &str = "at_most_once";

/// Keys of a class, of the ceilings and so on, by their last name. What is not named here is not known to have an order.
fn order(path: &str, key: &str) -> Order {
    match (path, key) {
        ("class", "effect") => Order::Effect,
        ("class", "give_up" | "repeat_window") => Order::Lower,
        // A key that all know at another place: only the strictest effect is right in both.
        ("class", "group") => Order::Effect,
        ("class", "aim" | "aim_stretch" | "worth" | "late_worth") => Order::Free,
        ("tenant", "quota_rps") => Order::Lower,
        ("ceilings", "max_attempts" | "max_open" | "max_retry_after" | "keepalive" | "dial_timeout") => {
            Order::Lower
        }
        ("ceilings", "may_tell" | "probing" | "retry_after" | "second_copies") => Order::Lower,
        ("ceilings", "cancel") => Order::Free,
        ("obligations", "drain_grace" | "overload_factor" | "cold_from" | "must_ask_in") => Order::Lower,
        ("obligations", "cold" | "overload_for") => Order::Higher,
        ("", "over_share_worth" | "worth_by" | "tick" | "balancers") => Order::Free,
        ("penalties", _) => Order::Free,
        ("extra", "progress" | "class_stretch" | "tells_start") => Order::Free,
        _ => Order::Unknown,
    }
}

fn named(list: Option<&Value>) -> BTreeMap<String, &Value> {
    let entries = list.and_then(Value::as_array).into_iter().flatten();
    entries.filter_map(|e| Some((e.get("name")?.as_str()?.to_string(), e))).collect()
}

fn object(value: Option<&Value>) -> Map<String, Value> {
    value.and_then(Value::as_object).cloned().unwrap_or_default()
}

/// All keys in which two documents differ, with what each means.
pub fn differences(old: &DocumentBody, new: &DocumentBody) -> Vec<Difference> {
    let mut all = Vec::new();
    let mut add = |key: String, kind| all.push(Difference { key, kind });
    for host in old.workers_out.symmetric_difference(&new.workers_out) {
        add(format!("out.{host}"), ChangeKind::Ordered);
    }
    let (a, b) = (object(Some(&old.settings)), object(Some(&new.settings)));
    for key in keys(&a, &b) {
        let (x, y) = (a.get(&key), b.get(&key));
        if x == y {
            continue;
        }
        match &*key {
            "classes" | "tenants" => {
                let path = if key == "classes" { "class" } else { "tenant" };
                let (x, y) = (named(x), named(y));
                for name in x.keys().chain(y.keys()).collect::<BTreeSet<_>>() {
                    match (x.get(name), y.get(name)) {
                        (Some(x), Some(y)) => within(&format!("{key}.{name}"), path, x, y, &mut add),
                        // A class that comes is unknown to some for a while, which harms nobody; one that goes must
                        // not be taken here and there. A tenant without an entry has no share.
                        (None, Some(_)) => add(format!("{key}.{name}"), ChangeKind::Compatible),
                        _ if path == "class" => add(format!("{key}.{name}"), ChangeKind::Ordered),
                        _ => add(format!("{key}.{name}"), ChangeKind::Compatible),
                    }
                }
            }
            "ceilings" | "obligations" | "penalties" | "extra" => {
                within(&key, &key, x.unwrap_or(&Value::Null), y.unwrap_or(&Value::Null), &mut add);
            }
            _ => add(key.clone(), kind(order("", &key), x, y)),
        }
    }
    all
}

fn keys(a: &Map<String, Value>, b: &Map<String, Value>) -> BTreeSet<String> {
    a.keys().chain(b.keys()).cloned().collect()
}

fn within(at: &str, path: &str, old: &Value, new: &Value, add: &mut impl FnMut(String, ChangeKind)) {
    let (a, b) = (object(Some(old)), object(Some(new)));
    for key in keys(&a, &b) {
        let (x, y) = (a.get(&key), b.get(&key));
        if x != y && key != "name" {
            add(format!("{at}.{key}"), kind(order(path, &key), x, y));
        }
    }
}

fn kind(order: Order, x: Option<&Value>, y: Option<&Value>) -> ChangeKind {
    let comparable = |v: Option<&Value>| v.is_some_and(|v| v.is_number() || v.is_boolean());
    match order {
        Order::Free => ChangeKind::Compatible,
        Order::Effect => ChangeKind::Ordered,
        Order::Lower | Order::Higher if comparable(x) && comparable(y) => ChangeKind::Ordered,
        Order::Lower | Order::Higher | Order::Unknown => ChangeKind::Unordered,
    }
}

/// Whether two documents contradict each other in any key.
pub fn conflict(a: &DocumentBody, b: &DocumentBody) -> bool {
    differences(a, b).iter().any(|d| d.kind != ChangeKind::Compatible)
}

/// The strictest of two documents: whatever it allows, both allow. Where a key is harmless the second's value holds.
pub fn strictest_of(a: &DocumentBody, b: &DocumentBody) -> DocumentBody {
    let mut settings = object(Some(&b.settings));
    let old = object(Some(&a.settings));
    for (key, value) in &mut settings {
        let Some(before) = old.get(key) else { continue };
        match &**key {
            "classes" | "tenants" => {
                let path = if key == "classes" { "class" } else { "tenant" };
                let before = named(Some(before));
                let Some(entries) = value.as_array_mut() else { continue };
                if path == "class" {
                    entries.retain(|e| e["name"].as_str().is_some_and(|name| before.contains_key(name)));
                }
                for entry in entries {
                    let name = entry["name"].as_str().unwrap_or_default().to_string();
                    if let Some(x) = before.get(&name) {
                        *entry = stricter(path, x, entry);
                    }
                }
            }
            "ceilings" | "obligations" | "penalties" | "extra" => *value = stricter(key, before, value),
            _ => {}
        }
    }
    DocumentBody {
        settings: Value::Object(settings),
        workers_out: a.workers_out.union(&b.workers_out).cloned().collect(),
    }
}

fn stricter(path: &str, old: &Value, new: &Value) -> Value {
    let (a, mut b) = (object(Some(old)), object(Some(new)));
    let mut once = false;
    for (key, value) in &mut b {
        let Some(before) = a.get(key).filter(|x| *x != value) else { continue };
        let size = |v: &Value| v.as_f64().or(v.as_bool().map(f64::from));
        let lower = matches!((size(before), size(value)), (Some(x), Some(y)) if x < y);
        match order(path, key) {
            Order::Lower if lower => *value = before.clone(),
            Order::Higher if !lower => *value = before.clone(),
            Order::Effect => once = true,
            _ => {}
        }
    }
    if once {
        b.insert("effect".into(), ONCE.into());
    }
    Value::Object(b)
}

/// The strictest that a scheduler can act on which no longer knows what is in force: every job runs once at most, with
/// one attempt and no second copy. Which workers may be out it cannot know.
pub fn restrict_without_lease(body: &DocumentBody) -> DocumentBody {
    let mut settings = body.settings.clone();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["effect"] = ONCE.into();
    }
    if let Some(ceilings) = settings["ceilings"].as_object_mut() {
        // What is not said is as strict already.
        for (key, strict) in [("max_attempts", Value::from(1)), ("second_copies", false.into())] {
            if let Some(value) = ceilings.get_mut(key) {
                *value = strict;
            }
        }
    }
    DocumentBody { settings, workers_out: body.workers_out.clone() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use serde_json::json;

    fn class(name: &str, effect: u8, window: u64) -> Value {
        let effect = ["idempotent", "deduplicated", ONCE][effect as usize];
        json!({"name": name, "aim": 9, "give_up": 5 + window, "effect": effect, "group": "all", "repeat_window": window})
    }

    fn body() -> impl Strategy<Value = DocumentBody> {
        let classes = prop::collection::btree_map("[a-c]", (0u8..3, 0u64..3), 1..3);
        let out = prop::collection::btree_set("[x-z]", 0..3);
        (classes, out, 1u64..4, any::<bool>(), 0u64..3, 0u64..2).prop_map(
            |(classes, out, most, copies, cold, tick)| {
                let classes: Vec<Value> = classes.iter().map(|(n, (e, w))| class(n, *e, *w)).collect();
                let settings = json!({"tick": tick, "classes": classes,
                "ceilings": {"max_attempts": most, "second_copies": copies}, "obligations": {"cold": cold}});
                DocumentBody { settings, workers_out: out }
            },
        )
    }

    /// Whether everything that `strict` allows is allowed by `loose`; written apart from the code above.
    fn allows(loose: &DocumentBody, strict: &DocumentBody) -> bool {
        let rank =
            |v: &Value| ["idempotent", "deduplicated", ONCE].iter().position(|e| v["effect"] == **e).unwrap();
        let classes = strict.settings["classes"].as_array().unwrap().iter().all(|s| {
            let all = loose.settings["classes"].as_array().unwrap();
            let Some(l) = all.iter().find(|l| l["name"] == s["name"]) else { return false };
            rank(s) >= rank(l)
                && s["give_up"].as_u64() <= l["give_up"].as_u64()
                && (rank(s) == 2 || s["repeat_window"].as_u64() <= l["repeat_window"].as_u64())
        });
        let at = |b: &DocumentBody, path: &str| b.settings.pointer(path).unwrap().clone();
        let least = |path| at(strict, path).as_u64() <= at(loose, path).as_u64();
        classes
            && loose.workers_out.is_subset(&strict.workers_out)
            && least("/ceilings/max_attempts")
            && (at(loose, "/ceilings/second_copies") == true
                || at(strict, "/ceilings/second_copies") == false)
            && at(strict, "/obligations/cold").as_u64() >= at(loose, "/obligations/cold").as_u64()
    }

    fn classes(body: &DocumentBody) -> BTreeSet<String> {
        named(body.settings.get("classes")).into_keys().collect()
    }

    /// A document without the classes that the other lacks.
    fn shared(body: &DocumentBody, other: &DocumentBody) -> DocumentBody {
        let (mut body, known) = (body.clone(), classes(other));
        let all = body.settings["classes"].as_array_mut().unwrap();
        all.retain(|c| known.contains(c["name"].as_str().unwrap()));
        body
    }

    proptest! {
        /// Whatever the strictest of two allows, both allow; it is the same from either side in all that can
        /// contradict; and documents without a contradiction allow the same jobs to be repeated.
        #[test]
        fn the_strictest_of_two_is_within_both(a in body(), b in body()) {
            let both = strictest_of(&a, &b);
            prop_assert!(allows(&a, &both) && allows(&b, &both), "{both:?}");
            prop_assert!(!conflict(&both, &strictest_of(&b, &a)));
            prop_assert!(!conflict(&a, &strictest_of(&a, &a)));
            prop_assert!(differences(&a, &b).iter().all(|d| d.kind != ChangeKind::Unordered));
            prop_assert_eq!(conflict(&a, &b), differences(&a, &b).iter().any(|d| d.kind == ChangeKind::Ordered));
            // In what both know a contradiction is the same from either side; beyond that a class that goes is one, and a
            // class that comes is none.
            let (mine, theirs) = (shared(&a, &b), shared(&b, &a));
            prop_assert_eq!(conflict(&mine, &theirs), conflict(&theirs, &mine));
            prop_assert_eq!(conflict(&a, &b), conflict(&mine, &theirs) || classes(&mine) != classes(&a));
            let lone = restrict_without_lease(&a);
            prop_assert!(allows(&a, &lone));
        }
    }

    #[test]
    fn changes_are_named_by_their_keys_and_what_has_no_order_says_so() {
        let base = json!({"rank": 1, "zones": ["a"], "tick": 1, "classes": [class("view", 0, 1), class("lodge", 2, 0)],
            "tenants": [{"name": "t", "quota_rps": 3.0}], "ceilings": {"max_attempts": 3}});
        let mut next = base.clone();
        next["rank"] = 2.into();
        next["zones"] = json!(["a", "b"]);
        next["tick"] = 2.into();
        next["classes"] = json!([class("view", 1, 1), class("new", 0, 0)]);
        next["tenants"] = json!([{"name": "t", "quota_rps": 2.0}, {"name": "u", "quota_rps": 2.0}]);
        next["ceilings"] = json!({"max_attempts": null});
        let (old, new) =
            (DocumentBody::new(&base, BTreeSet::new()), DocumentBody::new(&next, ["w".to_string()].into()));
        let said: Vec<String> =
            differences(&old, &new).iter().map(|d| format!("{} {:?}", d.key, d.kind)).collect();
        assert_eq!(
            said,
            [
                "out.w Ordered",
                "ceilings.max_attempts Unordered",
                "classes.lodge Ordered",
                "classes.new Compatible",
                "classes.view.effect Ordered",
                "tenants.t.quota_rps Ordered",
                "tenants.u Compatible",
                "tick Compatible",
                "zones Unordered",
            ]
        );
        assert_eq!(new.settings_for(&base)["rank"], 1);
    }
}

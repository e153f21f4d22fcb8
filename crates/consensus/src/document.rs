//! The contents of the tier's document, the differences between two documents, and the strictest combination
//! of two.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The settings that all schedulers of the tier apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DocumentBody {
    /// The settings, without [`LOCAL_KEYS`].
    #[serde(rename = "settings")]
    pub settings: Value,
    /// Workers that an operator has taken offline.
    #[serde(default)]
    #[serde(rename = "out")]
    pub workers_out: BTreeSet<String>,
}

/// Settings that differ from scheduler to scheduler and are not replicated.
pub const LOCAL_KEYS: [&str; 2] = ["rank", "my_zone"];

impl DocumentBody {
    /// Creates a body from a scheduler's settings, without its local keys.
    pub fn new(settings: &Value, workers_out: BTreeSet<String>) -> DocumentBody {
        let mut settings = settings.clone();
        if let Value::Object(keys) = &mut settings {
            LOCAL_KEYS.iter().for_each(|key| _ = keys.remove(*key));
        }
        DocumentBody { settings, workers_out }
    }

    /// Returns the settings of one scheduler: these, with the local keys of its own settings `local`.
    pub fn settings_for(&self, local: &Value) -> Value {
        let mut settings = self.settings.clone();
        if let Value::Object(keys) = &mut settings {
            for key in LOCAL_KEYS {
                if let Some(value) = local.get(key) {
                    keys.insert(key.into(), value.clone());
                }
            }
        }
        settings
    }
}

/// The effect of two schedulers applying different values of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ChangeKind {
    /// None: both values may be in use at the same time.
    #[serde(rename = "Harmless")]
    Compatible,
    /// A conflict that is avoided while both apply the stricter of the two values, or a third one that is
    /// stricter than both.
    Ordered,
    /// A conflict, and no value is known to be stricter than both: changing the key requires a restart of the
    /// tier.
    Unordered,
}

/// A key whose values differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the key, such as `classes.lodge.effect`.
    pub key: String,
    /// The effect of the difference.
    pub kind: ChangeKind,
}

/// Which of two values of a key is the stricter one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StricterValue {
    /// Both values may be in use at the same time.
    Either,
    /// The lower number; `false` is lower than `true`.
    Lower,
    /// Neither value; the class's effect [`AT_MOST_ONCE`] is stricter than both.
    AtMostOnce,
    /// The higher number.
    Higher,
    /// Not known.
    Unknown,
}

/// The strictest effect of a class: a job runs at most once.
const AT_MOST_ONCE: &str = "at_most_once";

/// Returns which value of a key in a section of the settings is the stricter one; the section is empty for
/// top-level keys.
fn stricter_value(section: &str, key: &str) -> StricterValue {
    match (section, key) {
        ("class", "effect") => StricterValue::AtMostOnce,
        ("class", "give_up" | "repeat_window") => StricterValue::Lower,
        // The group says which workers share idempotency keys: between two groups only the strictest effect
        // is safe.
        ("class", "group") => StricterValue::AtMostOnce,
        ("class", "aim" | "aim_stretch" | "worth" | "late_worth") => StricterValue::Either,
        ("tenant", "quota_rps") => StricterValue::Lower,
        ("ceilings", "max_attempts" | "max_open" | "max_retry_after" | "keepalive" | "dial_timeout") => {
            StricterValue::Lower
        }
        ("ceilings", "may_tell" | "probing" | "retry_after" | "second_copies") => StricterValue::Lower,
        ("ceilings", "cancel") => StricterValue::Either,
        ("obligations", "drain_grace" | "overload_factor" | "cold_from" | "must_ask_in") => {
            StricterValue::Lower
        }
        ("obligations", "cold" | "overload_for") => StricterValue::Higher,
        ("", "over_share_worth" | "worth_by" | "tick" | "balancers") => StricterValue::Either,
        ("penalties", _) => StricterValue::Either,
        ("extra", "progress" | "class_stretch" | "tells_start") => StricterValue::Either,
        _ => StricterValue::Unknown,
    }
}

fn entries_by_name(list: Option<&Value>) -> BTreeMap<String, &Value> {
    let entries = list.and_then(Value::as_array).into_iter().flatten();
    entries.filter_map(|e| Some((e.get("name")?.as_str()?.to_string(), e))).collect()
}

fn object_or_empty(value: Option<&Value>) -> Map<String, Value> {
    value.and_then(Value::as_object).cloned().unwrap_or_default()
}

/// Returns all keys in which two documents differ.
pub fn differences(old: &DocumentBody, new: &DocumentBody) -> Vec<Difference> {
    let mut found = Vec::new();
    let mut add = |key: String, kind| found.push(Difference { key, kind });
    for host in old.workers_out.symmetric_difference(&new.workers_out) {
        add(format!("out.{host}"), ChangeKind::Ordered);
    }
    let (a, b) = (object_or_empty(Some(&old.settings)), object_or_empty(Some(&new.settings)));
    for key in all_keys(&a, &b) {
        let (x, y) = (a.get(&key), b.get(&key));
        if x == y {
            continue;
        }
        match &*key {
            "classes" | "tenants" => {
                let section = if key == "classes" { "class" } else { "tenant" };
                let (x, y) = (entries_by_name(x), entries_by_name(y));
                for name in x.keys().chain(y.keys()).collect::<BTreeSet<_>>() {
                    match (x.get(name), y.get(name)) {
                        (Some(x), Some(y)) => {
                            compare_sections(&format!("{key}.{name}"), section, x, y, &mut add)
                        }
                        // A new class may be unknown to some schedulers for a while. A removed class must not
                        // be accepted by only some of them. A tenant without an entry has no share.
                        (None, Some(_)) => add(format!("{key}.{name}"), ChangeKind::Compatible),
                        _ if section == "class" => add(format!("{key}.{name}"), ChangeKind::Ordered),
                        _ => add(format!("{key}.{name}"), ChangeKind::Compatible),
                    }
                }
            }
            "ceilings" | "obligations" | "penalties" | "extra" => {
                compare_sections(&key, &key, x.unwrap_or(&Value::Null), y.unwrap_or(&Value::Null), &mut add);
            }
            _ => add(key.clone(), change_kind(stricter_value("", &key), x, y)),
        }
    }
    found
}

fn all_keys(a: &Map<String, Value>, b: &Map<String, Value>) -> BTreeSet<String> {
    a.keys().chain(b.keys()).cloned().collect()
}

fn compare_sections(
    prefix: &str,
    section: &str,
    old: &Value,
    new: &Value,
    add: &mut impl FnMut(String, ChangeKind),
) {
    let (a, b) = (object_or_empty(Some(old)), object_or_empty(Some(new)));
    for key in all_keys(&a, &b) {
        let (x, y) = (a.get(&key), b.get(&key));
        if x != y && key != "name" {
            add(format!("{prefix}.{key}"), change_kind(stricter_value(section, &key), x, y));
        }
    }
}

fn change_kind(stricter: StricterValue, x: Option<&Value>, y: Option<&Value>) -> ChangeKind {
    let comparable = |v: Option<&Value>| v.is_some_and(|v| v.is_number() || v.is_boolean());
    match stricter {
        StricterValue::Either => ChangeKind::Compatible,
        StricterValue::AtMostOnce => ChangeKind::Ordered,
        StricterValue::Lower | StricterValue::Higher if comparable(x) && comparable(y) => ChangeKind::Ordered,
        StricterValue::Lower | StricterValue::Higher | StricterValue::Unknown => ChangeKind::Unordered,
    }
}

/// Whether two documents conflict in any key.
pub fn conflict(a: &DocumentBody, b: &DocumentBody) -> bool {
    differences(a, b).iter().any(|d| d.kind != ChangeKind::Compatible)
}

/// Returns the strictest combination of two documents: whatever it allows, both allow. Compatible keys have
/// the value of `b`.
pub fn strictest_of(a: &DocumentBody, b: &DocumentBody) -> DocumentBody {
    let mut settings = object_or_empty(Some(&b.settings));
    let a_settings = object_or_empty(Some(&a.settings));
    for (key, value) in &mut settings {
        let Some(a_value) = a_settings.get(key) else { continue };
        match &**key {
            "classes" | "tenants" => {
                let section = if key == "classes" { "class" } else { "tenant" };
                let a_entries = entries_by_name(Some(a_value));
                let Some(entries) = value.as_array_mut() else { continue };
                if section == "class" {
                    entries.retain(|e| e["name"].as_str().is_some_and(|name| a_entries.contains_key(name)));
                }
                for entry in entries {
                    let name = entry["name"].as_str().unwrap_or_default().to_string();
                    if let Some(a_entry) = a_entries.get(&name) {
                        *entry = stricter_section(section, a_entry, entry);
                    }
                }
            }
            "ceilings" | "obligations" | "penalties" | "extra" => {
                *value = stricter_section(key, a_value, value)
            }
            _ => {}
        }
    }
    DocumentBody {
        settings: Value::Object(settings),
        workers_out: a.workers_out.union(&b.workers_out).cloned().collect(),
    }
}

fn stricter_section(section: &str, old: &Value, new: &Value) -> Value {
    let (a, mut b) = (object_or_empty(Some(old)), object_or_empty(Some(new)));
    let mut needs_at_most_once = false;
    for (key, value) in &mut b {
        let Some(old_value) = a.get(key).filter(|x| *x != value) else { continue };
        let number = |v: &Value| v.as_f64().or(v.as_bool().map(f64::from));
        let old_is_lower = matches!((number(old_value), number(value)), (Some(x), Some(y)) if x < y);
        match stricter_value(section, key) {
            StricterValue::Lower if old_is_lower => *value = old_value.clone(),
            StricterValue::Higher if !old_is_lower => *value = old_value.clone(),
            StricterValue::AtMostOnce => needs_at_most_once = true,
            _ => {}
        }
    }
    if needs_at_most_once {
        b.insert("effect".into(), AT_MOST_ONCE.into());
    }
    Value::Object(b)
}

/// Returns the strictest rules, for a scheduler without a lease, which does not know the version in force:
/// every job runs at most once, with one attempt and no second copy. Workers that were taken offline since
/// are not known here.
pub fn restrict_without_lease(body: &DocumentBody) -> DocumentBody {
    let mut settings = body.settings.clone();
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["effect"] = AT_MOST_ONCE.into();
    }
    if let Some(ceilings) = settings["ceilings"].as_object_mut() {
        // A missing key has the strictest value by default.
        for (key, strictest) in [("max_attempts", Value::from(1)), ("second_copies", false.into())] {
            if let Some(value) = ceilings.get_mut(key) {
                *value = strictest;
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
        let effect = ["idempotent", "deduplicated", AT_MOST_ONCE][effect as usize];
        json!({"name": name, "aim": 9, "give_up": 5 + window, "effect": effect, "group": "all", "repeat_window": window})
    }

    fn body() -> impl Strategy<Value = DocumentBody> {
        let classes = prop::collection::btree_map("[a-c]", (0u8..3, 0u64..3), 1..3);
        let workers_out = prop::collection::btree_set("[x-z]", 0..3);
        (classes, workers_out, 1u64..4, any::<bool>(), 0u64..3, 0u64..2).prop_map(
            |(classes, workers_out, max_attempts, second_copies, cold, tick)| {
                let classes: Vec<Value> = classes.iter().map(|(n, (e, w))| class(n, *e, *w)).collect();
                let settings = json!({"tick": tick, "classes": classes,
                "ceilings": {"max_attempts": max_attempts, "second_copies": second_copies}, "obligations": {"cold": cold}});
                DocumentBody { settings, workers_out }
            },
        )
    }

    /// Whether `loose` allows everything that `strict` allows. Does not use the code under test.
    fn allows(loose: &DocumentBody, strict: &DocumentBody) -> bool {
        let effect_rank = |v: &Value| {
            ["idempotent", "deduplicated", AT_MOST_ONCE].iter().position(|e| v["effect"] == **e).unwrap()
        };
        let classes_allowed = strict.settings["classes"].as_array().unwrap().iter().all(|s| {
            let loose_classes = loose.settings["classes"].as_array().unwrap();
            let Some(l) = loose_classes.iter().find(|l| l["name"] == s["name"]) else { return false };
            effect_rank(s) >= effect_rank(l)
                && s["give_up"].as_u64() <= l["give_up"].as_u64()
                && (effect_rank(s) == 2 || s["repeat_window"].as_u64() <= l["repeat_window"].as_u64())
        });
        let value = |b: &DocumentBody, path: &str| b.settings.pointer(path).unwrap().clone();
        let at_most = |path| value(strict, path).as_u64() <= value(loose, path).as_u64();
        classes_allowed
            && loose.workers_out.is_subset(&strict.workers_out)
            && at_most("/ceilings/max_attempts")
            && (value(loose, "/ceilings/second_copies") == true
                || value(strict, "/ceilings/second_copies") == false)
            && value(strict, "/obligations/cold").as_u64() >= value(loose, "/obligations/cold").as_u64()
    }

    fn class_names(body: &DocumentBody) -> BTreeSet<String> {
        entries_by_name(body.settings.get("classes")).into_keys().collect()
    }

    /// The document without the classes that the other one lacks.
    fn with_common_classes(body: &DocumentBody, other: &DocumentBody) -> DocumentBody {
        let (mut body, other_classes) = (body.clone(), class_names(other));
        let classes = body.settings["classes"].as_array_mut().unwrap();
        classes.retain(|c| other_classes.contains(c["name"].as_str().unwrap()));
        body
    }

    proptest! {
        /// In keys that can conflict, the combination is also independent of the order of the two documents.
        #[test]
        fn strictest_combination_allows_only_what_both_documents_allow(a in body(), b in body()) {
            let combined = strictest_of(&a, &b);
            prop_assert!(allows(&a, &combined) && allows(&b, &combined), "{combined:?}");
            prop_assert!(!conflict(&combined, &strictest_of(&b, &a)));
            prop_assert!(!conflict(&a, &strictest_of(&a, &a)));
            prop_assert!(differences(&a, &b).iter().all(|d| d.kind != ChangeKind::Unordered));
            prop_assert_eq!(conflict(&a, &b), differences(&a, &b).iter().any(|d| d.kind == ChangeKind::Ordered));
            // Conflicts in common classes are symmetric. Otherwise removing a class conflicts, and adding one
            // does not.
            let (common_a, common_b) = (with_common_classes(&a, &b), with_common_classes(&b, &a));
            prop_assert_eq!(conflict(&common_a, &common_b), conflict(&common_b, &common_a));
            prop_assert_eq!(
                conflict(&a, &b),
                conflict(&common_a, &common_b) || class_names(&common_a) != class_names(&a)
            );
            let restricted = restrict_without_lease(&a);
            prop_assert!(allows(&a, &restricted));
        }
    }

    #[test]
    fn differences_report_the_path_of_each_key_and_whether_the_change_conflicts() {
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
        let reported: Vec<String> =
            differences(&old, &new).iter().map(|d| format!("{} {:?}", d.key, d.kind)).collect();
        assert_eq!(
            reported,
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

//! Validates the JSON of a configuration file, at the start and before a reload. Pure: it reads no files.

use super::config::ConfigJson;
use serde_json::Value;

/// Class keys that a reload may omit even if every active class has them.
const OPTIONAL_CLASS_KEYS: [&str; 3] = ["group", "repeat_window", "aim_stretch"];
/// Upper bounds that catch mistyped values.
const MAX_GIVE_UP_NANOS: f64 = 86_400e9;
const MAX_ATTEMPTS: f64 = 1000.0;

/// Checks that a reloaded file has every key of the active one and that its values are in range. The error
/// names the key.
pub fn validate_reload(active: &ConfigJson, candidate: &ConfigJson) -> Result<(), String> {
    // These keys are used at the start only.
    let required_at_reload = |key: &str| !["known", "seed"].contains(&key);
    for (key, value) in active.iter().filter(|(key, _)| required_at_reload(key)) {
        check_keys_present(key, value, candidate.get(key))?;
    }
    check_values(active.get("settings").unwrap_or(&Value::Null), candidate)
}

/// Checks the values of a file that is read at the start.
pub fn validate_start(candidate: &ConfigJson) -> Result<(), String> {
    check_values(&Value::Null, candidate)
}

fn check_values(active: &Value, candidate: &ConfigJson) -> Result<(), String> {
    let Some(settings) = candidate.get("settings") else { return Err("settings: missing".into()) };
    check_classes(active, settings)?;
    if let Some(attempts) = settings.get("ceilings").and_then(|c| c.get("max_attempts")) {
        check_number("settings.ceilings.max_attempts", attempts, MAX_ATTEMPTS)?;
    }
    Ok(())
}

fn check_keys_present(key: &str, active: &Value, candidate: Option<&Value>) -> Result<(), String> {
    match (active, candidate) {
        (_, None) => Err(format!("{key}: missing")),
        (Value::Null, Some(_)) => Ok(()),
        (_, Some(Value::Null)) => Err(format!("{key}: null")),
        (Value::Object(active), Some(Value::Object(candidate))) => active
            .iter()
            .try_for_each(|(k, v)| check_keys_present(&format!("{key}.{k}"), v, candidate.get(k))),
        (Value::Object(_), Some(other)) => Err(format!("{key}: {other} is no object")),
        (Value::Array(_), Some(Value::Array(_))) => Ok(()),
        (Value::Array(_), Some(other)) => Err(format!("{key}: {other} is no list")),
        _ => Ok(()),
    }
}

fn check_classes(active: &Value, candidate: &Value) -> Result<(), String> {
    let class_list = |settings: &Value| settings.get("classes").and_then(Value::as_array).cloned();
    let candidate = class_list(candidate).ok_or("settings.classes: missing")?;
    let active = class_list(active).unwrap_or_default();
    // A key that all active classes have is required of every class.
    let first_class = active.first().and_then(Value::as_object);
    let in_all_classes = |key: &&String| active.iter().all(|class| class.get(key).is_some());
    let required: Vec<&String> = first_class
        .into_iter()
        .flat_map(|class| class.keys())
        .filter(|key| !OPTIONAL_CLASS_KEYS.contains(&key.as_str()))
        .filter(in_all_classes)
        .collect();
    let mut seen_names = Vec::new();
    for (i, class) in candidate.iter().enumerate() {
        let key = |key: &str| format!("settings.classes[{i}].{key}");
        if let Some(missing) = required.iter().find(|k| class.get(k).is_none_or(Value::is_null)) {
            return Err(format!("{}: missing", key(missing)));
        }
        if let Some(value) = class.get("give_up") {
            check_number(&key("give_up"), value, MAX_GIVE_UP_NANOS)?;
        }
        let name = class.get("name").and_then(Value::as_str).unwrap_or("").to_string();
        if name.is_empty() || name.contains('\n') {
            return Err(format!("{}: {name:?} is no name", key("name")));
        }
        if seen_names.contains(&name) {
            return Err(format!("{}: {name:?} stands there twice", key("name")));
        }
        seen_names.push(name);
    }
    Ok(())
}

fn check_number(key: &str, value: &Value, max: f64) -> Result<(), String> {
    match value.as_f64() {
        Some(n) if n > 0.0 && n <= max => Ok(()),
        _ => Err(format!("{key}: {value} is no number above 0, and up to {max}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"{"listen":"a","known":{"seq":1},"limits":{"sockets":64,"memory_mb":32},
        "settings":{"tick":2,"ceilings":{"max_attempts":4,"cancel":true},"classes":[
        {"name":"view","give_up":5000,"aim":1,"effect":"idempotent","aim_stretch":1.5},
        {"name":"sign","give_up":5000,"aim":1,"effect":"deduplicated","group":"cell","repeat_window":7}]}}"#;

    fn validate_change(old: &str, new: &str) -> String {
        let parse = |text: &str| serde_json::from_str::<ConfigJson>(text).unwrap();
        assert!(VALID.contains(old), "{old}");
        match validate_reload(&parse(VALID), &parse(&VALID.replacen(old, new, 1))) {
            Ok(()) => "good".into(),
            Err(e) => e,
        }
    }

    #[test]
    fn a_missing_key_or_an_invalid_value_is_rejected_by_name() {
        for (old, new) in [
            ("\"known\":{\"seq\":1},", ""),
            ("\"max_attempts\":4", "\"max_attempts\":1"),
            (r#""group":"cell","#, ""),
            ("\"aim_stretch\":1.5", "\"more\":1"),
            ("}]}}", "},{\"name\":\"new\",\"give_up\":1,\"aim\":1,\"effect\":\"at_most_once\"}]}}"),
        ] {
            assert_eq!(validate_change(old, new), "good", "{new}");
        }
        let invalid_changes = [
            ("\"listen\":\"a\",", ""),
            ("\"sockets\":64,", ""),
            ("{\"sockets\":64,\"memory_mb\":32}", "7"),
            ("\"tick\":2", "\"tick\":null"),
            ("\"max_attempts\":4,", ""),
            ("\"max_attempts\":4", "\"max_attempts\":0"),
            ("\"max_attempts\":4", "\"max_attempts\":-1"),
            ("\"max_attempts\":4", "\"max_attempts\":\"4\""),
            ("\"max_attempts\":4", "\"max_attempts\":1e9"),
            ("\"give_up\":5000,\"aim\":1,", "\"aim\":1,"),
            ("5000", "0"),
            ("5000", "-5000"),
            ("5000", "\"NaN\""),
            ("5000", "null"),
            ("5000", "1e300"),
            ("\"aim\":1,", ""),
            ("\"name\":\"sign\"", "\"name\":\"view\""),
            ("\"name\":\"sign\"", "\"name\":\"\""),
            ("\"classes\":[", "\"other\":["),
        ];
        let outcomes: Vec<String> =
            invalid_changes.iter().map(|(old, new)| validate_change(old, new)).collect();
        insta::assert_snapshot!(outcomes.join("\n"), @r#"
        listen: missing
        limits.sockets: missing
        limits: 7 is no object
        settings.tick: null
        settings.ceilings.max_attempts: missing
        settings.ceilings.max_attempts: 0 is no number above 0, and up to 1000
        settings.ceilings.max_attempts: -1 is no number above 0, and up to 1000
        settings.ceilings.max_attempts: "4" is no number above 0, and up to 1000
        settings.ceilings.max_attempts: 1000000000.0 is no number above 0, and up to 1000
        settings.classes[0].give_up: missing
        settings.classes[0].give_up: 0 is no number above 0, and up to 86400000000000
        settings.classes[0].give_up: -5000 is no number above 0, and up to 86400000000000
        settings.classes[0].give_up: "NaN" is no number above 0, and up to 86400000000000
        settings.classes[0].give_up: missing
        settings.classes[0].give_up: 1e+300 is no number above 0, and up to 86400000000000
        settings.classes[0].aim: missing
        settings.classes[1].name: "view" stands there twice
        settings.classes[1].name: "" is no name
        settings.classes: missing
        "#);
    }
}

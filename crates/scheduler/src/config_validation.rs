//! Changes: whether a configuration may take the place of the one that runs. Pure: it compares what stands in two files.

use super::config::ConfigJson;
use serde_json::Value;

/// Keys of a class that only some classes need.
const SOME: [&str; 3] = ["group", "repeat_window", "aim_stretch"];
/// A deadline beyond a day is a slip of the pen, as are this many attempts.
const LONGEST: f64 = 86_400e9;
const ATTEMPTS: f64 = 1000.0;

/// Checks that a file lacks nothing that the running one has, and that its figures can be worked with; what is wrong is
/// named by its key.
pub fn validate_reload(running: &ConfigJson, fresh: &ConfigJson) -> Result<(), String> {
    // What is for a start alone may be left out.
    let lasting = |key: &str| !["known", "seed"].contains(&key);
    for (key, value) in running.iter().filter(|(key, _)| lasting(key)) {
        lacks_nothing(key, value, fresh.get(key))?;
    }
    figures(running.get("settings").unwrap_or(&Value::Null), fresh)
}

/// Checks that the figures of a file can be worked with, at a start as well.
pub fn validate_start(fresh: &ConfigJson) -> Result<(), String> {
    figures(&Value::Null, fresh)
}

fn figures(running: &Value, fresh: &ConfigJson) -> Result<(), String> {
    let Some(settings) = fresh.get("settings") else { return Err("settings: missing".into()) };
    classes(running, settings)?;
    if let Some(attempts) = settings.get("ceilings").and_then(|c| c.get("max_attempts")) {
        number("settings.ceilings.max_attempts", attempts, ATTEMPTS)?;
    }
    Ok(())
}

fn lacks_nothing(key: &str, running: &Value, fresh: Option<&Value>) -> Result<(), String> {
    match (running, fresh) {
        (_, None) => Err(format!("{key}: missing")),
        (Value::Null, Some(_)) => Ok(()),
        (_, Some(Value::Null)) => Err(format!("{key}: null")),
        (Value::Object(running), Some(Value::Object(fresh))) => {
            running.iter().try_for_each(|(k, v)| lacks_nothing(&format!("{key}.{k}"), v, fresh.get(k)))
        }
        (Value::Object(_), Some(other)) => Err(format!("{key}: {other} is no object")),
        (Value::Array(_), Some(Value::Array(_))) => Ok(()),
        (Value::Array(_), Some(other)) => Err(format!("{key}: {other} is no list")),
        _ => Ok(()),
    }
}

fn classes(running: &Value, fresh: &Value) -> Result<(), String> {
    let list = |settings: &Value| settings.get("classes").and_then(Value::as_array).cloned();
    let fresh = list(fresh).ok_or("settings.classes: missing")?;
    let running = list(running).unwrap_or_default();
    // What all classes have so far every class needs.
    let first = running.first().and_then(Value::as_object);
    let everywhere = |key: &&String| running.iter().all(|class| class.get(key).is_some());
    let needed: Vec<&String> = first
        .into_iter()
        .flat_map(|class| class.keys())
        .filter(|key| !SOME.contains(&key.as_str()))
        .filter(everywhere)
        .collect();
    let mut names = Vec::new();
    for (i, class) in fresh.iter().enumerate() {
        let key = |key: &str| format!("settings.classes[{i}].{key}");
        if let Some(lacking) = needed.iter().find(|k| class.get(k).is_none_or(Value::is_null)) {
            return Err(format!("{}: missing", key(lacking)));
        }
        if let Some(value) = class.get("give_up") {
            number(&key("give_up"), value, LONGEST)?;
        }
        let name = class.get("name").and_then(Value::as_str).unwrap_or("").to_string();
        if name.is_empty() || name.contains('\n') {
            return Err(format!("{}: {name:?} is no name", key("name")));
        }
        if names.contains(&name) {
            return Err(format!("{}: {name:?} stands there twice", key("name")));
        }
        names.push(name);
    }
    Ok(())
}

fn number(key: &str, value: &Value, most: f64) -> Result<(), String> {
    match value.as_f64() {
        Some(n) if n > 0.0 && n <= most => Ok(()),
        _ => Err(format!("{key}: {value} is no number above 0, and up to {most}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"listen":"a","known":{"seq":1},"limits":{"sockets":64,"memory_mb":32},
        "settings":{"tick":2,"ceilings":{"max_attempts":4,"cancel":true},"classes":[
        {"name":"view","give_up":5000,"aim":1,"effect":"idempotent","aim_stretch":1.5},
        {"name":"sign","give_up":5000,"aim":1,"effect":"deduplicated","group":"cell","repeat_window":7}]}}"#;

    fn said(old: &str, new: &str) -> String {
        let keys = |text: &str| serde_json::from_str::<ConfigJson>(text).unwrap();
        assert!(GOOD.contains(old), "{old}");
        match validate_reload(&keys(GOOD), &keys(&GOOD.replacen(old, new, 1))) {
            Ok(()) => "good".into(),
            Err(e) => e,
        }
    }

    #[test]
    fn whatever_lacks_a_key_or_has_a_false_figure_is_turned_down_by_name() {
        for (old, new) in [
            ("\"known\":{\"seq\":1},", ""),
            ("\"max_attempts\":4", "\"max_attempts\":1"),
            (r#""group":"cell","#, ""),
            ("\"aim_stretch\":1.5", "\"more\":1"),
            ("}]}}", "},{\"name\":\"new\",\"give_up\":1,\"aim\":1,\"effect\":\"at_most_once\"}]}}"),
        ] {
            assert_eq!(said(old, new), "good", "{new}");
        }
        let faults = [
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
        let all: Vec<String> = faults.iter().map(|(old, new)| said(old, new)).collect();
        insta::assert_snapshot!(all.join("\n"), @r#"
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

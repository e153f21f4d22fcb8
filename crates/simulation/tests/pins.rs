//! Golden files for scenario files: all keys with their defaults, all names of values, and error messages.
//! `tests/golden/mod.rs` at the root describes how to record them again.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_simulation::Scenario;
use std::fmt::Write;

/// A scenario with the required keys only.
const MINIMAL_SCENARIO: &str = "name = \"least\"\nseconds = 10\n[fleet]\nworkers = 3\n[load]\npart = 0.5\n";

#[test]
fn keys_and_defaults_match_the_golden_file() {
    let scenario = Scenario::read(MINIMAL_SCENARIO).unwrap();
    let mut text = serde_json::to_string_pretty(&scenario).unwrap() + "\n";
    // Parts that are absent by default, with the defaults of their keys.
    let more = "[fleet.keeps]\nper_slot = 2\nfetch = 0.5\n[[trouble]]\nkind = \"vanish\"\nat_s = 1\nfor_s = 1\n\
        [[class]]\nname = \"c\"\nwork_ms = 100\naim_ms = 500\ndeadline_ms = 1000\neffect = \"safe\"\n\
        [[tenant]]\nname = \"t\"\nshare = 1.0\n";
    let scenario = Scenario::read(&format!("{MINIMAL_SCENARIO}{more}")).unwrap();
    for part in [
        serde_json::to_string_pretty(&scenario.fleet.keeps),
        serde_json::to_string_pretty(&scenario.faults),
        serde_json::to_string_pretty(&scenario.classes),
        serde_json::to_string_pretty(&scenario.tenants),
    ] {
        text += &(part.unwrap() + "\n");
    }
    golden::check("defaults.txt", text.as_bytes());
}

/// The error message for an unknown key or value lists all known ones.
#[test]
fn error_messages_match_the_golden_file() {
    let fault =
        |kind: &str| format!("{MINIMAL_SCENARIO}[[trouble]]\nkind = \"{kind}\"\nat_s = 1\nfor_s = 1\n");
    let class = "[[class]]\nname = \"c\"\nwork_ms = 100\naim_ms = 500\ndeadline_ms = 1000\n";
    let mut scenarios = vec![
        format!("novel = 1\n{MINIMAL_SCENARIO}"),
        MINIMAL_SCENARIO.replace("workers = 3", "workers = 3\nnovel = 1"),
        MINIMAL_SCENARIO.replace("workers = 3", "workers = 3\nqueue = \"novel\""),
        MINIMAL_SCENARIO.replace("part = 0.5", "part = 0.5\nnovel = 1"),
        MINIMAL_SCENARIO.replace("seconds = 10", "seconds = -1"),
        MINIMAL_SCENARIO.replace("seconds = 10", "seconds = \"ten\""),
        MINIMAL_SCENARIO.replace("workers = 3", "workers = 0"),
        fault("novel"),
        fault("vanish") + "novel = 1\n",
        format!("{MINIMAL_SCENARIO}{class}effect = \"novel\"\n"),
        format!("{MINIMAL_SCENARIO}{class}effect = \"safe\"\nnovel = 1\n"),
        format!("{MINIMAL_SCENARIO}[[fleet.kind]]\nnovel = 1\n"),
        format!("{MINIMAL_SCENARIO}[fleet.keeps]\nnovel = 1\n"),
        format!("{MINIMAL_SCENARIO}[[tenant]]\nnovel = 1\n"),
        String::new(),
    ];
    for (part, key) in [("discovery", "mode"), ("clients", "backoff"), ("schedulers", "talk")] {
        scenarios.push(format!("{MINIMAL_SCENARIO}[{part}]\n{key} = \"novel\"\n"));
    }
    for key in ["shape", "hints", "skew", "swing", "subjects"] {
        scenarios.push(format!("{MINIMAL_SCENARIO}{key} = \"novel\"\n"));
    }
    for part in ["schedulers", "clients", "network", "reports", "discovery", "terms"] {
        scenarios.push(format!("{MINIMAL_SCENARIO}[{part}]\nnovel = 1\n"));
    }
    let mut text = String::new();
    for scenario in scenarios {
        let message = Scenario::read(&scenario).map_or_else(|error| error.to_string(), |_| "taken".into());
        writeln!(text, "{}: {message}", golden::visible(scenario.as_bytes()).replace('\n', "")).unwrap();
    }
    golden::check("faults.txt", text.as_bytes());
}

//! Pins of the scenario files: every key with its default, every name that a key may have, and what is said of a faulty one.
//! `tests/golden/mod.rs` at the root says how to record them anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_simulation::Scenario;
use std::fmt::Write;

/// The least that a scenario has.
const LEAST: &str = "name = \"least\"\nseconds = 10\n[fleet]\nworkers = 3\n[load]\npart = 0.5\n";

#[test]
fn keys_and_their_defaults_stay() {
    let scenario = Scenario::read(LEAST).unwrap();
    let mut text = serde_json::to_string_pretty(&scenario).unwrap() + "\n";
    // What is not there by default, with the defaults of its own keys.
    let more = "[fleet.keeps]\nper_slot = 2\nfetch = 0.5\n[[trouble]]\nkind = \"vanish\"\nat_s = 1\nfor_s = 1\n\
        [[class]]\nname = \"c\"\nwork_ms = 100\naim_ms = 500\ndeadline_ms = 1000\neffect = \"safe\"\n\
        [[tenant]]\nname = \"t\"\nshare = 1.0\n";
    let scenario = Scenario::read(&format!("{LEAST}{more}")).unwrap();
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

/// The first_error for a key or a name that is unknown lists all that are known.
#[test]
fn keys_and_names_stay() {
    let fault = |kind: &str| format!("{LEAST}[[trouble]]\nkind = \"{kind}\"\nat_s = 1\nfor_s = 1\n");
    let class = "[[class]]\nname = \"c\"\nwork_ms = 100\naim_ms = 500\ndeadline_ms = 1000\n";
    let mut scenarios = vec![
        format!("novel = 1\n{LEAST}"),
        LEAST.replace("workers = 3", "workers = 3\nnovel = 1"),
        LEAST.replace("workers = 3", "workers = 3\nqueue = \"novel\""),
        LEAST.replace("part = 0.5", "part = 0.5\nnovel = 1"),
        LEAST.replace("seconds = 10", "seconds = -1"),
        LEAST.replace("seconds = 10", "seconds = \"ten\""),
        LEAST.replace("workers = 3", "workers = 0"),
        fault("novel"),
        fault("vanish") + "novel = 1\n",
        format!("{LEAST}{class}effect = \"novel\"\n"),
        format!("{LEAST}{class}effect = \"safe\"\nnovel = 1\n"),
        format!("{LEAST}[[fleet.kind]]\nnovel = 1\n"),
        format!("{LEAST}[fleet.keeps]\nnovel = 1\n"),
        format!("{LEAST}[[tenant]]\nnovel = 1\n"),
        String::new(),
    ];
    for (part, key) in [("discovery", "mode"), ("clients", "backoff"), ("schedulers", "talk")] {
        scenarios.push(format!("{LEAST}[{part}]\n{key} = \"novel\"\n"));
    }
    for key in ["shape", "hints", "skew", "swing", "subjects"] {
        scenarios.push(format!("{LEAST}{key} = \"novel\"\n"));
    }
    for part in ["schedulers", "clients", "network", "reports", "discovery", "terms"] {
        scenarios.push(format!("{LEAST}[{part}]\nnovel = 1\n"));
    }
    let mut text = String::new();
    for scenario in scenarios {
        let said = Scenario::read(&scenario).map_or_else(|error| error.to_string(), |_| "taken".into());
        writeln!(text, "{}: {said}", golden::visible(scenario.as_bytes()).replace('\n', "")).unwrap();
    }
    golden::check("faults.txt", text.as_bytes());
}

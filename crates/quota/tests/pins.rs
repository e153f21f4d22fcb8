//! Pins of the quotas: the datagrams that tell peers of traffic, the numbers of nodes in them, and the defaults of the keys.
//! `tests/golden/mod.rs` at the root says how to record them anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_quota::share_split::{ShareSplit, node_number};
use loomlb_quota::{Measure, OverSharePolicy, Spec, WindowSpec};

#[test]
fn datagrams_of_traffic_keep_their_bytes() {
    let mut told = ShareSplit::new(3);
    let mut text = String::new();
    let mut tell = |told: &mut ShareSplit, name: &str| {
        for bytes in told.digests(0) {
            text += &format!("{name} {}\n", golden::hex(&bytes));
        }
    };
    tell(&mut told, "none");
    told.record_demand(0, node_number("acme"), 2.0);
    told.record_demand(0, node_number("é"), 0.5);
    tell(&mut told, "two");
    for node in 0..300 {
        told.record_demand(0, node, 1.0);
    }
    tell(&mut told, "many");
    tell(&mut told, "many, next");
    golden::check("datagrams.txt", text.as_bytes());
}

#[test]
fn the_number_of_a_node_stays() {
    let text: String = ["", "acme", "é"].map(|name| format!("{name:?} {:08x}\n", node_number(name))).concat();
    golden::check("node-numbers.txt", text.as_bytes());
}

/// Each key with its default, as the operator file takes it.
#[test]
fn keys_and_their_defaults_stay() {
    let spec: Spec = serde_json::from_str(r#"{"node":[{"name":"all"}]}"#).unwrap();
    let mut text = serde_json::to_string_pretty(&spec).unwrap() + "\n";
    for over in [OverSharePolicy::Pass, OverSharePolicy::Refuse] {
        text += &(serde_json::to_string(&over).unwrap() + "\n");
    }
    for measure in [Measure::Requests, Measure::Work] {
        let window = WindowSpec { measure, seconds: 60.0, limit: 5.0 };
        text += &(serde_json::to_string(&window).unwrap() + "\n");
    }
    golden::check("defaults.txt", text.as_bytes());
}

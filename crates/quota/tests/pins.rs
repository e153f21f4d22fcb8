//! Golden files of the quotas: the digests sent to peers, the node numbers in them, and the default values of the keys.
//! `tests/golden/mod.rs` at the root says how to record them anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_quota::share_split::{ShareSplit, node_number};
use loomlb_quota::{Measure, OverSharePolicy, Spec, WindowSpec};

#[test]
fn digests_keep_their_bytes() {
    let mut shares = ShareSplit::new(3);
    let mut text = String::new();
    let mut append_digests = |shares: &mut ShareSplit, name: &str| {
        for bytes in shares.digests(0) {
            text += &format!("{name} {}\n", golden::hex(&bytes));
        }
    };
    append_digests(&mut shares, "none");
    shares.record_demand(0, node_number("acme"), 2.0);
    shares.record_demand(0, node_number("é"), 0.5);
    append_digests(&mut shares, "two");
    for node in 0..300 {
        shares.record_demand(0, node, 1.0);
    }
    append_digests(&mut shares, "many");
    append_digests(&mut shares, "many, next");
    golden::check("datagrams.txt", text.as_bytes());
}

#[test]
fn node_numbers_stay_the_same() {
    let text: String = ["", "acme", "é"].map(|name| format!("{name:?} {:08x}\n", node_number(name))).concat();
    golden::check("node-numbers.txt", text.as_bytes());
}

/// Each key of the operator file with its default.
#[test]
fn keys_and_their_defaults_stay_the_same() {
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

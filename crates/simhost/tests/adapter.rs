//! The simulator's protocol with single batches.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the program with these lines as input.
fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomlb-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(lines.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

const BOOT: &str = r#"{"op":"BOOT","nonce64":9,"boot_info":{"balancers":1,"zones":["z"],"my_zone":"z","kinds":["k"],
"tick":1000000,"novel":{"a":1},"classes":[{"name":"c","aim":500000000,"give_up":2000000000,"worth":1.0,
"effect":"idempotent"}],"ceilings":{"max_attempts":3},"obligations":{"cold":1000000000}}}"#;
const LIST: &str = r#"{"op":"MANIFEST","roster_id":0,"entries":[{"worker":42,"dc":"z","shape":"k","phase":"IN","rating":1}]},
{"op":"TARGETS","how":"Persisted","stamp":1,"roster_id":0}"#;
const ORDER: &str =
    r#"{"op":"ORDER","req":1234567890123456,"category":"c","remaining":1000000000,"extra_field":[1]}"#;

/// Returns a batch with these events for one dispatcher.
fn batch(round: u32, input: &str) -> String {
    let line = format!(
        r#"{{"t":{round}000000000,"round":{round},"dispatchers":[{{"dispatcher":3,"input":[{input}]}}]}}"#
    );
    line.replace('\n', "") + "\n"
}

#[test]
fn empty_batches_get_empty_replies() {
    let out = run("{\"t\":5,\"round\":7,\"dispatchers\":[]}\n");
    assert!(out.status.success());
    assert_eq!(String::from_utf8(out.stdout).unwrap(), "{\"round\":7,\"dispatchers\":[]}\n");
}

#[test]
fn requests_are_sent_to_the_listed_worker() {
    let out = run(&batch(1, &format!("{BOOT},{LIST},{ORDER}")));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(
        text.contains(r#"{"op":"DELIVER","req":1234567890123456,"worker":42,"allow_for":998000000}"#),
        "{text}"
    );
}

#[test]
fn actions_before_a_shutdown_in_the_same_batch_are_dropped() {
    let second_list = LIST.replace("42", "43");
    let input = format!(
        r#"{BOOT},{LIST},{ORDER},{{"op":"SHUTDOWN"}},{BOOT},{second_list},{}"#,
        ORDER.replace("3456", "3457")
    );
    let text = String::from_utf8(run(&batch(1, &input)).stdout).unwrap();
    assert!(!text.contains(r#""worker":42"#) && text.contains(r#""worker":43"#), "{text}");
}

#[test]
fn malformed_events_are_reported_with_batch_and_field_and_get_no_reply() {
    let start = format!("{BOOT},{LIST}");
    for (input, expected) in [
        (r#"{"op":"ORDER","category":"c","remaining":1}"#, "req: missing"),
        (r#"{"op":"ORDER","req":"x","category":"c","remaining":1}"#, "req"),
        (r#"{"op":"WHAT"}"#, "WHAT"),
        (r#"{"op":"COMPLETED","req":1,"hop":0,"status":"odd","duration":1}"#, "status"),
        (r#"{"op":"TARGETS","how":"Complete","stamp":1,"roster_id":9}"#, "roster_id"),
        (r#"{"op":"ORDER","req":1"#, "batch"),
    ] {
        let out = run(&(batch(1, &start) + &batch(2, input)));
        assert!(!out.status.success(), "{input}");
        let error = String::from_utf8(out.stderr).unwrap();
        assert!(error.contains(expected) && error.contains("batch"), "{input}: {error}");
        assert_eq!(String::from_utf8(out.stdout).unwrap().lines().count(), 1);
    }
}

//! Golden files of the tier as operators see it: the status, the answers to proposals, and the command line.

use crate::golden;
use loomlb_emulator::tier_harness::{Options, TierHarness};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

/// Makes a call at a scheduler's control listener and returns the complete response.
fn control_call(harness: &TierHarness, n: usize, call: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(harness.control_address(n)).unwrap();
    let length = body.len();
    write!(stream, "{call} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Repeats a call while the answer is that no majority agreed in time, which any proposal can get on a busy machine.
fn control_call_with_majority(harness: &TierHarness, n: usize, call: &str, body: &str) -> String {
    let mut answer = String::new();
    crate::harness::wait_until(call, || {
        answer = control_call(harness, n, call, body);
        !answer.contains("no majority")
    });
    answer
}

/// Whether a scheduler acts on this version with a lease, as does every scheduler to which its voter has granted one.
fn is_stable(status: &Value, version: u64) -> bool {
    let acting = json!({ "On": version });
    let grants = status["voter"]["promises_to"].as_array().cloned().unwrap_or_default();
    status["may_act"] == true
        && status["acting"] == acting
        && status["lists"] == json!({"mine": 1, "newest": 1, "oldest": 1})
        && !grants.is_empty()
        && grants.iter().all(|grant| grant["acting"] == acting)
}

/// Masks the values of a status that differ from run to run, such as the leader, the remaining lease and the counters.
fn mask_status(mut status: Value) -> Value {
    for path in ["/lease_left_s", "/voter/leads", "/voter/leader"] {
        if let Some(value) = status.pointer_mut(path) {
            *value = "<masked>".into();
        }
    }
    if let Some(counts) = status["counts"].as_object_mut() {
        counts.values_mut().for_each(|count| *count = "<count>".into());
    }
    // The schedulers to which the voter has currently granted a lease vary.
    if let Some(grants) = status.pointer_mut("/voter/promises_to").and_then(Value::as_array_mut) {
        grants.iter_mut().for_each(|grant| {
            grant["name"] = "<name>".into();
            grant["process"] = "<process>".into();
        });
        grants.truncate(1);
    }
    for pointer in ["/by", "/history/0/by"] {
        // Which scheduler proposed the first version is a race.
        if let Some(by) = status.pointer_mut(pointer) {
            *by = "<name>".into();
        }
    }
    status
}

fn run_tier_command(harness: &TierHarness, args: &[&str], masks: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
    command.args(["tier", "--at", &harness.control_address(0).to_string()]).args(args).env_clear();
    let output = command.output().unwrap();
    let mut text = format!(
        "==== loomlb tier {}\nexit code {}\nstandard output:\n{}standard error:\n{}\n",
        args.join(" "),
        output.status.code().unwrap(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    for (value, mask) in masks {
        text = text.replace(value, mask);
    }
    text
}

#[test]
fn tier_status_and_proposals_match_the_golden_file() {
    let options = Options {
        program: vec![env!("CARGO_BIN_EXE_loomlb").into()],
        schedulers: 3,
        voters: 3,
        tier_settings: "bound_s = 3\n".into(),
        job_interval: None,
        show_logs: false,
    };
    let harness = TierHarness::start(options).unwrap();
    let all = [0, 1, 2];
    assert!(all.iter().all(|n| harness.wait_until_ready(*n)));
    assert!(harness.wait_until(|harness| harness.all_follow_version(&all, 1)));
    let file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap();
    let mut text = String::new();
    let mut append_section = |heading: &str, answer: &str| {
        writeln!(text, "== {heading}\n{}", golden::visible(answer.as_bytes())).unwrap();
    };
    // A compatible change usually applies within one call; on a busy machine the call is repeated until it does.
    let mut settings = harness.settings(1);
    settings["classes"][0]["worth"] = 2.0.into();
    assert!(harness.wait_until(|harness| {
        control_call(harness, 1, "PUT /control/tier/settings/1", &settings.to_string());
        harness.all_follow_version(&all, 2)
    }));
    append_section(
        "the same again",
        &control_call_with_majority(&harness, 1, "PUT /control/tier/settings", &settings.to_string()),
    );
    append_section(
        "after another version",
        &control_call_with_majority(&harness, 1, "PUT /control/tier/settings/1", &settings.to_string()),
    );
    let mut zones = settings.clone();
    zones["zones"] = json!(["z", "y"]);
    append_section(
        "what needs a restart",
        &control_call_with_majority(&harness, 1, "PUT /control/tier/settings", &zones.to_string()),
    );
    let mut bad = settings.clone();
    bad["classes"][0]["give_up"] = 0.into();
    append_section(
        "a bad figure",
        &control_call_with_majority(&harness, 1, "PUT /control/tier/settings", &bad.to_string()),
    );
    append_section("no JSON", &control_call_with_majority(&harness, 1, "PUT /control/tier/settings", "{"));
    append_section("no number", &control_call(&harness, 1, "PUT /control/tier/settings/x", "{}"));
    append_section("another method", &control_call(&harness, 1, "GET /control/tier/settings", ""));
    append_section(
        "an unknown worker",
        &control_call(&harness, 1, "PUT /control/workers/nobody/offline", ""),
    );
    // A conflicting change waits for leases to expire, so the call may end before the change applies.
    settings["classes"][1]["effect"] = "at_most_once".into();
    assert!(harness.wait_until(|harness| {
        control_call(harness, 1, "PUT /control/tier/settings/2", &settings.to_string());
        harness.all_follow_version(&all, 3)
    }));
    assert!(harness.wait_until(|harness| {
        control_call(harness, 1, "PUT /control/workers/s-00000001/offline", "").contains("\"in_force\":true")
    }));
    assert!(harness.wait_until(|harness| harness.all_follow_version(&all, 4)));
    append_section(
        "a worker that is out already",
        &control_call(&harness, 1, "PUT /control/workers/s-00000001/offline", ""),
    );
    let (mut head, mut status) = (String::new(), Value::Null);
    crate::harness::wait_until("a stable status", || {
        let answer = control_call(&harness, 0, "GET /control/tier", "");
        let (first, body) = answer.split_once("\r\n\r\n").unwrap();
        head = first.into();
        status = serde_json::from_str(body).unwrap();
        is_stable(&status, 4)
    });
    let status = mask_status(status);
    let masked_head = golden::mask_number_after(&head, "Content-Length: ");
    append_section(
        "the status",
        &format!("{masked_head}\r\n\r\n{}", serde_json::to_string_pretty(&status).unwrap()),
    );
    let to_text = |value: &Value| serde_json::to_string_pretty(value).unwrap();
    // The command line prints the same status, indented.
    let run_json_command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["tier", "--at", &harness.control_address(0).to_string()]).args(args).env_clear();
        let output = command.output().unwrap();
        (output.status.code(), serde_json::from_slice::<Value>(&output.stdout).unwrap(), output.stdout)
    };
    let (mut code, mut value, mut printed) = run_json_command(&["status"]);
    crate::harness::wait_until("a stable status", || {
        (code, value, printed) = run_json_command(&["status"]);
        is_stable(&value, 4)
    });
    assert_eq!(
        String::from_utf8(printed).unwrap(),
        to_text(&value) + "\n",
        "the status is not printed as indented JSON"
    );
    append_section(&format!("loomlb tier status, exit code {code:?}"), &to_text(&mask_status(value)));
    let (code, mut value, _) = run_json_command(&["history"]);
    value[0]["by"] = "<name>".into();
    append_section(&format!("loomlb tier history, exit code {code:?}"), &to_text(&value));
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    let masks = [(path, "<file>"), (&*harness.control_address(0).to_string(), "<control>")];
    for args in [&["propose", path][..], &["propose", path, "--after", "1"], &["wait", "4"]] {
        let mut output = String::new();
        crate::harness::wait_until("an outcome", || {
            output = run_tier_command(&harness, args, &masks);
            !output.contains("no majority")
        });
        text += &output;
    }
    text += &run_tier_command(&harness, &["wait", "9", "--seconds", "0.1"], &masks);
    std::fs::write(path, "{}").unwrap();
    text += &run_tier_command(&harness, &["propose", path], &masks);
    std::fs::write(path, "{").unwrap();
    text += &run_tier_command(&harness, &["propose", path], &masks);
    golden::check("tier.txt", text.as_bytes());
}

/// Covers a program without a tier, and an address at which no program listens.
#[test]
fn command_line_output_without_a_tier_matches_the_golden_file() {
    use crate::harness::{AgentMode, DiscoveryAgent, SchedulerProcess};
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[]);
    let stage = SchedulerProcess::start_with_control(&[], &discovery.server);
    let run_command = |address: String, subcommand: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        let output = command.args(["tier", "--at", &address, subcommand]).env_clear().output().unwrap();
        let (stdout, stderr) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        format!("== {subcommand}: exit code {}\n{stdout}{stderr}", output.status.code().unwrap())
            .replace(&address, "<control>")
    };
    let mut text =
        run_command(stage.control.to_string(), "status") + &run_command(stage.control.to_string(), "history");
    // A port that was just released.
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    text += &run_command(unused_address.to_string(), "status");
    golden::check("tier-none.txt", text.as_bytes());
}

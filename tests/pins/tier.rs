//! The tier as staff see it: status, proposals and their answers, and the command line's view of them.

use crate::golden;
use loomlb_emulator::rig::{Options, Rig};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

/// A call of staff as bytes: the head and the body.
fn call(rig: &Rig, n: usize, call: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(rig.control(n)).unwrap();
    let length = body.len();
    write!(stream, "{call} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The same, again while no majority has agreed in time: on a busy machine that is an answer to any proposal.
fn agreed(rig: &Rig, n: usize, what: &str, body: &str) -> String {
    let mut answer = String::new();
    crate::harness::wait_until(what, || {
        answer = call(rig, n, what, body);
        !answer.contains("no majority")
    });
    answer
}

/// Whether a status is that of a scheduler at rest: it holds a lease on this version, and so do all whom its voter knows.
fn at_rest(status: &Value, version: u64) -> bool {
    let on = json!({ "On": version });
    let grants = status["voter"]["promises_to"].as_array().cloned().unwrap_or_default();
    status["may_act"] == true
        && status["acting"] == on
        && status["lists"] == json!({"mine": 1, "newest": 1, "oldest": 1})
        && !grants.is_empty()
        && grants.iter().all(|grant| grant["acting"] == on)
}

/// Masks what differs from run to run in a status: who leads, what is left of a lease, numbers of processes, and counts.
fn masked(mut status: Value) -> Value {
    for path in ["/lease_left_s", "/voter/leads", "/voter/leader"] {
        if let Some(value) = status.pointer_mut(path) {
            *value = "<masked>".into();
        }
    }
    if let Some(counts) = status["counts"].as_object_mut() {
        counts.values_mut().for_each(|count| *count = "<count>".into());
    }
    // Which schedulers a voter has granted a lease at this moment, in whose name.
    if let Some(grants) = status.pointer_mut("/voter/promises_to").and_then(Value::as_array_mut) {
        grants.iter_mut().for_each(|grant| {
            grant["name"] = "<name>".into();
            grant["process"] = "<process>".into();
        });
        grants.truncate(1);
    }
    for pointer in ["/by", "/history/0/by"] {
        // Whose file became the first version is a race.
        if let Some(by) = status.pointer_mut(pointer) {
            *by = "<name>".into();
        }
    }
    status
}

fn command_line(rig: &Rig, args: &[&str], masks: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
    command.args(["tier", "--at", &rig.control(0).to_string()]).args(args).env_clear();
    let out = command.output().unwrap();
    let mut text = format!(
        "==== loomlb tier {}\nexit code {}\nstandard output:\n{}standard error:\n{}\n",
        args.join(" "),
        out.status.code().unwrap(),
        String::from_utf8_lossy(&out.stdout),
        String::from_utf8_lossy(&out.stderr)
    );
    for (value, mask) in masks {
        text = text.replace(value, mask);
    }
    text
}

#[test]
fn what_staff_see_of_a_tier_stays() {
    let options = Options {
        program: vec![env!("CARGO_BIN_EXE_loomlb").into()],
        schedulers: 3,
        voters: 3,
        tier: "bound_s = 3\n".into(),
        load: None,
        show_logs: false,
    };
    let rig = Rig::start(options).unwrap();
    let all = [0, 1, 2];
    assert!(all.iter().all(|n| rig.ready(*n)));
    assert!(rig.until(|rig| rig.all_on(&all, 1)));
    let file = tempfile::NamedTempFile::new().unwrap();
    let path = file.path().to_str().unwrap();
    let mut text = String::new();
    let mut add = |heading: &str, answer: &str| {
        writeln!(text, "== {heading}\n{}", golden::visible(answer.as_bytes())).unwrap();
    };
    // A change that harms nobody is in force within one call; on a busy machine it is asked for until it is.
    let mut settings = rig.settings(1);
    settings["classes"][0]["worth"] = 2.0.into();
    assert!(rig.until(|rig| {
        call(rig, 1, "PUT /control/tier/settings/1", &settings.to_string());
        rig.all_on(&all, 2)
    }));
    add("the same again", &agreed(&rig, 1, "PUT /control/tier/settings", &settings.to_string()));
    add("after another version", &agreed(&rig, 1, "PUT /control/tier/settings/1", &settings.to_string()));
    let mut zones = settings.clone();
    zones["zones"] = json!(["z", "y"]);
    add("what needs a restart", &agreed(&rig, 1, "PUT /control/tier/settings", &zones.to_string()));
    let mut bad = settings.clone();
    bad["classes"][0]["give_up"] = 0.into();
    add("a bad figure", &agreed(&rig, 1, "PUT /control/tier/settings", &bad.to_string()));
    add("no JSON", &agreed(&rig, 1, "PUT /control/tier/settings", "{"));
    add("no number", &call(&rig, 1, "PUT /control/tier/settings/x", "{}"));
    add("another method", &call(&rig, 1, "GET /control/tier/settings", ""));
    add("an unknown worker", &call(&rig, 1, "PUT /control/workers/nobody/offline", ""));
    // A contradicting change takes as long as leases do: the call may end before it is in force.
    settings["classes"][1]["effect"] = "at_most_once".into();
    assert!(rig.until(|rig| {
        call(rig, 1, "PUT /control/tier/settings/2", &settings.to_string());
        rig.all_on(&all, 3)
    }));
    assert!(rig.until(|rig| {
        call(rig, 1, "PUT /control/workers/s-00000001/offline", "").contains("\"in_force\":true")
    }));
    assert!(rig.until(|rig| rig.all_on(&all, 4)));
    add("a worker that is out already", &call(&rig, 1, "PUT /control/workers/s-00000001/offline", ""));
    let (mut head, mut status) = (String::new(), Value::Null);
    crate::harness::wait_until("a status at rest", || {
        let answer = call(&rig, 0, "GET /control/tier", "");
        let (first, body) = answer.split_once("\r\n\r\n").unwrap();
        head = first.into();
        status = serde_json::from_str(body).unwrap();
        at_rest(&status, 4)
    });
    let status = masked(status);
    let length = golden::mask_number_after(&head, "Content-Length: ");
    add("the status", &format!("{length}\r\n\r\n{}", serde_json::to_string_pretty(&status).unwrap()));
    let text_of = |value: &Value| serde_json::to_string_pretty(value).unwrap();
    // The command line: its own status is the same value, printed for people.
    let printed = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["tier", "--at", &rig.control(0).to_string()]).args(args).env_clear();
        let out = command.output().unwrap();
        (out.status.code(), serde_json::from_slice::<Value>(&out.stdout).unwrap(), out.stdout)
    };
    let (mut code, mut value, mut bytes) = printed(&["status"]);
    crate::harness::wait_until("a status at rest", || {
        (code, value, bytes) = printed(&["status"]);
        at_rest(&value, 4)
    });
    assert_eq!(String::from_utf8(bytes).unwrap(), text_of(&value) + "\n", "it is printed with indents");
    add(&format!("loomlb tier status, exit code {code:?}"), &text_of(&masked(value)));
    let (code, mut value, _) = printed(&["history"]);
    value[0]["by"] = "<name>".into();
    add(&format!("loomlb tier history, exit code {code:?}"), &text_of(&value));
    std::fs::write(path, json!({ "settings": settings }).to_string()).unwrap();
    let masks = [(path, "<file>"), (&*rig.control(0).to_string(), "<control>")];
    for args in [&["propose", path][..], &["propose", path, "--after", "1"], &["wait", "4"]] {
        let mut said = String::new();
        crate::harness::wait_until("an outcome", || {
            said = command_line(&rig, args, &masks);
            !said.contains("no majority")
        });
        text += &said;
    }
    text += &command_line(&rig, &["wait", "9", "--seconds", "0.1"], &masks);
    std::fs::write(path, "{}").unwrap();
    text += &command_line(&rig, &["propose", path], &masks);
    std::fs::write(path, "{").unwrap();
    text += &command_line(&rig, &["propose", path], &masks);
    golden::check("tier.txt", text.as_bytes());
}

/// One program without a tier, and nobody at the address.
#[test]
fn what_the_command_line_says_without_a_tier_stays() {
    use crate::harness::{AgentMode, DiscoveryAgent, SchedulerProcess};
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[]);
    let stage = SchedulerProcess::start_with_control(&[], &discovery.server);
    let call = |at: String, order: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        let out = command.args(["tier", "--at", &at, order]).env_clear().output().unwrap();
        let (said, fault) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        format!("== {order}: exit code {}\n{said}{fault}", out.status.code().unwrap())
            .replace(&at, "<control>")
    };
    let mut text = call(stage.control.to_string(), "status") + &call(stage.control.to_string(), "history");
    // A port that was free a moment ago.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    text += &call(nobody.to_string(), "status");
    golden::check("tier-none.txt", text.as_bytes());
}

//! The hot restart as the other process sees it: the snapshot that a successor gets, and one of an earlier build that a
//! successor starts from. Frames and messages are pinned in their own package.

use crate::golden;
use crate::harness::{
    AgentMode, DiscoveryAgent, Platform, SchedulerProcess, Server, job, response, wait_until,
};
use loomlb_hot_restart::message::{FrameDecoder, PROTOCOL_VERSION, RestartMessage};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// The end of a link to another process.
struct Partner {
    stream: UnixStream,
    frames: FrameDecoder,
}

impl Partner {
    fn new(stream: UnixStream) -> Partner {
        stream.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
        Partner { stream, frames: FrameDecoder::default() }
    }
    fn send(&mut self, message: &RestartMessage) {
        self.stream.write_all(&message.encode(false).unwrap()).unwrap();
    }
    fn receive(&mut self) -> RestartMessage {
        loop {
            if let Some((message, _)) = self.frames.next_message().unwrap() {
                return message;
            }
            let mut piece = [0; 4096];
            let length = self.stream.read(&mut piece).unwrap();
            assert!(length > 0, "the link has ended");
            self.frames.push(&piece[..length]);
        }
    }
}

/// What the process that serves tells one that starts.
fn snapshot(platform: &Platform) -> Value {
    let mut partner = Partner::new(UnixStream::connect(platform.restart_socket()).unwrap());
    partner.send(&RestartMessage::Hello { version: PROTOCOL_VERSION });
    match partner.receive() {
        RestartMessage::Snapshot(value) => value,
        other => panic!("{other:?}"),
    }
}

/// Masks what differs from run to run: times, what was measured in them, and random weights.
fn mask(value: &mut Value, key: &str) {
    match value {
        Value::Object(keys) => keys.iter_mut().for_each(|(key, value)| mask(value, key)),
        Value::Array(entries) => entries.iter_mut().for_each(|value| mask(value, key)),
        Value::Number(number)
            if !["seq", "born_ms", "block", "share", "id", "turn", "count"].contains(&key) =>
        {
            *value = if number.is_f64() { "<real>" } else { "<integer>" }.into();
        }
        _ => {}
    }
}

#[test]
fn the_snapshot_for_a_successor_keeps_its_keys_and_types() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let platform = Platform::new();
    let stage = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    stage.wait_until_ready();
    stage.control_request("PUT /control/workers/s-00000002/offline");
    stage.control_request("PUT /control/workers/s-00000001/offline");
    stage.control_request("PUT /control/workers/s-00000001/online");
    let mut client = stage.connect();
    client.send(&job("view", "a1", "3.000"));
    let mut worker = one.accept();
    worker.receive();
    worker.send("HTTP/1.1 202 Accepted\r\nX-Backend-Load: inflight=1,x0=3\r\nContent-Length: 0\r\n\r\n");
    stage.call_back(r#"{"id":"a1","from":"s-00000001","state":"done","result":"r"}"#);
    client.receive();
    stage.control_request("PUT /control/out-of-service");
    let mut value = snapshot(&platform);
    // The order of the list is none.
    for list in ["/list/hosts", "/carried/workers"] {
        let entries = value.pointer_mut(list).and_then(Value::as_array_mut).unwrap();
        entries.sort_by_key(|entry| format!("{}{}", entry["host"], entry["id"]));
    }
    mask(&mut value, "");
    let text = serde_json::to_string_pretty(&value).unwrap() + "\n";
    let text = text.replace(&one.address().to_string(), "<one>").replace(&two.address().to_string(), "<two>");
    golden::check("snapshot.txt", text.as_bytes());
}

/// The configuration that is kept for a process that takes over: where it lies, and what stands in it.
#[test]
fn the_configuration_kept_for_a_successor_is_the_file_that_is_in_force() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut stage = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    stage.wait_until_ready();
    stage.reload(r#""name":"lodge""#, r#""name":"sign""#);
    stage.wait_for_log("configuration reloaded");
    let kept = std::fs::read_to_string(platform.folder.path().join("loomlb-127.0.0.1-0.json")).unwrap();
    let in_force: Value = serde_json::from_str(stage.config()).unwrap();
    assert_eq!(kept, in_force.to_string());
}

/// About when the fixture was recorded, as Unix time in nanoseconds.
const RECORDED: i64 = 1_796_207_381_262_118_251;

/// Shifts all times, so that nothing is forgotten for its age: a predecessor's snapshot is never old.
fn make_recent(value: &mut Value, by: i64) {
    match value {
        Value::Object(keys) => keys.values_mut().for_each(|value| make_recent(value, by)),
        Value::Array(entries) => entries.iter_mut().for_each(|value| make_recent(value, by)),
        Value::Number(number) => {
            if let Some(time) = number.as_i64().filter(|number| *number > RECORDED / 2) {
                *value = (time + by).into();
            }
        }
        _ => {}
    }
}

/// A predecessor of an earlier build, played by the test: it offers the snapshot that lies as a fixture.
#[test]
#[expect(clippy::disallowed_methods, reason = "a build before dates its snapshot by the wall clock")]
fn a_successor_starts_from_the_snapshot_of_an_earlier_build() {
    let (discovery, one, two) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"), Server::new("s-00000002"));
    let platform = Platform::new();
    let text = String::from_utf8(golden::fixture("snapshot.json")).unwrap();
    let text = text.replace("<one>", &one.address().to_string()).replace("<two>", &two.address().to_string());
    let mut offered: Value = serde_json::from_str(&text).unwrap();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as i64;
    make_recent(&mut offered, now - RECORDED);
    let predecessor = UnixListener::bind(platform.restart_socket()).unwrap();
    let told = offered.clone();
    let link = std::thread::spawn(move || {
        let (stream, _) = predecessor.accept().unwrap();
        let mut partner = Partner::new(stream);
        assert_eq!(partner.receive(), RestartMessage::Hello { version: PROTOCOL_VERSION });
        partner.send(&RestartMessage::Snapshot(told));
        while partner.receive() != RestartMessage::Ready {}
        partner.send(&RestartMessage::Committed);
        partner.send(&RestartMessage::Bye);
        partner
    });
    let stage = SchedulerProcess::start_on_platform(&[], &discovery.server, &platform);
    let _partner = link.join().unwrap();
    stage.wait_until_ready();
    // Orders, the state of the service and the list are the predecessor's.
    let state = stage.control_request("GET /control/ready");
    assert!(state.contains(r#""service":"draining","workers_out":["s-00000002"]"#), "{state}");
    stage.control_request("PUT /control/in-service");
    let mut client = stage.connect();
    client.send(&job("view", "b1", "3.000"));
    let mut worker = one.accept();
    assert!(worker.receive().contains("b1"));
    worker.send(&response("202 Accepted", ""));
    // What it passes on itself is what it was told, but for what the job and the orders have changed.
    let mut passed_on = Value::Null;
    wait_until("its own socket", || {
        if platform.restart_socket().exists() && UnixStream::connect(platform.restart_socket()).is_ok() {
            passed_on = snapshot(&platform);
        }
        !passed_on.is_null()
    });
    for key in ["classes", "tenants", "kinds", "zones", "orders", "discovery"] {
        assert_eq!(passed_on[key], offered[key], "{key}");
    }
    let hosts = |value: &Value| {
        let mut hosts: Vec<String> =
            value["list"]["hosts"].as_array().unwrap().iter().map(ToString::to_string).collect();
        hosts.sort();
        hosts
    };
    assert_eq!(hosts(&passed_on), hosts(&offered));
    let learned = |value: &Value| value["carried"]["classes"][1].clone();
    assert_eq!(learned(&passed_on), learned(&offered), "a class that has had no job since");
}

//! Golden files of the hot restart: the snapshot that a successor receives, and a snapshot of an earlier build from
//! which a successor starts. The golden files of frames and messages are in the package `loomlb-hot-restart`.

use crate::golden;
use crate::harness::restart_link::RestartConnection;
use crate::harness::{
    AgentMode, DiscoveryAgent, Platform, SchedulerProcess, Server, job, response, wait_until,
};
use loomlb_hot_restart::message::{PROTOCOL_VERSION, RestartMessage};
use serde_json::Value;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{SystemTime, UNIX_EPOCH};

/// Masks numbers that differ from run to run: times, measurements and random weights.
fn mask_numbers(value: &mut Value, key: &str) {
    match value {
        Value::Object(keys) => keys.iter_mut().for_each(|(key, value)| mask_numbers(value, key)),
        Value::Array(entries) => entries.iter_mut().for_each(|value| mask_numbers(value, key)),
        Value::Number(number)
            if !["seq", "born_ms", "block", "share", "id", "turn", "count"].contains(&key) =>
        {
            *value = if number.is_f64() { "<real>" } else { "<integer>" }.into();
        }
        _ => {}
    }
}

#[test]
fn the_snapshot_for_a_successor_matches_the_golden_file() {
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
    let mut value = RestartConnection::greet(&platform, false).1;
    // The order of the entries is not defined.
    for list in ["/list/hosts", "/carried/workers"] {
        let entries = value.pointer_mut(list).and_then(Value::as_array_mut).unwrap();
        entries.sort_by_key(|entry| format!("{}{}", entry["host"], entry["id"]));
    }
    mask_numbers(&mut value, "");
    let text = serde_json::to_string_pretty(&value).unwrap() + "\n";
    let text = text.replace(&one.address().to_string(), "<one>").replace(&two.address().to_string(), "<two>");
    golden::check("snapshot.txt", text.as_bytes());
}

/// Covers the part of the snapshot that only a successor which shares ids receives.
#[test]
fn the_snapshot_names_open_requests_for_a_successor_that_shares_ids() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let stage = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    stage.wait_until_ready();
    let mut client = stage.connect();
    client.send(&job("lodge", "a1", "3.000"));
    let mut forward = target.accept();
    forward.receive();
    let mut value = RestartConnection::greet(&platform, true).1["open_requests"].take();
    assert!(value[0]["deadline"].take().is_u64());
    assert_eq!(value.to_string(), r#"[{"at_most_once":true,"deadline":null,"id":"a1"}]"#);
}

/// Covers the path and the content of the configuration that is saved for a successor.
#[test]
fn the_configuration_saved_for_a_successor_is_the_active_one() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut stage = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    stage.wait_until_ready();
    stage.reload(r#""name":"lodge""#, r#""name":"sign""#);
    stage.wait_for_log("configuration reloaded");
    let saved = std::fs::read_to_string(platform.folder.path().join("loomlb-127.0.0.1-0.json")).unwrap();
    let active: Value = serde_json::from_str(stage.config()).unwrap();
    assert_eq!(saved, active.to_string());
}

/// The approximate time at which the fixture was recorded, as Unix time in nanoseconds.
const RECORDED_AT: i64 = 1_796_207_381_262_118_251;

/// Shifts all times by an offset, so that no entry of the fixture is discarded because of its age.
fn shift_times(value: &mut Value, offset: i64) {
    match value {
        Value::Object(keys) => keys.values_mut().for_each(|value| shift_times(value, offset)),
        Value::Array(entries) => entries.iter_mut().for_each(|value| shift_times(value, offset)),
        Value::Number(number) => {
            if let Some(time) = number.as_i64().filter(|number| *number > RECORDED_AT / 2) {
                *value = (time + offset).into();
            }
        }
        _ => {}
    }
}

/// The test acts as a predecessor of an earlier build and sends the snapshot of the fixture.
#[test]
#[expect(clippy::disallowed_methods, reason = "an earlier build dates its snapshot by the wall clock")]
fn a_successor_starts_from_the_snapshot_of_an_earlier_build() {
    let (discovery, one, two) =
        (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"), Server::new("s-00000002"));
    let platform = Platform::new();
    let text = String::from_utf8(golden::fixture("snapshot.json")).unwrap();
    let text = text.replace("<one>", &one.address().to_string()).replace("<two>", &two.address().to_string());
    let mut received: Value = serde_json::from_str(&text).unwrap();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as i64;
    shift_times(&mut received, now - RECORDED_AT);
    let listener = UnixListener::bind(platform.restart_socket()).unwrap();
    let sent_snapshot = received.clone();
    let predecessor = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut connection = RestartConnection::new(stream);
        assert_eq!(
            connection.receive(),
            RestartMessage::Hello { version: PROTOCOL_VERSION, shares_ids: true }
        );
        connection.send(&RestartMessage::Snapshot(sent_snapshot));
        while connection.receive() != RestartMessage::Ready {}
        connection.send(&RestartMessage::Committed);
        connection.send(&RestartMessage::Bye);
        connection
    });
    let stage = SchedulerProcess::start_on_platform(&[], &discovery.server, &platform);
    let _connection = predecessor.join().unwrap();
    stage.wait_until_ready();
    // The offline workers, the service state and the worker list are those of the predecessor.
    let state = stage.control_request("GET /control/ready");
    assert!(state.contains(r#""service":"draining","workers_out":["s-00000002"]"#), "{state}");
    stage.control_request("PUT /control/in-service");
    let mut client = stage.connect();
    client.send(&job("view", "b1", "3.000"));
    let mut worker = one.accept();
    assert!(worker.receive().contains("b1"));
    worker.send(&response("202 Accepted", ""));
    // Its own snapshot equals the received one, except for what the job and the control calls have changed.
    let mut own_snapshot = Value::Null;
    wait_until("the successor opens its own hot-restart socket", || {
        if platform.restart_socket().exists() && UnixStream::connect(platform.restart_socket()).is_ok() {
            own_snapshot = RestartConnection::greet(&platform, false).1;
        }
        !own_snapshot.is_null()
    });
    for key in ["classes", "tenants", "kinds", "zones", "orders", "discovery"] {
        assert_eq!(own_snapshot[key], received[key], "{key}");
    }
    let sorted_hosts = |value: &Value| {
        let mut hosts: Vec<String> =
            value["list"]["hosts"].as_array().unwrap().iter().map(ToString::to_string).collect();
        hosts.sort();
        hosts
    };
    assert_eq!(sorted_hosts(&own_snapshot), sorted_hosts(&received));
    let learned_state = |value: &Value| value["carried"]["classes"][1].clone();
    assert_eq!(
        learned_state(&own_snapshot),
        learned_state(&received),
        "the learned state of a class without a job has changed"
    );
}

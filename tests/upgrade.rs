//! Stories of one process that takes over from another.

mod harness;

use harness::{HttpConnection, Platform, SchedulerProcess, Server, job, response, wait_until};
use loomlb_fault_plan::{Call, FaultPlan, Limit, WITHOUT_END};
use loomlb_hot_restart::message::{FrameDecoder, PROTOCOL_VERSION, RestartMessage};
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Hears a job at a target and takes it.
fn take(line: &mut HttpConnection, id: &str) {
    assert!(line.receive().contains(id));
    line.send(&response("202 Accepted", ""));
}

fn done(target: &Server, id: &str) -> String {
    format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"{id}"}}"#, target.name)
}

#[test]
fn a_process_takes_over_with_flows_open_and_no_client_notices() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let platform = Platform::new();
    let mut old = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    old.wait_until_ready();
    assert!(old.control_request("PUT /control/workers/s-00000002/offline").starts_with("HTTP/1.1 200"));
    // One client has had an answer and keeps its connection, one has said nothing yet, one waits for its job.
    let (mut kept, mut silent, mut waits) = (old.connect(), old.connect(), old.connect());
    kept.send(&job("view", "a1", "3.000"));
    let mut target = one.accept();
    take(&mut target, "a1");
    old.call_back(&done(&one, "a1"));
    assert!(kept.receive_response().ends_with("a1"));
    waits.send(&job("lodge", "a2", "4.000"));
    take(&mut target, "a2");
    let new = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    new.wait_until_ready();
    assert!(old.control_request("GET /control/ready").ends_with(r#"{"why":"handed over","yes":false}"#));
    // An order at either address is one of the scheduler's, and what was ordered before still holds.
    assert!(old.control_request("PUT /control/out-of-service").starts_with("HTTP/1.1 200"));
    assert!(new.request("GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    assert!(
        new.control_request("PUT /control/in-service")
            .contains(r#""service":"in","workers_out":["s-00000002"]"#)
    );
    // Kept connections go on: the new process serves what comes on them, over the connection to the target.
    for (client, id) in [(&mut kept, "b1"), (&mut silent, "b2")] {
        client.send(&job("view", id, "3.000"));
        take(&mut target, id);
        new.call_back(&done(&one, id));
        assert!(client.receive_response().ends_with(id));
    }
    // The call-back for the open flow comes to the process that does not have it.
    assert!(new.call_back(&done(&one, "a2")).ends_with("noted"));
    assert!(waits.receive_response().ends_with("a2"));
    assert!(old.wait_for_exit(), "the old process ends by itself");
    waits.send(&job("view", "b3", "3.000"));
    take(&mut target, "b3");
    new.call_back(&done(&one, "b3"));
    assert!(waits.receive_response().ends_with("b3"));
    insta::assert_snapshot!(
        new.counters(&["adopted", "call_backs_passed", "call_backs_unknown", "dials"]),
        @"dials=0 call_backs_unknown=0 adopted=4 call_backs_passed=1"
    );
    // A second upgrade after the first.
    let third = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    third.wait_until_ready();
    assert!(third.control_request("GET /control/ready").contains(r#""workers_out":["s-00000002"]"#));
}

#[test]
fn the_old_process_accepts_again_when_its_successor_dies() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let old = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    old.wait_until_ready();
    let mut waits = old.connect();
    waits.send(&job("lodge", "a1", "4.900"));
    let mut line = target.accept();
    take(&mut line, "a1");
    for _ in 0..2 {
        let new = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
        new.wait_until_ready();
        drop(new);
        old.wait_until_ready();
        assert!(old.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
    }
    old.call_back(&done(&target, "a1"));
    assert!(waits.receive_response().ends_with("a1"));
}

#[test]
fn a_process_starts_from_its_configuration_beside_leftovers_and_strangers() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    std::fs::write(platform.restart_socket(), "leftover").unwrap();
    let left = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    left.wait_until_ready();
    drop(left);
    assert!(platform.restart_socket().exists(), "a socket that nobody listens at stays behind");
    let old = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    old.wait_until_ready();
    drop(old);
    // Partners that refuse, that end in the midst of a word, that speak another tongue, that say nothing.
    let refused = RestartMessage::Refused("another version".into()).encode(false).unwrap();
    for said in [&refused[..], &refused[..4], b"\x03\0\0\0\0abc", b""] {
        std::fs::remove_file(platform.restart_socket()).unwrap();
        let stranger = UnixListener::bind(platform.restart_socket()).unwrap();
        let (say, stays) = (said.to_vec(), said.is_empty());
        let partner = std::thread::spawn(move || {
            let (mut stream, _) = stranger.accept().unwrap();
            let (mut frames, mut piece) = (FrameDecoder::default(), [0; 256]);
            let n = stream.read(&mut piece).unwrap();
            frames.push(&piece[..n]);
            assert_eq!(
                frames.next_message(),
                Ok(Some((RestartMessage::Hello { version: PROTOCOL_VERSION }, false)))
            );
            stream.write_all(&say).unwrap();
            // Silent until the other side has had enough.
            let _ = if stays { stream.read(&mut piece) } else { Ok(0) };
        });
        let new = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
        new.wait_until_ready();
        partner.join().unwrap();
        assert!(new.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
    }
}

#[test]
fn a_file_that_was_turned_down_does_not_end_the_process_that_takes_over() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut old = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    old.wait_until_ready();
    old.reload(r#""name":"lodge""#, r#""name":"sign""#);
    old.wait_for_log("configuration reloaded");
    let faulty = old.config().replacen("5000000000", "0", 1);
    for (text, fault) in [(&*faulty, "settings.classes[0].give_up: 0 is no number"), ("{", "the file: EOF")] {
        let new = SchedulerProcess::start_on_platform_with_config(&discovery, &platform, text);
        let said = &new.first_log_line;
        assert!(said.contains(fault) && said.ends_with("starting with the last accepted one"), "{said}");
        new.wait_until_ready();
        // It runs by what the old one had taken in last.
        let said = new.request(&job("lodge", "a1", "3.000"));
        assert!(said.ends_with("unknown class"), "{text}: {said:?}");
        let mut client = new.connect();
        client.send(&job("sign", "a2", "3.000"));
        let heard = target.accept().receive();
        assert!(heard.contains("a2"), "{text}: {heard:?}");
    }
}

/// A process that starts at the word that a reload is in force starts from it: the file that it reads then is written. Here
/// that is slow, as it goes through a pipe that takes no more until the test reads it.
#[test]
fn a_reload_is_said_to_be_in_force_once_it_is_kept_for_the_process_that_takes_over() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut old = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    old.wait_until_ready();
    let pipe = platform.folder.path().join(format!("loomlb-127.0.0.1-0.{}", old.process_id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let (begun, go_on) = (channel(), channel());
    let reader = std::thread::spawn(move || {
        let (mut kept, mut first, mut rest) = (std::fs::File::open(&pipe).unwrap(), [0], String::new());
        kept.read_exact(&mut first).unwrap();
        begun.0.send(()).unwrap();
        go_on.1.recv().unwrap();
        kept.read_to_string(&mut rest).unwrap();
        rest
    });
    let long = format!(r#""name":"sign","note":"{}""#, "x".repeat(200_000));
    old.reload(r#""name":"lodge""#, &long);
    begun.1.recv_timeout(Duration::from_secs(20)).expect("the file is written");
    let early = old.logs_within("configuration reloaded", Duration::from_millis(300));
    assert!(!early, "a process that starts now would not find what has been reloaded");
    go_on.0.send(()).unwrap();
    old.wait_for_log("configuration reloaded");
    assert!(reader.join().unwrap().contains(r#""name":"sign""#));
}

#[test]
fn a_reload_on_a_full_disk_is_kept_for_the_next_process_once_there_is_room() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let (platform, plan) = (Platform::new(), FaultPlan::new().unwrap());
    let mut old = SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
    old.wait_until_ready();
    let file = platform.folder.path().join("loomlb-127.0.0.1-0.json");
    let kept = || std::fs::read_to_string(&file).unwrap();
    let before = kept();
    assert!(before.contains(r#""name":"lodge""#));
    // The write ends half-way.
    plan.limit(Limit::FileWrite, 40);
    plan.fail_after(Call::FileWrite, libc::ENOSPC, 1, WITHOUT_END);
    old.reload(r#""name":"lodge""#, r#""name":"sign""#);
    old.wait_for_log("configuration reloaded");
    assert_eq!(kept(), before, "the file of before, complete");
    let names = || std::fs::read_dir(platform.folder.path()).unwrap().map(|entry| entry.unwrap().file_name());
    let fresh = format!("loomlb-127.0.0.1-0.{}", old.process_id());
    assert!(!names().any(|name| name == *fresh), "a half-written file is left");
    plan.pass(Call::FileWrite);
    plan.limit(Limit::FileWrite, 0);
    wait_until("the reload is kept", || kept().contains(r#""name":"sign""#));
}

#[test]
fn a_descriptor_that_is_no_listening_socket_ends_the_start_at_once() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let config =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"view"}]}}"#;
    std::fs::write(&file, config).unwrap();
    let start = |number: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "-c", file.to_str().unwrap()]).env_clear().env("LB_FD", number);
        let out = command.stdin(std::process::Stdio::null()).output().unwrap();
        format!("{}: {}", out.status.code().unwrap(), String::from_utf8_lossy(&out.stderr).trim())
    };
    insta::assert_snapshot!([start("seven"), start("99"), start("0")].join("\n"), @r#"
    2: loomlb: configuration: LB_FD: "seven" is not the number of a file descriptor
    1: loomlb: LB_FD: descriptor 99: Bad file descriptor (os error 9)
    1: loomlb: LB_FD: descriptor 0: Socket operation on non-socket (os error 88)
    "#);
}

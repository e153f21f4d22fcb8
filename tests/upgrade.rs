//! End-to-end tests of the hot restart, in which one process takes over from another.

mod harness;

use harness::{HttpConnection, Platform, SchedulerProcess, Server, job, response, wait_until};
use loomlb_fault_plan::{Call, FaultPlan, Limit, UNLIMITED};
use loomlb_hot_restart::message::{FrameDecoder, PROTOCOL_VERSION, RestartMessage};
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Reads a job on a connection to a target and accepts it.
fn accept_job(connection: &mut HttpConnection, id: &str) {
    assert!(connection.receive().contains(id));
    connection.send(&response("202 Accepted", ""));
}

/// Returns the call-back body with which a target reports a finished job.
fn done_call_back(target: &Server, id: &str) -> String {
    format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"{id}"}}"#, target.name)
}

#[test]
fn a_successor_takes_over_open_flows_and_connections_without_any_client_noticing() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let platform = Platform::new();
    let mut predecessor = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    predecessor.wait_until_ready();
    assert!(
        predecessor.control_request("PUT /control/workers/s-00000002/offline").starts_with("HTTP/1.1 200")
    );
    // One client has been answered and stays connected, one has sent nothing yet, and one waits for its job.
    let (mut answered, mut silent, mut waiting) =
        (predecessor.connect(), predecessor.connect(), predecessor.connect());
    answered.send(&job("view", "a1", "3.000"));
    let mut forward = one.accept();
    accept_job(&mut forward, "a1");
    predecessor.call_back(&done_call_back(&one, "a1"));
    assert!(answered.receive_response().ends_with("a1"));
    waiting.send(&job("lodge", "a2", "4.000"));
    accept_job(&mut forward, "a2");
    let successor = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    successor.wait_until_ready();
    assert!(
        predecessor.control_request("GET /control/ready").ends_with(r#"{"why":"handed over","yes":false}"#)
    );
    // A control call to either process applies to the scheduler, and the effect of earlier calls is kept.
    assert!(predecessor.control_request("PUT /control/out-of-service").starts_with("HTTP/1.1 200"));
    assert!(successor.request("GET /healthz HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
    assert!(
        successor
            .control_request("PUT /control/in-service")
            .contains(r#""service":"in","workers_out":["s-00000002"]"#)
    );
    // The successor serves requests on the connections it was handed, over the existing connection to the target.
    for (client, id) in [(&mut answered, "b1"), (&mut silent, "b2")] {
        client.send(&job("view", id, "3.000"));
        accept_job(&mut forward, id);
        successor.call_back(&done_call_back(&one, id));
        assert!(client.receive_response().ends_with(id));
    }
    // The call-back for the open flow arrives at the process that does not hold the flow.
    assert!(successor.call_back(&done_call_back(&one, "a2")).ends_with("noted"));
    assert!(waiting.receive_response().ends_with("a2"));
    assert!(predecessor.wait_for_exit(), "the predecessor did not exit by itself");
    waiting.send(&job("view", "b3", "3.000"));
    accept_job(&mut forward, "b3");
    successor.call_back(&done_call_back(&one, "b3"));
    assert!(waiting.receive_response().ends_with("b3"));
    insta::assert_snapshot!(
        successor.counters(&["adopted", "call_backs_passed", "call_backs_unknown", "dials"]),
        @"dials=0 call_backs_unknown=0 adopted=4 call_backs_passed=1"
    );
    // Another hot restart works after the first.
    let third = SchedulerProcess::start_on_platform(&[&one, &two], &discovery, &platform);
    third.wait_until_ready();
    assert!(third.control_request("GET /control/ready").contains(r#""workers_out":["s-00000002"]"#));
}

/// Reads a job on a new connection to a target, accepts it and closes the connection.
fn accept_on_new_connection(target: &Server, id: &str) {
    let mut connection = target.accept();
    assert!(connection.receive().contains(id));
    connection.send(&response("202 Accepted\r\nConnection: close", ""));
}

/// Starts a successor on the platform and waits until it accepts connections.
fn replace_process(target: &Server, discovery: &Server, platform: &Platform) -> SchedulerProcess {
    let successor = SchedulerProcess::start_on_platform(&[target], discovery, platform);
    successor.wait_until_ready();
    successor
}

const IN_USE: &str = "HTTP/1.1 400 Bad Request | id already in use";

/// A successor admitted ids that its predecessor had open: their jobs ran a second time, and the results went to the wrong
/// client. Holds for every class, for requests admitted before and after the snapshot, and over two hot restarts.
#[test]
fn an_id_that_a_predecessor_has_open_is_in_use_at_its_successors() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let first = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    first.wait_until_ready();
    let mut clients = Vec::new();
    for (class, id) in [("lodge", "a1"), ("view", "a2")] {
        let mut client = first.connect();
        client.send(&job(class, id, "4.900"));
        accept_on_new_connection(&target, id);
        clients.push((client, id));
    }
    let second = replace_process(&target, &discovery, &platform);
    for (class, id) in [("lodge", "a1"), ("view", "a2"), ("view", "a1"), ("lodge", "a2")] {
        assert_eq!(second.request(&job(class, id, "3.000")), IN_USE, "{class} {id}");
    }
    let third = replace_process(&target, &discovery, &platform);
    for (class, id) in [("lodge", "a1"), ("view", "a2")] {
        assert_eq!(third.request(&job(class, id, "3.000")), IN_USE, "{class} {id}");
    }
    assert_eq!(third.counters(&["flows", "forwards"]), "flows=0 forwards=0");
    for (mut client, id) in clients {
        assert!(third.call_back(&done_call_back(&target, id)).ends_with("noted"));
        assert!(client.receive_response().ends_with(id));
    }
}

/// A request that the predecessor has answered may be sent again at once, as clients do after a 503, although the last list
/// of open requests may still name it.
#[test]
fn an_id_is_free_at_the_successor_as_soon_as_the_predecessor_has_answered() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    let (mut waiting, mut other) = (predecessor.connect(), predecessor.connect());
    for (client, id) in [(&mut waiting, "a1"), (&mut other, "a2")] {
        client.send(&job("lodge", id, "4.900"));
        accept_on_new_connection(&target, id);
    }
    let successor = replace_process(&target, &discovery, &platform);
    for round in 0..5 {
        // Answered by the predecessor in the first round and by the successor in later ones.
        assert!(successor.call_back(&done_call_back(&target, "a1")).ends_with("noted"));
        assert!(waiting.receive_response().ends_with("a1"), "round {round}");
        waiting = successor.connect();
        waiting.send(&job("lodge", "a1", "4.900"));
        accept_on_new_connection(&target, "a1");
    }
    assert_eq!(successor.request(&job("lodge", "a2", "3.000")), IN_USE);
}

/// A request whose first part has arrived at the predecessor when it hands over is admitted there. The successor must know
/// its id as well, and the predecessor must not admit one that the successor has open.
#[test]
fn a_request_that_arrives_in_parts_over_a_handover_shares_ids_with_the_successor() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    let requests = [job("lodge", "a1", "4.900"), job("lodge", "b1", "4.900")];
    let mut late: Vec<HttpConnection> = Vec::new();
    for request in &requests {
        let mut client = predecessor.connect();
        client.send(
            &request
                .replace("Content-Length: 2\r\n\r\nhi", "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
        );
        // The predecessor has read the head, so it keeps the connection at the handover.
        assert!(client.receive().starts_with("HTTP/1.1 100"));
        late.push(client);
    }
    let successor = replace_process(&target, &discovery, &platform);
    assert_eq!(predecessor.counters(&["passed_on"]), "passed_on=0");
    let mut usual = successor.connect();
    usual.send(&requests[1]);
    accept_on_new_connection(&target, "b1");
    late[1].send("hi");
    assert_eq!(late[1].receive_response(), IN_USE, "the predecessor admits an id of the successor");
    late[0].send("hi");
    accept_on_new_connection(&target, "a1");
    assert_eq!(successor.request(&requests[0]), IN_USE, "the successor admits an id of the predecessor");
    for (client, id) in [(&mut late[0], "a1"), (&mut usual, "b1")] {
        assert!(successor.call_back(&done_call_back(&target, id)).ends_with("noted"));
        assert!(client.receive_response().ends_with(id));
    }
}

/// When the predecessor is killed its jobs may still run: an at-most-once one must not be started again, others may be.
#[test]
fn after_a_predecessor_is_killed_only_ids_that_must_not_run_twice_stay_in_use() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    let mut clients = Vec::new();
    for (class, id) in [("lodge", "a1"), ("view", "a2")] {
        let mut client = predecessor.connect();
        client.send(&job(class, id, "4.900"));
        accept_on_new_connection(&target, id);
        clients.push(client);
    }
    let successor = replace_process(&target, &discovery, &platform);
    drop(predecessor);
    successor.wait_for_log("lost the predecessor");
    assert_eq!(successor.request(&job("lodge", "a1", "3.000")), IN_USE);
    let mut retry = successor.connect();
    retry.send(&job("view", "a2", "3.000"));
    accept_on_new_connection(&target, "a2");
    assert!(successor.call_back(&done_call_back(&target, "a2")).ends_with("noted"));
    assert!(retry.receive_response().ends_with("a2"));
}

#[test]
fn the_predecessor_accepts_again_when_its_successor_dies() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    let mut waiting = predecessor.connect();
    waiting.send(&job("lodge", "a1", "4.900"));
    let mut forward = target.accept();
    accept_job(&mut forward, "a1");
    for _ in 0..2 {
        let successor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
        successor.wait_until_ready();
        drop(successor);
        predecessor.wait_until_ready();
        assert!(predecessor.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
    }
    predecessor.call_back(&done_call_back(&target, "a1"));
    assert!(waiting.receive_response().ends_with("a1"));
}

#[test]
fn a_process_starts_from_its_configuration_despite_a_stale_socket_or_an_unusable_predecessor() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    std::fs::write(platform.restart_socket(), "leftover").unwrap();
    let first = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    first.wait_until_ready();
    drop(first);
    assert!(platform.restart_socket().exists(), "the killed process removed its socket");
    let second = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    second.wait_until_ready();
    drop(second);
    // Other processes that refuse, close in the middle of a message, send an unknown message, or stay silent.
    let refusal = RestartMessage::Refused("another version".into()).encode(false).unwrap();
    for bytes in [&refusal[..], &refusal[..4], b"\x03\0\0\0\0abc", b""] {
        std::fs::remove_file(platform.restart_socket()).unwrap();
        let listener = UnixListener::bind(platform.restart_socket()).unwrap();
        let (reply, stays_silent) = (bytes.to_vec(), bytes.is_empty());
        let other_process = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let (mut frames, mut buffer) = (FrameDecoder::default(), [0; 256]);
            let length = stream.read(&mut buffer).unwrap();
            frames.push(&buffer[..length]);
            assert_eq!(
                frames.next_message(),
                Ok(Some((RestartMessage::Hello { version: PROTOCOL_VERSION, shares_ids: true }, false)))
            );
            stream.write_all(&reply).unwrap();
            // Stays silent until the starting process closes the connection.
            let _ = if stays_silent { stream.read(&mut buffer) } else { Ok(0) };
        });
        let stage = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
        stage.wait_until_ready();
        other_process.join().unwrap();
        assert!(stage.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
    }
}

#[test]
fn an_invalid_configuration_file_does_not_stop_a_successor_from_starting() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    predecessor.reload(r#""name":"lodge""#, r#""name":"sign""#);
    predecessor.wait_for_log("configuration reloaded");
    let invalid = predecessor.config().replacen("5000000000", "0", 1);
    for (text, error) in [(&*invalid, "settings.classes[0].give_up: 0 is no number"), ("{", "the file: EOF")]
    {
        let successor = SchedulerProcess::start_on_platform_with_config(&discovery, &platform, text);
        let log_line = &successor.first_log_line;
        assert!(
            log_line.contains(error) && log_line.ends_with("starting with the last accepted one"),
            "{log_line}"
        );
        successor.wait_until_ready();
        // It uses the last configuration that its predecessor accepted.
        let answer = successor.request(&job("lodge", "a1", "3.000"));
        assert!(answer.ends_with("unknown class"), "{text}: {answer:?}");
        let mut client = successor.connect();
        client.send(&job("sign", "a2", "3.000"));
        let request = target.accept().receive();
        assert!(request.contains("a2"), "{text}: {request:?}");
    }
}

/// Guards against logging a reload before it is saved for a successor: a process that starts after the log line must
/// find the new settings. The save blocks here, because it writes to a named pipe that the test has not read yet.
#[test]
fn a_reload_is_logged_only_after_it_is_saved_for_a_successor() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let platform = Platform::new();
    let mut predecessor = SchedulerProcess::start_on_platform(&[&target], &discovery, &platform);
    predecessor.wait_until_ready();
    let pipe = platform.folder.path().join(format!("loomlb-127.0.0.1-0.{}", predecessor.process_id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let (write_started, resume) = (channel(), channel());
    let reader = std::thread::spawn(move || {
        let (mut pipe_reader, mut first, mut rest) =
            (std::fs::File::open(&pipe).unwrap(), [0], String::new());
        pipe_reader.read_exact(&mut first).unwrap();
        write_started.0.send(()).unwrap();
        resume.1.recv().unwrap();
        pipe_reader.read_to_string(&mut rest).unwrap();
        rest
    });
    let large_class = format!(r#""name":"sign","note":"{}""#, "x".repeat(200_000));
    predecessor.reload(r#""name":"lodge""#, &large_class);
    write_started.1.recv_timeout(Duration::from_secs(20)).expect("the configuration was not written");
    let logged_early = predecessor.logs_within("configuration reloaded", Duration::from_millis(300));
    assert!(!logged_early, "the reload was logged before it was saved");
    resume.0.send(()).unwrap();
    predecessor.wait_for_log("configuration reloaded");
    assert!(reader.join().unwrap().contains(r#""name":"sign""#));
}

#[test]
fn a_reload_on_a_full_disk_is_saved_for_a_successor_once_there_is_space() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let (platform, plan) = (Platform::new(), FaultPlan::new().unwrap());
    let mut stage = SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
    stage.wait_until_ready();
    let file = platform.folder.path().join("loomlb-127.0.0.1-0.json");
    let saved = || std::fs::read_to_string(&file).unwrap();
    let before = saved();
    assert!(before.contains(r#""name":"lodge""#));
    // The write fails after a part of the file.
    plan.limit(Limit::FileWrite, 40);
    plan.fail_after(Call::FileWrite, libc::ENOSPC, 1, UNLIMITED);
    stage.reload(r#""name":"lodge""#, r#""name":"sign""#);
    stage.wait_for_log("configuration reloaded");
    assert_eq!(saved(), before, "the previous file was changed");
    let names = || std::fs::read_dir(platform.folder.path()).unwrap().map(|entry| entry.unwrap().file_name());
    let temporary_file = format!("loomlb-127.0.0.1-0.{}", stage.process_id());
    assert!(!names().any(|name| name == *temporary_file), "a partly written file was left behind");
    plan.allow(Call::FileWrite);
    plan.limit(Limit::FileWrite, 0);
    wait_until("the reload is saved", || saved().contains(r#""name":"sign""#));
}

#[test]
fn startup_fails_at_once_when_lb_fd_is_not_a_listening_socket() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let config =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"classes":[{"name":"view"}]}}"#;
    std::fs::write(&file, config).unwrap();
    let start_with_fd = |number: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "-c", file.to_str().unwrap()]).env_clear().env("LB_FD", number);
        let output = command.stdin(std::process::Stdio::null()).output().unwrap();
        format!("{}: {}", output.status.code().unwrap(), String::from_utf8_lossy(&output.stderr).trim())
    };
    insta::assert_snapshot!([start_with_fd("seven"), start_with_fd("99"), start_with_fd("0")].join("\n"), @r#"
    2: loomlb: configuration: LB_FD: "seven" is not the number of a file descriptor
    1: loomlb: LB_FD: descriptor 99: Bad file descriptor (os error 9)
    1: loomlb: LB_FD: descriptor 0: Socket operation on non-socket (os error 88)
    "#);
}

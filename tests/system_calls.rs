//! Injects failures that Linux documents into the system calls of the built program, at each place that makes the call.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, IncomingConnections, Platform, SchedulerProcess, Server,
    job, response, wait_until,
};
use loomlb_emulator::tier_harness::{self, TierHarness};
use loomlb_emulator::{Options, StopFlag};
use loomlb_fault_plan::{Call, FaultPlan, Limit, UNLIMITED};
use loomlb_simulation::Scenario;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
/// Configures the control listener and the peer socket, so that startup opens every kind of socket.
const ALL_ADDRESSES: &str =
    r#""control":"127.0.0.1:0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:2"],"#;
/// Configuration keys of the sockets that startup opens, in the order of opening.
const SOCKET_KEYS: [&str; 3] = ["listen", "control", "peer_listen"];
/// Transient errors of the calls that open a socket.
const SOCKET_OPEN_ERRORS: [i32; 5] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
/// Errors of `accept` that concern only the connection being accepted.
const ACCEPT_CONNECTION_ERRORS: [i32; 6] =
    [libc::ECONNABORTED, libc::EPROTO, libc::ENETDOWN, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EINTR];
/// Errors of `connect` whose cause is a resource of the local machine.
const LOCAL_CONNECT_ERRORS: [i32; 5] =
    [libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::ENFILE, libc::EMFILE, libc::ENOMEM];

/// Returns the call-back body with which a target reports a finished job.
fn done_call_back(target: &Server, id: &str) -> String {
    let name = &target.name;
    format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"yes","load":{{"rif":1,"x0":3}}}}"#)
}

/// Accepts the next forward at the target, checks its id, and reports the job as done.
fn serve_next_forward(stage: &SchedulerProcess, target: &Server, id: &str) {
    let mut forward = target.accept();
    let request = forward.receive();
    assert!(request.contains(&format!("X-Correlation-Id: {id}\r\n")), "{request}");
    forward.send(&response("202 Accepted", ""));
    stage.call_back(&done_call_back(target, id));
}

/// Starts the program with a fault plan and waits until it has the list of these targets and asks for the next one.
fn start_with_list(targets: &[&Server]) -> (FaultPlan, SchedulerProcess, DiscoveryAgent) {
    let entries: Vec<String> = targets.iter().map(|target| target.entry("active")).collect();
    let (plan, discovery) = (FaultPlan::new().unwrap(), DiscoveryAgent::new(AgentMode::Answers, &entries));
    let stage = SchedulerProcess::start_with_faults(&plan, targets, &discovery.server, "");
    discovery.wait_for_calls("from=2", 1);
    (plan, stage, discovery)
}

#[test]
fn startup_retries_each_socket_call_that_fails_transiently() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for (call, socket_count) in [(Call::Socket, 3), (Call::Bind, 3), (Call::Listen, 2)] {
        for (index, key) in SOCKET_KEYS.iter().enumerate().take(socket_count) {
            for errno in SOCKET_OPEN_ERRORS {
                let plan = FaultPlan::new().unwrap();
                plan.fail_after(call, errno, index as u64, 3);
                let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, ALL_ADDRESSES);
                assert_eq!(stage.request(HEALTH), "HTTP/1.1 200 OK | ready", "{call:?} of {key}: {errno}");
                assert!(plan.hits(call) == 3, "{call:?} of {key}: {errno}: {}", plan.hits(call));
            }
        }
    }
}

/// Every `socket` call fails with `ENFILE` for the first second of startup.
#[test]
fn startup_keeps_retrying_while_the_machine_has_no_descriptors() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    plan.fail(Call::Socket, libc::ENFILE, UNLIMITED);
    let stage = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_secs(1));
            plan.allow(Call::Socket);
        });
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, ALL_ADDRESSES)
    });
    assert_eq!(stage.request(HEALTH), "HTTP/1.1 200 OK | ready");
    assert!(plan.hits(Call::Socket) > 3);
}

/// Guards against a startup that hangs, or exits without an error code, when a socket can never be opened.
#[test]
fn startup_exits_in_time_with_an_error_code_when_a_socket_cannot_be_opened() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let (occupied, discovery) = (Server::new("taken"), Server::new("d"));
    let config = format!(
        r#"{{"listen":"{}","discovery":"{}","settings":{{"classes":[{{"name":"view"}}]}}}}"#,
        occupied.address(),
        discovery.address()
    );
    std::fs::write(&file, config).unwrap();
    for (errno, code) in [(libc::ENFILE, "socket-machine-files"), (0, "socket-in-use")] {
        let plan = FaultPlan::new().unwrap();
        plan.fail(Call::Socket, errno, UNLIMITED);
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "--config"]).arg(&file).env_clear().stderr(Stdio::piped());
        plan.apply(&mut command);
        let started_at = Instant::now();
        let output = command.output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.contains(&format!("loomlb: listen: {}: ", occupied.address())), "{stderr}");
        assert!(stderr.contains(&format!("[{code}]")), "{stderr}");
        assert!(started_at.elapsed() < Duration::from_secs(9), "{:?}", started_at.elapsed());
    }
}

#[test]
fn an_aborted_accept_closes_no_other_connection_and_the_next_connection_is_accepted() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    let stage =
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, r#""control":"127.0.0.1:0","#);
    // An idle connection that brought no job is the first to be closed when descriptors run out.
    let mut idle = stage.connect();
    idle.send(HEALTH);
    assert_eq!(idle.receive_response(), "HTTP/1.1 200 OK | ready");
    for errno in ACCEPT_CONNECTION_ERRORS {
        plan.fail(Call::Accept, errno, 5);
        let mut client = stage.connect();
        client.send(&job("view", &format!("a{errno}"), "3.0"));
        serve_next_forward(&stage, &target, &format!("a{errno}"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        idle.send(HEALTH);
        assert_eq!(
            idle.receive_response(),
            "HTTP/1.1 200 OK | ready",
            "the idle connection was closed after a failed accept: {errno}"
        );
    }
    assert_eq!(plan.hits(Call::Accept), 5 * ACCEPT_CONNECTION_ERRORS.len() as u64);
    let counters = stage.counters(&["accept_faults", "accept_gone"]);
    assert_eq!(counters, format!("accept_faults={0} accept_gone={0}", 5 * ACCEPT_CONNECTION_ERRORS.len()));
}

#[test]
fn an_idle_connection_is_closed_for_a_new_one_when_descriptors_run_out() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for errno in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        let mut idle = stage.connect();
        idle.send(HEALTH);
        assert_eq!(idle.receive_response(), "HTTP/1.1 200 OK | ready");
        plan.fail(Call::Accept, errno, UNLIMITED);
        let mut client = stage.connect();
        assert!(idle.wait_until_closed());
        plan.allow(Call::Accept);
        client.send(HEALTH);
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | ready", "{errno}");
    }
}

#[test]
fn the_control_listener_answers_after_failed_accepts() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    let stage =
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, r#""control":"127.0.0.1:0","#);
    for errno in
        ACCEPT_CONNECTION_ERRORS.into_iter().chain([libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM])
    {
        plan.fail(Call::Accept, errno, 3);
        assert!(stage.control_request("GET /control/ready").starts_with("HTTP/1.1 200"), "{errno}");
    }
}

#[test]
fn a_successor_takes_over_from_its_predecessor_despite_failing_calls() {
    let (target, discovery, platform) = (Server::new("t"), Server::new("d"), Platform::new());
    let plan = FaultPlan::new().unwrap();
    // The predecessor binds its control listener first, then its hot-restart socket.
    plan.fail_after(Call::Bind, libc::ENOBUFS, 1, 2);
    let predecessor =
        SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
    wait_until("the hot-restart socket of the predecessor exists", || platform.restart_socket().exists());
    plan.fail(Call::Accept, libc::ECONNABORTED, 3);
    let successor_plan = FaultPlan::new().unwrap();
    // The successor binds its control listener, then connects to the predecessor.
    successor_plan.fail(Call::Connect, libc::EAGAIN, 2);
    let successor =
        SchedulerProcess::start_on_platform_with_faults(&successor_plan, &[], &discovery, &platform);
    successor.wait_for_log("taken over from the predecessor");
    assert_eq!((plan.hits(Call::Accept), successor_plan.hits(Call::Connect)), (3, 2));
    drop(predecessor);
}

#[test]
fn a_local_connect_error_is_retried_and_not_counted_against_the_worker() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for (call, errno) in LOCAL_CONNECT_ERRORS
        .map(|errno| (Call::Connect, errno))
        .into_iter()
        .chain([(Call::Socket, libc::EMFILE)])
    {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        plan.fail(call, errno, UNLIMITED);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        let hits_before = plan.hits(call);
        wait_until("the connect is retried", || plan.hits(call) >= hits_before + 4);
        plan.allow(call);
        serve_next_forward(&stage, &target, "a");
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{call:?}: {errno}");
        let counters = stage.counters(&["served", "forwards", "NoConnection", "NotSent", "dials"]);
        assert_eq!(counters, "served=1 forwards=1 NoConnection=0 NotSent=0 dials=1", "{call:?}: {errno}");
        assert_ne!(stage.counters(&["dials_again"]), "dials_again=0");
    }
}

#[test]
fn a_job_whose_connects_fail_locally_is_rejected_and_counted_as_not_sent() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for errno in LOCAL_CONNECT_ERRORS {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        plan.fail(Call::Connect, errno, UNLIMITED);
        // The first job ends at the connect timeout, the second at its own deadline.
        for (id, seconds) in [("a", "3.0"), ("b", "0.3")] {
            assert!(stage.request(&job("lodge", id, seconds)).starts_with("HTTP/1.1 503"), "{errno}");
        }
        assert_eq!(stage.counters(&["NoConnection", "NotSent"]), "NoConnection=0 NotSent=2", "{errno}");
    }
}

/// Guards against cancelled dials that keep counting against the connection limit: every dial hangs until its job's
/// deadline, and there are more of them than connections allowed.
#[test]
fn cancelled_dials_do_not_use_up_the_connection_limit() {
    let (mut narrow, discovery) = (FullBacklogServer::new("t"), Server::new("d"));
    let stage = SchedulerProcess::start(&[&narrow.server], &discovery);
    let ids: Vec<String> = (0..64).map(|number| format!("a{number}")).collect();
    for chunk in ids.chunks(8) {
        let mut clients: Vec<_> = chunk.iter().map(|_| stage.connect()).collect();
        clients.iter_mut().zip(chunk).for_each(|(client, id)| client.send(&job("lodge", id, "0.2")));
        assert!(clients.iter_mut().all(|client| client.receive_response().starts_with("HTTP/1.1 50")));
    }
    narrow.free_backlog();
    let mut client = stage.connect();
    client.send(&job("lodge", "b", "3.0"));
    let mut forward = loop {
        // Cancelled dials may still complete; they send nothing.
        let mut connection = narrow.server.accept();
        if connection.receive().contains("X-Correlation-Id: b\r\n") {
            break connection;
        }
    };
    forward.send(&response("202 Accepted", ""));
    stage.call_back(&done_call_back(&narrow.server, "b"));
    assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes");
}

#[test]
fn an_unreachable_target_is_retried_and_counted_as_a_failure_only_if_it_stays_unreachable() {
    for errno in [libc::ENETUNREACH, libc::EHOSTUNREACH] {
        let target = Server::new("t");
        let (plan, stage, _discovery) = start_with_list(&[&target]);
        plan.fail(Call::Connect, errno, 1);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        serve_next_forward(&stage, &target, "a");
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        // Starts another process, because this one would reuse its idle connection to the target.
        let (plan, stage, _discovery) = start_with_list(&[&target]);
        plan.fail(Call::Connect, errno, UNLIMITED);
        assert!(stage.request(&job("lodge", "b", "3.0")).starts_with("HTTP/1.1 503"), "{errno}");
        assert_eq!(stage.counters(&["NoConnection", "NotSent"]), "NoConnection=1 NotSent=0", "{errno}");
    }
}

/// Guards against counting a local connect error as a failure of discovery and backing off for it.
#[test]
fn discovery_is_retried_at_once_after_a_local_connect_error() {
    let target = Server::new("t");
    for errno in LOCAL_CONNECT_ERRORS {
        let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
        let plan = FaultPlan::new().unwrap();
        plan.fail(Call::Connect, errno, 3);
        let stage = SchedulerProcess::start_with_faults(&plan, &[], &discovery.server, "");
        discovery.wait_for_calls("servers", 2);
        assert_eq!(plan.hits(Call::Connect), 3, "{errno}");
        assert_eq!(stage.counters(&["list_faults"]), "list_faults=0", "{errno}");
    }
}

#[test]
fn short_and_interrupted_reads_and_writes_lose_no_data() {
    let target = Server::new("t");
    for bytes in [1, 7, 64] {
        let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
        let plan = FaultPlan::new().unwrap();
        plan.short_reads(bytes).short_writes(bytes);
        plan.fail_every(Call::SocketRead, libc::EINTR, 3).fail_every(Call::SocketWrite, libc::EINTR, 3);
        plan.fail_every(Call::EpollWait, libc::EINTR, 3);
        let stage =
            SchedulerProcess::start_with_faults(&plan, &[], &discovery.server, r#""control":"127.0.0.1:0","#);
        discovery.wait_for_calls("from=2", 1);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        let mut forward = target.accept();
        for id in ["a", "b", "c"] {
            if id != "a" {
                client.send(&job("lodge", id, "3.0"));
            }
            assert!(
                forward.receive().contains(&format!("X-Correlation-Id: {id}\r\n")),
                "{bytes} bytes: {id}"
            );
            forward.send(&response("202 Accepted", ""));
            stage.call_back(&done_call_back(&target, id));
            assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{bytes} bytes: {id}");
        }
        assert!(stage.control_request("GET /control/ready").starts_with("HTTP/1.1 200"));
        assert_eq!(
            stage.counters(&["served", "forwards", "list_faults"]),
            "served=3 forwards=3 list_faults=0"
        );
        assert!(plan.shortened_calls(Limit::SocketRead) > 0 && plan.shortened_calls(Limit::SocketWrite) > 0);
        assert!(
            [Call::SocketRead, Call::SocketWrite, Call::EpollWait].iter().all(|call| plan.hits(*call) > 0)
        );
    }
}

/// Guards against waiting for an edge-triggered event while pipelined requests are already in the socket buffer.
#[test]
fn pipelined_requests_after_a_short_read_are_answered_at_once() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    plan.short_reads(HEALTH.len() as u64);
    let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
    let mut client = stage.connect();
    client.send(&HEALTH.repeat(3));
    for _ in 0..3 {
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | ready");
    }
}

/// Guards against resending a job that may have run, and against dropping one that cannot have run, when a connection
/// breaks with an error other than a reset.
#[test]
fn every_error_of_a_broken_connection_is_handled_like_a_reset() {
    for errno in [libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EPIPE] {
        let only_target = Server::new("t");
        let (plan, stage, _discovery) = start_with_list(&[&only_target]);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        let mut forward = only_target.accept();
        forward.receive();
        plan.fail(Call::SocketRead, errno, 1);
        // No other connection receives data, so the fault hits the read of this one.
        forward.send("HTTP/1.1 202");
        assert_eq!(client.receive_response(), "HTTP/1.1 502 Bad Gateway | failed", "{errno}");
        assert_eq!(plan.hits(Call::SocketRead), 1);
        assert_eq!(stage.counters(&["forwards", "Reset"]), "forwards=1 Reset=1", "{errno}");
        // A job whose request was not completely written cannot have run.
        let (first, second) = (Server::new("t"), Server::new("u"));
        let (plan, stage, _discovery) = start_with_list(&[&first, &second]);
        let connections = IncomingConnections::new(&[&first, &second]);
        plan.fail(Call::SocketWrite, errno, 1);
        let mut client = stage.connect();
        client.send(&job("lodge", "b", "3.0"));
        let (name, mut forward) = loop {
            let (name, mut forward) = connections.next();
            if forward.receive().contains("X-Correlation-Id: b\r\n") {
                break (name, forward);
            }
        };
        forward.send(&response("202 Accepted", ""));
        let target = if name == "t" { &first } else { &second };
        stage.call_back(&done_call_back(target, "b"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        assert_eq!(stage.counters(&["forwards", "NoConnection"]), "forwards=2 NoConnection=1", "{errno}");
    }
}

/// Voters open their listeners, accept and connect to each other, and every scheduler obtains a lease.
#[test]
fn a_tier_forms_despite_failing_calls() {
    let plan = FaultPlan::new().unwrap();
    plan.fail_every(Call::Accept, libc::ECONNABORTED, 3).fail_every(Call::Connect, libc::EADDRNOTAVAIL, 3);
    plan.fail_every(Call::EpollWait, libc::EINTR, 3);
    plan.fail(Call::Socket, libc::ENFILE, 12).fail(Call::Bind, libc::ENOBUFS, 6).fail(
        Call::Listen,
        libc::ENOMEM,
        6,
    );
    plan.limit_every(Limit::SocketRead, 40, 2).limit_every(Limit::SocketWrite, 40, 2);
    let options = tier_harness::Options {
        program: plan.wrap(env!("CARGO_BIN_EXE_loomlb")),
        schedulers: 3,
        voters: 3,
        tier_settings: "bound_s = 3".into(),
        job_interval: Some(Duration::from_millis(40)),
        show_logs: std::env::var_os("RUST_LOG").is_some(),
    };
    let tier = TierHarness::start(options).unwrap();
    assert!((0..3).all(|index| tier.wait_until_ready(index)), "not every scheduler is ready");
    assert!(tier.wait_until(|tier| tier.all_follow_version(&[0, 1, 2], 1)));
    for call in [Call::Accept, Call::Connect, Call::EpollWait, Call::Socket, Call::Bind, Call::Listen] {
        assert!(plan.hits(call) > 0, "{call:?}");
    }
}

/// Guards against lost, late and duplicated jobs while every kind of fault occurs, a fifth of the accepts and a third
/// of the connects and waits fail, and half of the reads and writes are short.
#[test]
fn an_emulated_day_with_failing_system_calls_breaks_no_rule() {
    let plan = FaultPlan::new().unwrap();
    plan.fail_every(Call::Accept, libc::ECONNABORTED, 5).fail_every(Call::Connect, libc::EADDRNOTAVAIL, 3);
    plan.fail_every(Call::EpollWait, libc::EINTR, 3);
    plan.limit_every(Limit::SocketRead, 100, 2).limit_every(Limit::SocketWrite, 100, 2);
    let day = Scenario::read(include_str!("../crates/lab/days/every.toml")).unwrap();
    let options = Options::new(plan.wrap(env!("CARGO_BIN_EXE_loomlb")));
    let outcome = loomlb_emulator::run(&day, 7, options, StopFlag::default(), &mut |_| {}).unwrap();
    let breach_reports: Vec<String> = outcome.first_violations.iter().map(ToString::to_string).collect();
    assert_eq!(outcome.violations, 0, "{}", breach_reports.join("\n"));
    assert_eq!((outcome.crashes, outcome.altered_requests, outcome.unknown_requests), (0, 0, 0));
    assert!(outcome.served * 10 > outcome.figures.requests * 6, "{outcome:?}");
    for call in [Call::Accept, Call::Connect, Call::EpollWait] {
        assert!(plan.hits(call) > 0, "{call:?}");
    }
    assert!(plan.shortened_calls(Limit::SocketRead) > 0 && plan.shortened_calls(Limit::SocketWrite) > 0);
}

//! System calls of the real program that fail as Linux documents it, by turn at each place where the program makes them.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, IncomingConnections, Platform, SchedulerProcess, Server,
    job, response, wait_until,
};
use loomlb_emulator::rig::{self, Rig};
use loomlb_emulator::{Options, Stop};
use loomlb_fault_plan::{Call, FaultPlan, Limit, WITHOUT_END};
use loomlb_simulation::Day;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const HEALTH: &str = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
/// A second address and a socket to peers: with the clients' listener all that a start opens.
const ALL_ADDRESSES: &str =
    r#""control":"127.0.0.1:0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","127.0.0.1:2"],"#;
/// The places where a start opens a socket, in their order.
const PLACES: [&str; 3] = ["listen", "control", "peer_listen"];
/// What may fail for a moment as a socket is opened.
const AT_A_START: [i32; 5] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
/// What accept passes on of a connection that is gone.
const GONE: [i32; 6] =
    [libc::ECONNABORTED, libc::EPROTO, libc::ENETDOWN, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EINTR];
/// What fails a connect on this machine.
const LOCAL: [i32; 5] = [libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::ENFILE, libc::EMFILE, libc::ENOMEM];

/// What a target calls back with for a job that is done.
fn done(target: &Server, id: &str) -> String {
    let name = &target.name;
    format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"yes","load":{{"rif":1,"x0":3}}}}"#)
}

/// Has the target take the next forward and call back, and says how often it has heard the job by then.
fn serve(stage: &SchedulerProcess, target: &Server, id: &str) {
    let mut forward = target.accept();
    let heard = forward.receive();
    assert!(heard.contains(&format!("X-Correlation-Id: {id}\r\n")), "{heard}");
    forward.send(&response("202 Accepted", ""));
    stage.call_back(&done(target, id));
}

/// The program with these targets and its plan, once its discovery has told all and nothing is under way for a while.
fn settled(targets: &[&Server]) -> (FaultPlan, SchedulerProcess, DiscoveryAgent) {
    let entries: Vec<String> = targets.iter().map(|target| target.entry("active")).collect();
    let (plan, discovery) = (FaultPlan::new().unwrap(), DiscoveryAgent::new(AgentMode::Answers, &entries));
    let stage = SchedulerProcess::start_with_faults(&plan, targets, &discovery.server, "");
    discovery.wait_for_calls("from=2", 1);
    (plan, stage, discovery)
}

#[test]
fn a_start_opens_each_socket_though_it_fails_for_a_moment() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for (call, places) in [(Call::Socket, 3), (Call::Bind, 3), (Call::Listen, 2)] {
        for (place, key) in PLACES.iter().enumerate().take(places) {
            for errno in AT_A_START {
                let plan = FaultPlan::new().unwrap();
                plan.fail_after(call, errno, place as u64, 3);
                let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, ALL_ADDRESSES);
                assert_eq!(stage.request(HEALTH), "HTTP/1.1 200 OK | ready", "{call:?} of {key}: {errno}");
                assert!(plan.hits(call) == 3, "{call:?} of {key}: {errno}: {}", plan.hits(call));
            }
        }
    }
}

/// As many files are open on the machine as can be, for the first second of a start.
#[test]
fn a_start_waits_for_a_second_without_descriptors() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    plan.fail(Call::Socket, libc::ENFILE, WITHOUT_END);
    let stage = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_secs(1));
            plan.pass(Call::Socket);
        });
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, ALL_ADDRESSES)
    });
    assert_eq!(stage.request(HEALTH), "HTTP/1.1 200 OK | ready");
    assert!(plan.hits(Call::Socket) > 3);
}

/// What lasts ends the program within the time that it has to become ready, and says what to do.
#[test]
fn a_start_that_fails_for_good_ends_in_time_and_advises() {
    let files = tempfile::tempdir().unwrap();
    let file = files.path().join("config.json");
    let (taken, discovery) = (Server::new("taken"), Server::new("d"));
    let config = format!(
        r#"{{"listen":"{}","discovery":"{}","settings":{{"classes":[{{"name":"view"}}]}}}}"#,
        taken.address(),
        discovery.address()
    );
    std::fs::write(&file, config).unwrap();
    for (errno, code) in [(libc::ENFILE, "socket-machine-files"), (0, "socket-in-use")] {
        let plan = FaultPlan::new().unwrap();
        plan.fail(Call::Socket, errno, WITHOUT_END);
        let mut command = Command::new(env!("CARGO_BIN_EXE_loomlb"));
        command.args(["serve", "--config"]).arg(&file).env_clear().stderr(Stdio::piped());
        plan.apply(&mut command);
        let begun = Instant::now();
        let output = command.output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(&format!("loomlb: listen: {}: ", taken.address())), "{said}");
        assert!(said.contains(&format!("[{code}]")), "{said}");
        assert!(begun.elapsed() < Duration::from_secs(9), "{:?}", begun.elapsed());
    }
}

#[test]
fn an_aborted_accept_closes_no_other_connection_and_the_next_one_is_accepted() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    let stage =
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, r#""control":"127.0.0.1:0","#);
    // Idle and never of use: the first to make room.
    let mut idle = stage.connect();
    idle.send(HEALTH);
    assert_eq!(idle.receive_response(), "HTTP/1.1 200 OK | ready");
    for errno in GONE {
        plan.fail(Call::Accept, errno, 5);
        let mut client = stage.connect();
        client.send(&job("view", &format!("a{errno}"), "3.0"));
        serve(&stage, &target, &format!("a{errno}"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        idle.send(HEALTH);
        assert_eq!(
            idle.receive_response(),
            "HTTP/1.1 200 OK | ready",
            "closed for a connection that was gone: {errno}"
        );
    }
    assert_eq!(plan.hits(Call::Accept), 5 * GONE.len() as u64);
    let counted = stage.counters(&["accept_faults", "accept_gone"]);
    assert_eq!(counted, format!("accept_faults={0} accept_gone={0}", 5 * GONE.len()));
}

#[test]
fn without_descriptors_an_idle_connection_makes_room_for_a_new_one() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for errno in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM] {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        let mut idle = stage.connect();
        idle.send(HEALTH);
        assert_eq!(idle.receive_response(), "HTTP/1.1 200 OK | ready");
        plan.fail(Call::Accept, errno, WITHOUT_END);
        let mut client = stage.connect();
        assert!(idle.wait_until_closed());
        plan.pass(Call::Accept);
        client.send(HEALTH);
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | ready", "{errno}");
    }
}

#[test]
fn the_second_address_answers_after_accepts_that_failed() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    let plan = FaultPlan::new().unwrap();
    let stage =
        SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, r#""control":"127.0.0.1:0","#);
    for errno in GONE.into_iter().chain([libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]) {
        plan.fail(Call::Accept, errno, 3);
        assert!(stage.control_request("GET /control/ready").starts_with("HTTP/1.1 200"), "{errno}");
    }
}

#[test]
fn a_successor_finds_its_predecessor_through_failing_calls() {
    let (target, discovery, platform) = (Server::new("t"), Server::new("d"), Platform::new());
    let plan = FaultPlan::new().unwrap();
    // Of the process before: its second address is bound first, then the socket by which it is found.
    plan.fail_after(Call::Bind, libc::ENOBUFS, 1, 2);
    let before = SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
    wait_until("it can be found", || platform.restart_socket().exists());
    plan.fail(Call::Accept, libc::ECONNABORTED, 3);
    let its = FaultPlan::new().unwrap();
    // The process after binds its second address, then connects to the one before.
    its.fail(Call::Connect, libc::EAGAIN, 2);
    let after = SchedulerProcess::start_on_platform_with_faults(&its, &[], &discovery, &platform);
    after.wait_for_log("taken over from the predecessor");
    assert_eq!((plan.hits(Call::Accept), its.hits(Call::Connect)), (3, 2));
    drop(before);
}

#[test]
fn a_worker_is_not_blamed_for_a_connect_that_failed_on_this_machine() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for (call, errno) in
        LOCAL.map(|errno| (Call::Connect, errno)).into_iter().chain([(Call::Socket, libc::EMFILE)])
    {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        plan.fail(call, errno, WITHOUT_END);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        let before = plan.hits(call);
        wait_until("it is tried again", || plan.hits(call) >= before + 4);
        plan.pass(call);
        serve(&stage, &target, "a");
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{call:?}: {errno}");
        let counted = stage.counters(&["served", "forwards", "NoConnection", "NotSent", "dials"]);
        assert_eq!(counted, "served=1 forwards=1 NoConnection=0 NotSent=0 dials=1", "{call:?}: {errno}");
        assert_ne!(stage.counters(&["dials_again"]), "dials_again=0");
    }
}

#[test]
fn a_job_that_this_machine_cannot_send_is_refused_and_counts_as_not_sent() {
    let (target, discovery) = (Server::new("t"), Server::new("d"));
    for errno in LOCAL {
        let plan = FaultPlan::new().unwrap();
        let stage = SchedulerProcess::start_with_faults(&plan, &[&target], &discovery, "");
        plan.fail(Call::Connect, errno, WITHOUT_END);
        // One ends with the time to connect, the other with its own.
        for (id, seconds) in [("a", "3.0"), ("b", "0.3")] {
            assert!(stage.request(&job("lodge", id, seconds)).starts_with("HTTP/1.1 503"), "{errno}");
        }
        assert_eq!(stage.counters(&["NoConnection", "NotSent"]), "NoConnection=0 NotSent=2", "{errno}");
    }
}

/// More dials than there may be connections, each given up with its job's time while it hangs.
#[test]
fn dials_that_are_given_up_take_no_place_of_later_ones() {
    let (mut narrow, discovery) = (FullBacklogServer::new("t"), Server::new("d"));
    let stage = SchedulerProcess::start(&[&narrow.server], &discovery);
    let ids: Vec<String> = (0..64).map(|number| format!("a{number}")).collect();
    for some in ids.chunks(8) {
        let mut clients: Vec<_> = some.iter().map(|_| stage.connect()).collect();
        clients.iter_mut().zip(some).for_each(|(client, id)| client.send(&job("lodge", id, "0.2")));
        assert!(clients.iter_mut().all(|client| client.receive_response().starts_with("HTTP/1.1 50")));
    }
    narrow.free_backlog();
    let mut client = stage.connect();
    client.send(&job("lodge", "b", "3.0"));
    let mut forward = loop {
        // Dials that were given up may have come up all the same, and say nothing.
        let mut line = narrow.server.accept();
        if line.receive().contains("X-Correlation-Id: b\r\n") {
            break line;
        }
    };
    forward.send(&response("202 Accepted", ""));
    stage.call_back(&done(&narrow.server, "b"));
    assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes");
}

#[test]
fn a_way_that_fails_for_a_moment_is_tried_again_and_one_that_lasts_is_evidence() {
    for errno in [libc::ENETUNREACH, libc::EHOSTUNREACH] {
        let target = Server::new("t");
        let (plan, stage, _discovery) = settled(&[&target]);
        plan.fail(Call::Connect, errno, 1);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        serve(&stage, &target, "a");
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        // Another process, as the idle connection to the target would be used again.
        let (plan, stage, _discovery) = settled(&[&target]);
        plan.fail(Call::Connect, errno, WITHOUT_END);
        assert!(stage.request(&job("lodge", "b", "3.0")).starts_with("HTTP/1.1 503"), "{errno}");
        assert_eq!(stage.counters(&["NoConnection", "NotSent"]), "NoConnection=1 NotSent=0", "{errno}");
    }
}

/// A connect that failed on this machine is tried again at once: no fault of discovery's, and no pause for one.
#[test]
fn discovery_is_asked_again_at_once_after_a_connect_that_failed_on_this_machine() {
    let target = Server::new("t");
    for errno in LOCAL {
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
fn short_and_interrupted_reads_and_writes_lose_nothing() {
    let target = Server::new("t");
    for bytes in [1, 7, 64] {
        let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
        let plan = FaultPlan::new().unwrap();
        plan.short_reads(bytes).short_writes(bytes);
        plan.fail_every(Call::SocketRead, libc::EINTR, 3).fail_every(Call::SocketWrite, libc::EINTR, 3);
        plan.fail_every(Call::Wait, libc::EINTR, 3);
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
            stage.call_back(&done(&target, id));
            assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{bytes} bytes: {id}");
        }
        assert!(stage.control_request("GET /control/ready").starts_with("HTTP/1.1 200"));
        assert_eq!(
            stage.counters(&["served", "forwards", "list_faults"]),
            "served=3 forwards=3 list_faults=0"
        );
        assert!(plan.cut(Limit::SocketRead) > 0 && plan.cut(Limit::SocketWrite) > 0);
        assert!([Call::SocketRead, Call::SocketWrite, Call::Wait].iter().all(|call| plan.hits(*call) > 0));
    }
}

/// Two requests in one packet: the second is there already when the first is read, and no edge tells of it.
#[test]
fn a_request_behind_a_short_read_is_answered_at_once() {
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

/// However a connection shows that it is broken: what may have run is not sent again, and what cannot have run is.
#[test]
fn a_broken_connection_is_treated_like_a_reset_whatever_its_error() {
    for errno in [libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH, libc::EPIPE] {
        let alone = Server::new("t");
        let (plan, stage, _discovery) = settled(&[&alone]);
        let mut client = stage.connect();
        client.send(&job("lodge", "a", "3.0"));
        let mut forward = alone.accept();
        forward.receive();
        plan.fail(Call::SocketRead, errno, 1);
        // Its connection is the only one on which something comes.
        forward.send("HTTP/1.1 202");
        assert_eq!(client.receive_response(), "HTTP/1.1 502 Bad Gateway | failed", "{errno}");
        assert_eq!(plan.hits(Call::SocketRead), 1);
        assert_eq!(stage.counters(&["forwards", "Reset"]), "forwards=1 Reset=1", "{errno}");
        // Before the last byte is written it cannot have run.
        let (first, second) = (Server::new("t"), Server::new("u"));
        let (plan, stage, _discovery) = settled(&[&first, &second]);
        let comers = IncomingConnections::new(&[&first, &second]);
        plan.fail(Call::SocketWrite, errno, 1);
        let mut client = stage.connect();
        client.send(&job("lodge", "b", "3.0"));
        let (name, mut forward) = loop {
            let (name, mut forward) = comers.next();
            if forward.receive().contains("X-Correlation-Id: b\r\n") {
                break (name, forward);
            }
        };
        forward.send(&response("202 Accepted", ""));
        let target = if name == "t" { &first } else { &second };
        stage.call_back(&done(target, "b"));
        assert_eq!(client.receive_response(), "HTTP/1.1 200 OK | yes", "{errno}");
        assert_eq!(stage.counters(&["forwards", "NoConnection"]), "forwards=2 NoConnection=1", "{errno}");
    }
}

/// Voters open their listeners, accept and link through failing calls, and a lease holds in the end.
#[test]
fn a_tier_comes_up_through_failing_calls() {
    let plan = FaultPlan::new().unwrap();
    plan.fail_every(Call::Accept, libc::ECONNABORTED, 3).fail_every(Call::Connect, libc::EADDRNOTAVAIL, 3);
    plan.fail_every(Call::Wait, libc::EINTR, 3);
    plan.fail(Call::Socket, libc::ENFILE, 12).fail(Call::Bind, libc::ENOBUFS, 6).fail(
        Call::Listen,
        libc::ENOMEM,
        6,
    );
    plan.limit_every(Limit::SocketRead, 40, 2).limit_every(Limit::SocketWrite, 40, 2);
    let options = rig::Options {
        program: plan.wrap(env!("CARGO_BIN_EXE_loomlb")),
        schedulers: 3,
        voters: 3,
        tier: "bound_s = 3".into(),
        load: Some(Duration::from_millis(40)),
        show_logs: std::env::var_os("RUST_LOG").is_some(),
    };
    let rig = Rig::start(options).unwrap();
    assert!((0..3).all(|n| rig.ready(n)), "not all serve");
    assert!(rig.until(|rig| rig.all_on(&[0, 1, 2], 1)));
    for call in [Call::Accept, Call::Connect, Call::Wait, Call::Socket, Call::Bind, Call::Listen] {
        assert!(plan.hits(call) > 0, "{call:?}");
    }
}

/// A day with every trouble where a fifth of the accepts, a third of the connects and of the waits fail and half of the
/// reads and writes are short: what was taken is answered once and in time, and nothing runs twice that must not.
#[test]
fn a_day_of_failing_calls_breaks_no_rule() {
    let plan = FaultPlan::new().unwrap();
    plan.fail_every(Call::Accept, libc::ECONNABORTED, 5).fail_every(Call::Connect, libc::EADDRNOTAVAIL, 3);
    plan.fail_every(Call::Wait, libc::EINTR, 3);
    plan.limit_every(Limit::SocketRead, 100, 2).limit_every(Limit::SocketWrite, 100, 2);
    let day = Day::read(include_str!("../crates/lab/days/every.toml")).unwrap();
    let options = Options::new(plan.wrap(env!("CARGO_BIN_EXE_loomlb")));
    let played = loomlb_emulator::run(&day, 7, options, Stop::default(), &mut |_| {}).unwrap();
    let stories: Vec<String> = played.first.iter().map(ToString::to_string).collect();
    assert_eq!(played.breaches, 0, "{}", stories.join("\n"));
    assert_eq!((played.crashes, played.mangled, played.strangers), (0, 0, 0));
    assert!(played.served * 10 > played.figures.requests * 6, "{played:?}");
    for call in [Call::Accept, Call::Connect, Call::Wait] {
        assert!(plan.hits(call) > 0, "{call:?}");
    }
    assert!(plan.cut(Limit::SocketRead) > 0 && plan.cut(Limit::SocketWrite) > 0);
}

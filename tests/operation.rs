//! End-to-end tests of operations: the control listener, workers taken offline by an operator, drains and reloads.

mod harness;

use harness::{HttpConnection, IncomingConnections, SchedulerProcess, Server, job, list, response};
use insta::assert_snapshot;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Accepts a connection at the target, serves the job on it, and returns the connection.
fn accept_and_serve(stage: &SchedulerProcess, target: &Server, id: &str) -> HttpConnection {
    let mut connection = target.accept();
    serve(stage, target, &mut connection, id);
    connection
}

/// Serves the next job on an open connection to the target.
fn serve(stage: &SchedulerProcess, target: &Server, connection: &mut HttpConnection, id: &str) {
    assert!(connection.receive().contains(id), "{} did not receive {id}", target.name);
    connection.send(&response("202 Accepted", ""));
    report_done(stage, target, id);
}

fn report_done(stage: &SchedulerProcess, target: &Server, id: &str) {
    let name = &target.name;
    stage.call_back(&format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#));
}

#[test]
fn control_calls_are_answered_beside_stalled_callers_and_invalid_ones_get_an_error() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery);
    // Far more connections than the limit: silent ones, and ones with a partial request.
    let mut stalled: Vec<HttpConnection> = Vec::new();
    for i in 0..60 {
        let mut connection = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
        connection.send(["", "GET /control/rea", "P"][i % 3]);
        stalled.push(connection);
    }
    let started_at = Instant::now();
    let mut answers = vec![stage.control_request("GET /control/ready")];
    // The answer comes at once, not when the stalled connections time out.
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    for call in [
        "PUT /control/ready",
        "GET /control/workers/s-00000001/offline",
        "PUT /control/workers/nobody/offline",
        "PUT /control/workers/nobody/online",
        "PUT /control/workers/%zz/online",
        "PUT /control/workers/s%2D00000001/online",
        "GET /healthz",
        "no http at all",
    ] {
        answers.push(stage.control_request(call));
    }
    let mut bytewise = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
    for byte in "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n".chars() {
        bytewise.send(&byte.to_string());
    }
    answers.push(bytewise.receive_response());
    assert!(bytewise.wait_until_closed(), "the connection stays open after a call");
    let mut oversized = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
    oversized.send(&format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000)));
    answers.push(oversized.receive_response());
    assert_snapshot!(answers.join("\n"), @r#"
    HTTP/1.1 200 OK | {"flows":0,"service":"in","workers_out":[],"yes":true}
    HTTP/1.1 405 Method Not Allowed | {"why":"wrong method","yes":false}
    HTTP/1.1 405 Method Not Allowed | {"why":"wrong method","yes":false}
    HTTP/1.1 404 Not Found | {"why":"unknown worker","yes":false}
    HTTP/1.1 404 Not Found | {"why":"unknown worker","yes":false}
    HTTP/1.1 400 Bad Request | {"why":"malformed path","yes":false}
    HTTP/1.1 200 OK | {"flows":0,"service":"in","workers_out":[],"yes":true}
    HTTP/1.1 404 Not Found | {"why":"unknown path","yes":false}
    HTTP/1.1 400 Bad Request | {"why":"malformed request","yes":false}
    HTTP/1.1 200 OK | {"flows":0,"service":"in","workers_out":[],"yes":true}
    HTTP/1.1 431 Request Header Fields Too Large | {"why":"head too large","yes":false}
    "#);
    assert_snapshot!(stage.counters(&["calls", "calls_400", "calls_404", "calls_405", "calls_431"]), @"calls=3 calls_400=2 calls_404=3 calls_405=2 calls_431=1");
    // The connection limit of clients is not affected.
    assert!(stage.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
}

#[test]
fn a_worker_taken_offline_receives_no_job_whatever_the_list_says_until_it_is_put_online() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let stage = SchedulerProcess::start_with_control(&[&one, &two], &discovery);
    let mut watch = discovery.accept();
    watch.receive();
    assert!(stage.control_request("PUT /control/workers/s-00000001/offline").starts_with("HTTP/1.1 200"));
    assert!(stage.control_request("PUT /control/workers/s-00000001/offline").starts_with("HTTP/1.1 200"));
    let mut connection_to_two = None;
    let mut serve_at_two = |id: &str| {
        let mut client = stage.connect();
        client.send(&job("view", id, "3.000"));
        match &mut connection_to_two {
            None => connection_to_two = Some(accept_and_serve(&stage, &two, id)),
            Some(connection) => serve(&stage, &two, connection, id),
        }
        assert!(client.receive_response().ends_with(id));
    };
    for id in ["a1", "a2", "a3", "a4"] {
        serve_at_two(id);
    }
    // It leaves, returns with a later start, and appears in a complete list: it stays offline.
    let restarted = one.entry("active").replace(r#""born_ms":0"#, r#""born_ms":5000"#);
    for (seq, (complete, entries)) in [
        (false, vec![one.entry("left")]),
        (false, vec![restarted.clone()]),
        (true, vec![restarted, two.entry("active")]),
    ]
    .into_iter()
    .enumerate()
    {
        watch.send(&response("200 OK", &list(seq as u32 + 2, complete, &entries)));
        watch.receive();
        serve_at_two(&format!("b{seq}"));
        serve_at_two(&format!("c{seq}"));
    }
    // With all workers offline, a job is rejected at once.
    assert!(
        stage
            .control_request("PUT /control/workers/s-00000002/offline")
            .contains(r#"["s-00000001","s-00000002"]"#)
    );
    let started_at = Instant::now();
    assert!(stage.request(&job("lodge", "d1", "0.700")).starts_with("HTTP/1.1 503"));
    assert!(started_at.elapsed() < Duration::from_secs(2));
    // One call puts it back online, although two took it offline.
    assert!(stage.control_request("PUT /control/workers/s-00000001/online").contains(r#"["s-00000002"]"#));
    let mut client = stage.connect();
    client.send(&job("lodge", "e1", "3.000"));
    accept_and_serve(&stage, &one, "e1");
    assert!(client.receive_response().ends_with("e1"));
}

#[test]
fn a_drain_answers_open_jobs_closes_idle_connections_and_can_be_cancelled() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery);
    let health = || stage.request("GET /healthz HTTP/1.1\r\n\r\n");
    let (mut idle, mut silent, mut open) = (stage.connect(), stage.connect(), stage.connect());
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(idle.receive_response().ends_with("ready"));
    open.send(&job("lodge", "a1", "4.500"));
    let mut forward = target.accept();
    forward.receive();
    forward.send(&response("202 Accepted", ""));
    let drained_at = Instant::now();
    assert!(stage.control_request("PUT /control/out-of-service").contains(r#""service":"draining""#));
    assert!(health().starts_with("HTTP/1.1 503"));
    // A client that was already connecting is still served.
    let mut late = stage.connect();
    late.send(&job("view", "a2", "3.000"));
    serve(&stage, &target, &mut forward, "a2");
    assert!(late.receive().starts_with("HTTP/1.1 200"));
    assert!(idle.wait_until_closed() && silent.wait_until_closed());
    assert!(drained_at.elapsed() < Duration::from_millis(3500), "{:?}", drained_at.elapsed());
    // Later jobs are rejected, and the open job is answered.
    assert!(stage.request(&job("view", "a3", "3.000")).starts_with("HTTP/1.1 503"));
    report_done(&stage, &target, "a1");
    let answer = open.receive();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"), "{answer}");
    assert!(stage.control_request("PUT /control/in-service").contains(r#""service":"in""#));
    assert!(health().ends_with("ready"));
    let mut client = stage.connect();
    client.send(&job("view", "a4", "3.000"));
    // The decision module closed the idle connections to the target after two jobs had finished.
    let mut forward = accept_and_serve(&stage, &target, "a4");
    assert!(client.receive_response().ends_with("a4"));
    // Putting it back into service during a drain keeps its connections open.
    stage.control_request("PUT /control/out-of-service");
    stage.control_request("PUT /control/in-service");
    client.send(&job("view", "a5", "3.000"));
    serve(&stage, &target, &mut forward, "a5");
    assert!(client.receive_response().ends_with("a5"));
}

#[test]
fn open_flows_keep_the_settings_of_their_admission_when_the_settings_change() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let mut stage = SchedulerProcess::start_with_control(&[&one, &two], &discovery);
    // Each forward arrives on a connection of its own, at either target.
    let connections = IncomingConnections::new(&[&one, &two]);
    let accept_forward = |id: &str| {
        let (name, mut connection) = connections.next();
        assert!(connection.receive().contains(id));
        connection.send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        name
    };
    let send_job = |stage: &SchedulerProcess, id: &str, class: &str| {
        let mut client = stage.connect();
        client.send(&job(class, id, "4.500"));
        (client, accept_forward(id))
    };
    let report_state = |stage: &SchedulerProcess, target: &str, id: &str, state: &str| {
        stage.call_back(&format!(r#"{{"id":"{id}","from":"{target}","state":"{state}","result":"{id}"}}"#));
    };
    let (mut idempotent, first_target) = send_job(&stage, "a1", "view");
    let (mut dropped_class, second_target) = send_job(&stage, "a2", "lodge");
    // Class `view` becomes at-most-once, `lodge` is replaced by `sign`, and all jobs get a single attempt.
    let view = r#"{"name":"view","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"idempotent"}"#;
    let at_most_once_view = view.replace("idempotent", "at_most_once");
    stage.reload(view, &at_most_once_view);
    stage.wait_for_log("configuration reloaded");
    stage.reload(r#""name":"lodge""#, r#""name":"sign""#);
    stage.wait_for_log("configuration reloaded");
    stage.reload(r#""max_attempts":2"#, r#""max_attempts":1"#);
    assert!(stage.wait_for_log("configuration reloaded").contains("0 classes"));
    // By its old rules the failed idempotent job is retried at the other target, although new jobs get only one
    // attempt.
    report_state(&stage, &first_target, "a1", "failed");
    report_state(&stage, &accept_forward("a1"), "a1", "done");
    assert!(idempotent.receive_response().ends_with("a1"));
    // The removed class is unknown to new requests, and its open job is answered.
    assert!(stage.request(&job("lodge", "a3", "3.000")).ends_with("unknown class"));
    report_state(&stage, &second_target, "a2", "done");
    assert!(dropped_class.receive_response().ends_with("a2"));
    // By the new rules a failed job of the changed class is not retried, because it may have run.
    let (mut at_most_once, third_target) = send_job(&stage, "b1", "view");
    report_state(&stage, &third_target, "b1", "failed");
    assert!(at_most_once.receive_response().starts_with("HTTP/1.1 502"));
    // An invalid configuration changes nothing.
    let config = stage.config().to_string();
    let invalid_configs = [
        String::new(),
        config[..config.len() / 2].to_string(),
        config.replacen(r#""give_up":5000000000,"#, "", 1).replacen(
            r#""name":"sign""#,
            r#""name":"other""#,
            1,
        ),
        config.replacen("5000000000", "0", 1),
        config.replacen(r#""max_attempts":1"#, r#""max_attempts":0"#, 1),
    ];
    let messages: Vec<String> = invalid_configs
        .iter()
        .map(|text| {
            stage.reload_with(text);
            let message = stage.wait_for_log("configuration: ");
            message.split(" at line").next().unwrap().to_string()
        })
        .collect();
    assert_snapshot!(messages.join("\n"), @"
    the file: EOF while parsing a value
    settings: EOF while parsing an object
    settings.classes[0].give_up: missing; keeping the active one
    settings.classes[0].give_up: 0 is no number above 0, and up to 86400000000000; keeping the active one
    settings.ceilings.max_attempts: 0 is no number above 0, and up to 1000; keeping the active one
    ");
    assert!(stage.request(&job("other", "c1", "3.000")).starts_with("HTTP/1.1 4"));
    send_job(&stage, "c2", "sign");
    assert_snapshot!(stage.counters(&["reloads", "reload_faults", "panics"]), @"reloads=3 reload_faults=5 panics=0");
}

/// The classes `view`, for which clients wait 1 s, and `lodge`, for which they wait 3 s.
const VIEW_OF_1_S_AND_LODGE_OF_3_S: [(&str, &str); 2] = [
    (r#""name":"view","aim":900000000,"give_up":5000000000"#, VIEW_OF_1_S),
    (r#""name":"lodge","aim":900000000,"give_up":5000000000"#, LODGE_OF_3_S),
];
const VIEW_OF_1_S: &str = r#""name":"view","aim":900000000,"give_up":1000000000"#;
const LODGE_OF_3_S: &str = r#""name":"lodge","aim":900000000,"give_up":3000000000"#;

/// After SIGTERM the process reckoned with the deadline of a class that a reload had dropped or changed, took jobs for too
/// long, and the kill found them unanswered. Also with requests of the old class open at the reload.
#[test]
fn a_shutdown_keeps_to_the_longest_deadline_in_force_after_a_reload() {
    /// The kill comes after the longest deadline and 0.7 s.
    const KILL: Duration = Duration::from_millis(1_000 + 700);
    let lodge_entry = format!(",\n{{{LODGE_OF_3_S},\"worth\":1.0,\"effect\":\"at_most_once\"}}");
    let shorter = lodge_entry.replace("3000000000", "1000000000");
    let replaced = shorter.replace("lodge", "sign");
    let changes = [("shorter", shorter), ("replaced", replaced), ("dropped", String::new())];
    std::thread::scope(|scope| {
        for ((change, new_entry), request_is_open) in
            changes.iter().flat_map(|change| [(change, false), (change, true)])
        {
            let lodge_entry = &lodge_entry;
            scope.spawn(move || {
                let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
                let mut scheduler = SchedulerProcess::start_with_changes(
                    &[&target],
                    &discovery,
                    &VIEW_OF_1_S_AND_LODGE_OF_3_S,
                );
                let (mut open, mut late) = (scheduler.connect(), scheduler.connect());
                let mut forward = None;
                if request_is_open {
                    open.send(&job("lodge", "a1", "3.000"));
                    forward.insert(target.accept()).receive();
                }
                late.send("GET /healthz HTTP/1.1\r\n\r\n");
                assert!(late.receive_response().ends_with("ready"));
                scheduler.reload(lodge_entry, new_entry);
                scheduler.wait_for_log("configuration reloaded");
                let terminated = Instant::now();
                scheduler.signal("TERM");
                std::thread::sleep(Duration::from_millis(1_000));
                late.send(&job("view", "a2", "1.000"));
                let answer = late.receive_response();
                assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
                assert!(
                    terminated.elapsed() < KILL,
                    "{change}, open {request_is_open}: answered after {:?}",
                    terminated.elapsed()
                );
            });
        }
    });
}

/// Ends the process by SIGTERM, and checks that it serves a job that is sent this much later on an open connection.
fn assert_serves_a_job_after_sigterm(scheduler: &SchedulerProcess, target: &Server, delay: Duration) {
    let mut late = scheduler.connect();
    late.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(late.receive_response().ends_with("ready"));
    scheduler.signal("TERM");
    std::thread::sleep(delay);
    late.send(&job("view", "a1", "1.000"));
    accept_and_serve(scheduler, target, "a1");
    assert!(late.receive_response().ends_with("a1"));
}

/// The same for a reload that makes the longest deadline longer: jobs are taken for as long as the kill allows.
#[test]
fn a_shutdown_takes_jobs_for_longer_after_a_reload_with_a_longer_deadline() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&target], &discovery, &VIEW_OF_1_S_AND_LODGE_OF_3_S);
    scheduler.reload(LODGE_OF_3_S, &LODGE_OF_3_S.replace("3000000000", "1000000000"));
    scheduler.wait_for_log("configuration reloaded");
    scheduler.reload(VIEW_OF_1_S, &VIEW_OF_1_S.replace("1000000000", "3000000000"));
    scheduler.wait_for_log("configuration reloaded");
    assert_serves_a_job_after_sigterm(&scheduler, &target, Duration::from_millis(2_000));
}

/// A scheduler that a reload had made the only one still left half of the time before the kill to other schedulers, and
/// refused what it could have served.
#[test]
fn a_shutdown_of_a_scheduler_that_a_reload_made_the_only_one_takes_jobs_to_the_last_moment() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let mut scheduler = SchedulerProcess::start_with_changes(
        &[&target],
        &discovery,
        &[("\"balancers\":1", "\"balancers\":2")],
    );
    scheduler.reload("\"balancers\":2", "\"balancers\":1");
    scheduler.wait_for_log("configuration reloaded");
    // Between half of the 3 s that count and the 3.3 s up to which the only scheduler takes jobs.
    assert_serves_a_job_after_sigterm(&scheduler, &target, Duration::from_millis(2_700));
}

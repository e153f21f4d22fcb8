//! Stories of staff who run the program day by day: its second address, workers out by hand, drains.

mod harness;

use harness::{HttpConnection, IncomingConnections, SchedulerProcess, Server, job, list, response};
use insta::assert_snapshot;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Serves a target's next job to its end.
fn serve(stage: &SchedulerProcess, target: &Server, id: &str) -> HttpConnection {
    let mut line = target.accept();
    finish(stage, target, &mut line, id);
    line
}

/// The same on a connection that is there.
fn finish(stage: &SchedulerProcess, target: &Server, line: &mut HttpConnection, id: &str) {
    assert!(line.receive().contains(id), "{id} does not come to {}", target.name);
    line.send(&response("202 Accepted", ""));
    done(stage, target, id);
}

fn done(stage: &SchedulerProcess, target: &Server, id: &str) {
    let name = &target.name;
    stage.call_back(&format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#));
}

#[test]
fn calls_are_answered_beside_callers_that_say_nothing_and_bad_ones_get_a_plain_no() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery);
    // Far more than there are seats: silent, half-said, and a byte at a time.
    let mut holders: Vec<HttpConnection> = Vec::new();
    for i in 0..60 {
        let mut line = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
        line.send(["", "GET /control/rea", "P"][i % 3]);
        holders.push(line);
    }
    let begun = Instant::now();
    let mut said = vec![stage.control_request("GET /control/ready")];
    // The answer comes at once, not when a holder's time is over.
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
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
        said.push(stage.control_request(call));
    }
    let mut pieces = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
    for byte in "GET /control/ready HTTP/1.1\r\nHost: h\r\n\r\n".chars() {
        pieces.send(&byte.to_string());
    }
    said.push(pieces.receive_response());
    assert!(pieces.wait_until_closed(), "one call a connection");
    let mut long = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
    long.send(&format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000)));
    said.push(long.receive_response());
    assert_snapshot!(said.join("\n"), @r#"
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
    // Clients' places are untouched.
    assert!(stage.request("GET /healthz HTTP/1.1\r\n\r\n").ends_with("ready"));
}

#[test]
fn a_worker_out_by_hand_gets_nothing_whatever_the_list_says_until_it_is_called_back() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let stage = SchedulerProcess::start_with_control(&[&one, &two], &discovery);
    let mut watch = discovery.accept();
    watch.receive();
    assert!(stage.control_request("PUT /control/workers/s-00000001/offline").starts_with("HTTP/1.1 200"));
    assert!(stage.control_request("PUT /control/workers/s-00000001/offline").starts_with("HTTP/1.1 200"));
    let mut at_two = None;
    let mut next = |id: &str| {
        let mut client = stage.connect();
        client.send(&job("view", id, "3.000"));
        match &mut at_two {
            None => at_two = Some(serve(&stage, &two, id)),
            Some(line) => finish(&stage, &two, line, id),
        }
        assert!(client.receive_response().ends_with(id));
    };
    for id in ["a1", "a2", "a3", "a4"] {
        next(id);
    }
    // Left, back with a later start, and a whole list that names it: the order holds.
    let back = one.entry("active").replace(r#""born_ms":0"#, r#""born_ms":5000"#);
    for (seq, (whole, entries)) in [
        (false, vec![one.entry("left")]),
        (false, vec![back.clone()]),
        (true, vec![back, two.entry("active")]),
    ]
    .into_iter()
    .enumerate()
    {
        watch.send(&response("200 OK", &list(seq as u32 + 2, whole, &entries)));
        watch.receive();
        next(&format!("b{seq}"));
        next(&format!("c{seq}"));
    }
    // All out: refused at once.
    assert!(
        stage
            .control_request("PUT /control/workers/s-00000002/offline")
            .contains(r#"["s-00000001","s-00000002"]"#)
    );
    let begun = Instant::now();
    assert!(stage.request(&job("lodge", "d1", "0.700")).starts_with("HTTP/1.1 503"));
    assert!(begun.elapsed() < Duration::from_secs(2));
    // One call back is enough, though two took it out.
    assert!(stage.control_request("PUT /control/workers/s-00000001/online").contains(r#"["s-00000002"]"#));
    let mut client = stage.connect();
    client.send(&job("lodge", "e1", "3.000"));
    serve(&stage, &one, "e1");
    assert!(client.receive_response().ends_with("e1"));
}

#[test]
fn a_drain_answers_what_is_open_closes_what_is_idle_and_is_over_at_a_word() {
    let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery);
    let health = || stage.request("GET /healthz HTTP/1.1\r\n\r\n");
    let (mut idle, mut silent, mut open) = (stage.connect(), stage.connect(), stage.connect());
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(idle.receive_response().ends_with("ready"));
    open.send(&job("lodge", "a1", "4.500"));
    let mut held = target.accept();
    held.receive();
    held.send(&response("202 Accepted", ""));
    let begun = Instant::now();
    assert!(stage.control_request("PUT /control/out-of-service").contains(r#""service":"draining""#));
    assert!(health().starts_with("HTTP/1.1 503"));
    // A client whose connection was on its way is served, and told to leave.
    let mut late = stage.connect();
    late.send(&job("view", "a2", "3.000"));
    finish(&stage, &target, &mut held, "a2");
    assert!(late.receive().starts_with("HTTP/1.1 200"));
    assert!(idle.wait_until_closed() && silent.wait_until_closed());
    assert!(begun.elapsed() < Duration::from_millis(3500), "{:?}", begun.elapsed());
    // What comes all the same hears a refusal, and what is open its answer.
    assert!(stage.request(&job("view", "a3", "3.000")).starts_with("HTTP/1.1 503"));
    done(&stage, &target, "a1");
    let text = open.receive();
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("Connection: close"), "{text}");
    assert!(stage.control_request("PUT /control/in-service").contains(r#""service":"in""#));
    assert!(health().ends_with("ready"));
    let mut again = stage.connect();
    again.send(&job("view", "a4", "3.000"));
    // The module had the idle connections closed once two jobs were over.
    let mut held = serve(&stage, &target, "a4");
    assert!(again.receive_response().ends_with("a4"));
    // Put back in the midst of a drain, it serves on.
    stage.control_request("PUT /control/out-of-service");
    stage.control_request("PUT /control/in-service");
    again.send(&job("view", "a5", "3.000"));
    finish(&stage, &target, &mut held, "a5");
    assert!(again.receive_response().ends_with("a5"));
}

#[test]
fn open_flows_keep_the_rules_they_were_taken_under_when_the_settings_change() {
    let (discovery, one, two) = (Server::new("d"), Server::new("s-00000001"), Server::new("s-00000002"));
    let mut stage = SchedulerProcess::start_with_control(&[&one, &two], &discovery);
    // Each forward comes on a connection of its own, to whichever target.
    let comers = IncomingConnections::new(&[&one, &two]);
    let accept = |id: &str| {
        let (name, mut line) = comers.next();
        assert!(line.receive().contains(id));
        line.send("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        name
    };
    let taken = |stage: &SchedulerProcess, id: &str, class: &str| {
        let mut client = stage.connect();
        client.send(&job(class, id, "4.500"));
        (client, accept(id))
    };
    let ends = |stage: &SchedulerProcess, target: &str, id: &str, state: &str| {
        stage.call_back(&format!(r#"{{"id":"{id}","from":"{target}","state":"{state}","result":"{id}"}}"#));
    };
    let (mut safe, at) = taken(&stage, "a1", "view");
    let (mut once, elsewhere) = taken(&stage, "a2", "lodge");
    // Safe jobs become such as may run once, with one attempt for all; the other class goes, a new one comes.
    let view = r#"{"name":"view","aim":900000000,"give_up":5000000000,"worth":1.0,"effect":"idempotent"}"#;
    let changed = view.replace("idempotent", "at_most_once");
    stage.reload(view, &changed);
    stage.wait_for_log("configuration reloaded");
    stage.reload(r#""name":"lodge""#, r#""name":"sign""#);
    stage.wait_for_log("configuration reloaded");
    stage.reload(r#""max_attempts":2"#, r#""max_attempts":1"#);
    assert!(stage.wait_for_log("configuration reloaded").contains("0 classes"));
    // By the old rules a failed safe job goes to the other target, though attempts are fewer now.
    ends(&stage, &at, "a1", "failed");
    ends(&stage, &accept("a1"), "a1", "done");
    assert!(safe.receive_response().ends_with("a1"));
    // The dropped class is unknown to new requests, and its open job has its answer.
    assert!(stage.request(&job("lodge", "a3", "3.000")).ends_with("unknown class"));
    ends(&stage, &elsewhere, "a2", "done");
    assert!(once.receive_response().ends_with("a2"));
    // By the new rules a failed job of the changed class, which may have run, is over.
    let (mut now, there) = taken(&stage, "b1", "view");
    ends(&stage, &there, "b1", "failed");
    assert!(now.receive_response().starts_with("HTTP/1.1 502"));
    // What cannot be worked with changes nothing, whole.
    let config = stage.config().to_string();
    let faults = [
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
    let said: Vec<String> = faults
        .iter()
        .map(|text| {
            stage.reload_with(text);
            let said = stage.wait_for_log("configuration: ");
            said.split(" at line").next().unwrap().to_string()
        })
        .collect();
    assert_snapshot!(said.join("\n"), @"
    the file: EOF while parsing a value
    settings: EOF while parsing an object
    settings.classes[0].give_up: missing; keeping the active one
    settings.classes[0].give_up: 0 is no number above 0, and up to 86400000000000; keeping the active one
    settings.ceilings.max_attempts: 0 is no number above 0, and up to 1000; keeping the active one
    ");
    assert!(stage.request(&job("other", "c1", "3.000")).starts_with("HTTP/1.1 4"));
    taken(&stage, "c2", "sign");
    assert_snapshot!(stage.counters(&["reloads", "reload_faults", "panics"]), @"reloads=3 reload_faults=5 panics=0");
}

//! Answers of the program at its listening address and at the address for staff.

use crate::golden;
use crate::harness::{AgentMode, DiscoveryAgent, HttpConnection, SchedulerProcess, Server, job, response};
use std::net::TcpStream;

/// Adds a message under a heading.
fn add(text: &mut String, heading: &str, message: &str) {
    *text += &format!("== {heading}\n{}\n", golden::visible(message.as_bytes()));
}

/// A worker's word on a job.
fn call_back(id: &str, state: &str) -> String {
    let body = format!(r#"{{"id":"{id}","from":"s-00000001","state":"{state}","result":"re\"sult é"}}"#);
    let length = body.len();
    format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A job of a class.
fn good_job(class: &str, id: &str) -> String {
    job(class, id, "3.000")
}

/// Every answer to a request that is not a job, or not a good one.
#[test]
fn answers_to_requests_that_are_no_jobs_stay() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start(&[&target], &discovery.server);
    let good = good_job("view", "a1");
    let long = format!("GET /healthz HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000));
    let requests = [
        ("health", "GET /healthz HTTP/1.1\r\n\r\n".to_string()),
        ("health, to be closed", "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n".into()),
        ("health, HTTP/1.0", "GET /healthz HTTP/1.0\r\n\r\n".into()),
        ("health, HTTP/1.0 kept", "GET /healthz HTTP/1.0\r\nConnection: keep-alive\r\n\r\n".into()),
        ("health, another method", "POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into()),
        ("no HTTP", "no http at all\r\n\r\n".into()),
        ("two lengths", good.replace("Length: 2", "Length: 2\r\nContent-Length: 2")),
        ("a long head", long),
        ("a long body", "POST /view/1 HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".into()),
        ("an unknown path", "GET /nowhere HTTP/1.1\r\n\r\n".into()),
        ("another method", good.replace("POST", "GET")),
        ("an unknown class", good.replace("Class: view", "Class: other")),
        ("another class than the path's", good.replace("Class: view", "Class: lodge")),
        ("no id", good.replace("X-Correlation-Id: a1\r\n", "")),
        ("a bad id", good.replace("Id: a1", "Id: a/1")),
        ("a bad time", good.replace("3.000", "soon")),
        ("a header twice", good.replace("X-Time-Left: 3.000", "X-Time-Left: 3.000\r\nX-Time-Left: 4.000")),
        ("a call-back by another method", "GET /v1/job-events HTTP/1.1\r\n\r\n".into()),
        ("a bad call-back", "POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}".into()),
        ("a call-back for a job that is not known", call_back("zz", "started")),
    ];
    let mut text = String::new();
    for (heading, request) in requests {
        let mut line = stage.connect();
        line.send(&request);
        add(&mut text, heading, &line.receive());
    }
    let mut expects = stage.connect();
    expects.send("POST /view/1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    add(&mut text, "a body that is asked for", &expects.receive());
    // It says no more: it is answered when the time for a request is over.
    let mut half = stage.connect();
    half.send("POST /view/1 HT");
    add(&mut text, "a request that does not end", &half.receive());
    assert!(half.wait_until_closed());
    golden::check("answers-no-jobs.txt", text.as_bytes());
}

/// Every answer to a job: served, failed, refused for room, refused for want of workers.
#[test]
fn answers_to_jobs_stay() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let changes = [("\"max_attempts\":2", "\"max_open\":1,\"max_attempts\":2")];
    let stage = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &changes);
    let mut text = String::new();
    let (mut client, mut other) = (stage.connect(), stage.connect());
    client.send(&good_job("view", "a1"));
    let mut worker = target.accept();
    worker.receive();
    other.send(&good_job("view", "a1"));
    add(&mut text, "an id that is in use", &other.receive());
    other.send(&good_job("view", "a2"));
    add(&mut text, "no room", &other.receive());
    worker.send(&response("202 Accepted", ""));
    let mut calls_back = stage.connect();
    calls_back.send(&call_back("a1", "done"));
    add(&mut text, "a call-back", &calls_back.receive());
    add(&mut text, "served, kept", &client.receive());
    client.send(&good_job("view", "a3").replace("Host: h", "Host: h\r\nConnection: close"));
    worker.receive();
    worker.send(&response("404 Not Found", "no"));
    add(&mut text, "failed, closed", &client.receive());
    assert!(client.wait_until_closed());
    golden::check("answers-jobs.txt", text.as_bytes());
}

/// Out of service: health says so, and jobs are refused with a time to come back once they are taken no more.
#[test]
fn answers_of_a_drained_program_stay() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let mut text = String::new();
    stage.control_request("PUT /control/workers/s-00000001/offline");
    let mut client = stage.connect();
    client.send(&good_job("lodge", "a1"));
    let refused = golden::mask_number_after(&client.receive(), "Retry-After: ");
    add(&mut text, "refused: no worker", &refused);
    stage.control_request("PUT /control/out-of-service");
    let mut line = stage.connect();
    line.send("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    add(&mut text, "health", &line.receive());
    let mut last = String::new();
    crate::harness::wait_until("jobs are taken no more", || {
        let mut line = stage.connect();
        line.send(&good_job("lodge", "b1"));
        last = line.receive();
        last.contains("no room")
    });
    add(&mut text, "a job", &last);
    golden::check("answers-drained.txt", text.as_bytes());
}

/// Every answer at the address for staff.
#[test]
fn answers_to_staff_stay() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let mut stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let ask = |stage: &SchedulerProcess, request: &str| {
        let mut line = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
        line.send(request);
        let answer = line.receive();
        assert!(line.wait_until_closed(), "one call a connection");
        answer
    };
    let mut text = String::new();
    for call in [
        "GET /control/ready",
        "PUT /control/ready",
        "PUT /control/workers/s-00000001/offline",
        "PUT /control/workers/s-00000001/online",
        "GET /control/workers/s-00000001/online",
        "PUT /control/workers/nobody/offline",
        "PUT /control/workers/%zz/online",
        "GET /control/tier",
        "PUT /control/tier/settings",
        "PUT /control/tier/settings/x",
        "PUT /control/out-of-service",
        "PUT /control/in-service",
        "GET /healthz",
    ] {
        add(&mut text, call, &ask(&stage, &format!("{call} HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    add(&mut text, "no HTTP", &ask(&stage, "no http at all\r\n\r\n"));
    let long = format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000));
    add(&mut text, "a long head", &ask(&stage, &long));
    add(
        &mut text,
        "a long body",
        &ask(&stage, "PUT /control/in-service HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
    );
    add(&mut text, "a call that does not end", &ask(&stage, "GET /control/rea"));
    // A job that is not answered keeps the program there while it ends.
    let mut client = stage.connect();
    client.send(&good_job("lodge", "a1"));
    let _worker = target.accept();
    stage.signal("TERM");
    stage.wait_for_log("asked to end");
    add(&mut text, "ready, while it ends", &ask(&stage, "GET /control/ready HTTP/1.1\r\n\r\n"));
    drop(client);
    assert!(stage.wait_for_exit());
    golden::check("answers-staff.txt", text.as_bytes());
}

//! Golden files of the answers at the clients' listener and at the control listener.

use crate::golden;
use crate::harness::{AgentMode, DiscoveryAgent, HttpConnection, SchedulerProcess, Server, job, response};
use std::net::TcpStream;

/// Appends a message under a heading.
fn append_section(text: &mut String, heading: &str, message: &str) {
    *text += &format!("== {heading}\n{}\n", golden::visible(message.as_bytes()));
}

/// Returns a worker's call-back for a job.
fn call_back_request(id: &str, state: &str) -> String {
    let body = format!(r#"{{"id":"{id}","from":"s-00000001","state":"{state}","result":"re\"sult é"}}"#);
    let length = body.len();
    format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns a valid job of a class.
fn valid_job(class: &str, id: &str) -> String {
    job(class, id, "3.000")
}

/// Covers requests other than jobs, and invalid jobs.
#[test]
fn answers_to_invalid_and_other_requests_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start(&[&target], &discovery.server);
    let valid = valid_job("view", "a1");
    let oversized = format!("GET /healthz HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000));
    let requests = [
        ("health", "GET /healthz HTTP/1.1\r\n\r\n".to_string()),
        ("health, to be closed", "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n".into()),
        ("health, HTTP/1.0", "GET /healthz HTTP/1.0\r\n\r\n".into()),
        ("health, HTTP/1.0 kept", "GET /healthz HTTP/1.0\r\nConnection: keep-alive\r\n\r\n".into()),
        ("health, another method", "POST /healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into()),
        ("no HTTP", "no http at all\r\n\r\n".into()),
        ("two lengths", valid.replace("Length: 2", "Length: 2\r\nContent-Length: 2")),
        ("a long head", oversized),
        ("a long body", "POST /view/1 HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".into()),
        ("an unknown path", "GET /nowhere HTTP/1.1\r\n\r\n".into()),
        ("another method", valid.replace("POST", "GET")),
        ("an unknown class", valid.replace("Class: view", "Class: other")),
        ("another class than the path's", valid.replace("Class: view", "Class: lodge")),
        ("no id", valid.replace("X-Correlation-Id: a1\r\n", "")),
        ("a bad id", valid.replace("Id: a1", "Id: a/1")),
        ("a bad time", valid.replace("3.000", "soon")),
        ("a header twice", valid.replace("X-Time-Left: 3.000", "X-Time-Left: 3.000\r\nX-Time-Left: 4.000")),
        ("a call-back by another method", "GET /v1/job-events HTTP/1.1\r\n\r\n".into()),
        ("a bad call-back", "POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}".into()),
        ("a call-back for a job that is not known", call_back_request("zz", "started")),
    ];
    let mut text = String::new();
    for (heading, request) in requests {
        let mut connection = stage.connect();
        connection.send(&request);
        append_section(&mut text, heading, &connection.receive());
    }
    let mut awaiting_continue = stage.connect();
    awaiting_continue.send("POST /view/1 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    append_section(&mut text, "a body that is asked for", &awaiting_continue.receive());
    // The rest never arrives, so the request is answered when it times out.
    let mut incomplete = stage.connect();
    incomplete.send("POST /view/1 HT");
    append_section(&mut text, "a request that does not end", &incomplete.receive());
    assert!(incomplete.wait_until_closed());
    golden::check("answers-no-jobs.txt", text.as_bytes());
}

/// Covers served, failed and rejected jobs, and a call-back.
#[test]
fn answers_to_jobs_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let changes = [("\"max_attempts\":2", "\"max_open\":1,\"max_attempts\":2")];
    let stage = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &changes);
    let mut text = String::new();
    let (mut client, mut other) = (stage.connect(), stage.connect());
    client.send(&valid_job("view", "a1"));
    let mut worker = target.accept();
    worker.receive();
    other.send(&valid_job("view", "a1"));
    append_section(&mut text, "an id that is in use", &other.receive());
    other.send(&valid_job("view", "a2"));
    append_section(&mut text, "no room", &other.receive());
    worker.send(&response("202 Accepted", ""));
    let mut call_back_connection = stage.connect();
    call_back_connection.send(&call_back_request("a1", "done"));
    append_section(&mut text, "a call-back", &call_back_connection.receive());
    append_section(&mut text, "served, kept", &client.receive());
    client.send(&valid_job("view", "a3").replace("Host: h", "Host: h\r\nConnection: close"));
    worker.receive();
    worker.send(&response("404 Not Found", "no"));
    append_section(&mut text, "failed, closed", &client.receive());
    assert!(client.wait_until_closed());
    golden::check("answers-jobs.txt", text.as_bytes());
}

/// Covers a job without an available worker, the health check during a drain, and a job after the drain period.
#[test]
fn answers_of_a_drained_program_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let mut text = String::new();
    stage.control_request("PUT /control/workers/s-00000001/offline");
    let mut client = stage.connect();
    client.send(&valid_job("lodge", "a1"));
    let rejection = golden::mask_number_after(&client.receive(), "Retry-After: ");
    append_section(&mut text, "refused: no worker", &rejection);
    stage.control_request("PUT /control/out-of-service");
    let mut connection = stage.connect();
    connection.send("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
    append_section(&mut text, "health", &connection.receive());
    let mut last_answer = String::new();
    crate::harness::wait_until("jobs are rejected", || {
        let mut connection = stage.connect();
        connection.send(&valid_job("lodge", "b1"));
        last_answer = connection.receive();
        last_answer.contains("no room")
    });
    append_section(&mut text, "a job", &last_answer);
    golden::check("answers-drained.txt", text.as_bytes());
}

/// Covers every kind of call at the control listener.
#[test]
fn answers_of_the_control_listener_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let mut stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let send_call = |stage: &SchedulerProcess, request: &str| {
        let mut connection = HttpConnection::new(TcpStream::connect(stage.control).unwrap());
        connection.send(request);
        let answer = connection.receive();
        assert!(connection.wait_until_closed(), "the connection stays open after a call");
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
        append_section(&mut text, call, &send_call(&stage, &format!("{call} HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    append_section(&mut text, "no HTTP", &send_call(&stage, "no http at all\r\n\r\n"));
    let oversized = format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(17_000));
    append_section(&mut text, "a long head", &send_call(&stage, &oversized));
    append_section(
        &mut text,
        "a long body",
        &send_call(&stage, "PUT /control/in-service HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
    );
    append_section(&mut text, "a call that does not end", &send_call(&stage, "GET /control/rea"));
    // An unanswered job keeps the program running during the shutdown.
    let mut client = stage.connect();
    client.send(&valid_job("lodge", "a1"));
    let _worker = target.accept();
    stage.signal("TERM");
    stage.wait_for_log("asked to end");
    append_section(
        &mut text,
        "ready, while it ends",
        &send_call(&stage, "GET /control/ready HTTP/1.1\r\n\r\n"),
    );
    drop(client);
    assert!(stage.wait_for_exit());
    golden::check("answers-staff.txt", text.as_bytes());
}

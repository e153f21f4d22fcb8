//! Golden files of the requests to workers and to discovery.

use crate::golden;
use crate::harness::{
    AgentMode, DiscoveryAgent, HttpConnection, SchedulerProcess, Server, job, list, response,
};

/// Masks the receiver's address and the time left in a message.
fn mask_message(message: &str, server: &Server) -> String {
    let message = message.replace(&server.address().to_string(), &format!("<{}>", server.name));
    golden::visible(golden::mask_number_after(&message, "X-Time-Left: ").as_bytes())
}

/// Returns a job with every header that is forwarded, and one that is not.
fn full_job() -> String {
    job("view", "a1", "3.000").replace(
        "Content-Length: 2",
        "Idempotency-Key: k1\r\nContent-Type: text/plain\r\nX-Account: acme\r\nX-Facts: slots=1\r\n\
         X-Weight-Hint: 1000\r\nX-Repeat: 1\r\nX-Other: o\r\nContent-Length: 2",
    )
}

#[test]
fn requests_to_a_worker_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start(&[&target], &discovery.server);
    let mut text = String::new();
    let mut append_section =
        |heading: &str, message: &str| text += &format!("== {heading}\n{}\n", mask_message(message, &target));
    let mut client = stage.connect();
    client.send(&full_job());
    let mut worker = target.accept();
    append_section("a job with all that is passed on", &worker.receive());
    worker.send(&response("202 Accepted", ""));
    stage.call_back(r#"{"id":"a1","from":"s-00000001","state":"done","result":"r"}"#);
    client.receive();
    client.send(&job("lodge", "a2", "3.000").replace("/lodge/7f", "/lodge/7f?x=1"));
    append_section("a plain job, over the same connection", &worker.receive());
    worker.send(&response("202 Accepted", ""));
    stage.wait_for_counters("undone=0 call_backs=1");
    // The client disconnects, so the job is cancelled by a request.
    client.send_and_close("");
    append_section("a job that is given up", &worker.receive());
    golden::check("worker-requests.txt", text.as_bytes());
}

/// Covers a probe, with settings that permit probes and report loads only with them.
#[test]
fn probes_of_a_worker_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let changes =
        [("\"may_tell\":true", "\"may_tell\":true,\"probing\":true"), ("\"inline\"", "\"on_probe\"")];
    let stage = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &changes);
    let mut client = stage.connect();
    client.send(&job("view", "a1", "3.000"));
    let connections = crate::harness::IncomingConnections::new(&[&target]);
    let probe = loop {
        let (_, mut connection) = connections.next();
        let request = connection.receive();
        if request.starts_with("GET ") {
            break request;
        }
    };
    let text = format!("== a probe\n{}\n", mask_message(&probe, &target));
    golden::check("worker-probes.txt", text.as_bytes());
}

#[test]
fn requests_to_discovery_match_the_golden_file() {
    let (first, second) = (Server::new("d1"), Server::new("d2"));
    let target = Server::new("s-00000001");
    let mut stage = SchedulerProcess::start(&[], &first);
    let mut text = String::new();
    let mut connection = first.accept();
    text += &format!("== the first call\n{}\n", mask_message(&connection.receive(), &first));
    connection.send(&response("200 OK", &list(2, true, &[target.entry("active")])));
    text += &format!("== the watch\n{}\n", mask_message(&connection.receive(), &first));
    connection.send(&response("200 OK", &list(3, false, &[target.entry("leaving")])));
    text += &format!("== the next watch\n{}\n", mask_message(&connection.receive(), &first));
    // Reloading the same file requests the complete list.
    stage.reload("", "");
    let mut connection_after_reload: HttpConnection = first.accept();
    text += &format!("== after a reload\n{}\n", mask_message(&connection_after_reload.receive(), &first));
    connection_after_reload.send(&response("200 OK", &list(3, true, &[target.entry("active")])));
    connection_after_reload.receive();
    let (first_address, second_address) = (first.address().to_string(), second.address().to_string());
    stage.reload(&first_address, &second_address);
    text += &format!(
        "== after a reload that names another\n{}\n",
        mask_message(&second.accept().receive(), &second)
    );
    // Starts without an initial list.
    let third = Server::new("d3");
    let stage = SchedulerProcess::start_with_changes(
        &[],
        &third,
        &[(r#""known":{"seq":1,"whole":true,"hosts":[]},"#, "")],
    );
    text +=
        &format!("== the first call without a list\n{}\n", mask_message(&third.accept().receive(), &third));
    drop(stage);
    golden::check("discovery-requests.txt", text.as_bytes());
}

//! What the program sends to workers and to discovery.

use crate::golden;
use crate::harness::{
    AgentMode, DiscoveryAgent, HttpConnection, SchedulerProcess, Server, job, list, response,
};

/// A message with the address of its receiver and the time left masked.
fn masked(message: &str, server: &Server) -> String {
    let message = message.replace(&server.address().to_string(), &format!("<{}>", server.name));
    golden::visible(golden::mask_number_after(&message, "X-Time-Left: ").as_bytes())
}

/// A job with all headers that are passed on, and one that are not.
fn full_job() -> String {
    job("view", "a1", "3.000").replace(
        "Content-Length: 2",
        "Idempotency-Key: k1\r\nContent-Type: text/plain\r\nX-Account: acme\r\nX-Facts: slots=1\r\n\
         X-Weight-Hint: 1000\r\nX-Repeat: 1\r\nX-Other: o\r\nContent-Length: 2",
    )
}

#[test]
fn what_a_worker_is_sent_stays() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start(&[&target], &discovery.server);
    let mut text = String::new();
    let mut add =
        |heading: &str, message: &str| text += &format!("== {heading}\n{}\n", masked(message, &target));
    let mut client = stage.connect();
    client.send(&full_job());
    let mut worker = target.accept();
    add("a job with all that is passed on", &worker.receive());
    worker.send(&response("202 Accepted", ""));
    stage.call_back(r#"{"id":"a1","from":"s-00000001","state":"done","result":"r"}"#);
    client.receive();
    client.send(&job("lodge", "a2", "3.000").replace("/lodge/7f", "/lodge/7f?x=1"));
    add("a plain job, over the same connection", &worker.receive());
    worker.send(&response("202 Accepted", ""));
    stage.wait_for_counters("undone=0 call_backs=1");
    // The client goes: the job is given up by a call.
    client.send_and_close("");
    add("a job that is given up", &worker.receive());
    golden::check("worker-requests.txt", text.as_bytes());
}

/// The look at a worker's load, where the settings permit it and workers report when they are asked.
#[test]
fn what_a_worker_is_probed_with_stays() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let changes =
        [("\"may_tell\":true", "\"may_tell\":true,\"probing\":true"), ("\"inline\"", "\"on_probe\"")];
    let stage = SchedulerProcess::start_with_changes(&[&target], &discovery.server, &changes);
    let mut client = stage.connect();
    client.send(&job("view", "a1", "3.000"));
    let comers = crate::harness::IncomingConnections::new(&[&target]);
    let probe = loop {
        let (_, mut line) = comers.next();
        let heard = line.receive();
        if heard.starts_with("GET ") {
            break heard;
        }
    };
    let text = format!("== a probe\n{}\n", masked(&probe, &target));
    golden::check("worker-probes.txt", text.as_bytes());
}

#[test]
fn what_discovery_is_asked_stays() {
    let (first, second) = (Server::new("d1"), Server::new("d2"));
    let target = Server::new("s-00000001");
    let mut stage = SchedulerProcess::start(&[], &first);
    let mut text = String::new();
    let mut line = first.accept();
    text += &format!("== the first call\n{}\n", masked(&line.receive(), &first));
    line.send(&response("200 OK", &list(2, true, &[target.entry("active")])));
    text += &format!("== the watch\n{}\n", masked(&line.receive(), &first));
    line.send(&response("200 OK", &list(3, false, &[target.entry("leaving")])));
    text += &format!("== the next watch\n{}\n", masked(&line.receive(), &first));
    // The same file again: the whole list is asked for.
    stage.reload("", "");
    let mut again: HttpConnection = first.accept();
    text += &format!("== after a reload\n{}\n", masked(&again.receive(), &first));
    again.send(&response("200 OK", &list(3, true, &[target.entry("active")])));
    again.receive();
    let (old, new) = (first.address().to_string(), second.address().to_string());
    stage.reload(&old, &new);
    text +=
        &format!("== after a reload that names another\n{}\n", masked(&second.accept().receive(), &second));
    // A program that knows no list yet.
    let third = Server::new("d3");
    let stage = SchedulerProcess::start_with_changes(
        &[],
        &third,
        &[(r#""known":{"seq":1,"whole":true,"hosts":[]},"#, "")],
    );
    text += &format!("== the first call without a list\n{}\n", masked(&third.accept().receive(), &third));
    drop(stage);
    golden::check("discovery-requests.txt", text.as_bytes());
}

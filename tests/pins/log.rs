//! The log: lines for people and for machines, and the counters in them.

use crate::golden;
use crate::harness::{AgentMode, DiscoveryAgent, SchedulerProcess, Server, job, response};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// The names of the counters in their order, with the words between them; their values are another test's matter. Counters
/// that are new stand at the end of their group.
#[test]
fn the_counters_keep_their_names_and_their_order() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    stage.control_request("PUT /control/ready");
    stage.signal("USR1");
    let line = stage.wait_for_log("counters: ");
    let words = line.split(' ').map(|word| match word.split_once('=') {
        Some((name, value)) => format!("{name}={}", if value.ends_with(';') { ";" } else { "" }),
        None => word.to_string(),
    });
    let words: Vec<String> = words.collect();
    golden::check("counters.txt", (words.join(" ") + "\n").as_bytes());
}

/// What the log says of calls of staff, in lines for people.
#[test]
fn lines_on_calls_of_staff_stay() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let (_, first) = stage.first_log_line.split_once(' ').unwrap();
    let mut text = format!("<time> {}\n", first.replace(&stage.address.to_string(), "<listen>"));
    for call in ["workers/s-00000001/offline", "workers/s-00000001/online", "out-of-service", "in-service"] {
        for _ in 0..2 {
            stage.control_request(&format!("PUT /control/{call}"));
            // The name of the module stands before the message, and may be the same word.
            let said = stage.wait_for_log("control: ");
            text += &format!("control: {}\n", said.trim_start_matches("control: "));
        }
    }
    golden::check("log-staff.txt", text.as_bytes());
}

/// A line with its time, its measured figures and the address masked; all else stays byte for byte.
fn masked(line: &str, at: &str) -> String {
    let (start, rest) = line.split_once("\"timestamp\":\"").unwrap();
    let (_, rest) = rest.split_once('"').unwrap();
    let line = format!("{start}\"timestamp\":\"<time>\"{rest}").replace(at, "<listen>");
    golden::mask_number_after(&line, "\"latency_us\":")
}

/// A job's life in the log at level `debug`, one JSON object a line.
#[test]
fn json_lines_keep_their_shape() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    // A scheduler process of its own has the configuration written; another process runs by it with the operator file.
    let known = SchedulerProcess::start(&[&target], &discovery.server);
    let files = tempfile::tempdir().unwrap();
    let (config, operator) = (files.path().join("config.json"), files.path().join("loomlb.toml"));
    std::fs::write(&config, known.config()).unwrap();
    std::fs::write(&operator, "[log]\nformat = \"json\"\nlevel = \"off,loomlb_scheduler=debug\"\n").unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomlb"))
        .args(["serve", "-c", config.to_str().unwrap(), "-o", operator.to_str().unwrap()])
        .env_clear()
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut all = Vec::new();
    let mut next = |words: &str| loop {
        let line = lines.next().unwrap();
        all.push(line.clone());
        if line.contains(words) {
            return line;
        }
    };
    let first: Value = serde_json::from_str(&next("serves at ")).unwrap();
    let at = first["message"].as_str().unwrap().split_once("serves at ").unwrap().1.to_string();
    let mut client = crate::harness::HttpConnection::new(std::net::TcpStream::connect(&at).unwrap());
    client.send(&job("view", "a1", "3.000").replace("Host: h", "Host: h\r\nX-Account: acme"));
    let mut worker = target.accept();
    worker.receive();
    worker.send(&response("202 Accepted", ""));
    next("\"forwarded\"");
    let body = r#"{"id":"a1","from":"s-00000001","state":"done","result":"r"}"#;
    let mut calls_back = crate::harness::HttpConnection::new(std::net::TcpStream::connect(&at).unwrap());
    let length = body.len();
    calls_back.send(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"));
    client.receive();
    next("\"ended\"");
    let _ = child.kill();
    let _ = child.wait();
    // Lines that tell of the list may come between any two of the job's.
    let job = |line: &&String| line.contains("\"flow\":") || line.contains("serves at");
    let text: String = all.iter().filter(job).map(|line| masked(line, &at) + "\n").collect();
    golden::check("log-lines.txt", text.as_bytes());
}

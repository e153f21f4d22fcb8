//! Golden files of the log: text lines, JSON lines, and the counters.

use crate::golden;
use crate::harness::{AgentMode, DiscoveryAgent, SchedulerProcess, Server, job, response};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Covers the names and the order of the counters and the words between them, but not their values. New counters are
/// added at the end of their group.
#[test]
fn names_and_order_of_counters_match_the_golden_file() {
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

/// Covers the text log lines of control calls.
#[test]
fn log_lines_of_control_calls_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    let stage = SchedulerProcess::start_with_control(&[&target], &discovery.server);
    let (_, startup_message) = stage.first_log_line.split_once(' ').unwrap();
    let mut text = format!("<time> {}\n", startup_message.replace(&stage.address.to_string(), "<listen>"));
    for call in ["workers/s-00000001/offline", "workers/s-00000001/online", "out-of-service", "in-service"] {
        for _ in 0..2 {
            stage.control_request(&format!("PUT /control/{call}"));
            // The log target precedes the message, and may be the same word.
            let message = stage.wait_for_log("control: ");
            text += &format!("control: {}\n", message.trim_start_matches("control: "));
        }
    }
    golden::check("log-staff.txt", text.as_bytes());
}

/// Masks the timestamp, the latency and the listening address in a JSON log line.
fn mask_line(line: &str, address: &str) -> String {
    let (start, rest) = line.split_once("\"timestamp\":\"").unwrap();
    let (_, rest) = rest.split_once('"').unwrap();
    let line = format!("{start}\"timestamp\":\"<time>\"{rest}").replace(address, "<listen>");
    golden::mask_number_after(&line, "\"latency_us\":")
}

/// Covers the log lines of one job at level `debug`, each a JSON object.
#[test]
fn json_log_lines_match_the_golden_file() {
    let target = Server::new("s-00000001");
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[target.entry("active")]);
    // This stage only provides a configuration; the process under test uses it with an operator file.
    let config_source = SchedulerProcess::start(&[&target], &discovery.server);
    let files = tempfile::tempdir().unwrap();
    let (config, operator) = (files.path().join("config.json"), files.path().join("loomlb.toml"));
    std::fs::write(&config, config_source.config()).unwrap();
    std::fs::write(&operator, "[log]\nformat = \"json\"\nlevel = \"off,loomlb_scheduler=debug\"\n").unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_loomlb"))
        .args(["serve", "-c", config.to_str().unwrap(), "-o", operator.to_str().unwrap()])
        .env_clear()
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut log_lines = Vec::new();
    let mut read_until = |words: &str| loop {
        let line = lines.next().unwrap();
        log_lines.push(line.clone());
        if line.contains(words) {
            return line;
        }
    };
    let startup: Value = serde_json::from_str(&read_until("serves at ")).unwrap();
    let address = startup["message"].as_str().unwrap().split_once("serves at ").unwrap().1.to_string();
    let mut client = crate::harness::HttpConnection::new(std::net::TcpStream::connect(&address).unwrap());
    client.send(&job("view", "a1", "3.000").replace("Host: h", "Host: h\r\nX-Account: acme"));
    let mut worker = target.accept();
    worker.receive();
    worker.send(&response("202 Accepted", ""));
    read_until("\"forwarded\"");
    let body = r#"{"id":"a1","from":"s-00000001","state":"done","result":"r"}"#;
    let mut call_back_connection =
        crate::harness::HttpConnection::new(std::net::TcpStream::connect(&address).unwrap());
    let length = body.len();
    call_back_connection
        .send(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"));
    client.receive();
    read_until("\"ended\"");
    let _ = child.kill();
    let _ = child.wait();
    // Log lines about the worker list may appear between those of the job.
    let belongs_to_job = |line: &&String| line.contains("\"flow\":") || line.contains("serves at");
    let text: String =
        log_lines.iter().filter(belongs_to_job).map(|line| mask_line(line, &address) + "\n").collect();
    golden::check("log-lines.txt", text.as_bytes());
}

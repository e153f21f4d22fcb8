//! A client sends many commands at once on one connection, more bytes than the scheduler keeps. Each is owed its answer.
mod common;
use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// Commands that the client sends at once, and the size of a body.
const COMMANDS: usize = 20;
const BODY: usize = 1000;
/// How long a job runs, in seconds, so that all end well within their time one after the other.
const RUN: f64 = 0.1;
/// How long the client waits for each answer, in seconds.
const TIME: f64 = 5.0;
/// After its time an answer only earns nothing for half a second, and every limit is 50 ms longer on sockets.
const LATE: f64 = 0.5 + 0.05;

fn request(id: &str, left: f64) -> String {
    let body = "x".repeat(BODY);
    job("view", id, left).replace("Content-Length: 8\r\n", &format!("Content-Length: {BODY}\r\n")).replace(&format!("job {id}"), &body)
}

/// Sends these commands at once on a new connection and reads answers to them until the connection ends. Returns how many came.
fn send_at_once(record: &Record, listen: std::net::SocketAddr, ids: &[String], until: Instant, one_by_one: bool) -> usize {
    let Ok((mut reader, mut writer)) = connect(listen) else { return 0 };
    let left = |now: Instant| until.saturating_duration_since(now).as_secs_f64();
    let requests: Vec<String> = ids.iter().map(|id| request(id, left(Instant::now()))).collect();
    if !one_by_one {
        let all = requests.concat();
        record.line(format!("client sends {} commands at once, {} bytes", ids.len(), all.len()));
        if writer.write_all(all.as_bytes()).is_err() {
            record.line("the write failed");
        } else {
            record.line("all of it is written");
        }
    }
    for (i, id) in ids.iter().enumerate() {
        if one_by_one {
            record.line(format!("client sends {id}"));
            if writer.write_all(requests[i].as_bytes()).is_err() {
                return i;
            }
        }
        let patience = until.saturating_duration_since(Instant::now()) + Duration::from_secs_f64(LATE);
        let _ = writer.set_read_timeout(Some(patience));
        let Some(answer) = read_message(&mut reader) else {
            record.line(format!("the connection ends with no answer to {id}"));
            return i;
        };
        record.line(format!("client gets {} for {id} (Connection: {})", answer.status(), answer.header("Connection")));
    }
    ids.len()
}

fn main() {
    let record = Record::new();
    let listen = free_address();
    let worker = |host: &'static str| {
        let record = record.clone();
        Worker::start(host, move |call, writer| {
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let id = call.id();
            record.line(format!("{host} takes {id}"));
            let record = record.clone();
            std::thread::spawn(move || {
                call_back(&record, listen, host, &id, "started", "");
                sleep(RUN);
                call_back(&record, listen, host, &id, "done", &format!(r#","result":"r-{id}""#));
            });
            writer.write_all(response("202 Accepted", "", "").as_bytes()).is_ok()
        })
    };
    let workers = [worker("s-00000001"), worker("s-00000002"), worker("s-00000003")];
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let text = config(listen, &discovery, &settings(1, "cell"));
    let mut scheduler = Scheduler::start("n1", listen, &text, &[], &log);
    scheduler.wait_until_ready(&record);
    sleep(0.3);
    let ids: Vec<String> = (0..COMMANDS).map(|i| format!("c{i:03}")).collect();
    let until = Instant::now() + Duration::from_secs_f64(if trouble() { TIME } else { 20.0 });
    let first = send_at_once(&record, listen, &ids, until, !trouble());
    // The close may have crossed requests that were not read: the client sends those once more on a new connection.
    let second = if first < COMMANDS { send_at_once(&record, listen, &ids[first..], until, !trouble()) } else { 0 };
    let lost = COMMANDS - first - second;
    record.say(format!("{COMMANDS} commands: {first} answered, {second} answered when sent once more, {lost} never"));
    drop(scheduler);
    end(i32::from(lost > 0));
}

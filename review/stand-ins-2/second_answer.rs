//! A worker's answers come twice, the second some milliseconds late. No job of a class that must never run twice may run twice.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// Rounds: in each a scheduler starts, serves a burst of jobs and is told to end.
const ROUNDS: usize = 10;
/// Jobs of a round, and the seconds between them.
const JOBS: usize = 24;
const SPACING: f64 = 0.003;
/// How long a job runs, in seconds.
const RUN: f64 = 0.4;
/// A worker takes this long to look at a job and answer, in seconds.
const TAKES: f64 = 0.006;
/// How late the second answer comes, in seconds: some milliseconds.
const SECOND: f64 = 0.008;

fn main() {
    let record = Record::new();
    let listen = free_address();
    let runs = Runs::default();
    let worker = |host: &'static str, full: bool| {
        let (record, runs, turned_away) = (record.clone(), runs.clone(), AtomicU32::new(0));
        let spoils = full && trouble();
        Worker::start(host, move |call, writer| {
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let id = call.id();
            sleep(TAKES);
            // Each second job finds the queue of this worker full.
            let text = if full && turned_away.fetch_add(1, Ordering::SeqCst) % 2 == 0 {
                record.line(format!("{host} turns {id} away"));
                response("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")
            } else {
                runs.add(&id, host);
                record.line(format!("{host} takes {id} and runs it"));
                let (record, id) = (record.clone(), id.clone());
                std::thread::spawn(move || {
                    call_back(&record, listen, host, &id, "started", "");
                    sleep(RUN);
                    call_back(&record, listen, host, &id, "done", &format!(r#","result":"r-{id}""#));
                });
                response("202 Accepted", "", "")
            };
            if writer.write_all(text.as_bytes()).is_err() {
                return false;
            }
            if spoils && text.contains(" 503 ") {
                let (record, mut writer) = (record.clone(), writer.try_clone().unwrap());
                std::thread::spawn(move || {
                    sleep(SECOND);
                    record.line(format!("{host} answers {id} a second time"));
                    let _ = writer.write_all(text.as_bytes());
                });
            }
            true
        })
    };
    let workers = [worker("s-00000001", true), worker("s-00000002", false), worker("s-00000003", true)];
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    for round in 0..ROUNDS {
        let text = config(listen, &discovery, &settings(2, "cell"));
        let mut scheduler = Scheduler::start("n1", listen, &text, &[], &log);
        scheduler.wait_until_ready(&record);
        record.line(format!("round {round}: the scheduler is ready"));
        sleep(0.3);
        let mut clients = Vec::new();
        for i in 0..JOBS {
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            clients.push(std::thread::spawn(move || {
                let id = format!("r{round}j{i:02}");
                record.line(format!("client sends {id}"));
                let (status, body) = ask(listen, &job("lodge", &id, 6.0), 6.6);
                record.line(format!("client gets {status} for {id}: {}", body.trim()));
                answers.lock().unwrap().insert(id, status);
            }));
            sleep(SPACING);
        }
        clients.into_iter().for_each(|client| _ = client.join());
        scheduler.signal(SIGTERM);
        scheduler.ends_within(4.0);
    }
    let served = answers.lock().unwrap().values().filter(|status| **status == 200).count();
    let twice = runs.more_than_once();
    record.say(format!("{served} of {} served; {} jobs ran more than once: {twice:?}", ROUNDS * JOBS, twice.len()));
    end(i32::from(!twice.is_empty()));
}

//! A worker tells that a job was killed, the answer to this call is lost, and the worker tells it once more. The scheduler may
//! not take that for the end of the next attempt.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SLOTS: usize = 2;
/// Rounds: in each a scheduler starts, gets a burst of jobs, and is told to end.
const ROUNDS: usize = 10;
/// Jobs of a burst; the pod has room for 12.
const JOBS: usize = 16;
const RUN: f64 = 0.19;

/// A call whose answer does not arrive: the connection breaks behind it.
fn unanswered_call(scheduler: SocketAddr, host: &str, id: &str, state: &str) {
    let body = format!(r#"{{"id":"{id}","from":"{host}","state":"{state}"}}"#);
    let call = format!("POST /v1/job-events HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if let Ok((mut reader, mut writer)) = connect(scheduler) {
        let _ = writer.write_all(call.as_bytes());
        let _ = writer.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = read_message(&mut reader);
    }
}

#[derive(Default)]
struct State {
    /// The attempts that this worker has, by id: how many have neither ended nor been given up.
    open: HashMap<String, usize>,
    running: usize,
}

fn main() {
    let record = Record::new();
    let listen = free_address();
    let seen: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let again: Arc<Mutex<Vec<String>>> = Arc::default();
    let counter: Arc<AtomicUsize> = Arc::default();
    let worker = |host: &'static str| {
        let (record, seen, again, counter) =
            (record.clone(), Arc::clone(&seen), Arc::clone(&again), Arc::clone(&counter));
        let state: Arc<Mutex<State>> = Arc::default();
        Worker::start(host, move |call: &Message, writer: &mut TcpStream| {
            if call.method() == "DELETE" {
                let id = call.path().rsplit('/').next().unwrap_or("").to_string();
                record.line(format!("{host} is told to give up {id}"));
                state.lock().unwrap().open.remove(&id);
            }
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let id = call.id();
            let nth = {
                let mut seen = seen.lock().unwrap();
                let nth = seen.entry(id.clone()).or_default();
                *nth += 1;
                *nth
            };
            let mut now = state.lock().unwrap();
            if now.open.get(&id).is_some_and(|open| *open > 0) {
                record.line(format!("{host} gets attempt {nth} of {id} and has an earlier one that has not ended"));
                again.lock().unwrap().push(format!("{id} at {host}"));
            }
            if now.running > SLOTS {
                drop(now);
                return writer.write_all(response("503 Service Unavailable", "X-Unprocessed: 1\r\nX-Backend-Load: inflight=3,qps=5,x0=0\r\n", "").as_bytes()).is_ok();
            }
            *now.open.entry(id.clone()).or_default() += 1;
            now.running += 1;
            let free = SLOTS.saturating_sub(now.running);
            drop(now);
            record.line(format!("{host} takes attempt {nth} of {id}"));
            let killed = nth == 1 && counter.fetch_add(1, Ordering::SeqCst) % 8 == 0;
            let (record, state) = (record.clone(), Arc::clone(&state));
            std::thread::spawn(move || {
                call_back(&record, listen, host, &id, "started", "");
                sleep(if killed { RUN / 2.0 } else { RUN });
                let end = |state: &Mutex<State>| {
                    let mut now = state.lock().unwrap();
                    now.running -= 1;
                    if let Some(open) = now.open.get_mut(&id) {
                        *open = open.saturating_sub(1);
                    }
                };
                end(&state);
                if killed {
                    if trouble() {
                        unanswered_call(listen, host, &id, "lost");
                        record.line(format!("{host} tells lost of {id}: the answer is lost"));
                        sleep(0.05);
                    }
                    call_back(&record, listen, host, &id, "lost", "");
                } else {
                    call_back(&record, listen, host, &id, "done", &format!(r#","result":"r-{id}""#));
                }
            });
            writer.write_all(response("202 Accepted", &format!("X-Backend-Load: inflight=1,qps=5,x0={free}\r\n"), "").as_bytes()).is_ok()
        })
    };
    let workers = [worker("s-00000001"), worker("s-00000002"), worker("s-00000003"), worker("s-00000004")];
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let answers: Arc<Mutex<HashMap<u16, usize>>> = Arc::default();
    for round in 0..ROUNDS {
        let text = config(listen, &discovery, &settings(1, "cell"));
        let mut scheduler = Scheduler::start("n1", listen, &text, &[], &log);
        scheduler.wait_until_ready(&record);
        record.line(format!("round {round}: the scheduler is ready"));
        sleep(0.3);
        let clients: Vec<_> = (0..JOBS)
            .map(|i| {
                let (record, answers) = (record.clone(), Arc::clone(&answers));
                std::thread::spawn(move || {
                    let id = format!("r{round}j{i:02}");
                    let (status, _) = ask(listen, &job("sign", &id, 5.0), 5.6);
                    record.line(format!("client gets {status} for {id}"));
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                })
            })
            .collect();
        clients.into_iter().for_each(|client| _ = client.join());
        sleep(0.3);
        scheduler.signal(SIGTERM);
        scheduler.ends_within(4.5);
    }
    let again = again.lock().unwrap().clone();
    record.say(format!("answers {:?}; {} attempts at a worker that still had one: {again:?}", answers.lock().unwrap(), again.len()));
    end(i32::from(!again.is_empty()));
}

//! Workers' answers never end. The scheduler has to keep within its memory limit, or it is killed.
mod common;
use common::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limits of the smallest deployment that the pages allow for memory, with the most descriptors.
const MEMORY_MB: usize = 32;
const SOCKETS: usize = 1024;
/// Jobs a second, for how many seconds, how long one runs in seconds, and the bytes of its body (64 KiB are allowed).
const RATE: f64 = 75.0;
const SECONDS: f64 = 10.0;
const RUN: f64 = 0.4;
const BODY: usize = 60_000;
/// Of so many answers one never ends.
const ONE_IN: usize = 2;

/// The memory of a process that is its own, in kilobytes: pages of files, such as its code, do not count.
fn own_kb(id: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn main() {
    let record = Record::new();
    let listen = free_address();
    let stalled: Arc<AtomicUsize> = Arc::default();
    let count: Arc<AtomicUsize> = Arc::default();
    let worker = |host: String| {
        let (record, stalled, count) = (record.clone(), Arc::clone(&stalled), Arc::clone(&count));
        let name: &'static str = Box::leak(host.clone().into_boxed_str());
        Worker::start(name, move |call, writer| {
            if call.method() != "POST" {
                return answer_call(call, writer);
            }
            let id = call.id();
            let record = record.clone();
            std::thread::spawn(move || {
                call_back(&record, listen, name, &id, "started", "");
                sleep(RUN);
                call_back(&record, listen, name, &id, "done", &format!(r#","result":"r-{id}""#));
            });
            if trouble() && count.fetch_add(1, Ordering::SeqCst) % ONE_IN == 0 {
                let head = "HTTP/1.1 202 Accepted\r\nContent-Length: 65536\r\n\r\n";
                stalled.fetch_add(1, Ordering::SeqCst);
                let _ = writer.write_all(head.as_bytes());
                let _ = writer.write_all(&vec![b'x'; 65_000]);
                return true;
            }
            writer.write_all(response("202 Accepted", "", "").as_bytes()).is_ok()
        })
    };
    let workers: Vec<Worker> = (0..12).map(|i| worker(format!("s-000000{i:02x}"))).collect();
    let entries = workers.iter().map(|worker| entry(&worker.host, worker.address, 0, "active")).collect();
    let discovery = Discovery::start(entries);
    let log = work_folder().join("scheduler.log");
    let text = config(listen, &discovery, &settings(1, "cell"))
        .replace("\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"));
    let mut scheduler = Scheduler::start("n1", listen, &text, &[], &log);
    scheduler.wait_until_ready(&record);
    sleep(0.3);
    let id = scheduler.child.id();
    record.say(format!("at rest: {} kB", own_kb(id)));
    // The platform kills a scheduler that is over its limit.
    let peak: Arc<AtomicUsize> = Arc::default();
    let (stop, killed): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
    let platform = {
        let (record, peak, stop, killed) = (record.clone(), Arc::clone(&peak), Arc::clone(&stop), Arc::clone(&killed));
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let now = own_kb(id);
                peak.fetch_max(now, Ordering::SeqCst);
                if now > MEMORY_MB * 1024 {
                    record.line(format!("the platform kills the scheduler: {now} kB"));
                    killed.store(true, Ordering::SeqCst);
                    signal_process(id, SIGKILL);
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let answers: Arc<Mutex<std::collections::BTreeMap<u16, usize>>> = Arc::default();
    let start = Instant::now();
    let mut clients = Vec::new();
    for i in 0..(RATE * SECONDS) as usize {
        let at = start + Duration::from_secs_f64(i as f64 / RATE);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let (record, answers, killed) = (record.clone(), Arc::clone(&answers), Arc::clone(&killed));
        clients.push(std::thread::spawn(move || {
            let id = format!("c{i:05}");
            let text = job("lodge", &id, 6.0);
            let (head, _) = text.split_once("Content-Length").unwrap();
            let text = format!("{head}Content-Length: {BODY}\r\n\r\n{}", "b".repeat(BODY));
            if killed.load(Ordering::SeqCst) {
                return;
            }
            let (status, _) = ask(listen, &text, 6.6);
            record.line(format!("client gets {status} for {id}"));
            *answers.lock().unwrap().entry(status).or_default() += 1;
        }));
    }
    clients.into_iter().for_each(|client| _ = client.join());
    stop.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let peak_mb = peak.load(Ordering::SeqCst) as f64 / 1024.0;
    let killed = killed.load(Ordering::SeqCst);
    record.say(format!(
        "answers {:?} (0: none); {} answers of workers that never end; peak {peak_mb:.1} MB of {MEMORY_MB}{}",
        answers.lock().unwrap(),
        stalled.load(Ordering::SeqCst),
        if killed { ", killed" } else { "" }
    ));
    drop(scheduler);
    end(i32::from(killed));
}

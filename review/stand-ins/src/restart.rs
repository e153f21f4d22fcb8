//! A new configuration drops the class with the longest deadline; some seconds later there is a planned restart.

use crate::common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 10;
/// `page-view` jobs run for 0.19 to 0.38 s in the mean.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Deadlines of `page-view`, `sign` and `lodge`, in milliseconds.
const DEADLINES: [u64; 3] = [1000, 1000, 3000];
/// What the platform waits beyond the longest deadline, in seconds.
const KILL_GRACE: f64 = 0.7;
/// After SIGTERM new connections keep coming for so long, in seconds.
const NEW_CONNECTIONS: f64 = 0.3;
/// Every time limit is longer by this, in seconds.
const SLACK: f64 = 0.05;

#[derive(Clone, Copy, Default)]
struct Moments {
    term: Option<f64>,
    kill: Option<f64>,
}

struct Sent {
    id: String,
    sent_at: f64,
    ended_at: f64,
    status: u16,
    text: String,
}

/// A usual client: one request at a time, on one connection for as long as that stays open.
fn client(number: usize, address: SocketAddr, moments: Arc<Mutex<Moments>>, all: Arc<Mutex<Vec<Sent>>>) {
    let class = ["page-view", "sign"][number % 2];
    let time_left = DEADLINES[number % 2] as f64 / 1e3;
    let mut connection = None;
    loop {
        let now = *moments.lock().unwrap();
        if now.kill.is_some() {
            return;
        }
        if connection.is_none() {
            if now.term.is_some_and(|term| seconds() > term + NEW_CONNECTIONS) {
                return;
            }
            connection = connect(address).ok();
        }
        let Some((stream, reader)) = &mut connection else { return };
        let id = new_id();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let written = stream.write_all(job(&id, class, time_left, "a page").as_bytes());
        let sent_at = seconds();
        let answer = written.and_then(|()| read_message(reader));
        let ended_at = seconds();
        let (status, text, closes) = match &answer {
            Ok(answer) => (answer.status(), answer.text(), answer.closes()),
            Err(error) => (0, format!("no answer: {:?}", error.kind()), true),
        };
        note(&format!(
            "client {number}: {class} id={id} sent {sent_at:.3}, {status} at {ended_at:.3} {}",
            text.trim()
        ));
        all.lock().unwrap().push(Sent { id, sent_at, ended_at, status, text });
        if closes {
            connection = None;
        }
        thread::sleep(ms(10));
    }
}

pub fn run(record: &Path) {
    start_run(record);
    let (listen, runs): (_, JobRuns) = (free_address(), Arc::default());
    let workers: Vec<Worker> = (0..10).map(|n| Worker::start(n, listen, RUN_TIME, &runs)).collect();
    let entries: Vec<String> = workers.iter().map(Worker::entry).collect();
    let discovery = start_discovery(entries.clone());
    let configuration = Configuration { listen, discovery, memory_mb: 192, sockets: 1024, entries };
    let path = folder().join("config.json");
    let mut classes = classes(DEADLINES);
    configuration.write(&path, &settings(&classes));
    let mut scheduler = Scheduler::start("scheduler", &path, &configuration, &[]);
    scheduler.wait_until_ready(listen, "/healthz");

    let (moments, all): (Arc<Mutex<Moments>>, Arc<Mutex<Vec<Sent>>>) = Default::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (moments, all) = (Arc::clone(&moments), Arc::clone(&all));
            thread::spawn(move || client(number, listen, moments, all))
        })
        .collect();
    thread::sleep(ms(1500));

    // The disruption: the new configuration drops `lodge`, which no client uses.
    if has_trouble() {
        classes.retain(|class| class.name != "lodge");
        configuration.write(&path, &settings(&classes));
        note("platform: a new configuration without lodge");
        scheduler.signal(SIGHUP, "SIGHUP");
    }
    // Longer than any deadline of the old configuration.
    thread::sleep(ms(5000));

    let longest = classes.iter().map(|class| class.give_up_ms).max().unwrap() as f64 / 1e3;
    scheduler.signal(SIGTERM, "SIGTERM");
    let term = seconds();
    moments.lock().unwrap().term = Some(term);
    let kill_at = term + longest.min(3.0) + KILL_GRACE + SLACK;
    while seconds() < kill_at && !scheduler.has_ended() {
        thread::sleep(ms(2));
    }
    let ended_itself = scheduler.has_ended();
    let kill = if ended_itself { f64::INFINITY } else { seconds() };
    moments.lock().unwrap().kill = Some(kill);
    if ended_itself {
        note("platform: the process has ended by itself");
    } else {
        scheduler.signal(SIGKILL, "SIGKILL");
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    record_log("scheduler");

    let all = all.lock().unwrap();
    let reloaded = std::fs::read_to_string(folder().join("scheduler.log")).unwrap_or_default();
    if has_trouble() && !reloaded.contains("configuration reloaded") {
        finish(2, "could not run: the new configuration was not accepted");
    }
    if !all.iter().any(|sent| sent.sent_at > term && sent.status == 200) {
        finish(2, "could not run: nothing was served after SIGTERM");
    }
    // Found unanswered by SIGKILL, and arrived more than 0.7 s after SIGTERM.
    let lost: Vec<&Sent> = all
        .iter()
        .filter(|sent| sent.status == 0 && sent.ended_at >= kill && sent.sent_at < kill)
        .filter(|sent| sent.sent_at > term + KILL_GRACE + SLACK)
        .collect();
    let wrong = all.iter().filter(|sent| sent.status == 200 && !sent.text.contains(&sent.id)).count();
    for sent in &lost {
        note(&format!("lost: id={} sent {:.3} s after SIGTERM", sent.id, sent.sent_at - term));
    }
    let summary = format!(
        "{} requests; SIGKILL {} s after SIGTERM found {} unanswered that had arrived more than 0.7 s after SIGTERM; \
         {wrong} wrong results",
        all.len(),
        if ended_itself { "(not needed)".to_string() } else { format!("{:.2}", kill - term) },
        lost.len()
    );
    finish(if lost.len() + wrong > 0 { 1 } else { 0 }, &summary);
}

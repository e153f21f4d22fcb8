//! Bad clients stop in the middle of a request and stay; the platform enforces the limit on memory.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
const USUAL_CLIENTS: usize = 8;
/// With the usual clients no more than a third of the descriptors.
const BAD_CLIENTS: usize = 330;
const RUN_TIME: Duration = Duration::from_millis(300);

/// Anonymous memory of a process in kB: what it has allocated, without the pages of its program and files.
fn anonymous_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|value| value.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Most of a request whose body has less than 64 KiB, in three chunks; its end never comes.
fn unfinished_request(id: &str) -> Vec<u8> {
    let mut request = format!(
        "POST /page-view/petition-{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: page-view\r\nX-Account: foni-politon\r\nX-Time-Left: 5.000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    for (announced, sent) in [(0xf000, 0xf000), (0xf00, 0xf00), (0xf0, 0xe0)] {
        request.extend_from_slice(format!("{announced:X}\r\n").as_bytes());
        request.extend(std::iter::repeat_n(b'x', sent));
        if sent == announced {
            request.extend_from_slice(b"\r\n");
        }
    }
    request
}

/// A usual client: one request at a time. Counts its answered and its unanswered requests.
fn client(number: usize, address: SocketAddr, stop: Arc<AtomicBool>, counts: Arc<[AtomicU64; 2]>) {
    let (class, time_left) = [("page-view", 5.0), ("lodge", 6.0)][number % 2];
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        if connection.is_none() {
            connection = connect(address).ok();
        }
        let Some((stream, reader)) = &mut connection else {
            thread::sleep(ms(50));
            continue;
        };
        let id = new_id();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let answer = stream
            .write_all(job(&id, class, time_left, "a page").as_bytes())
            .and_then(|()| read_message(reader));
        let closes = match &answer {
            Ok(answer) => {
                note(&format!("client {number}: {class} id={id} answered {}", answer.status()));
                counts[0].fetch_add(1, Ordering::SeqCst);
                answer.closes()
            }
            Err(error) => {
                note(&format!("client {number}: {class} id={id} no answer: {:?}", error.kind()));
                counts[1].fetch_add(1, Ordering::SeqCst);
                true
            }
        };
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
    let configuration = Configuration { listen, discovery, memory_mb: MEMORY_MB, sockets: SOCKETS, entries };
    let path = folder().join("config.json");
    configuration.write(&path, &settings(&classes([5000, 5000, 6000])));
    let mut scheduler = Scheduler::start("scheduler", &path, &configuration, &[]);
    scheduler.wait_until_ready(listen, "/healthz");
    let pid = scheduler.child.id();

    let (stop, counts): (Arc<AtomicBool>, Arc<[AtomicU64; 2]>) = Default::default();
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            thread::spawn(move || client(number, listen, stop, counts))
        })
        .collect();
    thread::sleep(ms(2000));
    note(&format!("platform: pid {pid} has {} kB of anonymous memory", anonymous_memory(pid)));

    // The disruption: bad clients.
    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    if has_trouble() {
        let held = Arc::clone(&held);
        thread::spawn(move || {
            let (mut streams, mut bytes) = (Vec::new(), 0);
            for number in 0..BAD_CLIENTS {
                // A few at a time, so that none waits in the queue of the listening socket for long.
                if number % 10 == 0 {
                    thread::sleep(ms(4));
                }
                let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                let request = unfinished_request(&new_id());
                let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
                bytes += if stream.write_all(&request).is_ok() { request.len() } else { 0 };
                streams.push(stream);
            }
            note(&format!("bad clients: {} have connected", streams.len()));
            note(&format!(
                "bad clients: have sent {bytes} bytes in all, each a part of one request, and wait"
            ));
            held.lock().unwrap().extend(streams);
        });
    }

    // The platform: over the limit the scheduler is killed.
    let (mut peak, mut killed_at) = (0, None);
    let end = seconds() + 4.0;
    while seconds() < end && killed_at.is_none() {
        peak = peak.max(anonymous_memory(pid));
        if peak > MEMORY_MB * 1024 {
            note(&format!("platform: pid {pid} has {peak} kB of anonymous memory, over {MEMORY_MB} MB"));
            scheduler.signal(SIGKILL, "SIGKILL");
            killed_at = Some(seconds());
        } else if scheduler.has_ended() {
            finish(1, "the scheduler ended by itself");
        }
        thread::sleep(ms(5));
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut answers = 0;
    for stream in held.lock().unwrap().iter_mut() {
        let _ = stream.set_read_timeout(Some(ms(1)));
        answers += usize::from(stream.read(&mut [0; 64]).is_ok_and(|length| length > 0));
    }
    note(&format!("bad clients: {answers} have got an answer"));
    record_log("scheduler");
    let [answered, unanswered] = [0, 1].map(|i| counts[i].load(Ordering::SeqCst));
    if answered == 0 {
        finish(2, "could not run: no usual client was answered");
    }
    let summary = format!(
        "peak {peak} kB of anonymous memory of {} kB allowed{}; usual clients: {answered} requests answered, \
         {unanswered} not",
        MEMORY_MB * 1024,
        if killed_at.is_some() { ", killed by the platform" } else { "" }
    );
    finish(if killed_at.is_some() { 1 } else { 0 }, &summary);
}

//! While a process is replaced, a bad client sends the ids of requests that other clients still have open.

use crate::common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The descriptor of the listening socket that the platform holds, in every process.
const INHERITED_DESCRIPTOR: i32 = 7;
const REQUESTS: usize = 4;
/// How long a job runs; `lodge` jobs run for 0.39 to 0.75 s in the mean, heavy ones for up to 27 times that.
const RUN_TIME: Duration = Duration::from_millis(1500);
const TIME_LEFT: f64 = 6.0;

/// Sends a request on a new connection and returns its status, 0 if the connection ended without a whole answer.
fn send(who: &str, address: SocketAddr, id: &str, body: &str, patience: Duration) -> u16 {
    let Ok((mut stream, mut reader)) = connect(address) else {
        note(&format!("{who}: id={id} cannot connect"));
        return 0;
    };
    stream.set_read_timeout(Some(patience)).unwrap();
    let sent = stream.write_all(job(id, "lodge", TIME_LEFT, body).as_bytes());
    note(&format!("{who}: sends POST /lodge id={id} {}", if sent.is_ok() { "" } else { "(failed)" }));
    match read_message(&mut reader) {
        Ok(answer) => {
            note(&format!("{who}: id={id} answered {} {:?}", answer.status(), answer.text().trim()));
            answer.status()
        }
        Err(error) => {
            note(&format!("{who}: id={id} no answer: {:?}", error.kind()));
            0
        }
    }
}

pub fn run(record: &Path) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    duplicate_descriptor(listener.as_raw_fd(), INHERITED_DESCRIPTOR);
    start_run(record);
    let listen = listener.local_addr().unwrap();
    let runs: JobRuns = Arc::default();
    let workers: Vec<Worker> = (0..10).map(|n| Worker::start(n, listen, RUN_TIME, &runs)).collect();
    let entries: Vec<String> = workers.iter().map(Worker::entry).collect();
    let discovery = start_discovery(entries.clone());
    let configuration = Configuration { listen, discovery, memory_mb: 192, sockets: 1024, entries };
    let path = folder().join("config.json");
    configuration.write(&path, &settings(&classes([5000, 5000, 6000])));
    let start = |name: &str| {
        let control = free_address();
        let variables = [("LB_FD", INHERITED_DESCRIPTOR.to_string()), ("LB_CONTROL", control.to_string())];
        let mut process = Scheduler::start(name, &path, &configuration, &variables);
        process.wait_until_ready(control, "/control/ready");
        process
    };
    let first = start("first");

    let ids: Vec<String> = (0..REQUESTS).map(|_| new_id()).collect();
    let usual: Vec<_> = ids
        .iter()
        .map(|id| {
            let id = id.clone();
            thread::spawn(move || send("usual client", listen, &id, "signed", Duration::from_secs(8)))
        })
        .collect();
    for _ in 0..100 {
        if runs.lock().unwrap().len() >= REQUESTS {
            break;
        }
        thread::sleep(ms(10));
    }
    if runs.lock().unwrap().len() != REQUESTS {
        finish(2, "could not run: the workers did not get the jobs in time");
    }

    // The disruption: the process is replaced, as on the days of operation.
    let mut second = None;
    if has_trouble() {
        second = Some(start("second"));
        first.signal(SIGTERM, "SIGTERM");
        let pid_of_first = first;
        // SIGKILL after the longest deadline, 3 s at most, and 0.7 s.
        let kill_at = seconds() + 3.7;
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64((kill_at - seconds()).max(0.0)));
            pid_of_first.signal(SIGKILL, "SIGKILL");
        });
    }
    thread::sleep(ms(300));
    if runs.lock().unwrap().iter().any(|run| run.ended_at.is_some()) {
        finish(2, "could not run: jobs ended before the bad client came");
    }
    let answers_to_bad: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let bad: Vec<_> = ids
        .iter()
        .map(|id| {
            let (id, answers) = (id.clone(), Arc::clone(&answers_to_bad));
            thread::spawn(move || {
                let status = send("bad client", listen, &id, "a copy", Duration::from_secs(3));
                answers.lock().unwrap().push((id, status));
            })
        })
        .collect();
    bad.into_iter().for_each(|client| client.join().unwrap());
    let usual_statuses: Vec<u16> = usual.into_iter().map(|client| client.join().unwrap()).collect();
    thread::sleep(ms(100));
    if let Some(second) = &mut second
        && second.has_ended()
    {
        finish(2, "could not run: the new process ended");
    }
    record_log("first");
    record_log("second");

    // A second run of a request that must not run twice, begun before the first had ended.
    let runs = runs.lock().unwrap().clone();
    let runs_of = |id: &String| runs.iter().filter(|run| run.id == *id).cloned().collect::<Vec<JobRun>>();
    let mut run_twice = 0;
    for id in &ids {
        if let [first, second, ..] = &runs_of(id)[..]
            && first.ended_at.is_none_or(|ended_at| second.at < ended_at)
        {
            run_twice += 1;
            note(&format!(
                "run twice: id={id} at {} from {:.3} ({:?}) and at {} from {:.3} ({:?})",
                first.worker, first.at, first.body, second.worker, second.at, second.body
            ));
        }
    }
    let served_to_bad = answers_to_bad.lock().unwrap().iter().filter(|answer| answer.1 == 200).count();
    let unserved = usual_statuses.iter().filter(|status| **status != 200).count();
    let summary = format!(
        "of {REQUESTS} lodge requests {run_twice} were run twice, {served_to_bad} copies of the bad client were served, \
         {unserved} requests of usual clients were not served"
    );
    finish(if run_twice + served_to_bad > 0 { 1 } else { 0 }, &summary);
}

//! The operators' stricter terms on real sockets: the built program between scripted clients, workers and discovery, each
//! test at the instant at which a term could be broken. docs/design/0008-endings.md names the terms.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, HttpConnection, IncomingConnections, SchedulerProcess,
    Server, job, list, response, wait_until,
};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A final answer may come this long after the request's own time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long the program is held up, as the operators do it.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Room for the connections of many clients.
const MANY_SOCKETS: (&str, &str) = (r#""sockets":64"#, r#""sockets":512"#);
/// Dials may take long.
const SLOW_DIALS: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);
/// Clients that wait for long, so that nothing ends for its time.
const LONG_DEADLINES: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// Another scheduler serves the same clients.
const TWO_SCHEDULERS: (&str, &str) = (r#""balancers":1"#, r#""balancers":2"#);
/// A worker's answer that it has not begun a job and does not take it.
const REJECTED_UNSTARTED: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A new client's connection to a process.
fn connect(at: SocketAddr) -> HttpConnection {
    HttpConnection::new(TcpStream::connect(at).unwrap())
}

/// A worker's report that a job is done, with the worker's name as the result.
fn done(id: &str, worker: &str) -> String {
    format!(r#"{{"id":"{id}","from":"{worker}","state":"done","result":"{worker}"}}"#)
}

/// Ends the clients of a test when the test has seen enough, or has failed.
struct EndsClients<'a>(&'a AtomicBool);

impl Drop for EndsClients<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The value of a header of a request, as a number.
fn number(head: &str, name: &str) -> f64 {
    let value = head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")));
    value.unwrap_or_else(|| panic!("no {name}: {head}")).parse().unwrap()
}

/// The id of a forwarded job; none for any other message.
fn job_id(head: &str) -> Option<String> {
    let posted = head.lines().find_map(|line| line.strip_prefix("X-Correlation-Id: "));
    posted.filter(|_| head.starts_with("POST ")).map(str::to_string)
}

/// A job whose client asks for its connection to be closed with the answer.
fn last_job(class: &str, id: &str, seconds: &str) -> String {
    job(class, id, seconds).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n")
}

/// Serves the next job on a connection.
fn serve(scheduler: &SchedulerProcess, line: &mut HttpConnection, worker: &Server, id: &str) {
    let head = line.receive();
    assert_eq!(job_id(&head).as_deref(), Some(id), "{head}");
    line.send(&response("202 Accepted", ""));
    scheduler.call_back(&done(id, &worker.name));
}

/// Serves every job that comes to these workers from now on, for as long as the test runs.
fn serve_all(scheduler: &SchedulerProcess, workers: &[&Server]) {
    let (comers, at) = (IncomingConnections::new(workers), scheduler.address);
    std::thread::spawn(move || {
        while let Some((worker, line)) = comers.next_without_timeout() {
            std::thread::spawn(move || serve_connection(line, &worker, at));
        }
    });
}

/// Serves every job that comes to a worker on a connection, of the process at this address.
fn serve_connection(mut line: HttpConnection, worker: &str, at: SocketAddr) {
    while let Some(id) = job_id(&line.receive()) {
        if line.try_send(&response("202 Accepted", "")).is_err() {
            return;
        }
        let Ok(stream) = TcpStream::connect(at) else { return };
        let (mut caller, body) = (HttpConnection::new(stream), done(&id, worker));
        let length = body.len();
        let call = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        if caller.try_send(&call).is_ok() {
            caller.receive();
        }
    }
}

/// Whether a job of a new client is served by this worker.
fn is_served_by(scheduler: &SchedulerProcess, worker: &Server, id: &str) -> bool {
    // A subject of its own, so that no worker is preferred for it.
    scheduler.request(&job("view", id, "3.000").replace("/7f", &format!("/{id}")))
        == format!("HTTP/1.1 200 OK | {}", worker.name)
}

/// What a worker in trouble does with each request that it reads.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It never reads anything.
    Hangs,
    /// It reads the request and says nothing.
    Ignores,
    /// It takes the job and is never heard of again.
    Forgets,
    Resets,
    Closes,
    /// What it answers is no HTTP.
    SpeaksGarbage,
    /// Its answer breaks in the middle of the head.
    IsCutOff,
    /// Its answer has a body that does not end.
    NeverEnds,
    RejectsUnstarted,
}

impl Trouble {
    /// Has a worker behave like this from now on, for as long as the test runs.
    fn at(self, worker: &Server) {
        let comers = IncomingConnections::new(&[worker]);
        std::thread::spawn(move || {
            let mut unread = Vec::new();
            while let Some((_, line)) = comers.next_without_timeout() {
                match self {
                    Trouble::Hangs => unread.push(line),
                    _ => _ = std::thread::spawn(move || self.converse(line)),
                }
            }
        });
    }

    fn converse(self, mut line: HttpConnection) {
        while job_id(&line.receive()).is_some() {
            let said = match self {
                Trouble::Hangs | Trouble::Ignores => Ok(()),
                Trouble::Forgets => line.try_send(&response("202 Accepted", "")),
                Trouble::Resets => return line.reset(),
                Trouble::Closes => return,
                Trouble::SpeaksGarbage => line.try_send("\0\u{1} 202 for you\r\n\r\n"),
                Trouble::IsCutOff => return line.send_and_close("HTTP/1.1 202 Acc"),
                Trouble::NeverEnds => {
                    line.try_send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nand so on")
                }
                Trouble::RejectsUnstarted => line.try_send(REJECTED_UNSTARTED),
            };
            if said.is_err() {
                return;
            }
        }
    }
}

/// Workers with these troubles, named in their order.
fn workers_in_trouble(troubles: &[Trouble]) -> Vec<Server> {
    let named = |(n, trouble): (usize, &Trouble)| {
        let worker = Server::new(&format!("s-{:08x}", n + 1));
        trouble.at(&worker);
        worker
    };
    troubles.iter().enumerate().map(named).collect()
}

// ---- one final answer for every request, in time

/// Trouble at workers or with other clients frees no request of its final answer.
#[test]
fn every_request_gets_one_final_answer_in_time_whatever_workers_and_other_clients_do() {
    use Trouble::*;
    const REQUESTS: usize = 54;
    let workers = workers_in_trouble(&[
        Hangs,
        Ignores,
        Forgets,
        Resets,
        Closes,
        SpeaksGarbage,
        IsCutOff,
        NeverEnds,
        RejectsUnstarted,
    ]);
    let known: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&known, &discovery.server, &[MANY_SOCKETS]);
    // Clients in trouble beside them: most stay as they are until the end of the test.
    let mut bad_clients = Vec::new();
    for n in 0..6 {
        let mut half = scheduler.connect();
        half.send("POST /view/7f HTTP/1.1\r\nContent-Length: 9\r\n\r\nhi");
        let mut malformed = scheduler.connect();
        malformed.send("GARBAGE\r\n\r\n");
        let mut endless = scheduler.connect();
        let _ = endless.try_send(&"x".repeat(200_000));
        bad_clients.extend([half, malformed, endless]);
        scheduler.connect().send_and_close(&job("view", &format!("gone{n}"), "3.000"));
    }
    std::thread::scope(|scope| {
        for n in 0..REQUESTS {
            let (at, class) = (scheduler.address, ["view", "lodge"][n % 2]);
            scope.spawn(move || {
                let mut client = connect(at);
                client.send(&last_job(class, &format!("a{n}"), "1.000"));
                let sent = Instant::now();
                let answer = client.receive_response();
                let waited = sent.elapsed();
                let codes = ["HTTP/1.1 502", "HTTP/1.1 503"];
                assert!(codes.iter().any(|code| answer.starts_with(code)), "a{n}: {answer} after {waited:?}");
                assert!(waited <= Duration::from_secs(1) + ANSWER_SLACK, "a{n}: {answer} after {waited:?}");
                assert_eq!(client.receive(), "", "a{n}: a second answer after {answer}");
            });
        }
    });
    let forwards = scheduler.counters(&["forwards"]);
    assert!(forwards["forwards=".len()..].parse::<usize>().unwrap() >= REQUESTS / 2, "{forwards}");
    drop(bad_clients);
}

/// An attempt that fails at once may be followed by another; attempts and answers are bounded all the same.
#[test]
fn retries_that_fail_at_once_end_in_one_answer_within_the_permitted_attempts() {
    let worker = Server::new("s-00000001");
    Trouble::Resets.at(&worker);
    // Nothing listens at these addresses: each dial is refused at once.
    let refusing = |n: usize| {
        let entry = Server::new(&format!("s-{n:08x}")).entry("active");
        let (before, rest) = entry.split_once(r#""dial":""#).unwrap();
        let (_, after) = rest.split_once('"').unwrap();
        format!(r#"{before}"dial":"127.0.0.1:1"{after}"#)
    };
    let mut entries: Vec<String> = (2..=6).map(refusing).collect();
    entries.push(worker.entry("active"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &entries);
    let scheduler = SchedulerProcess::start(&[], &discovery.server);
    discovery.wait_for_calls("from=2", 1);
    for n in 0..12 {
        let mut client = scheduler.connect();
        client.send(&last_job(["view", "lodge"][n % 2], &format!("a{n}"), "3.000"));
        let sent = Instant::now();
        let answer = client.receive_response();
        assert!(answer.starts_with("HTTP/1.1 50"), "a{n}: {answer}");
        assert!(sent.elapsed() <= Duration::from_secs(3) + ANSWER_SLACK, "a{n}: {:?}", sent.elapsed());
        assert_eq!(client.receive(), "", "a{n}: a second answer");
    }
    let counters = scheduler.counters(&["flows", "forwards"]);
    let forwards: usize = counters.split_once("forwards=").unwrap().1.parse().unwrap();
    // Two attempts a request are permitted, and some are made.
    assert!((12..=24).contains(&forwards), "{counters}");
}

/// Clients stop anywhere in a request and stay. Bad clients are owed their error, or the close, within 3 s.
#[test]
fn a_client_that_stops_in_the_middle_of_a_request_and_stays_gets_its_error_or_close_in_time() {
    const OWED: Duration = Duration::from_secs(3);
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(&[&worker], &discovery.server, &[MANY_SOCKETS]);
    let whole = job("view", "a1", "3.000");
    let chunked = whole.replace("Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n");
    let stops = [
        String::new(),
        whole[..7].to_string(),
        whole[..40].to_string(),
        whole[..whole.len() - 2].to_string(),
        whole[..whole.len() - 1].to_string(),
        format!("{chunked}5"),
        format!("{chunked}5\r\nhel"),
        format!("{chunked}5\r\nhello\r\n0\r\n"),
    ];
    std::thread::scope(|scope| {
        for (n, stop) in stops.iter().enumerate() {
            for used_before in [false, true] {
                // A connection between requests owes nothing.
                if used_before && stop.is_empty() {
                    continue;
                }
                let at = scheduler.address;
                scope.spawn(move || {
                    let begun = Instant::now();
                    let mut client = connect(at);
                    if used_before {
                        client.send("GET /healthz HTTP/1.1\r\n\r\n");
                        assert!(client.receive_response().ends_with("ready"));
                    }
                    client.send(stop);
                    let answer = client.receive_response();
                    assert!(answer.starts_with("HTTP/1.1 408") || stop.is_empty(), "{n}: {answer}");
                    assert!(begun.elapsed() < OWED, "{n}: {answer} after {:?}", begun.elapsed());
                    assert_eq!(client.receive(), "", "{n}: more than its error");
                });
            }
        }
        // One that goes on byte by byte, and never comes to an end, is no better.
        let at = scheduler.address;
        scope.spawn(move || {
            let (begun, mut client) = (Instant::now(), connect(at));
            client.send(&whole[..40]);
            while begun.elapsed() < Duration::from_millis(2200) {
                let _ = client.try_send("x");
                std::thread::sleep(Duration::from_millis(100));
            }
            assert!(client.receive_response().starts_with("HTTP/1.1 408"));
            assert!(begun.elapsed() < OWED, "{:?}", begun.elapsed());
        });
    });
    assert_eq!(scheduler.counters(&["flows", "forwards"]), "flows=0 forwards=0");
}

/// More clients than there are descriptors send at once, while workers hang: each request that is read has its answer.
#[test]
fn requests_on_new_connections_are_answered_while_descriptors_are_short() {
    const CLIENTS: usize = 70;
    let workers = workers_in_trouble(&[Trouble::Ignores, Trouble::Forgets]);
    let known: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start(&known, &discovery.server);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let one = |n: usize| {
            let at = scheduler.address;
            move || {
                let mut client = connect(at);
                let _ = client.try_send(&last_job("lodge", &format!("a{n}"), "0.600"));
                client.receive_response()
            }
        };
        let all: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(one(n))).collect();
        all.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let answered = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 50")).count();
    let counters = scheduler.counters(&["flows", "turned_back", "gone", "gone_early"]);
    let numbers: HashMap<&str, usize> =
        counters.split(' ').filter_map(|c| c.split_once('=')).map(|(k, v)| (k, v.parse().unwrap())).collect();
    assert_eq!(numbers["flows"] + numbers["turned_back"], answered, "{counters}: {answers:?}");
    assert!(answered > 64, "more than its descriptors: {counters}: {answers:?}");
}

// ---- the time that a worker is told

/// What the attempts of one job told their workers, in seconds.
#[derive(Debug, Default)]
struct Told {
    attempts: Vec<f64>,
    /// What was left to the client, at most, when the first attempt was rejected.
    left_at_rejection: Option<f64>,
}

type ToldByJob = Arc<Mutex<HashMap<String, Told>>>;

/// Workers that reject the first attempt of each job unstarted after a while, and drop the second without a word. A job's
/// id ends with the milliseconds that its client waits.
fn reject_then_drop(workers: &[&Server]) -> ToldByJob {
    let told = ToldByJob::default();
    let (comers, all) = (IncomingConnections::new(workers), Arc::clone(&told));
    std::thread::spawn(move || {
        while let Some((_, mut line)) = comers.next_without_timeout() {
            let told = Arc::clone(&all);
            std::thread::spawn(move || while reject_or_drop(&mut line, &told) {});
        }
    });
    told
}

/// Does so with the next job on a connection; false at the connection's end.
fn reject_or_drop(line: &mut HttpConnection, told: &ToldByJob) -> bool {
    let head = line.receive();
    // Its client has waited since before this moment.
    let heard = Instant::now();
    let Some(id) = job_id(&head) else { return false };
    let attempts = {
        let mut told = told.lock().unwrap();
        let attempts = &mut told.entry(id.clone()).or_default().attempts;
        attempts.push(number(&head, "X-Time-Left"));
        attempts.len()
    };
    if attempts > 1 {
        return true;
    }
    let patience = patience(&id);
    std::thread::sleep(patience.mul_f64(0.4));
    let left = patience.as_secs_f64() - heard.elapsed().as_secs_f64();
    told.lock().unwrap().get_mut(&id).unwrap().left_at_rejection = Some(left);
    line.try_send(REJECTED_UNSTARTED).is_ok()
}

/// How long the client of a job waits, by the end of its id.
fn patience(id: &str) -> Duration {
    Duration::from_millis(id.rsplit('-').next().unwrap().parse().unwrap())
}

/// First attempts and retries of requests with 5, 50 and 200 ms left, which workers drop without a word in the end: no
/// attempt tells more than what is left, and each request has its final answer in time.
#[test]
fn requests_with_little_time_left_tell_no_more_and_are_answered_in_time() {
    let workers: Vec<Server> = (1..=3).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let known: Vec<&Server> = workers.iter().collect();
    let told = reject_then_drop(&known);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&known, &discovery.server, &[MANY_SOCKETS]);
    std::thread::scope(|scope| {
        for n in 0..30 {
            let (millis, class) = ([5, 50, 200][n % 3], ["view", "lodge"][n % 2]);
            let at = scheduler.address;
            scope.spawn(move || {
                let id = format!("a{n}-{millis}");
                let mut client = connect(at);
                client.send(&last_job(class, &id, &format!("{:.3}", patience(&id).as_secs_f64())));
                let sent = Instant::now();
                let answer = client.receive_response();
                let waited = sent.elapsed();
                assert!(answer.starts_with("HTTP/1.1 50"), "{id}: {answer}");
                assert!(waited <= patience(&id) + ANSWER_SLACK, "{id}: {answer} after {waited:?}");
                assert_eq!(client.receive(), "", "{id}: a second answer");
            });
        }
    });
    let told = told.lock().unwrap();
    for (id, Told { attempts, left_at_rejection }) in told.iter() {
        let whole = patience(id).as_secs_f64();
        assert!(attempts[0] <= whole, "{id}: {attempts:?} told");
        let left = left_at_rejection.unwrap_or(whole);
        for time in &attempts[1..] {
            assert!(*time <= left + 0.001, "{id}: {time} told, {left} left at most");
        }
    }
    assert!(told.len() >= 10, "{told:?}");
    assert!(told.values().any(|of_job| of_job.attempts.len() > 1), "no retry: {told:?}");
}

/// The process is held up while the connection to a worker comes up: it reads its clock after that, and tells what is left
/// then, or nothing if nothing is.
#[test]
fn a_process_held_up_before_its_first_byte_tells_what_is_left_after_it() {
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let mut narrow = FullBacklogServer::new("s-00000001");
    let scheduler = SchedulerProcess::start_with_changes(&[&narrow.server], &discovery.server, &[SLOW_DIALS]);
    let mut client = scheduler.connect();
    client.send(&last_job("view", "a1", "5.000"));
    let sent = Instant::now();
    scheduler.wait_for_counters("forwards=1 dials=1");
    scheduler.freeze();
    narrow.free_backlog();
    let mut forward = narrow.server.accept();
    std::thread::sleep(HOLD_UP);
    let left = 5.0 - sent.elapsed().as_secs_f64();
    scheduler.signal("CONT");
    let told = number(&forward.receive(), "X-Time-Left");
    assert!(told <= left + 0.001 && told > 0.0, "{told} told, {left} left");
    forward.send(&response("202 Accepted", ""));
    scheduler.call_back(&done("a1", "s-00000001"));
    assert!(client.receive_response().ends_with("s-00000001"));
}

// ---- a process that is held up

/// The process is held up at drawn moments for as long as the operators hold it up, while requests come and workers are in
/// trouble: each has one final answer in time, and no attempt tells more than the client had left when it sent.
#[test]
fn a_process_held_up_at_drawn_moments_answers_every_request_in_time() {
    let workers: Vec<Server> = (1..=3).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let known: Vec<&Server> = workers.iter().collect();
    Trouble::Ignores.at(&workers[0]);
    Trouble::Forgets.at(&workers[1]);
    Trouble::Resets.at(&workers[2]);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&known, &discovery.server, &[MANY_SOCKETS]);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..24)
            .map(|n| {
                let (at, seconds) = (scheduler.address, ["0.050", "0.200", "0.700"][n % 3]);
                scope.spawn(move || {
                    for turn in 0..4 {
                        let whole = Duration::from_secs_f64(seconds.parse().unwrap());
                        let mut client = connect(at);
                        client.send(&last_job(["view", "lodge"][n % 2], &format!("a{n}-{turn}"), seconds));
                        let sent = Instant::now();
                        let answer = client.receive_response();
                        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
                        let waited = sent.elapsed();
                        assert!(waited <= whole + ANSWER_SLACK, "{seconds} s: {answer} after {waited:?}");
                        assert_eq!(client.receive(), "", "a second answer");
                    }
                })
            })
            .collect();
        let mut moments = fastrand::Rng::with_seed(7);
        while !clients.iter().all(|client| client.is_finished()) {
            scheduler.freeze();
            std::thread::sleep(HOLD_UP);
            scheduler.signal("CONT");
            std::thread::sleep(Duration::from_millis(moments.u64(100..400)));
        }
    });
}

/// A worker begins to drain, and the connection that a job is to go by comes up, while the process is held up: what it still
/// gets comes within the grace of the drain, and it gets nothing more.
#[test]
fn a_process_held_up_while_a_worker_begins_to_drain_keeps_within_the_grace() {
    const GRACE: Duration = Duration::from_secs(1);
    let (mut narrow, two) = (FullBacklogServer::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[narrow.server.entry("active")]);
    let changes = [LONG_DEADLINES, SLOW_DIALS];
    let scheduler = SchedulerProcess::start_with_changes(&[&narrow.server], &discovery.server, &changes);
    discovery.wait_for_calls("from=2", 1);
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    scheduler.freeze();
    narrow.free_backlog();
    let line = narrow.server.accept();
    discovery.publish(&[narrow.server.entry("leaving"), two.entry("active")]);
    let told = Instant::now();
    let (at, draining) = (scheduler.address, narrow.server.name.clone());
    std::thread::spawn(move || serve_connection(line, &draining, at));
    serve_all(&scheduler, &[&two]);
    std::thread::sleep(HOLD_UP);
    scheduler.signal("CONT");
    let answer = client.receive_response();
    assert!(answer.ends_with(&two.name) || told.elapsed() < GRACE, "{answer} after {:?}", told.elapsed());
    discovery.wait_for_calls("from=3", 1);
    // So many that the odd one would try the other worker.
    for n in 0..80 {
        assert!(is_served_by(&scheduler, &two, &format!("b{n}")), "b{n}");
    }
}

/// A client closes, and its first attempt comes back unstarted, while the process is held up: no other attempt begins.
#[test]
fn no_attempt_begins_for_a_client_that_closed_while_the_process_was_held_up() {
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]);
    let scheduler =
        SchedulerProcess::start_with_changes(&[&one], &discovery.server, &[LONG_DEADLINES, MANY_SOCKETS]);
    discovery.wait_for_calls("from=2", 1);
    let pairs: Vec<(HttpConnection, HttpConnection)> = (0..8)
        .map(|n| {
            let mut client = scheduler.connect();
            client.send(&job("view", &format!("a{n}"), "19.000"));
            let mut first = one.accept();
            assert_eq!(job_id(&first.receive()), Some(format!("a{n}")));
            (client, first)
        })
        .collect();
    discovery.publish(&[one.entry("leaving"), two.entry("active")]);
    discovery.wait_for_calls("from=3", 1);
    scheduler.freeze();
    let mut firsts = Vec::new();
    for (n, (client, mut first)) in pairs.into_iter().enumerate() {
        // The order in which the kernel tells of both differs.
        if n % 2 == 0 {
            first.send(REJECTED_UNSTARTED);
            client.send_and_close("");
        } else {
            client.send_and_close("");
            first.send(REJECTED_UNSTARTED);
        }
        firsts.push(first);
    }
    std::thread::sleep(HOLD_UP);
    scheduler.signal("CONT");
    scheduler.wait_for_counters("flows=8 gone=8");
    // The first job that the other worker hears is that of a client that waits.
    let mut client = scheduler.connect();
    client.send(&job("view", "b1", "19.000"));
    serve(&scheduler, &mut two.accept(), &two, "b1");
    assert!(client.receive_response().ends_with(&two.name));
}

// ---- shutdown

/// What became of a request.
#[derive(Debug)]
struct Sent {
    sent: Instant,
    ended: Instant,
    answered: bool,
}

/// Workers hang through a whole shutdown with deadlines of 0.5 s, and SIGKILL comes as early as it may: 1.2 s after SIGTERM.
/// Clients go on on their connections, and on new ones: all that is read is answered before the kill.
#[test]
fn a_shutdown_with_hanging_workers_answers_all_that_it_reads_before_an_early_kill() {
    const KILL_AFTER: Duration = Duration::from_millis(1200);
    const STAYS_OPEN: Duration = Duration::from_millis(850);
    let workers = workers_in_trouble(&[Trouble::Ignores, Trouble::Forgets, Trouble::Hangs]);
    let known: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let short = (r#""aim":900000000,"give_up":5000000000"#, r#""aim":200000000,"give_up":500000000"#);
    let changes = [short, TWO_SCHEDULERS, MANY_SOCKETS];
    let mut scheduler = SchedulerProcess::start_with_changes(&known, &discovery.server, &changes);
    let at = scheduler.address;
    let requests: Mutex<Vec<Sent>> = Mutex::default();
    let over = AtomicBool::new(false);
    let (asked, kill) = std::thread::scope(|scope| {
        let ends_clients = EndsClients(&over);
        for n in 0..16 {
            let (requests, over) = (&requests, &over);
            scope.spawn(move || {
                let mut turn = 0;
                // So that their requests fall on all moments of the shutdown.
                std::thread::sleep(Duration::from_millis(30 * n as u64));
                while let Ok(stream) = TcpStream::connect(at) {
                    let mut client = HttpConnection::new(stream);
                    loop {
                        turn += 1;
                        let sent = Instant::now();
                        let text = job(["view", "lodge"][n % 2], &format!("a{n}-{turn}"), "0.500");
                        if client.try_send(&text).is_err() {
                            break;
                        }
                        let message = client.receive();
                        let ended = Instant::now();
                        requests.lock().unwrap().push(Sent { sent, ended, answered: !message.is_empty() });
                        if message.is_empty() || message.contains("Connection: close") {
                            break;
                        }
                    }
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                }
            });
        }
        for n in 0..8 {
            let mut resting = connect(at);
            resting.send("GET /healthz HTTP/1.1\r\n\r\n");
            assert!(resting.receive_response().ends_with("ready"));
            scope.spawn(move || {
                // Its next request crosses the end of its connection: it is read for nobody, and never forwarded.
                assert!(resting.wait_until_closed());
                let _ = resting.try_send(&job("view", &format!("resting{n}"), "0.500"));
                assert_eq!(resting.receive(), "");
            });
        }
        std::thread::sleep(Duration::from_millis(600));
        scheduler.signal("TERM");
        let asked = Instant::now();
        std::thread::sleep(KILL_AFTER.saturating_sub(asked.elapsed()));
        let kill = scheduler.is_running().then(Instant::now);
        drop(ends_clients);
        if kill.is_some() {
            scheduler.signal("KILL");
        }
        (asked, kill)
    });
    let requests = requests.into_inner().unwrap();
    let unanswered: Vec<&Sent> = requests.iter().filter(|request| !request.answered).collect();
    // Connections stay open for the notice; one that closes later with no answer had not been read.
    let sent_at = unanswered.iter().map(|request| request.sent.saturating_duration_since(asked));
    assert!(sent_at.clone().all(|at| at > STAYS_OPEN), "{:?}", sent_at.collect::<Vec<_>>());
    let late = requests.iter().filter(|request| request.sent > asked).count();
    assert!(late > 16, "{late} requests after SIGTERM");
    if let Some(kill) = kill {
        // Whatever a process that still ran had not answered was on its way to it just then.
        let found_open = unanswered.iter().filter(|request| request.ended >= kill);
        let waited: Vec<Duration> =
            found_open.map(|request| kill.saturating_duration_since(request.sent)).collect();
        assert!(waited.iter().all(|waited| *waited < HOLD_UP), "{waited:?}");
    } else {
        let counters = scheduler.wait_for_log("counters: ");
        let number = |name: &str| -> usize {
            let mut words = counters.split([' ', ';']).filter_map(|word| word.split_once('='));
            words.find(|word| word.0 == name).unwrap().1.parse().unwrap()
        };
        let answered = requests.len() - unanswered.len();
        assert_eq!(number("flows") + number("turned_back"), answered, "{counters}");
        assert_eq!(number("served") + number("refused") + number("failed"), number("flows"), "{counters}");
    }
}

/// Requests that came in one piece with one that is answered at the end of a process have been read with it: each has its
/// answer too.
#[test]
fn requests_read_together_are_all_answered_when_the_process_ends() {
    let workers = workers_in_trouble(&[Trouble::Ignores]);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let short = (r#""aim":900000000,"give_up":5000000000"#, r#""aim":900000000,"give_up":3000000000"#);
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&workers[0]], &discovery.server, &[short, TWO_SCHEDULERS]);
    let mut client = scheduler.connect();
    client.send("GET /healthz HTTP/1.1\r\n\r\n");
    assert!(client.receive_response().ends_with("ready"));
    scheduler.signal("TERM");
    scheduler.wait_for_log("asked to end");
    std::thread::sleep(Duration::from_millis(800));
    let all: String = (0..4).map(|n| job("lodge", &format!("a{n}"), "3.000")).collect();
    client.send(&all);
    let answers: Vec<String> = (0..4).map(|_| client.receive_response()).collect();
    assert_eq!(
        answers,
        [
            "HTTP/1.1 502 Bad Gateway | failed",
            "HTTP/1.1 503 Service Unavailable | no room",
            "HTTP/1.1 503 Service Unavailable | no room",
            "HTTP/1.1 503 Service Unavailable | no room",
        ]
    );
    assert!(client.wait_until_closed());
    assert!(scheduler.wait_for_exit());
}

// ---- connections of workers that end

/// A worker closes or resets an idle connection in the moment in which the next request comes: nothing is written to it.
#[test]
fn an_idle_connection_that_its_worker_ends_as_a_request_comes_is_not_used() {
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&worker], &discovery.server);
    let ways: [fn(HttpConnection); 2] = [|line| line.send_and_close(""), HttpConnection::reset];
    for (n, end) in ways.into_iter().enumerate() {
        let (before, after) = (format!("a{n}"), format!("b{n}"));
        let mut client = scheduler.connect();
        client.send(&job("lodge", &before, "3.000"));
        let mut idle = worker.accept();
        serve(&scheduler, &mut idle, &worker, &before);
        assert!(client.receive_response().ends_with(&worker.name));
        scheduler.freeze();
        client.send(&job("lodge", &after, "3.000"));
        end(idle);
        scheduler.signal("CONT");
        let mut fresh = worker.accept();
        serve(&scheduler, &mut fresh, &worker, &after);
        assert!(client.receive_response().ends_with(&worker.name), "{after}");
        fresh.reset();
    }
    assert_eq!(scheduler.counters(&["dials", "reused", "Reset"]), "Reset=0 dials=4 reused=0");
}

/// A worker forgets a connection that was idle for as long as the settings say, and says nothing of it: a request written
/// to it from then on would end as a reset.
#[test]
fn an_idle_connection_is_not_used_beyond_the_time_for_which_workers_keep_it() {
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let keepalive = (r#""keepalive":60000000000"#, r#""keepalive":800000000"#);
    let scheduler = SchedulerProcess::start_with_changes(&[&worker], &discovery.server, &[keepalive]);
    let mut client = scheduler.connect();
    let mut forgotten = Vec::new();
    for id in ["a1", "a2", "a3"] {
        client.send(&job("lodge", id, "3.000"));
        let mut line = worker.accept();
        serve(&scheduler, &mut line, &worker, id);
        assert!(client.receive_response().ends_with(&worker.name), "{id}");
        forgotten.push(line);
        std::thread::sleep(Duration::from_millis(800));
    }
    assert_eq!(scheduler.counters(&["dials", "reused"]), "dials=3 reused=0");
    assert!(forgotten.iter_mut().all(HttpConnection::wait_until_closed));
}

// ---- discovery

/// Each call is answered after this long.
fn answer_slowly(discovery: &Server, list: String, after: Duration) -> Receiver<String> {
    let (tell, calls) = channel();
    let comers = IncomingConnections::new(&[discovery]);
    std::thread::spawn(move || {
        while let Some((_, mut line)) = comers.next_without_timeout() {
            let (list, tell) = (list.clone(), tell.clone());
            std::thread::spawn(move || {
                loop {
                    let call = line.receive();
                    if call.is_empty() || tell.send(call).is_err() {
                        return;
                    }
                    std::thread::sleep(after);
                    if line.try_send(&response("200 OK", &list)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    calls
}

/// Discovery is asked, is crowded and answers each call late: its list is taken in, and not asked for ever anew.
#[test]
fn a_list_that_comes_slowly_is_taken_in_within_the_time_at_which_it_counts_as_told() {
    let (discovery, worker) = (Server::new("d"), Server::new("s-00000001"));
    let calls =
        answer_slowly(&discovery, list(7, true, &[worker.entry("active")]), Duration::from_millis(1500));
    let asks = (r#""registry_mode":"automatic""#, r#""registry_mode":"subscribe""#);
    let bound = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let scheduler = SchedulerProcess::start_with_changes(&[], &discovery, &[asks, bound]);
    calls.recv_timeout(Duration::from_secs(10)).unwrap();
    let first_call = Instant::now();
    wait_until("a list", || scheduler.counters(&["lists"]) != "lists=0");
    assert!(first_call.elapsed() < Duration::from_secs(6), "{:?}", first_call.elapsed());
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "3.000"));
    serve(&scheduler, &mut worker.accept(), &worker, "a1");
    assert!(client.receive_response().ends_with(&worker.name));
}

/// Discovery is down for longer than any disruption of the bench: the last list serves all the while, and what has changed
/// counts at its return, where lists are pushed and where they are asked for. One more process is told to end just then.
#[test]
fn a_long_outage_of_discovery_costs_nothing_but_news() {
    const OUTAGE: Duration = Duration::from_secs(21);
    const TOLD: Duration = Duration::from_secs(6);
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let bound = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let agents = [(); 3].map(|()| DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]));
    let start = |agent: &DiscoveryAgent, mode: &str| {
        let mode = format!(r#""registry_mode":"{mode}""#);
        let changes = [(r#""registry_mode":"automatic""#, &*mode), bound, LONG_DEADLINES];
        SchedulerProcess::start_with_changes(&[&one], &agent.server, &changes)
    };
    let (pushed, asked) = (start(&agents[0], "automatic"), start(&agents[1], "subscribe"));
    let mut ending = start(&agents[2], "automatic");
    agents.iter().for_each(|agent| agent.wait_for_calls("from=2", 1));
    // Each scheduler's call-backs go to itself, so each job is served by hand.
    let serve_at = |scheduler: &SchedulerProcess, worker: &Server, id: &str| {
        let mut client = scheduler.connect();
        client.send(&job("view", id, "19.000"));
        serve(scheduler, &mut worker.accept(), worker, id);
        assert!(client.receive_response().ends_with(&worker.name), "{id}");
    };
    let begun = Instant::now();
    let mut turn = 0;
    while begun.elapsed() < OUTAGE {
        let mode = if turn % 2 == 0 { AgentMode::Silent } else { AgentMode::Refuses };
        agents.iter().for_each(|agent| agent.set_mode(mode));
        for scheduler in [&pushed, &asked, &ending] {
            serve_at(scheduler, &one, &format!("a{turn}"));
        }
        turn += 1;
        std::thread::sleep(Duration::from_secs(3));
    }
    let returned = Instant::now();
    for agent in &agents {
        agent.publish(&[one.entry("leaving"), two.entry("active")]);
        agent.set_mode(AgentMode::Answers);
    }
    ending.signal("TERM");
    agents[2].wait_for_calls("from=3", 1);
    serve_at(&ending, &two, "b1");
    agents.iter().for_each(|agent| agent.wait_for_calls("from=3", 1));
    assert!(returned.elapsed() < TOLD, "{:?}", returned.elapsed());
    serve_at(&pushed, &two, "b2");
    serve_at(&asked, &two, "b3");
    assert!(ending.wait_for_exit());
}

/// New configurations come in quick succession, each with another discovery, and requests cross them: every one is served,
/// and the last configuration is the one that holds.
#[test]
fn the_last_of_many_configurations_in_quick_succession_holds_and_no_request_is_lost() {
    const CONFIGURATIONS: usize = 5;
    let workers: Vec<Server> = (1..=CONFIGURATIONS).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let agents: Vec<DiscoveryAgent> =
        workers.iter().map(|w| DiscoveryAgent::new(AgentMode::Answers, &[w.entry("active")])).collect();
    // One of those on the way says nothing: a call hangs there when the next configuration comes.
    agents[2].set_mode(AgentMode::Silent);
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&workers[0]], &agents[0].server, &[MANY_SOCKETS]);
    serve_all(&scheduler, &workers.iter().collect::<Vec<_>>());
    agents[0].wait_for_calls("from=2", 1);
    let (at, over, served) = (scheduler.address, AtomicBool::new(false), Mutex::new(0));
    std::thread::scope(|scope| {
        let ends_clients = EndsClients(&over);
        for n in 0..4 {
            let (over, served) = (&over, &served);
            scope.spawn(move || {
                for turn in 0.. {
                    let mut client = connect(at);
                    client.send(&job("view", &format!("a{n}-{turn}"), "3.000"));
                    let answer = client.receive_response();
                    assert!(answer.starts_with("HTTP/1.1 "), "a{n}-{turn}: {answer}");
                    *served.lock().unwrap() += usize::from(answer.starts_with("HTTP/1.1 200"));
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for pair in agents.windows(2) {
            let [old, new] = pair else { unreachable!() };
            scheduler.reload(&old.server.address().to_string(), &new.server.address().to_string());
            // Less than a call of discovery may take; sometimes no time at all.
            std::thread::sleep(Duration::from_millis(if std::ptr::eq(old, &agents[1]) { 0 } else { 120 }));
        }
        let last = &agents[CONFIGURATIONS - 1];
        last.wait_for_calls("GET /v1/servers HTTP", 1);
        let asked = Instant::now();
        wait_until("the last list", || is_served_by(&scheduler, &workers[CONFIGURATIONS - 1], "b0"));
        // After SIGHUP what discovery has counts 4 s later.
        assert!(asked.elapsed() < Duration::from_secs(4), "{:?}", asked.elapsed());
        for n in 0..10 {
            assert!(is_served_by(&scheduler, &workers[CONFIGURATIONS - 1], &format!("c{n}")));
        }
        drop(ends_clients);
    });
    assert!(*served.lock().unwrap() > 20, "{served:?}");
    assert!(scheduler.is_running());
}

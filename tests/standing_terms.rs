//! Guarantees to operators, tested on real sockets: the built program runs between scripted clients, workers and
//! discovery, and each test forces the situation in which a guarantee could be violated. See
//! docs/design/0008-endings.md.

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

/// How long after the deadline of its request a final answer may arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long the process is paused with SIGSTOP.
const PAUSE: Duration = Duration::from_millis(150);
/// Enough sockets for the connections of many clients.
const MANY_SOCKETS: (&str, &str) = (r#""sockets":64"#, r#""sockets":512"#);
/// A long timeout for connecting to workers.
const LONG_DIAL_TIMEOUT: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);
/// Long deadlines, so that no request times out during a test.
const LONG_DEADLINES: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// A second scheduler serves the same clients.
const TWO_SCHEDULERS: (&str, &str) = (r#""balancers":1"#, r#""balancers":2"#);
/// A worker's response that rejects a job before starting it.
const REJECTED_UNSTARTED: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// Opens a new client connection to a process.
fn connect(address: SocketAddr) -> HttpConnection {
    HttpConnection::new(TcpStream::connect(address).unwrap())
}

/// A worker's call-back that a job is done, with the worker's name as the result.
fn done_call_back(id: &str, worker: &str) -> String {
    format!(r#"{{"id":"{id}","from":"{worker}","state":"done","result":"{worker}"}}"#)
}

/// Sets the stop flag of the clients of a test when dropped, also if the test fails.
struct StopClientsOnDrop<'a>(&'a AtomicBool);

impl Drop for StopClientsOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The numeric value of a header of a request.
fn header_number(head: &str, name: &str) -> f64 {
    let value = head.lines().find_map(|header| header.strip_prefix(&format!("{name}: ")));
    value.unwrap_or_else(|| panic!("no {name} header: {head}")).parse().unwrap()
}

/// The id of a forwarded job; `None` for any other message.
fn job_id(head: &str) -> Option<String> {
    let id = head.lines().find_map(|header| header.strip_prefix("X-Correlation-Id: "));
    id.filter(|_| head.starts_with("POST ")).map(str::to_string)
}

/// A job request that asks for the connection to be closed after the answer.
fn job_with_connection_close(class: &str, id: &str, seconds: &str) -> String {
    job(class, id, seconds).replace("Host: h\r\n", "Host: h\r\nConnection: close\r\n")
}

/// Receives the next job on a connection of a worker and serves it.
fn serve_next_job(scheduler: &SchedulerProcess, connection: &mut HttpConnection, worker: &Server, id: &str) {
    let head = connection.receive();
    assert_eq!(job_id(&head).as_deref(), Some(id), "{head}");
    connection.send(&response("202 Accepted", ""));
    scheduler.call_back(&done_call_back(id, &worker.name));
}

/// Serves every job that these workers receive from now on, until the test ends.
fn serve_all_jobs(scheduler: &SchedulerProcess, workers: &[&Server]) {
    let (connections, address) = (IncomingConnections::new(workers), scheduler.address);
    std::thread::spawn(move || {
        while let Some((worker, connection)) = connections.next_without_timeout() {
            std::thread::spawn(move || serve_connection(connection, &worker, address));
        }
    });
}

/// Serves every job that a worker receives on a connection of the process at this address.
fn serve_connection(mut connection: HttpConnection, worker: &str, address: SocketAddr) {
    while let Some(id) = job_id(&connection.receive()) {
        if connection.try_send(&response("202 Accepted", "")).is_err() {
            return;
        }
        let Ok(stream) = TcpStream::connect(address) else { return };
        let (mut caller, body) = (HttpConnection::new(stream), done_call_back(&id, worker));
        let length = body.len();
        let call = format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        if caller.try_send(&call).is_ok() {
            caller.receive();
        }
    }
}

/// Sends a job on a new connection and returns whether this worker served it.
fn is_served_by(scheduler: &SchedulerProcess, worker: &Server, id: &str) -> bool {
    // An affinity key of its own, so that no worker is preferred.
    scheduler.request(&job("view", id, "3.000").replace("/7f", &format!("/{id}")))
        == format!("HTTP/1.1 200 OK | {}", worker.name)
}

/// How a faulty worker behaves.
#[derive(Clone, Copy, Debug)]
enum WorkerFault {
    /// It never reads.
    Hangs,
    /// It reads requests and does not respond.
    Ignores,
    /// It accepts the job and never sends a call-back.
    Forgets,
    /// It resets the connection.
    Resets,
    /// It closes the connection.
    Closes,
    /// Its response is not HTTP.
    SendsGarbage,
    /// It closes the connection in the middle of the head of its response.
    TruncatesHead,
    /// The body of its response never ends.
    SendsEndlessBody,
    /// It rejects the job before starting it.
    RejectsUnstarted,
}

impl WorkerFault {
    /// Makes a worker behave like this from now on, until the test ends.
    fn apply_to(self, worker: &Server) {
        let connections = IncomingConnections::new(&[worker]);
        std::thread::spawn(move || {
            let mut unread = Vec::new();
            while let Some((_, connection)) = connections.next_without_timeout() {
                match self {
                    WorkerFault::Hangs => unread.push(connection),
                    _ => _ = std::thread::spawn(move || self.handle_connection(connection)),
                }
            }
        });
    }

    /// Responds to the requests on one connection.
    fn handle_connection(self, mut connection: HttpConnection) {
        while job_id(&connection.receive()).is_some() {
            let result = match self {
                WorkerFault::Hangs | WorkerFault::Ignores => Ok(()),
                WorkerFault::Forgets => connection.try_send(&response("202 Accepted", "")),
                WorkerFault::Resets => return connection.reset(),
                WorkerFault::Closes => return,
                WorkerFault::SendsGarbage => connection.try_send("\0\u{1} 202 for you\r\n\r\n"),
                WorkerFault::TruncatesHead => return connection.send_and_close("HTTP/1.1 202 Acc"),
                WorkerFault::SendsEndlessBody => {
                    connection.try_send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nand so on")
                }
                WorkerFault::RejectsUnstarted => connection.try_send(REJECTED_UNSTARTED),
            };
            if result.is_err() {
                return;
            }
        }
    }
}

/// Starts workers with these faults. Their names are numbered in this order.
fn start_faulty_workers(faults: &[WorkerFault]) -> Vec<Server> {
    let start = |(n, fault): (usize, &WorkerFault)| {
        let worker = Server::new(&format!("s-{:08x}", n + 1));
        fault.apply_to(&worker);
        worker
    };
    faults.iter().enumerate().map(start).collect()
}

// ---- one final answer for every request, in time

/// Neither faulty workers nor misbehaving clients may leave a request without its final answer.
#[test]
fn every_request_gets_exactly_one_answer_in_time_despite_faulty_workers_and_clients() {
    use WorkerFault::*;
    const REQUEST_COUNT: usize = 54;
    let workers = start_faulty_workers(&[
        Hangs,
        Ignores,
        Forgets,
        Resets,
        Closes,
        SendsGarbage,
        TruncatesHead,
        SendsEndlessBody,
        RejectsUnstarted,
    ]);
    let targets: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&targets, &discovery.server, &[MANY_SOCKETS]);
    // Misbehaving clients in parallel. Most keep their connections open until the end of the test.
    let mut misbehaving_clients = Vec::new();
    for n in 0..6 {
        let mut incomplete = scheduler.connect();
        incomplete.send("POST /view/7f HTTP/1.1\r\nContent-Length: 9\r\n\r\nhi");
        let mut malformed = scheduler.connect();
        malformed.send("GARBAGE\r\n\r\n");
        let mut endless = scheduler.connect();
        let _ = endless.try_send(&"x".repeat(200_000));
        misbehaving_clients.extend([incomplete, malformed, endless]);
        scheduler.connect().send_and_close(&job("view", &format!("gone{n}"), "3.000"));
    }
    std::thread::scope(|scope| {
        for n in 0..REQUEST_COUNT {
            let (address, class) = (scheduler.address, ["view", "lodge"][n % 2]);
            scope.spawn(move || {
                let mut client = connect(address);
                client.send(&job_with_connection_close(class, &format!("a{n}"), "1.000"));
                let sent = Instant::now();
                let answer = client.receive_response();
                let elapsed = sent.elapsed();
                let statuses = ["HTTP/1.1 502", "HTTP/1.1 503"];
                assert!(
                    statuses.iter().any(|status| answer.starts_with(status)),
                    "a{n}: {answer} after {elapsed:?}"
                );
                assert!(elapsed <= Duration::from_secs(1) + ANSWER_SLACK, "a{n}: {answer} after {elapsed:?}");
                assert_eq!(client.receive(), "", "a{n}: a second answer after {answer}");
            });
        }
    });
    let forwards = scheduler.counters(&["forwards"]);
    assert!(forwards["forwards=".len()..].parse::<usize>().unwrap() >= REQUEST_COUNT / 2, "{forwards}");
    drop(misbehaving_clients);
}

/// An attempt that fails at once may be retried, but there must be no more than the permitted attempts and one answer.
#[test]
fn immediate_failures_lead_to_one_answer_within_the_permitted_attempts() {
    let worker = Server::new("s-00000001");
    WorkerFault::Resets.apply_to(&worker);
    // Nothing listens at these addresses: each connection attempt is refused at once.
    let refusing_entry = |n: usize| {
        let entry = Server::new(&format!("s-{n:08x}")).entry("active");
        let (before, rest) = entry.split_once(r#""dial":""#).unwrap();
        let (_, after) = rest.split_once('"').unwrap();
        format!(r#"{before}"dial":"127.0.0.1:1"{after}"#)
    };
    let mut entries: Vec<String> = (2..=6).map(refusing_entry).collect();
    entries.push(worker.entry("active"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &entries);
    let scheduler = SchedulerProcess::start(&[], &discovery.server);
    discovery.wait_for_calls("from=2", 1);
    for n in 0..12 {
        let mut client = scheduler.connect();
        client.send(&job_with_connection_close(["view", "lodge"][n % 2], &format!("a{n}"), "3.000"));
        let sent = Instant::now();
        let answer = client.receive_response();
        assert!(answer.starts_with("HTTP/1.1 50"), "a{n}: {answer}");
        assert!(sent.elapsed() <= Duration::from_secs(3) + ANSWER_SLACK, "a{n}: {:?}", sent.elapsed());
        assert_eq!(client.receive(), "", "a{n}: a second answer");
    }
    let counters = scheduler.counters(&["flows", "forwards"]);
    let forwards: usize = counters.split_once("forwards=").unwrap().1.parse().unwrap();
    // One or two attempts per request.
    assert!((12..=24).contains(&forwards), "{counters}");
}

/// Clients stop in the middle of a request and keep the connection open. They must get an error or a close within 3 s.
#[test]
fn a_client_that_stops_in_the_middle_of_a_request_gets_an_error_or_close_in_time() {
    const ERROR_DEADLINE: Duration = Duration::from_secs(3);
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start_with_changes(&[&worker], &discovery.server, &[MANY_SOCKETS]);
    let complete = job("view", "a1", "3.000");
    let chunked = complete.replace("Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n");
    let prefixes = [
        String::new(),
        complete[..7].to_string(),
        complete[..40].to_string(),
        complete[..complete.len() - 2].to_string(),
        complete[..complete.len() - 1].to_string(),
        format!("{chunked}5"),
        format!("{chunked}5\r\nhel"),
        format!("{chunked}5\r\nhello\r\n0\r\n"),
    ];
    std::thread::scope(|scope| {
        for (n, prefix) in prefixes.iter().enumerate() {
            for used_before in [false, true] {
                // An idle connection after a request need not be closed.
                if used_before && prefix.is_empty() {
                    continue;
                }
                let address = scheduler.address;
                scope.spawn(move || {
                    let start = Instant::now();
                    let mut client = connect(address);
                    if used_before {
                        client.send("GET /healthz HTTP/1.1\r\n\r\n");
                        assert!(client.receive_response().ends_with("ready"));
                    }
                    client.send(prefix);
                    let answer = client.receive_response();
                    assert!(answer.starts_with("HTTP/1.1 408") || prefix.is_empty(), "{n}: {answer}");
                    assert!(start.elapsed() < ERROR_DEADLINE, "{n}: {answer} after {:?}", start.elapsed());
                    assert_eq!(client.receive(), "", "{n}: data after the error");
                });
            }
        }
        // The same holds for a client that keeps sending single bytes and never finishes.
        let address = scheduler.address;
        scope.spawn(move || {
            let (start, mut client) = (Instant::now(), connect(address));
            client.send(&complete[..40]);
            while start.elapsed() < Duration::from_millis(2200) {
                let _ = client.try_send("x");
                std::thread::sleep(Duration::from_millis(100));
            }
            assert!(client.receive_response().starts_with("HTTP/1.1 408"));
            assert!(start.elapsed() < ERROR_DEADLINE, "{:?}", start.elapsed());
        });
    });
    assert_eq!(scheduler.counters(&["flows", "forwards"]), "flows=0 forwards=0");
}

/// More clients than there are descriptors send at once while workers hang: each request that is read must be answered.
#[test]
fn requests_on_new_connections_are_answered_when_descriptors_run_out() {
    const CLIENT_COUNT: usize = 70;
    let workers = start_faulty_workers(&[WorkerFault::Ignores, WorkerFault::Forgets]);
    let targets: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start(&targets, &discovery.server);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let run_client = |n: usize| {
            let address = scheduler.address;
            move || {
                let mut client = connect(address);
                let _ = client.try_send(&job_with_connection_close("lodge", &format!("a{n}"), "0.600"));
                client.receive_response()
            }
        };
        let clients: Vec<_> = (0..CLIENT_COUNT).map(|n| scope.spawn(run_client(n))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let answered = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 50")).count();
    let counters = scheduler.counters(&["flows", "turned_back", "gone", "gone_early"]);
    let values: HashMap<&str, usize> =
        counters.split(' ').filter_map(|c| c.split_once('=')).map(|(k, v)| (k, v.parse().unwrap())).collect();
    assert_eq!(values["flows"] + values["turned_back"], answered, "{counters}: {answers:?}");
    assert!(answered > 64, "no more answers than descriptors: {counters}: {answers:?}");
}

// ---- the remaining time that is sent to workers

/// The remaining times that the attempts of one job sent to their workers, in seconds.
#[derive(Debug, Default)]
struct SentTimes {
    /// `X-Time-Left` of each attempt.
    attempts: Vec<f64>,
    /// The most time that the client can have had left when the first attempt was rejected.
    left_at_rejection: Option<f64>,
}

/// The sent times of all jobs, by job id.
type SentTimesByJob = Arc<Mutex<HashMap<String, SentTimes>>>;

/// Makes workers reject the first attempt of each job unstarted after a while, and ignore the second. A job's id ends with
/// the milliseconds that its client waits.
fn reject_then_ignore(workers: &[&Server]) -> SentTimesByJob {
    let times = SentTimesByJob::default();
    let (connections, shared_times) = (IncomingConnections::new(workers), Arc::clone(&times));
    std::thread::spawn(move || {
        while let Some((_, mut connection)) = connections.next_without_timeout() {
            let times = Arc::clone(&shared_times);
            std::thread::spawn(move || while reject_or_ignore(&mut connection, &times) {});
        }
    });
    times
}

/// Handles the next job on a connection. Returns false when the connection is closed.
fn reject_or_ignore(connection: &mut HttpConnection, times: &SentTimesByJob) -> bool {
    let head = connection.receive();
    // The client has been waiting since before this moment.
    let received = Instant::now();
    let Some(id) = job_id(&head) else { return false };
    let attempts = {
        let mut times = times.lock().unwrap();
        let attempts = &mut times.entry(id.clone()).or_default().attempts;
        attempts.push(header_number(&head, "X-Time-Left"));
        attempts.len()
    };
    if attempts > 1 {
        return true;
    }
    let timeout = client_timeout(&id);
    std::thread::sleep(timeout.mul_f64(0.4));
    let left = timeout.as_secs_f64() - received.elapsed().as_secs_f64();
    times.lock().unwrap().get_mut(&id).unwrap().left_at_rejection = Some(left);
    connection.try_send(REJECTED_UNSTARTED).is_ok()
}

/// How long the client of a job waits, as encoded at the end of the id.
fn client_timeout(id: &str) -> Duration {
    Duration::from_millis(id.rsplit('-').next().unwrap().parse().unwrap())
}

/// First attempts and retries of requests with 5, 50 and 200 ms left, which workers do not answer: no attempt may send
/// more than the remaining time, and each request must get its final answer in time.
#[test]
fn requests_with_little_time_left_send_no_more_to_workers_and_are_answered_in_time() {
    let workers: Vec<Server> = (1..=3).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let targets: Vec<&Server> = workers.iter().collect();
    let times = reject_then_ignore(&targets);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&targets, &discovery.server, &[MANY_SOCKETS]);
    std::thread::scope(|scope| {
        for n in 0..30 {
            let (millis, class) = ([5, 50, 200][n % 3], ["view", "lodge"][n % 2]);
            let address = scheduler.address;
            scope.spawn(move || {
                let id = format!("a{n}-{millis}");
                let mut client = connect(address);
                client.send(&job_with_connection_close(
                    class,
                    &id,
                    &format!("{:.3}", client_timeout(&id).as_secs_f64()),
                ));
                let sent = Instant::now();
                let answer = client.receive_response();
                let elapsed = sent.elapsed();
                assert!(answer.starts_with("HTTP/1.1 50"), "{id}: {answer}");
                assert!(elapsed <= client_timeout(&id) + ANSWER_SLACK, "{id}: {answer} after {elapsed:?}");
                assert_eq!(client.receive(), "", "{id}: a second answer");
            });
        }
    });
    let times = times.lock().unwrap();
    for (id, SentTimes { attempts, left_at_rejection }) in times.iter() {
        let timeout = client_timeout(id).as_secs_f64();
        assert!(attempts[0] <= timeout, "{id}: {attempts:?} s sent");
        let left = left_at_rejection.unwrap_or(timeout);
        for time in &attempts[1..] {
            assert!(*time <= left + 0.001, "{id}: {time} s sent, {left} s left at most");
        }
    }
    assert!(times.len() >= 10, "{times:?}");
    assert!(times.values().any(|job_times| job_times.attempts.len() > 1), "no retry: {times:?}");
}

/// The process is paused while the connection to a worker is being opened: `X-Time-Left` must account for the pause.
#[test]
fn a_process_paused_before_the_first_byte_sends_the_time_left_after_the_pause() {
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let mut backlogged = FullBacklogServer::new("s-00000001");
    let scheduler =
        SchedulerProcess::start_with_changes(&[&backlogged.server], &discovery.server, &[LONG_DIAL_TIMEOUT]);
    let mut client = scheduler.connect();
    client.send(&job_with_connection_close("view", "a1", "5.000"));
    let sent = Instant::now();
    scheduler.wait_for_counters("forwards=1 dials=1");
    scheduler.freeze();
    backlogged.free_backlog();
    let mut forward = backlogged.server.accept();
    std::thread::sleep(PAUSE);
    let left = 5.0 - sent.elapsed().as_secs_f64();
    scheduler.signal("CONT");
    let time_left = header_number(&forward.receive(), "X-Time-Left");
    assert!(time_left <= left + 0.001 && time_left > 0.0, "{time_left} s sent, {left} s left");
    forward.send(&response("202 Accepted", ""));
    scheduler.call_back(&done_call_back("a1", "s-00000001"));
    assert!(client.receive_response().ends_with("s-00000001"));
}

// ---- a paused process

/// The process is paused at random moments while workers are faulty: each request must get one final answer in time.
#[test]
fn a_process_paused_at_random_moments_answers_every_request_in_time() {
    let workers: Vec<Server> = (1..=3).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let targets: Vec<&Server> = workers.iter().collect();
    WorkerFault::Ignores.apply_to(&workers[0]);
    WorkerFault::Forgets.apply_to(&workers[1]);
    WorkerFault::Resets.apply_to(&workers[2]);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let scheduler = SchedulerProcess::start_with_changes(&targets, &discovery.server, &[MANY_SOCKETS]);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..24)
            .map(|n| {
                let (address, seconds) = (scheduler.address, ["0.050", "0.200", "0.700"][n % 3]);
                scope.spawn(move || {
                    for round in 0..4 {
                        let timeout = Duration::from_secs_f64(seconds.parse().unwrap());
                        let mut client = connect(address);
                        client.send(&job_with_connection_close(
                            ["view", "lodge"][n % 2],
                            &format!("a{n}-{round}"),
                            seconds,
                        ));
                        let sent = Instant::now();
                        let answer = client.receive_response();
                        assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
                        let elapsed = sent.elapsed();
                        assert!(elapsed <= timeout + ANSWER_SLACK, "{seconds} s: {answer} after {elapsed:?}");
                        assert_eq!(client.receive(), "", "a second answer");
                    }
                })
            })
            .collect();
        let mut random = fastrand::Rng::with_seed(7);
        while !clients.iter().all(|client| client.is_finished()) {
            scheduler.freeze();
            std::thread::sleep(PAUSE);
            scheduler.signal("CONT");
            std::thread::sleep(Duration::from_millis(random.u64(100..400)));
        }
    });
}

/// While the process is paused, a worker starts to drain and the connection for a job to it opens. The worker may get that
/// job only within the drain grace, and no further ones.
#[test]
fn a_process_paused_while_a_worker_starts_draining_respects_the_drain_grace() {
    const DRAIN_GRACE: Duration = Duration::from_secs(1);
    let (mut backlogged, two) = (FullBacklogServer::new("s-00000001"), Server::new("s-00000002"));
    let discovery = DiscoveryAgent::new(AgentMode::Answers, &[backlogged.server.entry("active")]);
    let changes = [LONG_DEADLINES, LONG_DIAL_TIMEOUT];
    let scheduler = SchedulerProcess::start_with_changes(&[&backlogged.server], &discovery.server, &changes);
    discovery.wait_for_calls("from=2", 1);
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "19.000"));
    scheduler.wait_for_counters("forwards=1 dials=1");
    scheduler.freeze();
    backlogged.free_backlog();
    let connection = backlogged.server.accept();
    discovery.publish(&[backlogged.server.entry("leaving"), two.entry("active")]);
    let drain_start = Instant::now();
    let (address, draining) = (scheduler.address, backlogged.server.name.clone());
    std::thread::spawn(move || serve_connection(connection, &draining, address));
    serve_all_jobs(&scheduler, &[&two]);
    std::thread::sleep(PAUSE);
    scheduler.signal("CONT");
    let answer = client.receive_response();
    assert!(
        answer.ends_with(&two.name) || drain_start.elapsed() < DRAIN_GRACE,
        "{answer} after {:?}",
        drain_start.elapsed()
    );
    discovery.wait_for_calls("from=3", 1);
    // Enough jobs that some would be sent to the other worker if that were permitted.
    for n in 0..80 {
        assert!(is_served_by(&scheduler, &two, &format!("b{n}")), "b{n}");
    }
}

/// While the process is paused, a client disconnects and its first attempt is rejected unstarted: there must be no retry.
#[test]
fn no_retry_follows_for_a_client_that_disconnected_while_the_process_was_paused() {
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
    let mut first_attempts = Vec::new();
    for (n, (client, mut first)) in pairs.into_iter().enumerate() {
        // Both orders in which the process may see the two events.
        if n % 2 == 0 {
            first.send(REJECTED_UNSTARTED);
            client.send_and_close("");
        } else {
            client.send_and_close("");
            first.send(REJECTED_UNSTARTED);
        }
        first_attempts.push(first);
    }
    std::thread::sleep(PAUSE);
    scheduler.signal("CONT");
    scheduler.wait_for_counters("flows=8 gone=8");
    // The first job that the other worker receives is that of a connected client.
    let mut client = scheduler.connect();
    client.send(&job("view", "b1", "19.000"));
    serve_next_job(&scheduler, &mut two.accept(), &two, "b1");
    assert!(client.receive_response().ends_with(&two.name));
}

// ---- shutdown

/// A request of a client and its outcome.
#[derive(Debug)]
struct ClientRequest {
    sent: Instant,
    /// When the answer or the close arrived.
    ended: Instant,
    answered: bool,
}

/// Workers hang during a whole shutdown with deadlines of 0.5 s, and SIGKILL follows as early as permitted, 1.2 s after
/// SIGTERM. Clients keep sending on open and new connections: every request that is read must be answered before the kill.
#[test]
fn a_shutdown_with_hanging_workers_answers_every_request_it_reads_before_an_early_kill() {
    const KILL_AFTER: Duration = Duration::from_millis(1200);
    const MIN_TIME_OPEN: Duration = Duration::from_millis(850);
    let workers = start_faulty_workers(&[WorkerFault::Ignores, WorkerFault::Forgets, WorkerFault::Hangs]);
    let targets: Vec<&Server> = workers.iter().collect();
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let short_deadlines =
        (r#""aim":900000000,"give_up":5000000000"#, r#""aim":200000000,"give_up":500000000"#);
    let changes = [short_deadlines, TWO_SCHEDULERS, MANY_SOCKETS];
    let mut scheduler = SchedulerProcess::start_with_changes(&targets, &discovery.server, &changes);
    let address = scheduler.address;
    let requests: Mutex<Vec<ClientRequest>> = Mutex::default();
    let stop = AtomicBool::new(false);
    let (terminated, killed) = std::thread::scope(|scope| {
        let stop_clients = StopClientsOnDrop(&stop);
        for n in 0..16 {
            let (requests, stop) = (&requests, &stop);
            scope.spawn(move || {
                let mut request_count = 0;
                // Spreads the requests over the shutdown.
                std::thread::sleep(Duration::from_millis(30 * n as u64));
                while let Ok(stream) = TcpStream::connect(address) {
                    let mut client = HttpConnection::new(stream);
                    loop {
                        request_count += 1;
                        let sent = Instant::now();
                        let text = job(["view", "lodge"][n % 2], &format!("a{n}-{request_count}"), "0.500");
                        if client.try_send(&text).is_err() {
                            break;
                        }
                        let message = client.receive();
                        let ended = Instant::now();
                        requests.lock().unwrap().push(ClientRequest {
                            sent,
                            ended,
                            answered: !message.is_empty(),
                        });
                        if message.is_empty() || message.contains("Connection: close") {
                            break;
                        }
                    }
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
            });
        }
        for n in 0..8 {
            let mut idle = connect(address);
            idle.send("GET /healthz HTTP/1.1\r\n\r\n");
            assert!(idle.receive_response().ends_with("ready"));
            scope.spawn(move || {
                // Its next request crosses the close of its connection and is never forwarded.
                assert!(idle.wait_until_closed());
                let _ = idle.try_send(&job("view", &format!("resting{n}"), "0.500"));
                assert_eq!(idle.receive(), "");
            });
        }
        std::thread::sleep(Duration::from_millis(600));
        scheduler.signal("TERM");
        let terminated = Instant::now();
        std::thread::sleep(KILL_AFTER.saturating_sub(terminated.elapsed()));
        let killed = scheduler.is_running().then(Instant::now);
        drop(stop_clients);
        if killed.is_some() {
            scheduler.signal("KILL");
        }
        (terminated, killed)
    });
    let requests = requests.into_inner().unwrap();
    let unanswered: Vec<&ClientRequest> = requests.iter().filter(|request| !request.answered).collect();
    // Connections stay open for this long; a request on one that closes later without an answer was not read.
    let sent_after = unanswered.iter().map(|request| request.sent.saturating_duration_since(terminated));
    assert!(sent_after.clone().all(|after| after > MIN_TIME_OPEN), "{:?}", sent_after.collect::<Vec<_>>());
    let sent_after_sigterm = requests.iter().filter(|request| request.sent > terminated).count();
    assert!(sent_after_sigterm > 16, "{sent_after_sigterm} requests after SIGTERM");
    if let Some(killed) = killed {
        // Requests that a process still running at the kill had not answered must have been sent just before.
        let open_at_kill = unanswered.iter().filter(|request| request.ended >= killed);
        let elapsed: Vec<Duration> =
            open_at_kill.map(|request| killed.saturating_duration_since(request.sent)).collect();
        assert!(elapsed.iter().all(|elapsed| *elapsed < PAUSE), "{elapsed:?}");
    } else {
        let counters = scheduler.wait_for_log("counters: ");
        let value = |name: &str| -> usize {
            let mut entries = counters.split([' ', ';']).filter_map(|entry| entry.split_once('='));
            entries.find(|entry| entry.0 == name).unwrap().1.parse().unwrap()
        };
        let answered = requests.len() - unanswered.len();
        assert_eq!(value("flows") + value("turned_back"), answered, "{counters}");
        assert_eq!(value("served") + value("refused") + value("failed"), value("flows"), "{counters}");
    }
}

/// Pipelined requests that were read together with one that is answered during shutdown must be answered as well.
#[test]
fn pipelined_requests_are_all_answered_when_the_process_shuts_down() {
    let workers = start_faulty_workers(&[WorkerFault::Ignores]);
    let discovery = DiscoveryAgent::new(AgentMode::Silent, &[]);
    let short_deadlines =
        (r#""aim":900000000,"give_up":5000000000"#, r#""aim":900000000,"give_up":3000000000"#);
    let mut scheduler = SchedulerProcess::start_with_changes(
        &[&workers[0]],
        &discovery.server,
        &[short_deadlines, TWO_SCHEDULERS],
    );
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

// ---- connections that workers close

/// A worker closes or resets an idle connection just as the next request arrives: the request must use a new connection.
#[test]
fn an_idle_connection_that_its_worker_closes_as_a_request_arrives_is_not_used() {
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let scheduler = SchedulerProcess::start(&[&worker], &discovery.server);
    let closes: [fn(HttpConnection); 2] = [|connection| connection.send_and_close(""), HttpConnection::reset];
    for (n, close) in closes.into_iter().enumerate() {
        let (before, after) = (format!("a{n}"), format!("b{n}"));
        let mut client = scheduler.connect();
        client.send(&job("lodge", &before, "3.000"));
        let mut idle = worker.accept();
        serve_next_job(&scheduler, &mut idle, &worker, &before);
        assert!(client.receive_response().ends_with(&worker.name));
        scheduler.freeze();
        client.send(&job("lodge", &after, "3.000"));
        close(idle);
        scheduler.signal("CONT");
        let mut fresh = worker.accept();
        serve_next_job(&scheduler, &mut fresh, &worker, &after);
        assert!(client.receive_response().ends_with(&worker.name), "{after}");
        fresh.reset();
    }
    assert_eq!(scheduler.counters(&["dials", "reused", "Reset"]), "Reset=0 dials=4 reused=0");
}

/// Workers silently forget a connection that was idle for the keepalive time of the settings. A request that is written to
/// it after that would end in a reset.
#[test]
fn an_idle_connection_is_not_used_beyond_the_keepalive_time_of_workers() {
    let (discovery, worker) = (DiscoveryAgent::new(AgentMode::Silent, &[]), Server::new("s-00000001"));
    let keepalive = (r#""keepalive":60000000000"#, r#""keepalive":800000000"#);
    let scheduler = SchedulerProcess::start_with_changes(&[&worker], &discovery.server, &[keepalive]);
    let mut client = scheduler.connect();
    let mut forgotten = Vec::new();
    for id in ["a1", "a2", "a3"] {
        client.send(&job("lodge", id, "3.000"));
        let mut connection = worker.accept();
        serve_next_job(&scheduler, &mut connection, &worker, id);
        assert!(client.receive_response().ends_with(&worker.name), "{id}");
        forgotten.push(connection);
        std::thread::sleep(Duration::from_millis(800));
    }
    assert_eq!(scheduler.counters(&["dials", "reused"]), "dials=3 reused=0");
    assert!(forgotten.iter_mut().all(HttpConnection::wait_until_closed));
}

// ---- discovery

/// Makes discovery respond to each call with this list after a delay. Returns the calls that it receives.
fn respond_slowly(discovery: &Server, list: String, delay: Duration) -> Receiver<String> {
    let (sender, calls) = channel();
    let connections = IncomingConnections::new(&[discovery]);
    std::thread::spawn(move || {
        while let Some((_, mut connection)) = connections.next_without_timeout() {
            let (list, sender) = (list.clone(), sender.clone());
            std::thread::spawn(move || {
                loop {
                    let call = connection.receive();
                    if call.is_empty() || sender.send(call).is_err() {
                        return;
                    }
                    std::thread::sleep(delay);
                    if connection.try_send(&response("200 OK", &list)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    calls
}

/// An overloaded discovery responds late to each call: its list must be accepted in time instead of being requested anew.
#[test]
fn a_list_that_arrives_slowly_is_accepted_in_time() {
    let (discovery, worker) = (Server::new("d"), Server::new("s-00000001"));
    let calls =
        respond_slowly(&discovery, list(7, true, &[worker.entry("active")]), Duration::from_millis(1500));
    let subscribe = (r#""registry_mode":"automatic""#, r#""registry_mode":"subscribe""#);
    let must_ask_in = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let scheduler = SchedulerProcess::start_with_changes(&[], &discovery, &[subscribe, must_ask_in]);
    calls.recv_timeout(Duration::from_secs(10)).unwrap();
    let first_call = Instant::now();
    wait_until("a list", || scheduler.counters(&["lists"]) != "lists=0");
    assert!(first_call.elapsed() < Duration::from_secs(6), "{:?}", first_call.elapsed());
    let mut client = scheduler.connect();
    client.send(&job("view", "a1", "3.000"));
    serve_next_job(&scheduler, &mut worker.accept(), &worker, "a1");
    assert!(client.receive_response().ends_with(&worker.name));
}

/// Discovery is down for 21 s: jobs must be served by the last list meanwhile, and changes must arrive in time afterwards, in
/// both registry modes and in a process that starts to shut down when discovery is back.
#[test]
fn a_long_outage_of_discovery_only_delays_list_changes() {
    const OUTAGE: Duration = Duration::from_secs(21);
    const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
    let (one, two) = (Server::new("s-00000001"), Server::new("s-00000002"));
    let must_ask_in = (r#""obligations":{"#, r#""obligations":{"must_ask_in":10000000000,"#);
    let agents = [(); 3].map(|()| DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]));
    let start = |agent: &DiscoveryAgent, mode: &str| {
        let mode = format!(r#""registry_mode":"{mode}""#);
        let changes = [(r#""registry_mode":"automatic""#, &*mode), must_ask_in, LONG_DEADLINES];
        SchedulerProcess::start_with_changes(&[&one], &agent.server, &changes)
    };
    let (automatic, subscribed) = (start(&agents[0], "automatic"), start(&agents[1], "subscribe"));
    let mut shutting_down = start(&agents[2], "automatic");
    agents.iter().for_each(|agent| agent.wait_for_calls("from=2", 1));
    // Each process must get the call-backs of its own jobs, so each job is served individually.
    let serve_at = |scheduler: &SchedulerProcess, worker: &Server, id: &str| {
        let mut client = scheduler.connect();
        client.send(&job("view", id, "19.000"));
        serve_next_job(scheduler, &mut worker.accept(), worker, id);
        assert!(client.receive_response().ends_with(&worker.name), "{id}");
    };
    let start_time = Instant::now();
    let mut round = 0;
    while start_time.elapsed() < OUTAGE {
        let mode = if round % 2 == 0 { AgentMode::Silent } else { AgentMode::Refuses };
        agents.iter().for_each(|agent| agent.set_mode(mode));
        for scheduler in [&automatic, &subscribed, &shutting_down] {
            serve_at(scheduler, &one, &format!("a{round}"));
        }
        round += 1;
        std::thread::sleep(Duration::from_secs(3));
    }
    let restored = Instant::now();
    for agent in &agents {
        agent.publish(&[one.entry("leaving"), two.entry("active")]);
        agent.set_mode(AgentMode::Answers);
    }
    shutting_down.signal("TERM");
    agents[2].wait_for_calls("from=3", 1);
    serve_at(&shutting_down, &two, "b1");
    agents.iter().for_each(|agent| agent.wait_for_calls("from=3", 1));
    assert!(restored.elapsed() < UPDATE_DEADLINE, "{:?}", restored.elapsed());
    serve_at(&automatic, &two, "b2");
    serve_at(&subscribed, &two, "b3");
    assert!(shutting_down.wait_for_exit());
}

/// Configurations are reloaded in quick succession, each with another discovery, while requests arrive: every request must
/// be answered, and the last configuration must be the active one.
#[test]
fn the_last_of_several_quick_reloads_becomes_active_and_no_request_is_lost() {
    const CONFIGURATION_COUNT: usize = 5;
    let workers: Vec<Server> =
        (1..=CONFIGURATION_COUNT).map(|n| Server::new(&format!("s-{n:08x}"))).collect();
    let agents: Vec<DiscoveryAgent> =
        workers.iter().map(|w| DiscoveryAgent::new(AgentMode::Answers, &[w.entry("active")])).collect();
    // One discovery in between does not respond, so a call to it hangs when the next configuration is loaded.
    agents[2].set_mode(AgentMode::Silent);
    let mut scheduler =
        SchedulerProcess::start_with_changes(&[&workers[0]], &agents[0].server, &[MANY_SOCKETS]);
    serve_all_jobs(&scheduler, &workers.iter().collect::<Vec<_>>());
    agents[0].wait_for_calls("from=2", 1);
    let (address, stop, served) = (scheduler.address, AtomicBool::new(false), Mutex::new(0));
    std::thread::scope(|scope| {
        let stop_clients = StopClientsOnDrop(&stop);
        for n in 0..4 {
            let (stop, served) = (&stop, &served);
            scope.spawn(move || {
                for round in 0.. {
                    let mut client = connect(address);
                    client.send(&job("view", &format!("a{n}-{round}"), "3.000"));
                    let answer = client.receive_response();
                    assert!(answer.starts_with("HTTP/1.1 "), "a{n}-{round}: {answer}");
                    *served.lock().unwrap() += usize::from(answer.starts_with("HTTP/1.1 200"));
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
        }
        for pair in agents.windows(2) {
            let [old, new] = pair else { unreachable!() };
            scheduler.reload(&old.server.address().to_string(), &new.server.address().to_string());
            // Less than a call to discovery may take; once no time at all.
            std::thread::sleep(Duration::from_millis(if std::ptr::eq(old, &agents[1]) { 0 } else { 120 }));
        }
        let last = &agents[CONFIGURATION_COUNT - 1];
        last.wait_for_calls("GET /v1/servers HTTP", 1);
        let called = Instant::now();
        wait_until("the last list", || is_served_by(&scheduler, &workers[CONFIGURATION_COUNT - 1], "b0"));
        // The list of discovery must be in use 4 s after SIGHUP.
        assert!(called.elapsed() < Duration::from_secs(4), "{:?}", called.elapsed());
        for n in 0..10 {
            assert!(is_served_by(&scheduler, &workers[CONFIGURATION_COUNT - 1], &format!("c{n}")));
        }
        drop(stop_clients);
    });
    assert!(*served.lock().unwrap() > 20, "{served:?}");
    assert!(scheduler.is_running());
}

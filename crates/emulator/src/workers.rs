//! Workers on sockets. They accept jobs and send callbacks in the platform's protocol; the world of the simulation
//! decides what they do.

use crate::emulation::{Emulation, SentRequest};
use crate::http::{self, Body, ClientConnection};
use hyper::body::Incoming;
use hyper::{Request, Response};
use loomlb_simulation::world::{Attempt, AttemptReply, ConnectResult, JobUpdate, WorkerLoad, World};
use serde_json::{Value, json};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Attempts to deliver a callback before it is lost.
const MAX_CALLBACK_CALLS: u32 = 10;
/// Time between two attempts to deliver a callback.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time limit of an attempt to deliver a callback.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Callbacks that one worker queues for one scheduler; further ones are lost and counted.
const CALLBACK_QUEUE_CAPACITY: usize = 4096;
/// Fraction of the jobs whose 202 response is delayed, so that their first callback may come before it.
const EARLY_CALLBACK_FRACTION: f64 = 0.1;
/// Delay of such a 202 response.
const ACCEPTED_DELAY: Duration = Duration::from_millis(8);
/// Interval at which a listener checks whether the worker's process is running.
const LISTENER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A queued callback: the number of the scheduler's process that was running, and the body.
type QueuedCallback = (u64, String);

/// The queue of callbacks from a worker to a scheduler.
#[derive(Debug)]
pub(crate) struct CallbackQueue {
    /// The address at which the scheduler reaches the worker.
    pub(crate) address: Cell<SocketAddr>,
    sender: mpsc::Sender<QueuedCallback>,
}

pub(crate) fn callback_queue() -> (CallbackQueue, mpsc::Receiver<QueuedCallback>) {
    let (sender, receiver) = mpsc::channel(CALLBACK_QUEUE_CAPACITY);
    (CallbackQueue { address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))), sender }, receiver)
}

/// Opens a listener for every pair of a scheduler and a worker.
pub(crate) async fn open(schedulers: usize, workers: usize) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::with_capacity(schedulers * workers);
    for s in 0..schedulers {
        for w in 0..workers {
            listeners.push(http::bind(64 + s as u8 % 64, w / 250, w).await?);
        }
    }
    Ok(listeners)
}

pub(crate) fn start(
    emulation: &Rc<Emulation>,
    listeners: Vec<TcpListener>,
    receivers: Vec<mpsc::Receiver<QueuedCallback>>,
) {
    let workers = emulation.world.borrow().workers();
    for (i, (listener, receiver)) in listeners.into_iter().zip(receivers).enumerate() {
        let (s, w) = (i / workers, i % workers);
        if let Ok(address) = listener.local_addr() {
            emulation.callback_queues[i].address.set(address);
        }
        spawn_local(accept_connections(Rc::clone(emulation), s, w, listener));
        spawn_local(send_queued_callbacks(Rc::clone(emulation), s, w, receiver));
    }
}

/// Accepts connections while the worker's process is running. Otherwise they are refused.
async fn accept_connections(emulation: Rc<Emulation>, s: usize, w: usize, listener: TcpListener) {
    let address = emulation.callback_queues[s * emulation.connection_resets.len() + w].address.get();
    let mut listener = Some(listener);
    loop {
        if emulation.world.borrow().is_down(w) {
            listener = None;
        } else if listener.is_none() {
            // Only this pair uses the address, so binding succeeds as soon as the kernel has released it.
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open_listener) = &listener else {
            tokio::time::sleep(LISTENER_POLL_INTERVAL).await;
            continue;
        };
        tokio::select! {
            accepted = open_listener.accept() => if let Ok((stream, _)) = accepted {
                let connect_result = emulation.world.borrow_mut().connect(emulation.now(), s, w);
                emulation.wake_driver();
                let mut reset = emulation.connection_resets[w].subscribe();
                let emulation = Rc::clone(&emulation);
                spawn_local(async move {
                    let disconnect = async move { let _ = reset.changed().await; };
                    match connect_result {
                        ConnectResult::Refused => {}
                        ConnectResult::NoResponse => {
                            disconnect.await;
                            drop(stream);
                        }
                        ConnectResult::Connected => {
                            let emulation_for_requests = Rc::clone(&emulation);
                            http::serve(stream, move |r| handle_request(Rc::clone(&emulation_for_requests), s, w, r), disconnect).await;
                            emulation.world.borrow_mut().disconnect(w);
                        }
                    }
                });
            },
            () = tokio::time::sleep(LISTENER_POLL_INTERVAL) => {}
        }
    }
}

async fn handle_request(
    emulation: Rc<Emulation>,
    s: usize,
    w: usize,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let sent_at = emulation.now();
    let (method, path) = (request.method().as_str().to_string(), request.uri().path().to_string());
    if !emulation.world.borrow_mut().reachable(s, w) {
        http::wait_forever().await;
    }
    match (method.as_str(), path.as_str()) {
        ("GET", "/load" | "/healthz") => {
            let report = emulation.world.borrow_mut().probe(emulation.now(), s, w);
            emulation.wake_driver();
            Some(match report {
                Some(report) => http::response(200, format_load(&report)),
                None => http::response(503, ""),
            })
        }
        ("DELETE", path) if path.starts_with("/jobs/") => {
            let request = path.rsplit('/').next().and_then(request_number);
            if let Some(request) = request {
                let now = emulation.now();
                emulation.world.borrow_mut().cancel_request(now, w, request);
                emulation.wake_driver();
            }
            Some(http::response(200, ""))
        }
        ("POST", _) => handle_job(&emulation, s, w, sent_at, &path, request).await,
        _ => Some(http::response(404, "")),
    }
}

/// Parses the number of a request from its id, which has sixteen hexadecimal digits.
pub(crate) fn request_number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16)
}

async fn handle_job(
    emulation: &Rc<Emulation>,
    s: usize,
    w: usize,
    sent_at: u64,
    path: &str,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    let Some(id) = header("X-Correlation-Id") else { return Some(http::response(404, "")) };
    let key = header("Idempotency-Key");
    let body = http::read_body(request.into_body()).await?;
    let (request, sent) = match request_number(&id)
        .and_then(|n| Some((n, emulation.sent_requests.borrow().get(&n).cloned()?)))
    {
        Some((n, sent)) => {
            if sent.path != path || sent.body.as_bytes() != body || sent.key != key {
                emulation.counts.borrow_mut().altered_requests += 1;
            }
            (n, sent)
        }
        None if emulation.options.allow_manual_requests => manual_request(emulation, &id, path)?,
        None => {
            emulation.counts.borrow_mut().unknown_requests += 1;
            return Some(http::response(400, "no client sent this id"));
        }
    };
    let (slots, work, class, subject) = (sent.slots, sent.work, sent.class, sent.subject);
    let attempt = Attempt { request, scheduler: s, slots, work, class, subject, sent: sent_at };
    let reply = emulation.world.borrow_mut().receive_attempt(emulation.now(), w, &attempt);
    emulation.wake_driver();
    let report = emulation.world.borrow_mut().report(emulation.now(), w);
    let with_load = |mut response: Response<Body>| {
        if let Some(value) = report.and_then(|r| format_load(&r).parse().ok()) {
            response.headers_mut().insert("X-Backend-Load", value);
        }
        response
    };
    match reply {
        AttemptReply::Accepted(job) => {
            // The job is cancelled if the connection closes before the 202 response.
            let guard = CancelGuard { emulation, job: Some(job) };
            if emulation.worker_random.borrow_mut().chance(EARLY_CALLBACK_FRACTION) {
                emulation.counts.borrow_mut().early_callbacks += 1;
                tokio::time::sleep(ACCEPTED_DELAY).await;
            }
            guard.disarm();
            Some(http::response(202, ""))
        }
        AttemptReply::Full => {
            let mut response = with_load(http::response(503, ""));
            response.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
            Some(response)
        }
        AttemptReply::Error => Some(with_load(http::response(500, "failed fast"))),
        AttemptReply::NoResponse => match http::wait_forever().await {},
        AttemptReply::ConnectionRefused => None,
    }
}

/// Cancels a job when it is dropped, unless it was disarmed.
struct CancelGuard<'a> {
    emulation: &'a Rc<Emulation>,
    job: Option<u64>,
}

impl CancelGuard<'_> {
    fn disarm(mut self) {
        self.job = None;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        // The world is never borrowed across an await, so this borrow succeeds.
        if let (Some(job), Ok(mut world)) = (self.job, self.emulation.world.try_borrow_mut()) {
            world.cancel_job(self.emulation.now(), job);
            self.emulation.wake_driver();
        }
    }
}

/// Registers a request that was sent by hand. It runs as a job of mean work in the class that its path names.
fn manual_request(emulation: &Emulation, id: &str, path: &str) -> Option<(u64, SentRequest)> {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(id.as_bytes());
    let request = hasher.finish() | 1 << 63;
    let mut world = emulation.world.borrow_mut();
    let class = world.scenario.classes.iter().position(|c| path.split('/').nth(1) == Some(&c.name))?;
    let work = world.scenario.classes[class].work_ms * 1e6;
    world.invariant_checker.track_unchecked_request(request, class);
    drop(world);
    let sent = SentRequest {
        class,
        slots: 1,
        work,
        path: path.into(),
        body: String::new(),
        key: None,
        subject: None,
    };
    emulation.manual_requests.borrow_mut().insert(request, id.to_string());
    Some((request, sent))
}

fn format_load(report: &WorkerLoad) -> String {
    format!("inflight={:.2},qps={:.2},x0={:.2}", report.in_flight, report.rate, report.free_slots)
}

/// Queues a callback about a job to the scheduler that sent it.
pub(crate) fn send_callback(
    emulation: &Rc<Emulation>,
    w: usize,
    s: usize,
    request: u64,
    job: u64,
    update: JobUpdate,
    report: Option<WorkerLoad>,
) {
    let id = emulation
        .manual_requests
        .borrow()
        .get(&request)
        .cloned()
        .unwrap_or_else(|| format!("{request:016x}"));
    let mut callback = json!({"id": id, "from": World::worker_name(w)});
    match update {
        JobUpdate::Started => callback["state"] = json!("started"),
        JobUpdate::Progress(fraction) => {
            callback["state"] = json!("running");
            callback["share"] = json!(fraction);
        }
        JobUpdate::Done => {
            callback["state"] = json!("done");
            callback["result"] = json!(World::result(w, job));
        }
        JobUpdate::Returned => callback["state"] = json!("returned"),
        JobUpdate::Lost => callback["state"] = json!("lost"),
    }
    if let Some(r) = report {
        callback["load"] = json!({"inflight": r.in_flight, "qps": r.rate, "x0": r.free_slots});
    }
    let run = emulation.schedulers[s].start_count.get();
    let callbacks = &emulation.callback_queues[s * emulation.connection_resets.len() + w];
    if callbacks.sender.try_send((run, Value::to_string(&callback))).is_err() {
        emulation.counts.borrow_mut().callbacks_lost += 1;
    }
}

/// Sends the callbacks of a worker to a scheduler in order, on a connection that is kept open. Each is retried until
/// the scheduler responds, up to [`MAX_CALLBACK_CALLS`] times.
async fn send_queued_callbacks(
    emulation: Rc<Emulation>,
    s: usize,
    w: usize,
    mut receiver: mpsc::Receiver<QueuedCallback>,
) {
    let address = emulation.schedulers[s].listen;
    let mut idle: Option<ClientConnection> = None;
    while let Some((run, text)) = receiver.recv().await {
        let mut answered = false;
        for attempt in 0..MAX_CALLBACK_CALLS {
            if attempt > 0 {
                tokio::time::sleep(CALLBACK_RETRY_DELAY).await;
            }
            // Callbacks of an unreachable worker are lost on the way.
            if !emulation.world.borrow_mut().reachable(s, w) {
                continue;
            }
            let exchange = async {
                let mut connection = match idle.take().filter(ClientConnection::is_ready) {
                    Some(connection) => connection,
                    None => ClientConnection::open(address).await.ok()?,
                };
                let response = connection
                    .send(http::request("POST", "/v1/job-events", address, &[], &text))
                    .await
                    .ok()?;
                let status = response.status().as_u16();
                http::read_body(response.into_body()).await?;
                Some((connection, status))
            };
            if let Ok(Some((connection, 200 | 204))) = tokio::time::timeout(CALLBACK_TIMEOUT, exchange).await
            {
                idle = Some(connection);
                answered = true;
                emulation.counts.borrow_mut().callbacks_to_successor +=
                    u64::from(emulation.schedulers[s].start_count.get() != run);
                break;
            }
        }
        if !answered {
            emulation.counts.borrow_mut().callbacks_lost += 1;
        }
    }
}

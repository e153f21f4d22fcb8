//! Workers on sockets: they take jobs in the platform's protocol and call back, and the model's world decides
//! everything that they do.

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

/// Calls of one call-back before it is lost.
const MAX_CALLBACK_CALLS: u32 = 10;
/// Time between two of them.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(200);
/// A call that has no answer in this time is made again.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Call-backs that may wait for one scheduler at one worker; further ones are lost, and counted.
const CALLBACK_QUEUE_CAPACITY: usize = 4096;
/// Part of the jobs whose 202 leaves after their first call-back.
const EARLY_CALLBACK_FRACTION: f64 = 0.1;
/// How long such a 202 is held back.
const ACCEPTED_DELAY: Duration = Duration::from_millis(8);
/// A worker's listener looks this often whether its process is there again.
const LISTENER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A call-back that waits to be made: of which run of the scheduler its job is, and its text.
type QueuedCallback = (u64, String);

/// The connection of words from a worker to a scheduler.
#[derive(Debug)]
pub(crate) struct CallbackQueue {
    /// Where this scheduler reaches this worker.
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

/// Accepts connections for as long as the worker's process is there; without it they are refused.
async fn accept_connections(emulation: Rc<Emulation>, s: usize, w: usize, listener: TcpListener) {
    let address = emulation.callback_queues[s * emulation.connection_resets.len() + w].address.get();
    let mut listener = Some(listener);
    loop {
        if emulation.world.borrow().is_down(w) {
            listener = None;
        } else if listener.is_none() {
            // The address is this pair's own; it is free again as soon as the kernel says so.
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
    let sent = emulation.now();
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
        ("POST", _) => handle_job(&emulation, s, w, sent, &path, request).await,
        _ => Some(http::response(404, "")),
    }
}

/// The number of a request: ids are sixteen hexadecimal digits, and a guest's are hashed.
pub(crate) fn request_number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16)
}

async fn handle_job(
    emulation: &Rc<Emulation>,
    s: usize,
    w: usize,
    sent: u64,
    path: &str,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    let Some(id) = header("X-Correlation-Id") else { return Some(http::response(404, "")) };
    let key = header("Idempotency-Key");
    let body = http::read_body(request.into_body()).await?;
    let (request, known) = match request_number(&id)
        .and_then(|n| Some((n, emulation.sent_requests.borrow().get(&n).cloned()?)))
    {
        Some((n, known)) => {
            if known.path != path || known.body.as_bytes() != body || known.key != key {
                emulation.counts.borrow_mut().altered_requests += 1;
            }
            (n, known)
        }
        None if emulation.options.allow_manual_requests => manual_request(emulation, &id, path)?,
        None => {
            emulation.counts.borrow_mut().unknown_requests += 1;
            return Some(http::response(400, "no client sent this id"));
        }
    };
    let (slots, work, class, subject) = (known.slots, known.work, known.class, known.subject);
    let attempt = Attempt { request, scheduler: s, slots, work, class, subject, sent };
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
            // A connection that closes before the 202 gives the job up.
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

/// Gives a job up when it is dropped, unless it is kept.
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
        // The world is free here: nothing holds it across a wait.
        if let (Some(job), Ok(mut world)) = (self.job, self.emulation.world.try_borrow_mut()) {
            world.cancel_job(self.emulation.now(), job);
            self.emulation.wake_driver();
        }
    }
}

/// A request that a person typed: it runs as the mean job of the class that its path names.
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

/// A worker says something of a job to the scheduler that sent it.
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

/// Makes the call-backs of a worker to a scheduler, in order, on a connection that is kept. Each is repeated until
/// it is answered, ten times at most.
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
            // A cut machine's calls get lost on the way.
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

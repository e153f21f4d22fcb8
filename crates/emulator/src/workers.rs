//! Workers on sockets: they take jobs in the platform's protocol and call back, and the model's world decides
//! everything that they do.

use crate::stage::{Sent, Stage};
use crate::wire::{self, Body, Line};
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
const CALLS: u32 = 10;
/// Time between two of them.
const AGAIN: Duration = Duration::from_millis(200);
/// A call that has no answer in this time is made again.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Call-backs that may wait for one scheduler at one worker; further ones are lost, and counted.
const WAITING: usize = 4096;
/// Part of the jobs whose 202 leaves after their first call-back.
const OVERTAKEN: f64 = 0.1;
/// How long such a 202 is held back.
const HELD: Duration = Duration::from_millis(8);
/// A worker's listener looks this often whether its process is there again.
const LOOK: Duration = Duration::from_millis(20);

/// A call-back that waits to be made: of which run of the scheduler its job is, and its text.
type Waiting = (u64, String);

/// The line of words from a worker to a scheduler.
#[derive(Debug)]
pub(crate) struct Words {
    /// Where this scheduler reaches this worker.
    pub(crate) at: Cell<SocketAddr>,
    queue: mpsc::Sender<Waiting>,
}

pub(crate) fn words() -> (Words, mpsc::Receiver<Waiting>) {
    let (queue, receiver) = mpsc::channel(WAITING);
    (Words { at: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))), queue }, receiver)
}

/// Opens a listener for every pair of a scheduler and a worker.
pub(crate) async fn open(schedulers: usize, workers: usize) -> io::Result<Vec<TcpListener>> {
    let mut posts = Vec::with_capacity(schedulers * workers);
    for s in 0..schedulers {
        for w in 0..workers {
            posts.push(wire::bind(64 + s as u8 % 64, w / 250, w).await?);
        }
    }
    Ok(posts)
}

pub(crate) fn start(stage: &Rc<Stage>, posts: Vec<TcpListener>, queues: Vec<mpsc::Receiver<Waiting>>) {
    let workers = stage.world.borrow().workers();
    for (i, (listener, queue)) in posts.into_iter().zip(queues).enumerate() {
        let (s, w) = (i / workers, i % workers);
        if let Ok(at) = listener.local_addr() {
            stage.words[i].at.set(at);
        }
        spawn_local(listen(Rc::clone(stage), s, w, listener));
        spawn_local(call_back(Rc::clone(stage), s, w, queue));
    }
}

/// Accepts connections for as long as the worker's process is there; without it they are refused.
async fn listen(stage: Rc<Stage>, s: usize, w: usize, listener: TcpListener) {
    let at = stage.words[s * stage.resets.len() + w].at.get();
    let mut listener = Some(listener);
    loop {
        if stage.world.borrow().is_down(w) {
            listener = None;
        } else if listener.is_none() {
            // The address is this pair's own; it is free again as soon as the kernel says so.
            listener = TcpListener::bind(at).await.ok();
        }
        let Some(open) = &listener else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                let dial = stage.world.borrow_mut().connect(stage.now(), s, w);
                stage.stir();
                let mut reset = stage.resets[w].subscribe();
                let stage = Rc::clone(&stage);
                spawn_local(async move {
                    let hang_up = async move { let _ = reset.changed().await; };
                    match dial {
                        ConnectResult::Refused => {}
                        ConnectResult::NoResponse => {
                            hang_up.await;
                            drop(stream);
                        }
                        ConnectResult::Connected => {
                            let here = Rc::clone(&stage);
                            wire::serve(stream, move |r| answer(Rc::clone(&here), s, w, r), hang_up).await;
                            stage.world.borrow_mut().disconnect(w);
                        }
                    }
                });
            },
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}

async fn answer(stage: Rc<Stage>, s: usize, w: usize, request: Request<Incoming>) -> Option<Response<Body>> {
    let sent = stage.now();
    let (method, path) = (request.method().as_str().to_string(), request.uri().path().to_string());
    if !stage.world.borrow_mut().reachable(s, w) {
        wire::silence().await;
    }
    match (method.as_str(), path.as_str()) {
        ("GET", "/load" | "/healthz") => {
            let report = stage.world.borrow_mut().probe(stage.now(), s, w);
            stage.stir();
            Some(match report {
                Some(report) => wire::response(200, load_text(&report)),
                None => wire::response(503, ""),
            })
        }
        ("DELETE", path) if path.starts_with("/jobs/") => {
            let request = path.rsplit('/').next().and_then(number);
            if let Some(request) = request {
                let now = stage.now();
                stage.world.borrow_mut().cancel_request(now, w, request);
                stage.stir();
            }
            Some(wire::response(200, ""))
        }
        ("POST", _) => job(&stage, s, w, sent, &path, request).await,
        _ => Some(wire::response(404, "")),
    }
}

/// The number of a request: ids are sixteen hexadecimal digits, and a guest's are hashed.
pub(crate) fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16)
}

async fn job(
    stage: &Rc<Stage>,
    s: usize,
    w: usize,
    sent: u64,
    path: &str,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
    let Some(id) = header("X-Correlation-Id") else { return Some(wire::response(404, "")) };
    let key = header("Idempotency-Key");
    let body = wire::whole(request.into_body()).await?;
    let (request, known) = match number(&id).and_then(|n| Some((n, stage.tries.borrow().get(&n).cloned()?))) {
        Some((n, known)) => {
            if known.path != path || known.body.as_bytes() != body || known.key != key {
                stage.counts.borrow_mut().mangled += 1;
            }
            (n, known)
        }
        None if stage.options.allow_manual_requests => guest(stage, &id, path)?,
        None => {
            stage.counts.borrow_mut().strangers += 1;
            return Some(wire::response(400, "no client sent this id"));
        }
    };
    let (slots, work, class, subject) = (known.slots, known.work, known.class, known.subject);
    let attempt = Attempt { request, scheduler: s, slots, work, class, subject, sent };
    let reply = stage.world.borrow_mut().receive_attempt(stage.now(), w, &attempt);
    stage.stir();
    let report = stage.world.borrow_mut().report(stage.now(), w);
    let with_load = |mut response: Response<Body>| {
        if let Some(value) = report.and_then(|r| load_text(&r).parse().ok()) {
            response.headers_mut().insert("X-Backend-Load", value);
        }
        response
    };
    match reply {
        AttemptReply::Accepted(job) => {
            // A connection that closes before the 202 gives the job up.
            let guard = GiveUp { stage, job: Some(job) };
            if stage.whims.borrow_mut().chance(OVERTAKEN) {
                stage.counts.borrow_mut().overtaken += 1;
                tokio::time::sleep(HELD).await;
            }
            guard.keep();
            Some(wire::response(202, ""))
        }
        AttemptReply::Full => {
            let mut response = with_load(wire::response(503, ""));
            response.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
            Some(response)
        }
        AttemptReply::Error => Some(with_load(wire::response(500, "failed fast"))),
        AttemptReply::NoResponse => match wire::silence().await {},
        AttemptReply::ConnectionRefused => None,
    }
}

/// Gives a job up when it is dropped, unless it is kept.
struct GiveUp<'a> {
    stage: &'a Rc<Stage>,
    job: Option<u64>,
}

impl GiveUp<'_> {
    fn keep(mut self) {
        self.job = None;
    }
}

impl Drop for GiveUp<'_> {
    fn drop(&mut self) {
        // The world is free here: nothing holds it across a wait.
        if let (Some(job), Ok(mut world)) = (self.job, self.stage.world.try_borrow_mut()) {
            world.cancel_job(self.stage.now(), job);
            self.stage.stir();
        }
    }
}

/// A request that a person typed: it runs as the mean job of the class that its path names.
fn guest(stage: &Stage, id: &str, path: &str) -> Option<(u64, Sent)> {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(id.as_bytes());
    let request = hasher.finish() | 1 << 63;
    let mut world = stage.world.borrow_mut();
    let class = world.scenario.classes.iter().position(|c| path.split('/').nth(1) == Some(&c.name))?;
    let work = world.scenario.classes[class].work_ms * 1e6;
    world.invariant_checker.track_unchecked_request(request, class);
    drop(world);
    let sent =
        Sent { class, slots: 1, work, path: path.into(), body: String::new(), key: None, subject: None };
    stage.guests.borrow_mut().insert(request, id.to_string());
    Some((request, sent))
}

fn load_text(report: &WorkerLoad) -> String {
    format!("inflight={:.2},qps={:.2},x0={:.2}", report.in_flight, report.rate, report.free_slots)
}

/// A worker says something of a job to the scheduler that sent it.
pub(crate) fn say(
    stage: &Rc<Stage>,
    w: usize,
    s: usize,
    request: u64,
    job: u64,
    word: JobUpdate,
    report: Option<WorkerLoad>,
) {
    let id = stage.guests.borrow().get(&request).cloned().unwrap_or_else(|| format!("{request:016x}"));
    let mut said = json!({"id": id, "from": World::worker_name(w)});
    match word {
        JobUpdate::Started => said["state"] = json!("started"),
        JobUpdate::Progress(x) => {
            said["state"] = json!("running");
            said["share"] = json!(x);
        }
        JobUpdate::Done => {
            said["state"] = json!("done");
            said["result"] = json!(World::result(w, job));
        }
        JobUpdate::Returned => said["state"] = json!("returned"),
        JobUpdate::Lost => said["state"] = json!("lost"),
    }
    if let Some(r) = report {
        said["load"] = json!({"inflight": r.in_flight, "qps": r.rate, "x0": r.free_slots});
    }
    let run = stage.schedulers[s].run.get();
    let words = &stage.words[s * stage.resets.len() + w];
    if words.queue.try_send((run, Value::to_string(&said))).is_err() {
        stage.counts.borrow_mut().lost += 1;
    }
}

/// Makes the call-backs of a worker to a scheduler, in order, on a connection that is kept. Each is repeated until
/// it is answered, ten times at most.
async fn call_back(stage: Rc<Stage>, s: usize, w: usize, mut queue: mpsc::Receiver<Waiting>) {
    let to = stage.schedulers[s].listen;
    let mut kept: Option<Line> = None;
    while let Some((run, text)) = queue.recv().await {
        let mut answered = false;
        for call in 0..CALLS {
            if call > 0 {
                tokio::time::sleep(AGAIN).await;
            }
            // A cut machine's calls get lost on the way.
            if !stage.world.borrow_mut().reachable(s, w) {
                continue;
            }
            let exchange = async {
                let mut line = match kept.take().filter(Line::fresh) {
                    Some(line) => line,
                    None => Line::open(to).await.ok()?,
                };
                let answer = line.ask(wire::request("POST", "/v1/job-events", to, &[], &text)).await.ok()?;
                let status = answer.status().as_u16();
                wire::whole(answer.into_body()).await?;
                Some((line, status))
            };
            if let Ok(Some((line, 200 | 204))) = tokio::time::timeout(PATIENCE, exchange).await {
                kept = Some(line);
                answered = true;
                stage.counts.borrow_mut().successor += u64::from(stage.schedulers[s].run.get() != run);
                break;
            }
        }
        if !answered {
            stage.counts.borrow_mut().lost += 1;
        }
    }
}

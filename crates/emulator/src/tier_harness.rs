//! The fault rig: several real processes of the program that agree as a tier, with the rig between all of them, and one
//! worker, discovery and clients for each.
//!
//! Every link from a scheduler to a voter passes the rig, and each of its directions can be cut, made slow or broken by
//! itself. What is held back by a cut comes through late, as it would on a real network that is whole again. A process
//! can be killed, stopped and continued, started again with another file, or twice. The rig runs in a thread of its own;
//! its methods block, so a test reads as a story.

use crate::wire::{self, Body, Line as Connection};
use hyper::body::Incoming;
use hyper::{Request, Response};
use loomlb_consensus::history_check::HistoryRecord;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::ffi::OsString;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream as Caller};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, mpsc};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// What everything here must happen within; only a failure waits for it.
const LONG: Duration = Duration::from_secs(30);
/// How often a cut link looks whether it is whole again.
const LOOK: Duration = Duration::from_millis(5);
/// The key of every tier here.
const KEY: &str = "a key for trials on one machine";

/// Rates of the schedulers' clocks, as far apart as the tier's figures allow.
const CLOCKS: [f64; 3] = [0.99, 1.0, 1.01];

/// Rigs of this process, so that each has addresses of its own.
static RIGS: AtomicUsize = AtomicUsize::new(0);

/// The workers.
const HOSTS: [&str; 3] = ["s-00000001", "s-00000002", "s-00000003"];

/// How a rig is built.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program with its first arguments.
    pub program: Vec<OsString>,
    /// Schedulers, 3 to 16.
    pub schedulers: usize,
    /// Those of them that vote.
    pub voters: usize,
    /// Words that every operator file has beside the rig's, in `[tier]`.
    pub tier_settings: String,
    /// Time between two jobs to each scheduler; none for no load.
    pub job_interval: Option<Duration>,
    /// Logs go to standard error rather than nowhere.
    pub show_logs: bool,
}

/// What one direction of a link does to the bytes on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// They pass.
    Open,
    /// They wait until it is another.
    Cut,
    /// They are late by so much.
    Delayed(Duration),
}

/// A job of the rig's clients, as it went.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Which scheduler it was sent to.
    pub scheduler: usize,
    /// When, since the rig's start.
    pub sent_at: Duration,
    /// The status of its answer; none if the connection broke or nothing came in time.
    pub status: Option<u16>,
    /// Its client waits no more.
    pub finished: bool,
    /// How often a worker was sent it,
    pub worker_attempts: u32,
    /// and which was the last.
    pub worker: usize,
}

struct Shared {
    start: Instant,
    count: usize,
    /// `from * count + to`: milliseconds late, or the most for a cut.
    ways: Vec<AtomicU64>,
    /// A link's connections end when its number changes.
    broken: Vec<AtomicU64>,
    jobs: Mutex<HashMap<String, Job>>,
    /// Each scheduler's list: its version, and which worker is leaving.
    lists: Mutex<Vec<(u64, Option<usize>)>>,
    /// Whole lists that were asked for.
    full_list_requests: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn lists(&self) -> MutexGuard<'_, Vec<(u64, Option<usize>)>> {
        self.lists.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
    fn jobs(&self) -> MutexGuard<'_, HashMap<String, Job>> {
        self.jobs.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// One scheduler of the harness.
#[derive(Debug)]
struct Node {
    /// Where staff call.
    control: SocketAddr,
    config: Value,
    operator: String,
    /// The program with its first arguments, where it is another than that of [`Options::program`].
    program: Option<Vec<OsString>>,
    child: Vec<Child>,
}

/// Several processes and all that stands between them.
pub struct TierHarness {
    options: Options,
    files: tempfile::TempDir,
    nodes: Vec<Node>,
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl std::fmt::Debug for TierHarness {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TierHarness").field("nodes", &self.nodes).finish_non_exhaustive()
    }
}

/// The settings that all schedulers start with.
fn settings() -> Value {
    let class = |name: &str, effect: &str| json!({"name": name, "aim": 900_000_000u64, "give_up": 3_000_000_000u64, "worth": 1.0, "effect": effect});
    json!({"balancers": 1, "rank": 0, "zones": ["z"], "my_zone": "z", "kinds": ["k"], "tick": 2_000_000,
        "registry_mode": "automatic", "load_report": {"how": "inline", "fields": ["rif", "x0"]},
        "classes": [class("view", "idempotent"), class("lodge", "idempotent")],
        "ceilings": {"cancel": true, "may_tell": false, "max_attempts": 2, "retry_after": true,
            "max_retry_after": 2_000_000_000u64, "dial_timeout": 1_000_000_000u64, "keepalive": 60_000_000_000u64},
        "obligations": {"drain_grace": 1_000_000_000u64}})
}

/// Addresses: where everything listens.
struct Places {
    /// Proxies of a pair: from which scheduler, to which voter, listening.
    links: Vec<(usize, usize, TcpListener)>,
    /// Some for each scheduler: a job that fails at one may go to the other.
    workers: Vec<[TcpListener; HOSTS.len()]>,
    discoveries: Vec<TcpListener>,
    /// Where each scheduler listens for clients, staff and the tier.
    own: Vec<[SocketAddr; 3]>,
}

async fn open(options: &Options) -> io::Result<Places> {
    let mut places =
        Places { links: Vec::new(), workers: Vec::new(), discoveries: Vec::new(), own: Vec::new() };
    let rig = RIGS.fetch_add(1, Ordering::Relaxed) % 15 * 16;
    for i in 0..options.schedulers {
        let mut own = [SocketAddr::from(([127, 0, 0, 1], 0)); 3];
        for (k, at) in own.iter_mut().enumerate() {
            // Free in a moment, at an address of its own that nothing else here uses.
            *at = wire::bind(34, rig + i, k).await?.local_addr()?;
        }
        places.own.push(own);
        places.workers.push([
            wire::bind(35, rig + i, 0).await?,
            wire::bind(35, rig + i, 2).await?,
            wire::bind(35, rig + i, 3).await?,
        ]);
        places.discoveries.push(wire::bind(35, rig + i, 1).await?);
        for j in (0..options.voters).filter(|j| *j != i) {
            places.links.push((i, j, wire::bind(36, rig + i, j).await?));
        }
    }
    Ok(places)
}

impl TierHarness {
    /// Opens everything and starts all schedulers. They serve once they have a lease: see [`TierHarness::wait_until_ready`].
    pub fn start(options: Options) -> io::Result<TierHarness> {
        let count = options.schedulers;
        let shared = Arc::new(Shared {
            start: Instant::now(),
            count,
            ways: (0..count * count).map(|_| AtomicU64::new(0)).collect(),
            broken: (0..count * count).map(|_| AtomicU64::new(0)).collect(),
            jobs: Mutex::default(),
            lists: Mutex::new(vec![(1, None); count]),
            full_list_requests: AtomicU64::new(0),
            over: AtomicBool::new(false),
        });
        let (send, receive) = mpsc::channel();
        let (theirs, with) = (Arc::clone(&shared), options.clone());
        let thread = std::thread::spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return drop(send.send(Err(e))),
            };
            LocalSet::new().block_on(&runtime, async move {
                let places = match open(&with).await {
                    Ok(places) => places,
                    Err(e) => return drop(send.send(Err(e))),
                };
                let dials = match dials(&places) {
                    Ok(dials) => dials,
                    Err(e) => return drop(send.send(Err(e))),
                };
                let told = nodes(&with, &places, &dials);
                stand(&theirs, &with, places, dials);
                if send.send(told).is_err() {
                    return;
                }
                while !theirs.over.load(Ordering::Relaxed) {
                    tokio::time::sleep(LOOK).await;
                }
            });
        });
        let nodes = receive.recv().map_err(io::Error::other)??;
        let files = tempfile::tempdir()?;
        let mut harness = TierHarness { options, files, nodes, shared, thread: Some(thread) };
        for n in 0..count {
            harness.launch(n, true)?;
        }
        Ok(harness)
    }

    fn path(&self, n: usize, ending: &str) -> PathBuf {
        self.files.path().join(format!("n{n}.{ending}"))
    }

    /// Starts a process of a scheduler, beside one that may run already. `found`: its store may be missing.
    pub fn launch(&mut self, n: usize, found: bool) -> io::Result<()> {
        let (config, operator) = (self.path(n, "json"), self.path(n, "toml"));
        std::fs::write(&config, self.nodes[n].config.to_string())?;
        let store = self.path(n, "log");
        let text = format!(
            "[tier]\nfound = {found}\nstore = {store:?}\ntrial_clock = {}\nhistory = {:?}\n{}\n{}",
            CLOCKS[n % CLOCKS.len()],
            self.path(n, "history"),
            self.options.tier_settings,
            self.nodes[n].operator
        );
        std::fs::write(&operator, text)?;
        let (program, first) = self.nodes[n]
            .program
            .as_ref()
            .unwrap_or(&self.options.program)
            .split_first()
            .ok_or_else(|| io::Error::other("no program to start"))?;
        let mut command = Command::new(program);
        command
            .args(first)
            .arg("serve")
            .env_clear()
            .env("LB_CONFIG", &config)
            .env("LOOMLB_OPERATOR", &operator);
        command.stdin(Stdio::null()).stdout(Stdio::null());
        if let Some(level) = std::env::var_os("RUST_LOG") {
            command.env("RUST_LOG", level);
        }
        if !self.options.show_logs {
            command.stderr(Stdio::null());
        }
        self.nodes[n].child.push(command.spawn()?);
        Ok(())
    }

    /// Has later processes of a scheduler be of another program, given with its first arguments.
    pub fn set_program(&mut self, n: usize, program: Vec<OsString>) {
        self.nodes[n].program = Some(program);
    }

    /// The file of a voter.
    pub fn store_path(&self, n: usize) -> PathBuf {
        self.path(n, "log")
    }

    /// Loses what a voter has written.
    pub fn delete_store(&self, n: usize) {
        let _ = std::fs::remove_file(self.path(n, "log"));
    }

    /// Waits until a scheduler serves; false if it does not in time.
    pub fn wait_until_ready(&self, n: usize) -> bool {
        self.wait_until(|harness| {
            harness.call_control(n, "GET /control/ready", "").is_some_and(|c| c.0 == 200)
        })
    }

    /// Waits until something is so; false if it does not come in time.
    pub fn wait_until(&self, so: impl Fn(&TierHarness) -> bool) -> bool {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if so(self) {
                return true;
            }
            std::thread::sleep(LOOK);
        }
        false
    }

    /// Time since the rig's start.
    pub fn elapsed(&self) -> Duration {
        self.shared.start.elapsed()
    }

    fn signal(&mut self, n: usize, signal: Signal) {
        // A process that has ended and was waited for has no number any more.
        self.nodes[n].child.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        for child in &self.nodes[n].child {
            if let Some(pid) = Pid::from_raw(child.id() as i32) {
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Kills a scheduler's processes outright.
    pub fn kill(&mut self, n: usize) {
        for child in &mut self.nodes[n].child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.nodes[n].child.clear();
    }

    /// Whether the latest process of a scheduler still runs.
    pub fn is_running(&mut self, n: usize) -> bool {
        self.nodes[n].child.last_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Stops a scheduler's processes where they are.
    pub fn pause(&mut self, n: usize) {
        self.signal(n, Signal::STOP);
    }

    /// Has stopped processes go on.
    pub fn resume(&mut self, n: usize) {
        self.signal(n, Signal::CONT);
    }

    /// Has a scheduler read its file again, after `change` of its settings.
    pub fn reload(&mut self, n: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.nodes[n].config["settings"]);
        std::fs::write(self.path(n, "json"), self.nodes[n].config.to_string())?;
        self.signal(n, Signal::HUP);
        Ok(())
    }

    /// The settings of a scheduler's file.
    pub fn settings(&self, n: usize) -> Value {
        self.nodes[n].config["settings"].clone()
    }

    /// Changes one direction between two schedulers: what `from` says to `to`, on whichever link.
    pub fn set_link(&self, from: usize, to: usize, way: LinkState) {
        let word = match way {
            LinkState::Open => 0,
            LinkState::Cut => u64::MAX,
            LinkState::Delayed(by) => by.as_millis() as u64,
        };
        self.shared.ways[from * self.shared.count + to].store(word, Ordering::Relaxed);
    }

    /// Changes both directions between a scheduler and all others.
    pub fn set_all_links(&self, n: usize, way: LinkState) {
        for other in (0..self.shared.count).filter(|o| *o != n) {
            self.set_link(n, other, way);
            self.set_link(other, n, way);
        }
    }

    /// Breaks the connections that one scheduler holds to another.
    pub fn break_connections(&self, from: usize, to: usize) {
        self.shared.broken[from * self.shared.count + to].fetch_add(1, Ordering::Relaxed);
    }

    /// A call of staff at a scheduler's second address: status and body; none without an answer within 2 s.
    pub fn call_control(&self, n: usize, call: &str, body: &str) -> Option<(u16, Value)> {
        let limit = Duration::from_secs(2);
        let mut stream = Caller::connect_timeout(&self.nodes[n].control, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let length = body.len();
        let text = format!("{call} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, serde_json::from_str(body).unwrap_or(Value::Null)))
    }

    /// Where staff call a scheduler.
    pub fn control_address(&self, n: usize) -> SocketAddr {
        self.nodes[n].control
    }

    /// One scheduler's discovery has a newer list, in which a worker may be leaving.
    pub fn publish_worker_list(&self, n: usize, leaving: Option<usize>) {
        let list = &mut self.shared.lists()[n];
        *list = (list.0 + 1, leaving);
    }

    /// Whole lists that schedulers have asked for so far.
    pub fn full_list_requests(&self) -> u64 {
        self.shared.full_list_requests.load(Ordering::Relaxed)
    }

    /// What a scheduler says of the tier.
    pub fn tier_status(&self, n: usize) -> Option<Value> {
        self.call_control(n, "GET /control/tier", "").map(|c| c.1)
    }

    /// Whether all of these act on this version's own rules, with a lease.
    pub fn all_follow_version(&self, nodes: &[usize], version: u64) -> bool {
        nodes.iter().all(|n| {
            self.tier_status(*n)
                .is_some_and(|t| t["acting"] == json!({ "On": version }) && t["may_act"] == true)
        })
    }

    /// All that the processes wrote of what they did.
    pub fn history(&self) -> Vec<HistoryRecord> {
        let lines =
            (0..self.shared.count).filter_map(|n| std::fs::read_to_string(self.path(n, "history")).ok());
        // The last line of a process that was killed may be cut short.
        lines
            .flat_map(|text| text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect::<Vec<_>>())
            .collect()
    }

    /// The clients' jobs, as they stand.
    pub fn jobs(&self) -> Vec<Job> {
        self.shared.jobs().values().cloned().collect()
    }
}

impl Drop for TierHarness {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        for n in 0..self.nodes.len() {
            self.kill(n);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn nodes(options: &Options, places: &Places, dials: &[[SocketAddr; HOSTS.len()]]) -> io::Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for (i, dials) in dials.iter().enumerate() {
        let [listen, control, tier] = places.own[i];
        let known = json!({"seq": 1, "whole": true, "hosts": hosts(dials, None)});
        let config = json!({"name": format!("n{i}"), "listen": listen.to_string(), "control": control.to_string(),
            "discovery": places.discoveries[i].local_addr()?.to_string(), "seed": format!("{i:x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": known, "settings": settings()});
        let mut operator = format!("key = \"{KEY}\"\n");
        if i < options.voters {
            operator += &format!("listen = \"{tier}\"\n");
        }
        for j in 0..options.voters {
            let link = places.links.iter().find(|l| (l.0, l.1) == (i, j));
            let at = match link {
                Some((.., listener)) => listener.local_addr()?,
                None => tier,
            };
            operator += &format!("\n[[tier.voter]]\nname = \"n{j}\"\nat = \"{at}\"\n");
        }
        nodes.push(Node { control, config, operator, program: None, child: Vec::new() });
    }
    Ok(nodes)
}

/// Where each scheduler's workers listen.
fn dials(places: &Places) -> io::Result<Vec<[SocketAddr; HOSTS.len()]>> {
    places.workers.iter().map(|[a, b, c]| Ok([a.local_addr()?, b.local_addr()?, c.local_addr()?])).collect()
}

/// Starts all stand-ins.
fn stand(shared: &Arc<Shared>, options: &Options, places: Places, dials: Vec<[SocketAddr; HOSTS.len()]>) {
    for (from, to, listener) in places.links {
        spawn_local(proxy(Arc::clone(shared), from, to, listener, places.own[to][2]));
    }
    for (i, (listener, dials)) in places.discoveries.into_iter().zip(dials).enumerate() {
        spawn_local(discover(Arc::clone(shared), i, listener, dials));
    }
    for (i, listeners) in places.workers.into_iter().enumerate() {
        for (host, listener) in HOSTS.into_iter().zip(listeners) {
            spawn_local(work(Arc::clone(shared), host, listener, places.own[i][0]));
        }
    }
    if let Some(every) = options.job_interval {
        for (i, own) in places.own.iter().enumerate() {
            spawn_local(clients(Arc::clone(shared), i, own[0], every));
        }
    }
}

// ---- links

async fn proxy(shared: Arc<Shared>, from: usize, to: usize, listener: TcpListener, at: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        spawn_local(async move {
            // What asks to connect over a cut waits as well.
            passes(&shared, from, to).await;
            let Ok(onward) = TcpStream::connect(at).await else { return };
            let (broken, was) = (from * shared.count + to, Arc::clone(&shared));
            let number = was.broken[broken].load(Ordering::Relaxed);
            let ((here_in, here_out), (there_in, there_out)) = (stream.into_split(), onward.into_split());
            tokio::select! {
                () = pump(&shared, from, to, here_in, there_out) => {}
                () = pump(&shared, to, from, there_in, here_out) => {}
                () = async {
                    while was.broken[broken].load(Ordering::Relaxed) == number {
                        tokio::time::sleep(LOOK).await;
                    }
                } => {}
            }
        });
    }
}

/// Waits for as long as this direction holds bytes back now.
async fn passes(shared: &Shared, from: usize, to: usize) {
    let way = || shared.ways[from * shared.count + to].load(Ordering::Relaxed);
    while way() == u64::MAX {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(Duration::from_millis(way())).await;
}

async fn pump(shared: &Shared, from: usize, to: usize, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let Ok(length @ 1..) = read.read(&mut bytes).await else { return };
        passes(shared, from, to).await;
        if write.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

// ---- stand-ins

/// The entries of a scheduler's list.
fn hosts(dials: &[SocketAddr; HOSTS.len()], leaving: Option<usize>) -> Vec<Value> {
    let health = |at| if leaving == Some(at) { "leaving" } else { "active" };
    let entry = |(at, (host, dial)): (usize, (&&str, &SocketAddr))| {
        json!({"host": host, "dial": dial.to_string(), "site": "z", "class": "k", "block": 0,
            "health": health(at), "share": 1.0, "born_ms": 0})
    };
    HOSTS.iter().zip(dials).enumerate().map(entry).collect()
}

/// Discovery of one scheduler: a call is answered at once, a watch when there is something newer or after 4 s.
async fn discover(
    shared: Arc<Shared>,
    scheduler: usize,
    listener: TcpListener,
    dials: [SocketAddr; HOSTS.len()],
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        let answer = move |request: Request<Incoming>| {
            let shared = Arc::clone(&shared);
            async move {
                let query = request.uri().query().unwrap_or("");
                let from = query.split('&').find_map(|p| p.strip_prefix("from=")?.parse::<u64>().ok());
                let end = Instant::now() + Duration::from_secs(4);
                let list = || shared.lists()[scheduler];
                while from.is_some_and(|from| list().0 <= from) && Instant::now() < end {
                    tokio::time::sleep(LOOK).await;
                }
                let (seq, leaving) = list();
                if from.is_none() {
                    shared.full_list_requests.fetch_add(1, Ordering::Relaxed);
                }
                let whole = from.is_none_or(|from| from != seq);
                let entries = if whole { hosts(&dials, leaving) } else { Vec::new() };
                Some(wire::response(200, json!({"seq": seq, "whole": whole, "hosts": entries}).to_string()))
            }
        };
        spawn_local(wire::serve(stream, answer, wire::silence_as_unit()));
    }
}

/// A worker that ends each job of class `view` and fails each of any other, so that whether a job is repeated shows.
async fn work(shared: Arc<Shared>, host: &'static str, listener: TcpListener, scheduler: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        spawn_local(wire::serve(
            stream,
            move |request: Request<Incoming>| job(Arc::clone(&shared), host, request, scheduler),
            wire::silence_as_unit(),
        ));
    }
}

async fn job(
    shared: Arc<Shared>,
    host: &'static str,
    request: Request<Incoming>,
    scheduler: SocketAddr,
) -> Option<Response<Body>> {
    let id = request.headers().get("X-Correlation-Id")?.to_str().ok()?.to_string();
    let good = request.uri().path().starts_with("/view");
    if request.method() != "POST" {
        return Some(wire::response(200, ""));
    }
    wire::whole(request.into_body()).await?;
    if let Some(job) = shared.jobs().get_mut(&id) {
        job.worker_attempts += 1;
        job.worker = HOSTS.iter().position(|h| *h == host).unwrap_or(0);
    }
    spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let state = if good { "done" } else { "failed" };
        let body = json!({"id": id, "from": host, "state": state, "result": "r"}).to_string();
        // Tried until it is answered.
        for _ in 0..10 {
            let told = async {
                let mut line = Connection::open(scheduler).await.ok()?;
                let request = wire::request("POST", "/v1/job-events", scheduler, &[], &body);
                Some(line.ask(request).await.ok()?.status().as_u16())
            };
            match tokio::time::timeout(Duration::from_secs(1), told).await {
                Ok(Some(200 | 204)) => return,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    });
    Some(wire::response(202, ""))
}

/// A client that sends jobs of both classes in turn, whatever becomes of them.
async fn clients(shared: Arc<Shared>, scheduler: usize, at: SocketAddr, every: Duration) {
    let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
    let mut number = 0u64;
    loop {
        tokio::time::sleep(every).await;
        number += 1;
        let class = if number.is_multiple_of(2) { "view" } else { "lodge" };
        let id = format!("{scheduler:04x}{number:012x}");
        let job = Job { scheduler, sent_at: shared.start.elapsed(), ..Job::default() };
        shared.jobs().insert(id.clone(), job);
        let (shared, idle) = (Arc::clone(&shared), Rc::clone(&idle));
        spawn_local(async move {
            let headers = [
                ("X-Correlation-Id", id.clone()),
                ("X-Service-Class", class.to_string()),
                ("X-Time-Left", "2.000".to_string()),
                ("Idempotency-Key", id.clone()),
            ];
            let asked = async {
                // A kept connection may close in the moment in which a request crosses: then it goes out once more.
                loop {
                    let kept = idle.borrow_mut().pop().filter(Connection::fresh);
                    let again = kept.is_some();
                    let mut line = match kept {
                        Some(line) => line,
                        None => Connection::open(at).await.ok()?,
                    };
                    let request = wire::request("POST", &format!("/{class}/{id}"), at, &headers, "x");
                    let answer = match line.ask(request).await {
                        Ok(answer) => answer,
                        Err(_) if again => continue,
                        Err(_) => return None,
                    };
                    let status = answer.status().as_u16();
                    wire::whole(answer.into_body()).await?;
                    idle.borrow_mut().push(line);
                    return Some(status);
                }
            };
            let status = tokio::time::timeout(Duration::from_secs(4), asked).await.ok().flatten();
            if let Some(job) = shared.jobs().get_mut(&id) {
                (job.status, job.finished) = (status, true);
            }
        });
    }
}

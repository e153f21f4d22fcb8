//! Runs several scheduler processes as one tier, with fault proxies between them, and workers, discovery and clients
//! for each of them.
//!
//! Every connection from a scheduler to a voter passes a fault proxy. Each of its directions can be cut or delayed, and
//! its connections can be broken. Bytes that are held back by a cut are delivered when the link opens again. A process
//! can be killed, paused and resumed, restarted with other settings, or started twice. The proxies run in a thread of
//! their own, and the methods of [`TierHarness`] block.

use crate::http::{self, Body, ClientConnection};
use hyper::body::Incoming;
use hyper::{Request, Response};
use loomlb_consensus::history_check::HistoryRecord;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::ffi::OsString;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream as BlockingTcpStream};
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

/// Time limit of all waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The shared key of the tier.
const TIER_KEY: &str = "a key for trials on one machine";

/// Rates of the schedulers' clocks, as far apart as the drift permitted in a tier.
const CLOCK_RATES: [f64; 3] = [0.99, 1.0, 1.01];

/// Number of harnesses in this process, so that each gets its own addresses.
static HARNESS_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Names of the workers.
const WORKERS: [&str; 3] = ["s-00000001", "s-00000002", "s-00000003"];

/// Options of a harness.
#[derive(Clone, Debug)]
pub struct Options {
    /// The scheduler's program and its first arguments.
    pub program: Vec<OsString>,
    /// Number of schedulers, 3 to 16.
    pub schedulers: usize,
    /// Number of schedulers that are voters.
    pub voters: usize,
    /// Further lines of the `[tier]` section of every operator file.
    pub tier_settings: String,
    /// Time between two jobs for each scheduler; `None` for no load.
    pub job_interval: Option<Duration>,
    /// Whether schedulers log to standard error; otherwise their logs are discarded.
    pub show_logs: bool,
}

/// The state of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Open,
    /// Bytes are held back until the state changes.
    Cut,
    /// Bytes are delayed by this time.
    Delayed(Duration),
}

/// A job that was sent by a client of the harness.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// The scheduler that it was sent to.
    pub scheduler: usize,
    /// When it was sent, since the start of the harness.
    pub sent_at: Duration,
    /// The status of the response; `None` if the connection broke or there was no response in time.
    pub status: Option<u16>,
    /// Whether the client has stopped waiting.
    pub finished: bool,
    /// Number of attempts that workers received.
    pub worker_attempts: u32,
    /// The worker that received the latest attempt.
    pub worker: usize,
}

struct Shared {
    started_at: Instant,
    count: usize,
    /// `from * count + to`: the delay in milliseconds, or `u64::MAX` for a cut.
    link_states: Vec<AtomicU64>,
    /// `from * count + to`: the connections of a link are closed when its generation changes.
    link_generations: Vec<AtomicU64>,
    jobs: Mutex<HashMap<String, Job>>,
    /// The worker list of each scheduler: its version, and the worker that is leaving.
    worker_lists: Mutex<Vec<(u64, Option<usize>)>>,
    /// Number of requests for a full list.
    full_list_requests: AtomicU64,
    shutting_down: AtomicBool,
}

impl Shared {
    fn worker_lists(&self) -> MutexGuard<'_, Vec<(u64, Option<usize>)>> {
        self.worker_lists.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
    fn jobs(&self) -> MutexGuard<'_, HashMap<String, Job>> {
        self.jobs.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A scheduler of the harness.
#[derive(Debug)]
struct Node {
    /// The control address, for administrative requests.
    control: SocketAddr,
    config: Value,
    operator_text: String,
    /// The program and its first arguments, if it differs from [`Options::program`].
    program: Option<Vec<OsString>>,
    children: Vec<Child>,
}

/// Several scheduler processes and the endpoints that they connect to.
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

/// Returns the initial settings of all schedulers.
fn initial_settings() -> Value {
    let class = |name: &str, effect: &str| json!({"name": name, "aim": 900_000_000u64, "give_up": 3_000_000_000u64, "worth": 1.0, "effect": effect});
    json!({"balancers": 1, "rank": 0, "zones": ["z"], "my_zone": "z", "kinds": ["k"], "tick": 2_000_000,
        "registry_mode": "automatic", "load_report": {"how": "inline", "fields": ["rif", "x0"]},
        "classes": [class("view", "idempotent"), class("lodge", "idempotent")],
        "ceilings": {"cancel": true, "may_tell": false, "max_attempts": 2, "retry_after": true,
            "max_retry_after": 2_000_000_000u64, "dial_timeout": 1_000_000_000u64, "keepalive": 60_000_000_000u64},
        "obligations": {"drain_grace": 1_000_000_000u64}})
}

/// Listeners and addresses.
struct Endpoints {
    /// Fault proxies: the scheduler that connects, the voter, and the listener.
    link_listeners: Vec<(usize, usize, TcpListener)>,
    /// The listeners of all workers, for each scheduler.
    worker_listeners: Vec<[TcpListener; WORKERS.len()]>,
    discovery_listeners: Vec<TcpListener>,
    /// The addresses of each scheduler for clients, control and the tier.
    scheduler_addresses: Vec<[SocketAddr; 3]>,
}

async fn open(options: &Options) -> io::Result<Endpoints> {
    let mut endpoints = Endpoints {
        link_listeners: Vec::new(),
        worker_listeners: Vec::new(),
        discovery_listeners: Vec::new(),
        scheduler_addresses: Vec::new(),
    };
    let first_row = HARNESS_COUNT.fetch_add(1, Ordering::Relaxed) % 15 * 16;
    for i in 0..options.schedulers {
        let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 3];
        for (k, at) in addresses.iter_mut().enumerate() {
            // The listener is dropped, and the scheduler binds to the port itself.
            *at = http::bind(34, first_row + i, k).await?.local_addr()?;
        }
        endpoints.scheduler_addresses.push(addresses);
        endpoints.worker_listeners.push([
            http::bind(35, first_row + i, 0).await?,
            http::bind(35, first_row + i, 2).await?,
            http::bind(35, first_row + i, 3).await?,
        ]);
        endpoints.discovery_listeners.push(http::bind(35, first_row + i, 1).await?);
        for j in (0..options.voters).filter(|j| *j != i) {
            endpoints.link_listeners.push((i, j, http::bind(36, first_row + i, j).await?));
        }
    }
    Ok(endpoints)
}

impl TierHarness {
    /// Opens all listeners and starts all schedulers. They serve once they have a lease: see
    /// [`TierHarness::wait_until_ready`].
    pub fn start(options: Options) -> io::Result<TierHarness> {
        let count = options.schedulers;
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            count,
            link_states: (0..count * count).map(|_| AtomicU64::new(0)).collect(),
            link_generations: (0..count * count).map(|_| AtomicU64::new(0)).collect(),
            jobs: Mutex::default(),
            worker_lists: Mutex::new(vec![(1, None); count]),
            full_list_requests: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
        });
        let (sender, receiver) = mpsc::channel();
        let (thread_shared, thread_options) = (Arc::clone(&shared), options.clone());
        let thread = std::thread::spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return drop(sender.send(Err(e))),
            };
            LocalSet::new().block_on(&runtime, async move {
                let endpoints = match open(&thread_options).await {
                    Ok(endpoints) => endpoints,
                    Err(e) => return drop(sender.send(Err(e))),
                };
                let worker_addresses = match worker_addresses(&endpoints) {
                    Ok(worker_addresses) => worker_addresses,
                    Err(e) => return drop(sender.send(Err(e))),
                };
                let nodes = build_nodes(&thread_options, &endpoints, &worker_addresses);
                start_endpoints(&thread_shared, &thread_options, endpoints, worker_addresses);
                if sender.send(nodes).is_err() {
                    return;
                }
                while !thread_shared.shutting_down.load(Ordering::Relaxed) {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
        });
        let nodes = receiver.recv().map_err(io::Error::other)??;
        let files = tempfile::tempdir()?;
        let mut harness = TierHarness { options, files, nodes, shared, thread: Some(thread) };
        for n in 0..count {
            harness.launch(n, true)?;
        }
        Ok(harness)
    }

    fn file_path(&self, n: usize, extension: &str) -> PathBuf {
        self.files.path().join(format!("n{n}.{extension}"))
    }

    /// Starts a process of a scheduler, in addition to those that are running. `may_create_store`: whether the store may
    /// be missing.
    pub fn launch(&mut self, n: usize, may_create_store: bool) -> io::Result<()> {
        let (config, operator) = (self.file_path(n, "json"), self.file_path(n, "toml"));
        std::fs::write(&config, self.nodes[n].config.to_string())?;
        let store = self.file_path(n, "log");
        let text = format!(
            "[tier]\nfound = {may_create_store}\nstore = {store:?}\ntrial_clock = {}\nhistory = {:?}\n{}\n{}",
            CLOCK_RATES[n % CLOCK_RATES.len()],
            self.file_path(n, "history"),
            self.options.tier_settings,
            self.nodes[n].operator_text
        );
        std::fs::write(&operator, text)?;
        let (program, first_arguments) = self.nodes[n]
            .program
            .as_ref()
            .unwrap_or(&self.options.program)
            .split_first()
            .ok_or_else(|| io::Error::other("no program to start: Options::program is empty"))?;
        let mut command = Command::new(program);
        command
            .args(first_arguments)
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
        self.nodes[n].children.push(command.spawn()?);
        Ok(())
    }

    /// Sets the program and its first arguments for processes of a scheduler that are started later.
    pub fn set_program(&mut self, n: usize, program: Vec<OsString>) {
        self.nodes[n].program = Some(program);
    }

    /// Returns the path of a voter's store.
    pub fn store_path(&self, n: usize) -> PathBuf {
        self.file_path(n, "log")
    }

    /// Deletes a voter's store.
    pub fn delete_store(&self, n: usize) {
        let _ = std::fs::remove_file(self.file_path(n, "log"));
    }

    /// Waits until a scheduler is ready. Returns false on a timeout.
    pub fn wait_until_ready(&self, n: usize) -> bool {
        self.wait_until(|harness| {
            harness.call_control(n, "GET /control/ready", "").is_some_and(|c| c.0 == 200)
        })
    }

    /// Waits until a condition holds. Returns false on a timeout.
    pub fn wait_until(&self, condition: impl Fn(&TierHarness) -> bool) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if condition(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Returns the time since the start of the harness.
    pub fn elapsed(&self) -> Duration {
        self.shared.started_at.elapsed()
    }

    fn signal(&mut self, n: usize, signal: Signal) {
        // The id of a process that was waited for may belong to another process.
        self.nodes[n].children.retain_mut(|child| matches!(child.try_wait(), Ok(None)));
        for child in &self.nodes[n].children {
            if let Some(pid) = Pid::from_raw(child.id() as i32) {
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Kills all processes of a scheduler.
    pub fn kill(&mut self, n: usize) {
        for child in &mut self.nodes[n].children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.nodes[n].children.clear();
    }

    /// Whether the latest process of a scheduler is running.
    pub fn is_running(&mut self, n: usize) -> bool {
        self.nodes[n].children.last_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Pauses all processes of a scheduler.
    pub fn pause(&mut self, n: usize) {
        self.signal(n, Signal::STOP);
    }

    /// Resumes the paused processes of a scheduler.
    pub fn resume(&mut self, n: usize) {
        self.signal(n, Signal::CONT);
    }

    /// Changes the settings in a scheduler's configuration and has the scheduler reload it.
    pub fn reload(&mut self, n: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.nodes[n].config["settings"]);
        std::fs::write(self.file_path(n, "json"), self.nodes[n].config.to_string())?;
        self.signal(n, Signal::HUP);
        Ok(())
    }

    /// Returns the settings in a scheduler's configuration.
    pub fn settings(&self, n: usize) -> Value {
        self.nodes[n].config["settings"].clone()
    }

    /// Sets the state of one direction between two schedulers, on all links between them.
    pub fn set_link(&self, from: usize, to: usize, state: LinkState) {
        let encoded = match state {
            LinkState::Open => 0,
            LinkState::Cut => u64::MAX,
            LinkState::Delayed(delay) => delay.as_millis() as u64,
        };
        self.shared.link_states[from * self.shared.count + to].store(encoded, Ordering::Relaxed);
    }

    /// Sets the state of both directions between a scheduler and all others.
    pub fn set_all_links(&self, n: usize, state: LinkState) {
        for other in (0..self.shared.count).filter(|o| *o != n) {
            self.set_link(n, other, state);
            self.set_link(other, n, state);
        }
    }

    /// Breaks the connections that one scheduler has opened to another.
    pub fn break_connections(&self, from: usize, to: usize) {
        self.shared.link_generations[from * self.shared.count + to].fetch_add(1, Ordering::Relaxed);
    }

    /// Sends a request to the control address of a scheduler. Returns the status and the body, or `None` if there is no
    /// response within 2 s.
    pub fn call_control(&self, n: usize, method_and_path: &str, body: &str) -> Option<(u16, Value)> {
        let limit = Duration::from_secs(2);
        let mut stream = BlockingTcpStream::connect_timeout(&self.nodes[n].control, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let length = body.len();
        let text = format!("{method_and_path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let (head, body) = response.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, serde_json::from_str(body).unwrap_or(Value::Null)))
    }

    /// Returns the control address of a scheduler.
    pub fn control_address(&self, n: usize) -> SocketAddr {
        self.nodes[n].control
    }

    /// Publishes a new version of the worker list to one scheduler, in which one worker may be leaving.
    pub fn publish_worker_list(&self, n: usize, leaving: Option<usize>) {
        let list = &mut self.shared.worker_lists()[n];
        *list = (list.0 + 1, leaving);
    }

    /// Returns the number of full lists that schedulers have requested.
    pub fn full_list_requests(&self) -> u64 {
        self.shared.full_list_requests.load(Ordering::Relaxed)
    }

    /// Returns the tier status of a scheduler.
    pub fn tier_status(&self, n: usize) -> Option<Value> {
        self.call_control(n, "GET /control/tier", "").map(|c| c.1)
    }

    /// Whether all of these schedulers have a lease and act on this version of the settings.
    pub fn all_follow_version(&self, nodes: &[usize], version: u64) -> bool {
        nodes.iter().all(|n| {
            self.tier_status(*n)
                .is_some_and(|t| t["acting"] == json!({ "On": version }) && t["may_act"] == true)
        })
    }

    /// Reads the history files of all schedulers.
    pub fn history(&self) -> Vec<HistoryRecord> {
        let lines =
            (0..self.shared.count).filter_map(|n| std::fs::read_to_string(self.file_path(n, "history")).ok());
        // The last line of a killed process may be incomplete.
        lines
            .flat_map(|text| text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect::<Vec<_>>())
            .collect()
    }

    /// Returns all jobs of the clients.
    pub fn jobs(&self) -> Vec<Job> {
        self.shared.jobs().values().cloned().collect()
    }
}

impl Drop for TierHarness {
    fn drop(&mut self) {
        self.shared.shutting_down.store(true, Ordering::Relaxed);
        for n in 0..self.nodes.len() {
            self.kill(n);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn build_nodes(
    options: &Options,
    endpoints: &Endpoints,
    worker_addresses: &[[SocketAddr; WORKERS.len()]],
) -> io::Result<Vec<Node>> {
    let mut nodes = Vec::new();
    for (i, worker_addresses) in worker_addresses.iter().enumerate() {
        let [listen, control, tier] = endpoints.scheduler_addresses[i];
        let known = json!({"seq": 1, "whole": true, "hosts": host_entries(worker_addresses, None)});
        let config = json!({"name": format!("n{i}"), "listen": listen.to_string(), "control": control.to_string(),
            "discovery": endpoints.discovery_listeners[i].local_addr()?.to_string(), "seed": format!("{i:x}"),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512}, "known": known, "settings": initial_settings()});
        let mut operator_text = format!("key = \"{TIER_KEY}\"\n");
        if i < options.voters {
            operator_text += &format!("listen = \"{tier}\"\n");
        }
        for j in 0..options.voters {
            let link = endpoints.link_listeners.iter().find(|l| (l.0, l.1) == (i, j));
            let at = match link {
                Some((.., listener)) => listener.local_addr()?,
                None => tier,
            };
            operator_text += &format!("\n[[tier.voter]]\nname = \"n{j}\"\nat = \"{at}\"\n");
        }
        nodes.push(Node { control, config, operator_text, program: None, children: Vec::new() });
    }
    Ok(nodes)
}

/// Returns the addresses of the workers for each scheduler.
fn worker_addresses(endpoints: &Endpoints) -> io::Result<Vec<[SocketAddr; WORKERS.len()]>> {
    endpoints
        .worker_listeners
        .iter()
        .map(|[a, b, c]| Ok([a.local_addr()?, b.local_addr()?, c.local_addr()?]))
        .collect()
}

/// Starts the fault proxies, discovery, workers and clients.
fn start_endpoints(
    shared: &Arc<Shared>,
    options: &Options,
    endpoints: Endpoints,
    worker_addresses: Vec<[SocketAddr; WORKERS.len()]>,
) {
    for (from, to, listener) in endpoints.link_listeners {
        spawn_local(run_link_proxy(
            Arc::clone(shared),
            from,
            to,
            listener,
            endpoints.scheduler_addresses[to][2],
        ));
    }
    for (i, (listener, worker_addresses)) in
        endpoints.discovery_listeners.into_iter().zip(worker_addresses).enumerate()
    {
        spawn_local(serve_discovery(Arc::clone(shared), i, listener, worker_addresses));
    }
    for (i, listeners) in endpoints.worker_listeners.into_iter().enumerate() {
        for (host, listener) in WORKERS.into_iter().zip(listeners) {
            spawn_local(serve_worker(
                Arc::clone(shared),
                host,
                listener,
                endpoints.scheduler_addresses[i][0],
            ));
        }
    }
    if let Some(interval) = options.job_interval {
        for (i, addresses) in endpoints.scheduler_addresses.iter().enumerate() {
            spawn_local(run_clients(Arc::clone(shared), i, addresses[0], interval));
        }
    }
}

async fn run_link_proxy(
    shared: Arc<Shared>,
    from: usize,
    to: usize,
    listener: TcpListener,
    voter_address: SocketAddr,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        spawn_local(async move {
            // A connection over a cut link is not opened either.
            wait_for_link(&shared, from, to).await;
            let Ok(upstream) = TcpStream::connect(voter_address).await else { return };
            let (link, generations) = (from * shared.count + to, Arc::clone(&shared));
            let generation = generations.link_generations[link].load(Ordering::Relaxed);
            let ((downstream_read, downstream_write), (upstream_read, upstream_write)) =
                (stream.into_split(), upstream.into_split());
            tokio::select! {
                () = forward_bytes(&shared, from, to, downstream_read, upstream_write) => {}
                () = forward_bytes(&shared, to, from, upstream_read, downstream_write) => {}
                () = async {
                    while generations.link_generations[link].load(Ordering::Relaxed) == generation {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                } => {}
            }
        });
    }
}

/// Waits while this direction is cut, and then for its delay.
async fn wait_for_link(shared: &Shared, from: usize, to: usize) {
    let state = || shared.link_states[from * shared.count + to].load(Ordering::Relaxed);
    while state() == u64::MAX {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_millis(state())).await;
}

async fn forward_bytes(
    shared: &Shared,
    from: usize,
    to: usize,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let Ok(length @ 1..) = read.read(&mut bytes).await else { return };
        wait_for_link(shared, from, to).await;
        if write.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns the entries of a scheduler's worker list.
fn host_entries(worker_addresses: &[SocketAddr; WORKERS.len()], leaving: Option<usize>) -> Vec<Value> {
    let health = |at| if leaving == Some(at) { "leaving" } else { "active" };
    let entry = |(at, (host, dial)): (usize, (&&str, &SocketAddr))| {
        json!({"host": host, "dial": dial.to_string(), "site": "z", "class": "k", "block": 0,
            "health": health(at), "share": 1.0, "born_ms": 0})
    };
    WORKERS.iter().zip(worker_addresses).enumerate().map(entry).collect()
}

/// Serves discovery to one scheduler. A watch gets a response when there is a newer version, or after 4 s.
async fn serve_discovery(
    shared: Arc<Shared>,
    scheduler: usize,
    listener: TcpListener,
    worker_addresses: [SocketAddr; WORKERS.len()],
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        let handler = move |request: Request<Incoming>| {
            let shared = Arc::clone(&shared);
            async move {
                let query = request.uri().query().unwrap_or("");
                let from = query.split('&').find_map(|p| p.strip_prefix("from=")?.parse::<u64>().ok());
                let deadline = Instant::now() + Duration::from_secs(4);
                let list = || shared.worker_lists()[scheduler];
                while from.is_some_and(|from| list().0 <= from) && Instant::now() < deadline {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                let (seq, leaving) = list();
                if from.is_none() {
                    shared.full_list_requests.fetch_add(1, Ordering::Relaxed);
                }
                let full = from.is_none_or(|from| from != seq);
                let entries = if full { host_entries(&worker_addresses, leaving) } else { Vec::new() };
                Some(http::response(200, json!({"seq": seq, "whole": full, "hosts": entries}).to_string()))
            }
        };
        spawn_local(http::serve(stream, handler, http::never()));
    }
}

/// Serves a worker that completes all jobs of class `view` and fails all others, so that repeats can be observed.
async fn serve_worker(shared: Arc<Shared>, host: &'static str, listener: TcpListener, scheduler: SocketAddr) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        spawn_local(http::serve(
            stream,
            move |request: Request<Incoming>| handle_job(Arc::clone(&shared), host, request, scheduler),
            http::never(),
        ));
    }
}

async fn handle_job(
    shared: Arc<Shared>,
    host: &'static str,
    request: Request<Incoming>,
    scheduler: SocketAddr,
) -> Option<Response<Body>> {
    let id = request.headers().get("X-Correlation-Id")?.to_str().ok()?.to_string();
    let succeeds = request.uri().path().starts_with("/view");
    if request.method() != "POST" {
        return Some(http::response(200, ""));
    }
    http::read_body(request.into_body()).await?;
    if let Some(job) = shared.jobs().get_mut(&id) {
        job.worker_attempts += 1;
        job.worker = WORKERS.iter().position(|h| *h == host).unwrap_or(0);
    }
    spawn_local(async move {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let state = if succeeds { "done" } else { "failed" };
        let body = json!({"id": id, "from": host, "state": state, "result": "r"}).to_string();
        // Retry until the scheduler responds, up to ten times.
        for _ in 0..10 {
            let callback = async {
                let mut connection = ClientConnection::open(scheduler).await.ok()?;
                let request = http::request("POST", "/v1/job-events", scheduler, &[], &body);
                Some(connection.send(request).await.ok()?.status().as_u16())
            };
            match tokio::time::timeout(Duration::from_secs(1), callback).await {
                Ok(Some(200 | 204)) => return,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    });
    Some(http::response(202, ""))
}

/// Sends jobs of both classes alternately, independently of the outcome of earlier ones.
async fn run_clients(shared: Arc<Shared>, scheduler: usize, address: SocketAddr, interval: Duration) {
    let idle: Rc<RefCell<Vec<ClientConnection>>> = Rc::default();
    let mut number = 0u64;
    loop {
        tokio::time::sleep(interval).await;
        number += 1;
        let class = if number.is_multiple_of(2) { "view" } else { "lodge" };
        let id = format!("{scheduler:04x}{number:012x}");
        let job = Job { scheduler, sent_at: shared.started_at.elapsed(), ..Job::default() };
        shared.jobs().insert(id.clone(), job);
        let (shared, idle) = (Arc::clone(&shared), Rc::clone(&idle));
        spawn_local(async move {
            let headers = [
                ("X-Correlation-Id", id.clone()),
                ("X-Service-Class", class.to_string()),
                ("X-Time-Left", "2.000".to_string()),
                ("Idempotency-Key", id.clone()),
            ];
            let exchange = async {
                // The scheduler may close an idle connection while a request is on the way: retry.
                loop {
                    let idle_connection = idle.borrow_mut().pop().filter(ClientConnection::is_ready);
                    let reused = idle_connection.is_some();
                    let mut connection = match idle_connection {
                        Some(connection) => connection,
                        None => ClientConnection::open(address).await.ok()?,
                    };
                    let request = http::request("POST", &format!("/{class}/{id}"), address, &headers, "x");
                    let response = match connection.send(request).await {
                        Ok(response) => response,
                        Err(_) if reused => continue,
                        Err(_) => return None,
                    };
                    let status = response.status().as_u16();
                    http::read_body(response.into_body()).await?;
                    idle.borrow_mut().push(connection);
                    return Some(status);
                }
            };
            let status = tokio::time::timeout(Duration::from_secs(4), exchange).await.ok().flatten();
            if let Some(job) = shared.jobs().get_mut(&id) {
                (job.status, job.finished) = (status, true);
            }
        });
    }
}

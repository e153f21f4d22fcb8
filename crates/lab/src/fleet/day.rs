//! A day of one scheduler in a fleet of one size: it starts with the whole list, gets a steady load, and meanwhile half of
//! the workers start anew in steps. Workers, discovery and clients are scripted servers on threads of this process. Its
//! peers are named in the settings and absent: what it sends them goes to one socket, and nobody answers.

use super::bounds::Usage;
use super::process::SchedulerProcess;
use super::{FleetSize, Options};
use crate::scale::clients::{self, Load, Seen};
use crate::scale::fleet::Spent;
use crate::scale::host::Host;
use crate::scale::list::{self, List, Worker};
use crate::scale::workers;
use crate::scale::{Error, changes};
use serde::Serialize;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;

/// Requests a second at the scheduler, whatever the size of the fleet.
pub const REQUESTS_PER_SECOND: f64 = 25.0;
/// Requests in flight in the mean, whatever the size of the fleet.
pub const IN_FLIGHT: f64 = 12.0;
/// The part of the workers that start anew in a day.
pub const RESTARTED_PART: f64 = 0.5;
/// Steps in which they do.
pub const RESTART_STEPS: usize = 50;
/// The scheduler's limits, whatever the size of the fleet.
pub const MEMORY_MB: u64 = 192;
/// Sockets that the scheduler may have open.
pub const SOCKETS: u64 = 1024;

/// Until the scheduler has to accept connections.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Between two looks at the scheduler's process.
const LOOK: Duration = Duration::from_millis(20);
/// The part of the day before the first workers leave, and after the last ones have returned.
const QUIET_PART: f64 = 0.1;
/// The part of a step after which workers that have left return.
const RETURN_PART: f64 = 0.5;

/// What a day came to.
#[derive(Clone, Debug, Serialize)]
pub struct Day {
    /// Seed of the clients' times.
    pub seed: u64,
    /// What the scheduler needed.
    pub usage: Usage,
    /// Requests sent, answered 200, and answered otherwise or not at all.
    pub requests: [u64; 3],
    /// Answers of discovery with the whole list.
    pub whole_lists: u64,
    /// Datagrams that the scheduler sent to its peers.
    pub peer_messages: u64,
    /// The busiest thread of scripted servers, as a part of a core.
    pub busiest_host: f64,
}

/// The scripted servers around a scheduler.
struct Servers {
    hosts: Vec<Host>,
    list: Arc<List>,
    discovery: SocketAddr,
    accepted: Arc<AtomicU64>,
    clients: Arc<Seen>,
    peers: UdpSocket,
    listen: SocketAddr,
}

/// Plays a day.
pub fn play(options: &Options, size: FleetSize, seed: u64) -> Result<Day, Error> {
    let servers = Servers::start(size, seed).map_err(|e| e.error())?;
    let config = config(&servers, size, seed);
    let mut scheduler = SchedulerProcess::start(&options.program, &config, options.logs)?;
    wait_until_it_accepts(options, &mut scheduler, servers.listen)?;
    let begun = Instant::now();
    servers.clients.on.store(true, Ordering::Relaxed);
    let length = Duration::from_secs(options.seconds);
    let mut changes = restarts(size.workers, length).into_iter().peekable();
    let mut descriptors = 0;
    let mut peer_messages = 0;
    while begun.elapsed() < length {
        if options.stop.is_requested() {
            return Err(Error::Stopped);
        }
        while let Some(change) = changes.next_if(|change| change.at <= begun.elapsed()) {
            servers.apply(&change);
        }
        descriptors = descriptors.max(scheduler.descriptors());
        peer_messages += servers.read_peer_messages();
        std::thread::sleep(LOOK);
    }
    let spent = scheduler.spent().filter(|_| !scheduler.has_ended()).ok_or_else(|| ended(options))?;
    let span = begun.elapsed().as_secs_f64();
    Ok(servers.day(seed, span, &spent, descriptors, peer_messages))
}

/// The scheduler's process is gone, though nobody ended it.
fn ended(options: &Options) -> Error {
    let source = std::io::Error::other("the scheduler has ended by itself; see why with --logs");
    Error::Start { program: options.program.first().cloned().into(), source }
}

fn wait_until_it_accepts(
    options: &Options,
    scheduler: &mut SchedulerProcess,
    at: SocketAddr,
) -> Result<(), Error> {
    let begun = Instant::now();
    while TcpStream::connect(at).is_err() {
        if options.stop.is_requested() {
            return Err(Error::Stopped);
        }
        if scheduler.has_ended() || begun.elapsed() > START_LIMIT {
            return Err(ended(options));
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}

/// Workers that leave or return together.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    at: Duration,
    workers: std::ops::Range<usize>,
    leaves: bool,
}

/// The restarts of a day, in their order.
fn restarts(workers: usize, length: Duration) -> Vec<Change> {
    let restarted = (workers as f64 * RESTARTED_PART) as usize;
    let step_part = (1.0 - 2.0 * QUIET_PART) / RESTART_STEPS as f64;
    let change = |step: usize, leaves: bool| {
        let within = if leaves { 0.0 } else { RETURN_PART };
        let at = length.mul_f64(QUIET_PART + (step as f64 + within) * step_part);
        let workers = step * restarted / RESTART_STEPS..(step + 1) * restarted / RESTART_STEPS;
        Change { at, workers, leaves }
    };
    let all = (0..RESTART_STEPS).flat_map(|step| [change(step, true), change(step, false)]);
    all.filter(|change| !change.workers.is_empty()).collect()
}

/// Why the scripted servers could not be started.
enum ServerError {
    Addresses(std::io::Error),
    Host(Error),
}

impl ServerError {
    fn error(self) -> Error {
        match self {
            ServerError::Addresses(source) => Error::Host { host: "addresses".into(), source },
            ServerError::Host(error) => error,
        }
    }
}

impl From<std::io::Error> for ServerError {
    fn from(error: std::io::Error) -> ServerError {
        ServerError::Addresses(error)
    }
}

impl From<Error> for ServerError {
    fn from(error: Error) -> ServerError {
        ServerError::Host(error)
    }
}

/// A free port at an address.
fn free_port(at: SocketAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind(at)?.local_addr()
}

impl Servers {
    fn start(size: FleetSize, seed: u64) -> Result<Servers, ServerError> {
        // Two runs on one machine have addresses of their own.
        let net = 40 + (std::process::id() % 80) as u8 * 2;
        let listen = free_port(SocketAddr::from(([127, net, 0, 1], 0)))?;
        let worker_port = free_port(workers::address(net + 1, 0, 0))?.port();
        let listed = (0..size.workers).map(|worker| Worker {
            dial: workers::address(net + 1, worker, worker_port),
            left: false,
            born_ms: 0,
        });
        let list = List::new(listed.collect(), 1);
        let accepted: Arc<AtomicU64> = Arc::default();
        let clients: Arc<Seen> = Arc::default();

        let arguments = workers::Args {
            first: 0,
            count: size.workers,
            net: net + 1,
            port: worker_port,
            schedulers: vec![listen],
        };
        let counter = Arc::clone(&accepted);
        let (worker_host, ()) =
            Host::start("workers", move || async move { workers::open(&arguments, counter).await })?;
        let sent_list = Arc::clone(&list);
        let (discovery_host, discovery) = Host::start("discovery", move || list::open(sent_list))?;
        let load =
            Load { scheduler: 0, at: listen, starts: REQUESTS_PER_SECOND, flows: IN_FLIGHT, ramp: 1.0, seed };
        let seen = Arc::clone(&clients);
        let (client_host, ()) = Host::start("clients", move || async move {
            spawn_local(clients::run(load, seen));
            Ok(())
        })?;
        let peers = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        peers.set_nonblocking(true)?;
        let hosts = vec![worker_host, discovery_host, client_host];
        Ok(Servers { hosts, list, discovery, accepted, clients, peers, listen })
    }

    #[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
    fn apply(&self, change: &Change) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_millis() as u64);
        self.list.change(change.workers.clone(), |worker| {
            worker.left = change.leaves;
            if !change.leaves {
                worker.born_ms = now;
            }
        });
    }

    /// Takes the datagrams that have come for the peers, and counts them.
    fn read_peer_messages(&self) -> u64 {
        let mut datagram = [0; 512];
        std::iter::from_fn(|| self.peers.recv(&mut datagram).ok()).count() as u64
    }

    fn day(&self, seed: u64, span: f64, spent: &Spent, descriptors: usize, peer_messages: u64) -> Day {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let requests = [&self.clients.sent, &self.clients.served, &self.clients.failed].map(count);
        let [_, served, failed] = requests;
        let cpu = |host: &Host| {
            let path = format!("/proc/self/task/{}/stat", host.meter.thread());
            crate::scale::fleet::cpu(&path).unwrap_or(0.0)
        };
        let usage = Usage {
            cpu_seconds: spent.cpu,
            peak_memory: spent.peak,
            descriptors: descriptors as f64,
            worker_connections: count(&self.accepted) as f64,
            list_bytes: count(&self.list.bytes) as f64,
            share_served: served as f64 / (served + failed).max(1) as f64,
        };
        Day {
            seed,
            usage,
            requests,
            whole_lists: count(&self.list.whole),
            peer_messages,
            busiest_host: self.hosts.iter().map(cpu).fold(0.0, f64::max) / span,
        }
    }
}

/// The scheduler's configuration: one zone, peers that may be told things, and workers that are cold after a start.
fn config(servers: &Servers, size: FleetSize, seed: u64) -> Value {
    let mut settings = changes::settings(1, 0);
    settings["balancers"] = size.schedulers.into();
    settings["ceilings"]["may_tell"] = true.into();
    settings["obligations"] = json!({"cold": 15_000_000_000u64, "cold_from": 0.25, "drain_grace": 1_000_000_000u64,
        "overload_factor": 1.5, "overload_for": 1_000_000_000u64, "must_ask_in": 10_000_000_000u64});
    let peer = servers.peers.local_addr().map(|at| at.to_string()).unwrap_or_default();
    json!({"name": "n0", "listen": servers.listen.to_string(), "discovery": servers.discovery.to_string(),
        "seed": format!("{seed:x}"), "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "peer_listen": format!("{}:0", servers.listen.ip()), "peers": vec![peer; size.schedulers],
        "known": servers.list.all(), "settings": settings})
}

#[cfg(test)]
mod tests;

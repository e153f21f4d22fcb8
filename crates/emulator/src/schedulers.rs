//! Scheduler processes: start, signals, exit and restart.

use crate::cost::{self, Cost};
use crate::emulation::Emulation;
use crate::peer_proxies::PeerProxies;
use crate::{discovery, http};
use loomlb_policy::Nanos;
use loomlb_simulation::invariants::SchedulerExit;
use loomlb_simulation::settings;
use loomlb_simulation::world::{Signal, ms};
use rustix::process::{Pid, Signal as UnixSignal, kill_process};
use serde_json::json;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

/// Time within which a scheduler must serve after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// A scheduler is killed if it has not exited this long after SIGTERM plus the longest deadline of a class.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700);
/// Upper bound of the deadline that is added to [`SHUTDOWN_GRACE`].
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time in nanoseconds for which clients still use a scheduler after SIGTERM.
const SHUTDOWN_OFFER_TIME: Nanos = 300_000_000;
/// Time for clients to read the last responses of a scheduler after its exit.
const RESPONSE_READ_TIME: Duration = Duration::from_millis(300);

/// A scheduler and its current process.
#[derive(Debug)]
pub(crate) struct Scheduler {
    /// The address for clients and workers.
    pub(crate) listen: SocketAddr,
    /// Number of processes started so far.
    pub(crate) start_count: Cell<u64>,
    /// Clients use the scheduler until this time.
    pub(crate) offered_until: Cell<Nanos>,
    /// Whether the process was asked to shut down or killed.
    ending: Cell<bool>,
    shutdown_requested: Cell<bool>,
    /// When the process was asked to shut down.
    shutdown_requested_at: Cell<Nanos>,
    shutdown_timed_out: Cell<bool>,
    pid: Cell<Option<u32>>,
    /// The cost of earlier processes.
    past_cost: Cell<Cost>,
    current_cost: Cell<Cost>,
    config_file: PathBuf,
    peer_listen: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl Scheduler {
    /// Returns the cost of all its processes, as of the last update.
    pub(crate) fn cost(&self) -> Cost {
        self.past_cost.get().combine(self.current_cost.get())
    }
    /// Updates the cost of the current process.
    pub(crate) fn update_cost(&self) {
        if let Some(pid) = self.pid.get() {
            let cost = cost::read_cost(&pid.to_string());
            if cost.peak_mb > 0.0 {
                self.current_cost.set(cost);
            }
        }
    }
}

/// Allocates the addresses of all schedulers. No process is started.
pub(crate) async fn allocate(
    files: &Path,
    count: usize,
    peer_proxies: &PeerProxies,
) -> io::Result<Vec<Scheduler>> {
    let mut schedulers = Vec::new();
    for s in 0..count {
        // The listener is dropped, and the scheduler binds to the port itself.
        let listen = http::bind(30, s, 0).await?.local_addr()?;
        schedulers.push(Scheduler {
            listen,
            start_count: Cell::new(0),
            offered_until: Cell::new(0),
            ending: Cell::new(false),
            shutdown_requested: Cell::new(false),
            shutdown_requested_at: Cell::new(0),
            shutdown_timed_out: Cell::new(false),
            pid: Cell::new(None),
            past_cost: Cell::default(),
            current_cost: Cell::default(),
            config_file: files.join(format!("scheduler-{s}.json")),
            peer_listen: peer_proxies.listen_addresses[s],
            peers: peer_proxies.peer_addresses(s)?,
        });
    }
    Ok(schedulers)
}

fn write_config(emulation: &Emulation, s: usize) -> io::Result<()> {
    let (scheduler, known) = (&emulation.schedulers[s], discovery::full_list(emulation, s));
    let world = emulation.world.borrow();
    let seed = emulation.front_random.borrow_mut().next_u64();
    let gossip_enabled = world.scenario.schedulers.talk;
    let config = json!({
        "name": format!("n{s}"), "listen": scheduler.listen.to_string(),
        "discovery": emulation.discovery_endpoints[s].address.get().to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": emulation.options.memory_mb, "sockets": emulation.options.sockets},
        "peer_listen": gossip_enabled.then(|| scheduler.peer_listen.to_string()),
        "peers": if gossip_enabled { scheduler.peers.iter().map(SocketAddr::to_string).collect() } else { Vec::new() },
        "known": known,
        "settings": settings::raw_settings(&world.scenario, s, emulation.arrivals.borrow().tenant_rates()),
    });
    if let Some(quota) = &world.scenario.quota {
        let operator_text = toml::to_string(&OperatorFile { quota }).map_err(io::Error::other)?;
        std::fs::write(operator_file(&scheduler.config_file), operator_text)?;
    }
    std::fs::write(&scheduler.config_file, config.to_string())
}

/// The contents of an operator file.
#[derive(serde::Serialize)]
struct OperatorFile<'a> {
    quota: &'a loomlb_quota::Spec,
}

/// Returns the path of a scheduler's operator file, which is next to its configuration.
fn operator_file(file: &Path) -> PathBuf {
    file.with_extension("toml")
}

/// Starts the process of a scheduler and a task that handles its exit.
pub(crate) async fn start(emulation: &Rc<Emulation>, s: usize) -> io::Result<()> {
    write_config(emulation, s)?;
    let scheduler = &emulation.schedulers[s];
    let (program, first_arguments) = emulation
        .options
        .program
        .split_first()
        .ok_or_else(|| io::Error::other("no program to start: Options::program is empty"))?;
    let mut command = Command::new(program);
    command
        .args(first_arguments)
        .arg("serve")
        .env_clear()
        .env("LB_CONFIG", &scheduler.config_file)
        .kill_on_drop(true)
        .stdin(Stdio::null());
    if let Some(level) = std::env::var_os("RUST_LOG") {
        command.env("RUST_LOG", level);
    }
    if !emulation.options.show_logs {
        command.stdout(Stdio::null()).stderr(Stdio::null());
    }
    if emulation.world.borrow().scenario.quota.is_some() {
        command.env("LOOMLB_OPERATOR", operator_file(&scheduler.config_file));
    }
    let add_program_name =
        |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", program.to_string_lossy()));
    let child = command.spawn().map_err(add_program_name)?;
    scheduler.pid.set(child.id());
    scheduler.start_count.set(scheduler.start_count.get() + 1);
    scheduler.past_cost.set(scheduler.cost());
    scheduler.current_cost.set(Cost::default());
    scheduler.ending.set(false);
    scheduler.shutdown_requested.set(false);
    scheduler.shutdown_timed_out.set(false);
    spawn_local(handle_exit(Rc::clone(emulation), s, child));
    Ok(())
}

/// Waits until all schedulers serve.
pub(crate) async fn wait_until_ready(emulation: &Rc<Emulation>) -> io::Result<()> {
    for s in 0..emulation.schedulers.len() {
        wait_until_serving(emulation, s).await?;
    }
    Ok(())
}

async fn wait_until_serving(emulation: &Rc<Emulation>, s: usize) -> io::Result<()> {
    let scheduler = &emulation.schedulers[s];
    let run = scheduler.start_count.get();
    let serving = async {
        while scheduler.start_count.get() == run
            && http::request_status(scheduler.listen, "GET", "/healthz", Duration::from_secs(1)).await
                != Some(200)
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, serving).await.map_err(|_| {
        io::Error::new(
            io::ErrorKind::TimedOut,
            format!(
                "scheduler {s} did not answer GET /healthz with 200 within {} s",
                READY_TIMEOUT.as_secs()
            ),
        )
    })?;
    scheduler.offered_until.set(Nanos::MAX);
    Ok(())
}

async fn handle_exit(emulation: Rc<Emulation>, s: usize, mut child: Child) {
    let exit_status = child.wait().await;
    let scheduler = &emulation.schedulers[s];
    scheduler.pid.set(None);
    let exited_cleanly =
        scheduler.shutdown_requested.get() && exit_status.as_ref().is_ok_and(|e| e.success());
    if !scheduler.ending.get()
        || (scheduler.shutdown_requested.get() && !exited_cleanly && !scheduler.shutdown_timed_out.get())
    {
        emulation.counts.borrow_mut().crashes += 1;
    }
    // Clients may still be reading responses.
    tokio::time::sleep(RESPONSE_READ_TIME).await;
    let now = emulation.now();
    let detection_delay = {
        let world = emulation.world.borrow();
        ms(emulation.front_random.borrow_mut().uniform(world.scenario.schedulers.notice_ms))
    };
    scheduler.offered_until.set(scheduler.offered_until.get().min(now + detection_delay));
    let exit = match (scheduler.shutdown_requested.get(), scheduler.shutdown_timed_out.get()) {
        (true, true) => SchedulerExit::ShutdownTimedOut(scheduler.shutdown_requested_at.get()),
        (true, false) => SchedulerExit::Exited,
        (false, _) => SchedulerExit::Killed,
    };
    emulation.world.borrow_mut().invariant_checker.scheduler_ended(now, s, exit);
    emulation.world.borrow_mut().abandon_jobs(now, s);
    if emulation.shutting_down.get() {
        return;
    }
    let restart_delay_ms = emulation.world.borrow().scenario.schedulers.restart_ms;
    tokio::time::sleep(Duration::from_nanos(ms(restart_delay_ms))).await;
    if emulation.shutting_down.get() || start(&emulation, s).await.is_err() {
        return;
    }
    let _ = wait_until_serving(&emulation, s).await;
}

fn send_signal(emulation: &Emulation, s: usize, signal: UnixSignal) {
    let pid = emulation.schedulers[s].pid.get().and_then(|p| Pid::from_raw(p as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}

/// Performs a signal of the scenario.
pub(crate) fn signal(emulation: &Rc<Emulation>, s: usize, signal: Signal) {
    let scheduler = &emulation.schedulers[s];
    match signal {
        Signal::Kill => {
            scheduler.ending.set(true);
            send_signal(emulation, s, UnixSignal::KILL);
        }
        Signal::Term => terminate(emulation, s),
        Signal::Moved => {
            let emulation = Rc::clone(emulation);
            spawn_local(async move {
                if discovery::move_endpoint(&emulation, s).await.is_ok()
                    && write_config(&emulation, s).is_ok()
                {
                    send_signal(&emulation, s, UnixSignal::HUP);
                }
            });
        }
    }
}

fn terminate(emulation: &Rc<Emulation>, s: usize) {
    let scheduler = &emulation.schedulers[s];
    if scheduler.pid.get().is_none() || scheduler.ending.replace(true) {
        return;
    }
    scheduler.shutdown_requested.set(true);
    scheduler.shutdown_requested_at.set(emulation.now());
    scheduler.offered_until.set(emulation.now() + SHUTDOWN_OFFER_TIME);
    send_signal(emulation, s, UnixSignal::TERM);
    let longest_deadline_ms =
        emulation.world.borrow().scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let timeout = SHUTDOWN_GRACE + Duration::from_nanos(ms(longest_deadline_ms)).min(MAX_DEADLINE);
    let (emulation, run) = (Rc::clone(emulation), scheduler.start_count.get());
    spawn_local(async move {
        tokio::time::sleep(timeout).await;
        let scheduler = &emulation.schedulers[s];
        if scheduler.start_count.get() == run && scheduler.pid.get().is_some() {
            scheduler.shutdown_timed_out.set(true);
            send_signal(&emulation, s, UnixSignal::KILL);
        }
    });
}

/// Shuts down all schedulers and waits until they have exited.
pub(crate) async fn shut_down(emulation: &Rc<Emulation>) {
    emulation.shutting_down.set(true);
    for s in 0..emulation.schedulers.len() {
        terminate(emulation, s);
    }
    let all_exited = || emulation.schedulers.iter().all(|s| s.pid.get().is_none());
    let deadline = tokio::time::Instant::now() + SHUTDOWN_GRACE + MAX_DEADLINE + Duration::from_secs(2);
    while !all_exited() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(RESPONSE_READ_TIME + Duration::from_millis(50)).await;
}

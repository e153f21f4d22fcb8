//! The state that all parts of an emulation share, and the run of a scenario from start to end.

use crate::cost::{self, Cost};
use crate::{clients, discovery, peer_proxies, schedulers, workers};
use hdrhistogram::Histogram;
use loomlb_policy::Nanos;
use loomlb_simulation::clients::{Arrivals, Request};
use loomlb_simulation::figures::{Collector, Figures};
use loomlb_simulation::invariants::{CheckerCounts, Violation};
use loomlb_simulation::scenario::Scenario;
use loomlb_simulation::seed::RandomStream;
use loomlb_simulation::world::{Counters, HostAction, World, secs};
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};

/// The host is too slow for a scenario if the 99th percentile of its lag, in nanoseconds, exceeds this.
const MAX_LAG: Nanos = 100_000_000;

/// Options of a run on sockets.
#[derive(Clone, Debug)]
pub struct Options {
    /// The scheduler's program and its first arguments; `serve` is appended.
    pub program: Vec<OsString>,
    /// Added to all time limits of the invariant checker, to allow for delays of this host.
    pub slack: Duration,
    /// Memory limit in the configuration of each scheduler, in MB.
    pub memory_mb: usize,
    /// Limit of sockets in the configuration of each scheduler.
    pub sockets: usize,
    /// Whether schedulers log to standard error; otherwise their logs are discarded.
    pub show_logs: bool,
    /// Whether workers also serve requests that no client of the scenario sent, such as one sent by hand.
    pub allow_manual_requests: bool,
}

impl Options {
    /// Returns the default options for a program.
    pub fn new(program: Vec<OsString>) -> Self {
        Options {
            program,
            slack: Duration::from_millis(500),
            memory_mb: 192,
            sockets: 1024,
            show_logs: false,
            allow_manual_requests: false,
        }
    }
}

/// Ends a run early but in order. May be used from any thread.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Requests the end of the run.
    pub fn request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    /// Whether the end of the run was requested.
    pub fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The progress of a run, reported once a second.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since the first request.
    pub second: u64,
    /// Addresses of the schedulers.
    pub listen_addresses: Vec<String>,
    /// Figures so far.
    pub figures: Figures,
    /// The events that were reported to the invariant checker so far.
    pub checker_counts: CheckerCounts,
    /// Violations so far.
    pub violations: u64,
    /// Workers that are running and responding.
    pub workers_up: usize,
    /// Names of the faults that are active.
    pub active_faults: Vec<&'static str>,
}

/// The result of a scenario on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct EmulationResult {
    /// Requests that schedulers accepted; each try counts.
    pub taken: u64,
    /// Responses.
    pub answered: u64,
    /// Requests served.
    pub served: u64,
    /// Requests served within the target time.
    pub in_time: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests whose last try failed or reached no scheduler.
    pub failed: u64,
    /// Violations of invariants.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Median time until a request was served, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time until a request was served, in milliseconds.
    pub p99_ms: f64,
    /// All figures.
    pub figures: Figures,
    /// The events that were reported to the invariant checker.
    #[serde(rename = "seen")]
    pub checker_counts: CheckerCounts,
    /// The first violations, with the history of their requests.
    #[serde(rename = "first")]
    pub first_violations: Vec<Violation>,
    /// Counts of events in the world.
    pub counters: Counters,
    /// Schedulers that exited unexpectedly.
    pub crashes: u64,
    /// Requests that reached a worker with another path, key or body than the client sent.
    #[serde(rename = "mangled")]
    pub altered_requests: u64,
    /// Requests that reached a worker with an id that no client sent.
    #[serde(rename = "strangers")]
    pub unknown_requests: u64,
    /// Callbacks that were not delivered.
    #[serde(rename = "call_backs_lost")]
    pub callbacks_lost: u64,
    /// Jobs whose 202 response was delayed, so that their callbacks may come first.
    #[serde(rename = "overtaken")]
    pub early_callbacks: u64,
    /// Callbacks answered by a later process of the scheduler than the one that ran when they were queued.
    #[serde(rename = "call_backs_to_successor")]
    pub callbacks_to_successor: u64,
    /// Datagrams between schedulers.
    pub datagrams: u64,
    /// Datagrams that were longer than the platform allows.
    pub datagrams_too_long: u64,
    /// 99th percentile of the lag of this host behind its schedule, in milliseconds.
    pub lag_p99_ms: f64,
    /// Highest lag of this host behind its schedule, in milliseconds.
    pub lag_max_ms: f64,
    /// Duration of the run, in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// The cost of each scheduler, including restarts.
    #[serde(rename = "schedulers")]
    pub scheduler_costs: Vec<Cost>,
    /// The cost of this process, which runs the workers, discovery, the network and the clients.
    #[serde(rename = "host")]
    pub host_cost: Cost,
}

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) class: usize,
    pub(crate) slots: u32,
    pub(crate) work: f64,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) key: Option<String>,
    pub(crate) subject: Option<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) crashes: u64,
    pub(crate) altered_requests: u64,
    pub(crate) unknown_requests: u64,
    pub(crate) callbacks_lost: u64,
    pub(crate) early_callbacks: u64,
    pub(crate) callbacks_to_successor: u64,
    pub(crate) datagrams: u64,
    pub(crate) datagrams_too_long: u64,
}

/// The state that all parts of an emulation share.
pub(crate) struct Emulation {
    pub(crate) options: Options,
    pub(crate) world: RefCell<World>,
    pub(crate) arrivals: RefCell<Arrivals>,
    pub(crate) collector: RefCell<Collector>,
    pub(crate) sent_requests: RefCell<FxHashMap<u64, SentRequest>>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) counts: RefCell<Counts>,
    pub(crate) lag: RefCell<Histogram<u64>>,
    pub(crate) discovery_endpoints: Vec<discovery::Endpoint>,
    pub(crate) schedulers: Vec<schedulers::Scheduler>,
    pub(crate) callback_queues: Vec<workers::CallbackQueue>,
    /// The connections to a worker are closed when its value changes.
    pub(crate) connection_resets: Vec<watch::Sender<u64>>,
    pub(crate) retry_random: RefCell<RandomStream>,
    pub(crate) front_random: RefCell<RandomStream>,
    pub(crate) worker_random: RefCell<RandomStream>,
    pub(crate) datagram_random: RefCell<RandomStream>,
    pub(crate) stop: StopFlag,
    /// Schedulers that exit are not restarted any more.
    pub(crate) shutting_down: Cell<bool>,
    /// The ids of requests sent by hand, by their numbers.
    pub(crate) manual_requests: RefCell<FxHashMap<u64, String>>,
    /// Start of the scenario, after all schedulers have started.
    start: Cell<Option<Instant>>,
    /// Unix time of the start of the scenario, in milliseconds.
    pub(crate) epoch_ms: Cell<u64>,
    driver_wakeup: Notify,
}

impl Emulation {
    /// Returns the nanoseconds since the start of the scenario; 0 before it.
    pub(crate) fn now(&self) -> Nanos {
        self.start.get().map_or(0, |start| start.elapsed().as_nanos() as Nanos)
    }
    #[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
    fn start_clock(&self) {
        self.start.set(Some(Instant::now()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch_ms.set(unix.as_millis() as u64);
    }
    /// Sleeps until a time of the scenario and records how late the wake-up was.
    pub(crate) async fn sleep_until(&self, at: Nanos) {
        let start = self.start.get().unwrap_or_else(Instant::now);
        tokio::time::sleep_until((start + Duration::from_nanos(at)).into()).await;
        let lag = self.now().saturating_sub(at);
        self.lag.borrow_mut().saturating_record((lag / 1000).max(1));
    }
    /// Wakes the driver, because the world may have a new action to perform.
    pub(crate) fn wake_driver(&self) {
        self.driver_wakeup.notify_one();
    }
    pub(crate) fn scenario(&self) -> Scenario {
        self.world.borrow().scenario.clone()
    }
}

/// Runs a scenario on sockets in a runtime of its own and calls `report_progress` once a second.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: Options,
    stop: StopFlag,
    report_progress: &mut dyn FnMut(&Progress),
) -> io::Result<EmulationResult> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_scenario(scenario.clone(), seed, options, stop, report_progress))
}

async fn run_scenario(
    scenario: Scenario,
    seed: u64,
    options: Options,
    stop: StopFlag,
    report_progress: &mut dyn FnMut(&Progress),
) -> io::Result<EmulationResult> {
    let slack = options.slack.as_nanos() as Nanos;
    let world = World::new(scenario.clone(), seed, slack);
    let streams = world.streams();
    let arrivals = Arrivals::new(&scenario, &streams, world.capacity());
    let files = tempfile::tempdir()?;
    let (scheduler_count, worker_count) = (scenario.schedulers.count, scenario.fleet.workers);
    let worker_listeners = workers::open(scheduler_count, worker_count).await?;
    let (discovery_endpoints, discovery_listeners) = discovery::open(scheduler_count).await?;
    let peer_proxies = peer_proxies::open(scheduler_count).await?;
    let schedulers = schedulers::allocate(files.path(), scheduler_count, &peer_proxies).await?;
    let (callback_queues, callback_receivers): (Vec<_>, Vec<_>) =
        (0..scheduler_count * worker_count).map(|_| workers::callback_queue()).unzip();
    let emulation = Rc::new(Emulation {
        collector: RefCell::new(Collector::new(&scenario)),
        sent_requests: RefCell::default(),
        open_requests: Cell::new(0),
        counts: RefCell::default(),
        lag: RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?),
        discovery_endpoints,
        schedulers,
        callback_queues,
        connection_resets: (0..worker_count).map(|_| watch::channel(0).0).collect(),
        retry_random: RefCell::new(streams.stream("retries")),
        front_random: RefCell::new(streams.stream("front")),
        worker_random: RefCell::new(streams.stream("whims")),
        datagram_random: RefCell::new(streams.stream("datagrams")),
        stop,
        shutting_down: Cell::new(false),
        manual_requests: RefCell::default(),
        start: Cell::new(None),
        epoch_ms: Cell::new(0),
        driver_wakeup: Notify::new(),
        arrivals: RefCell::new(arrivals),
        world: RefCell::new(world),
        options,
    });
    workers::start(&emulation, worker_listeners, callback_receivers);
    discovery::start(&emulation, discovery_listeners);
    peer_proxies::start(&emulation, peer_proxies);
    for s in 0..scheduler_count {
        schedulers::start(&emulation, s).await?;
    }
    schedulers::wait_until_ready(&emulation).await?;
    emulation.start_clock();
    let driver_task = spawn_local(drive_world(Rc::clone(&emulation)));
    let client_task = spawn_local(clients::send_requests(Rc::clone(&emulation)));
    let scenario_end = secs(scenario.seconds);
    let longest_deadline_ms = scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let time_limit = scenario_end + secs(longest_deadline_ms / 1e3) + slack + secs(2.0);
    let mut second = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = emulation.now();
        emulation.schedulers.iter().for_each(schedulers::Scheduler::update_cost);
        if now / 1_000_000_000 > second {
            second = now / 1_000_000_000;
            report_progress(&progress(&emulation, second, now));
        }
        let all_done = client_task.is_finished() && emulation.open_requests.get() == 0;
        if all_done || now > time_limit {
            break;
        }
    }
    driver_task.abort();
    schedulers::shut_down(&emulation).await;
    emulation.world.borrow_mut().invariant_checker.finish(emulation.now());
    Ok(collect_result(&emulation))
}

fn progress(emulation: &Emulation, second: u64, at: Nanos) -> Progress {
    let world = emulation.world.borrow();
    let at_s = at as f64 / 1e9;
    let is_active = |fault: &&loomlb_simulation::scenario::Fault| {
        at_s >= fault.at_s && at_s < fault.at_s + fault.for_s.max(1.0)
    };
    Progress {
        second,
        listen_addresses: emulation.schedulers.iter().map(|s| s.listen.to_string()).collect(),
        figures: emulation.collector.borrow().figures(),
        checker_counts: world.invariant_checker.counts,
        violations: world.invariant_checker.violation_count,
        workers_up: (0..world.workers()).filter(|w| !world.is_silent(*w) && !world.is_down(*w)).count(),
        active_faults: world.scenario.faults.iter().filter(is_active).map(|t| t.kind.name()).collect(),
    }
}

fn collect_result(emulation: &Emulation) -> EmulationResult {
    let world = emulation.world.borrow();
    let (figures, counts, lag) =
        (emulation.collector.borrow().figures(), emulation.counts.borrow(), emulation.lag.borrow());
    let arrivals = emulation.arrivals.borrow();
    let mut counters = world.counters.clone();
    (counters.burst, counters.heavy, counters.slow_readers) =
        (arrivals.burst_requests, arrivals.heavy_requests, arrivals.slow_readers);
    EmulationResult {
        taken: world.invariant_checker.counts.taken,
        answered: world.invariant_checker.counts.answered,
        served: figures.served,
        in_time: figures.in_time,
        refused: figures.refused,
        failed: figures.failed + figures.unreachable,
        violations: world.invariant_checker.violation_count,
        p50_ms: figures.p50_ms,
        p99_ms: figures.p99_ms,
        checker_counts: world.invariant_checker.counts,
        first_violations: world.invariant_checker.violations.clone(),
        counters,
        crashes: counts.crashes,
        altered_requests: counts.altered_requests,
        unknown_requests: counts.unknown_requests,
        callbacks_lost: counts.callbacks_lost,
        early_callbacks: counts.early_callbacks,
        callbacks_to_successor: counts.callbacks_to_successor,
        datagrams: counts.datagrams,
        datagrams_too_long: counts.datagrams_too_long,
        lag_p99_ms: lag.value_at_quantile(0.99) as f64 / 1e3,
        lag_max_ms: lag.max() as f64 / 1e3,
        duration_s: emulation.now() as f64 / 1e9,
        scheduler_costs: emulation.schedulers.iter().map(schedulers::Scheduler::cost).collect(),
        host_cost: cost::read_cost("self"),
        figures,
    }
}

/// Performs the actions of the world when they are due.
async fn drive_world(emulation: Rc<Emulation>) {
    loop {
        let now = emulation.now();
        loop {
            let action = emulation.world.borrow_mut().next_action(now);
            match action {
                Some(action) => perform_action(&emulation, action),
                None => break,
            }
        }
        // Without events the world is checked once a minute.
        let next_event = emulation.world.borrow().next_event_time().unwrap_or(now + 60_000_000_000);
        tokio::select! {
            () = emulation.sleep_until(next_event) => {}
            () = emulation.driver_wakeup.notified() => {}
        }
    }
}

fn perform_action(emulation: &Rc<Emulation>, action: HostAction) {
    match action {
        HostAction::JobUpdate { job, worker, scheduler, request, update, report } => {
            workers::send_callback(emulation, worker, scheduler, request, job, update, report);
        }
        HostAction::WorkerList { scheduler, .. } => {
            emulation.discovery_endpoints[scheduler].list_changed.notify_waiters()
        }
        HostAction::Signal(s, signal) => schedulers::signal(emulation, s, signal),
        HostAction::ResetConnections(w) => emulation.connection_resets[w].send_modify(|n| *n += 1),
    }
}

impl EmulationResult {
    /// Whether the host was too slow for the scenario, so that its figures are not reliable.
    pub fn host_too_slow(&self) -> bool {
        self.lag_p99_ms * 1e6 > MAX_LAG as f64
    }
}

/// Returns what a client sends for a request.
pub(crate) fn sent_request(scenario: &Scenario, request: &Request) -> SentRequest {
    let class = &scenario.classes[request.class];
    let key = class.effect.is_deduplicated().then(|| format!("key-{:x}", request.number));
    SentRequest {
        class: request.class,
        slots: request.slots,
        work: request.work,
        path: request
            .subject
            .map_or_else(|| format!("/{}", class.name), |s| format!("/{}/subject-{s}", class.name)),
        body: format!("petition {} of {}", request.number, class.name),
        key,
        subject: request.subject,
    }
}

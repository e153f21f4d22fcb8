//! The emulation: what all stand-ins share, and the run of a day from its start to its end.

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

/// How much later than planned things may happen here before the run says that the machine was too slow for it.
const MAX_LAG: Nanos = 100_000_000;

/// How to play a day on sockets.
#[derive(Clone, Debug)]
pub struct Options {
    /// The scheduler's program with its first arguments; `serve` is added to them.
    pub program: Vec<OsString>,
    /// What is added to every limit of the referee, for the machine's own delays.
    pub slack: Duration,
    /// Memory that each scheduler is told it has, in MB.
    pub memory_mb: usize,
    /// Descriptors that each scheduler is told it has.
    pub sockets: usize,
    /// Schedulers' logs go to standard error rather than nowhere.
    pub show_logs: bool,
    /// Workers also serve requests that none of the day's clients sent, such as one typed by a person.
    pub allow_manual_requests: bool,
}

impl Options {
    /// The usual ones, for a program.
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

/// Ends a run early and in order, from any thread.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Ends it.
    pub fn request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    /// Whether that was asked for.
    pub fn is_requested(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// How a run goes, told once a second.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since the first request.
    pub second: u64,
    /// Addresses of the schedulers.
    pub listen_addresses: Vec<String>,
    /// Figures so far.
    pub figures: Figures,
    /// What the referee saw so far.
    pub checker_counts: CheckerCounts,
    /// Breaches so far.
    pub violations: u64,
    /// Workers that serve.
    pub workers_up: usize,
    /// Troubles that are on.
    pub active_faults: Vec<&'static str>,
}

/// What a day on sockets came to.
#[derive(Clone, Debug, Serialize)]
pub struct EmulationResult {
    /// Requests that schedulers took, tries counted one by one.
    pub taken: u64,
    /// Answers.
    pub answered: u64,
    /// Requests served.
    pub served: u64,
    /// Requests served within the wanted time.
    pub in_time: u64,
    /// Requests refused in the end.
    pub refused: u64,
    /// Requests failed in the end.
    pub failed: u64,
    /// Breaches of the rules.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Median time to a served answer, in milliseconds.
    pub p50_ms: f64,
    /// 99 % of served answers came within this time, in milliseconds.
    pub p99_ms: f64,
    /// All figures.
    pub figures: Figures,
    /// What the referee saw.
    #[serde(rename = "seen")]
    pub checker_counts: CheckerCounts,
    /// The first breaches, with their stories.
    #[serde(rename = "first")]
    pub first_violations: Vec<Violation>,
    /// What the troubles did.
    pub counters: Counters,
    /// Schedulers that ended by themselves.
    pub crashes: u64,
    /// Requests that reached a worker with another path, key or body than their client sent.
    #[serde(rename = "mangled")]
    pub altered_requests: u64,
    /// Requests that reached a worker under an id that no client sent.
    #[serde(rename = "strangers")]
    pub unknown_requests: u64,
    /// Call-backs that a scheduler never answered.
    #[serde(rename = "call_backs_lost")]
    pub callbacks_lost: u64,
    /// Call-backs that were sent before the 202 of their job.
    #[serde(rename = "overtaken")]
    pub early_callbacks: u64,
    /// Call-backs to a scheduler that started after their job was sent.
    #[serde(rename = "call_backs_to_successor")]
    pub callbacks_to_successor: u64,
    /// Datagrams between schedulers, and those longer than the platform allows.
    pub datagrams: u64,
    /// See `datagrams`.
    pub datagrams_too_long: u64,
    /// How late this host was against its own plan, in milliseconds: 99 % and the most.
    pub lag_p99_ms: f64,
    /// See `lag_p99_ms`.
    pub lag_max_ms: f64,
    /// Length of the run, in seconds.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// What each scheduler cost, restarts included.
    #[serde(rename = "schedulers")]
    pub scheduler_costs: Vec<Cost>,
    /// What this process cost, with all stand-ins and clients.
    #[serde(rename = "host")]
    pub host_cost: Cost,
}

/// A try as its client sent it.
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

/// What all stand-ins share.
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
    /// Each worker's connections end when its number here changes.
    pub(crate) connection_resets: Vec<watch::Sender<u64>>,
    pub(crate) retry_random: RefCell<RandomStream>,
    pub(crate) front_random: RefCell<RandomStream>,
    pub(crate) worker_random: RefCell<RandomStream>,
    pub(crate) datagram_random: RefCell<RandomStream>,
    pub(crate) stop: StopFlag,
    /// The day is over: schedulers that end stay down.
    pub(crate) shutting_down: Cell<bool>,
    /// The ids of guests' requests, by their numbers.
    pub(crate) manual_requests: RefCell<FxHashMap<u64, String>>,
    /// When the day began; what the start-up takes is no part of it.
    start: Cell<Option<Instant>>,
    /// Unix time of the day's begin, in milliseconds.
    pub(crate) epoch_ms: Cell<u64>,
    driver_wakeup: Notify,
}

impl Emulation {
    /// Nanoseconds since the day began; 0 before it.
    pub(crate) fn now(&self) -> Nanos {
        self.start.get().map_or(0, |start| start.elapsed().as_nanos() as Nanos)
    }
    #[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
    fn start_clock(&self) {
        self.start.set(Some(Instant::now()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch_ms.set(unix.as_millis() as u64);
    }
    /// Waits for a moment of the day that has begun.
    pub(crate) async fn sleep_until(&self, at: Nanos) {
        let start = self.start.get().unwrap_or_else(Instant::now);
        tokio::time::sleep_until((start + Duration::from_nanos(at)).into()).await;
        let lag = self.now().saturating_sub(at);
        self.lag.borrow_mut().saturating_record((lag / 1000).max(1));
    }
    /// Something new may be due in the world.
    pub(crate) fn wake_driver(&self) {
        self.driver_wakeup.notify_one();
    }
    pub(crate) fn scenario(&self) -> Scenario {
        self.world.borrow().scenario.clone()
    }
}

/// Plays a day on sockets; `report_progress` hears of it once a second. The runtime is this call's own.
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
    let end = secs(scenario.seconds);
    let longest_deadline_ms = scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let time_limit = end + secs(longest_deadline_ms / 1e3) + slack + secs(2.0);
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
    let at = at as f64 / 1e9;
    let is_active = |t: &&loomlb_simulation::scenario::Fault| at >= t.at_s && at < t.at_s + t.for_s.max(1.0);
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

/// Carries out what the world wants done, when it is due.
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
        // Something measures or changes in every second of a day; without that a minute is as good.
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

/// Whether the run was late by more than a scheduler can be judged by.
impl EmulationResult {
    /// The machine was too slow for the day, so figures say little.
    pub fn host_too_slow(&self) -> bool {
        self.lag_p99_ms * 1e6 > MAX_LAG as f64
    }
}

/// A request's worker and class as the clients think of it.
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

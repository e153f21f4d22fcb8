//! The stage: what all stand-ins share, and the run of a day from its start to its end.

use crate::cost::{self, Cost};
use crate::{agent, clients, peers, schedulers, workers};
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
const LATE: Nanos = 100_000_000;

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
pub(crate) struct Sent {
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
    pub(crate) mangled: u64,
    pub(crate) strangers: u64,
    pub(crate) lost: u64,
    pub(crate) overtaken: u64,
    pub(crate) successor: u64,
    pub(crate) datagrams: u64,
    pub(crate) too_long: u64,
}

/// What all stand-ins share.
pub(crate) struct Stage {
    pub(crate) options: Options,
    pub(crate) world: RefCell<World>,
    pub(crate) arrivals: RefCell<Arrivals>,
    pub(crate) collector: RefCell<Collector>,
    pub(crate) tries: RefCell<FxHashMap<u64, Sent>>,
    pub(crate) open: Cell<usize>,
    pub(crate) counts: RefCell<Counts>,
    pub(crate) lag: RefCell<Histogram<u64>>,
    pub(crate) agents: Vec<agent::Agent>,
    pub(crate) schedulers: Vec<schedulers::Scheduler>,
    pub(crate) words: Vec<workers::Words>,
    /// Each worker's connections end when its number here changes.
    pub(crate) resets: Vec<watch::Sender<u64>>,
    pub(crate) habits: RefCell<RandomStream>,
    pub(crate) front: RefCell<RandomStream>,
    pub(crate) whims: RefCell<RandomStream>,
    pub(crate) delays: RefCell<RandomStream>,
    pub(crate) stop: StopFlag,
    /// The day is over: schedulers that end stay down.
    pub(crate) over: Cell<bool>,
    /// The ids of guests' requests, by their numbers.
    pub(crate) guests: RefCell<FxHashMap<u64, String>>,
    /// When the day began; what the start-up takes is no part of it.
    start: Cell<Option<Instant>>,
    /// Unix time of the day's begin, in milliseconds.
    pub(crate) epoch_ms: Cell<u64>,
    wake: Notify,
}

impl Stage {
    /// Nanoseconds since the day began; 0 before it.
    pub(crate) fn now(&self) -> Nanos {
        self.start.get().map_or(0, |start| start.elapsed().as_nanos() as Nanos)
    }
    #[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
    fn begin(&self) {
        self.start.set(Some(Instant::now()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.epoch_ms.set(unix.as_millis() as u64);
    }
    /// Waits for a moment of the day that has begun.
    pub(crate) async fn until(&self, at: Nanos) {
        let start = self.start.get().unwrap_or_else(Instant::now);
        tokio::time::sleep_until((start + Duration::from_nanos(at)).into()).await;
        let late = self.now().saturating_sub(at);
        self.lag.borrow_mut().saturating_record((late / 1000).max(1));
    }
    /// Something new may be due in the world.
    pub(crate) fn stir(&self) {
        self.wake.notify_one();
    }
    pub(crate) fn day(&self) -> Scenario {
        self.world.borrow().scenario.clone()
    }
}

/// Plays a day on sockets; `tell` hears of it once a second. The runtime is this call's own.
pub fn run(
    day: &Scenario,
    seed: u64,
    options: Options,
    stop: StopFlag,
    tell: &mut dyn FnMut(&Progress),
) -> io::Result<EmulationResult> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(day.clone(), seed, options, stop, tell))
}

async fn play(
    day: Scenario,
    seed: u64,
    options: Options,
    stop: StopFlag,
    tell: &mut dyn FnMut(&Progress),
) -> io::Result<EmulationResult> {
    let slack = options.slack.as_nanos() as Nanos;
    let world = World::new(day.clone(), seed, slack);
    let streams = world.streams();
    let arrivals = Arrivals::new(&day, &streams, world.capacity());
    let files = tempfile::tempdir()?;
    let (count, workers) = (day.schedulers.count, day.fleet.workers);
    let posts = workers::open(count, workers).await?;
    let (agents, agent_listeners) = agent::open(count).await?;
    let links = peers::open(count).await?;
    let schedulers = schedulers::prepare(files.path(), count, &links).await?;
    let (words, queues): (Vec<_>, Vec<_>) = (0..count * workers).map(|_| workers::words()).unzip();
    let stage = Rc::new(Stage {
        collector: RefCell::new(Collector::new(&day)),
        tries: RefCell::default(),
        open: Cell::new(0),
        counts: RefCell::default(),
        lag: RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?),
        agents,
        schedulers,
        words,
        resets: (0..workers).map(|_| watch::channel(0).0).collect(),
        habits: RefCell::new(streams.stream("retries")),
        front: RefCell::new(streams.stream("front")),
        whims: RefCell::new(streams.stream("whims")),
        delays: RefCell::new(streams.stream("datagrams")),
        stop,
        over: Cell::new(false),
        guests: RefCell::default(),
        start: Cell::new(None),
        epoch_ms: Cell::new(0),
        wake: Notify::new(),
        arrivals: RefCell::new(arrivals),
        world: RefCell::new(world),
        options,
    });
    workers::start(&stage, posts, queues);
    agent::start(&stage, agent_listeners);
    peers::start(&stage, links);
    for s in 0..count {
        schedulers::start(&stage, s).await?;
    }
    schedulers::ready(&stage).await?;
    stage.begin();
    let driver = spawn_local(drive(Rc::clone(&stage)));
    let feeder = spawn_local(clients::feed(Rc::clone(&stage)));
    let end = secs(day.seconds);
    let longest = day.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let last = end + secs(longest / 1e3) + slack + secs(2.0);
    let mut second = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = stage.now();
        stage.schedulers.iter().for_each(schedulers::Scheduler::look);
        if now / 1_000_000_000 > second {
            second = now / 1_000_000_000;
            tell(&live(&stage, second, now));
        }
        let over = feeder.is_finished() && stage.open.get() == 0;
        if over || now > last {
            break;
        }
    }
    driver.abort();
    schedulers::finish(&stage).await;
    stage.world.borrow_mut().invariant_checker.finish(stage.now());
    Ok(played(&stage))
}

fn live(stage: &Stage, second: u64, at: Nanos) -> Progress {
    let world = stage.world.borrow();
    let at = at as f64 / 1e9;
    let on = |t: &&loomlb_simulation::scenario::Fault| at >= t.at_s && at < t.at_s + t.for_s.max(1.0);
    Progress {
        second,
        listen_addresses: stage.schedulers.iter().map(|s| s.listen.to_string()).collect(),
        figures: stage.collector.borrow().figures(),
        checker_counts: world.invariant_checker.counts,
        violations: world.invariant_checker.violation_count,
        workers_up: (0..world.workers()).filter(|w| !world.is_silent(*w) && !world.is_down(*w)).count(),
        active_faults: world.scenario.faults.iter().filter(on).map(|t| t.kind.name()).collect(),
    }
}

fn played(stage: &Stage) -> EmulationResult {
    let world = stage.world.borrow();
    let (figures, counts, lag) =
        (stage.collector.borrow().figures(), stage.counts.borrow(), stage.lag.borrow());
    let arrivals = stage.arrivals.borrow();
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
        altered_requests: counts.mangled,
        unknown_requests: counts.strangers,
        callbacks_lost: counts.lost,
        early_callbacks: counts.overtaken,
        callbacks_to_successor: counts.successor,
        datagrams: counts.datagrams,
        datagrams_too_long: counts.too_long,
        lag_p99_ms: lag.value_at_quantile(0.99) as f64 / 1e3,
        lag_max_ms: lag.max() as f64 / 1e3,
        duration_s: stage.now() as f64 / 1e9,
        scheduler_costs: stage.schedulers.iter().map(schedulers::Scheduler::cost).collect(),
        host_cost: cost::of("self"),
        figures,
    }
}

/// Carries out what the world wants done, when it is due.
async fn drive(stage: Rc<Stage>) {
    loop {
        let now = stage.now();
        loop {
            let deed = stage.world.borrow_mut().next_action(now);
            match deed {
                Some(deed) => carry_out(&stage, deed),
                None => break,
            }
        }
        // Something measures or changes in every second of a day; without that a minute is as good.
        let next = stage.world.borrow().next_event_time().unwrap_or(now + 60_000_000_000);
        tokio::select! {
            () = stage.until(next) => {}
            () = stage.wake.notified() => {}
        }
    }
}

fn carry_out(stage: &Rc<Stage>, deed: HostAction) {
    match deed {
        HostAction::JobUpdate { job, worker, scheduler, request, update: word, report } => {
            workers::say(stage, worker, scheduler, request, job, word, report);
        }
        HostAction::WorkerList { scheduler, .. } => stage.agents[scheduler].news.notify_waiters(),
        HostAction::Signal(s, signal) => schedulers::signal(stage, s, signal),
        HostAction::ResetConnections(w) => stage.resets[w].send_modify(|n| *n += 1),
    }
}

/// Whether the run was late by more than a scheduler can be judged by.
impl EmulationResult {
    /// The machine was too slow for the day, so figures say little.
    pub fn host_too_slow(&self) -> bool {
        self.lag_p99_ms * 1e6 > LATE as f64
    }
}

/// A request's worker and class as the clients think of it.
pub(crate) fn sent(day: &Scenario, request: &Request) -> Sent {
    let class = &day.classes[request.class];
    let key = class.effect.is_deduplicated().then(|| format!("key-{:x}", request.number));
    Sent {
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

//! Scenarios: the input of a simulation, read from a file and validated.
//!
//! Keys for times carry their unit (`_s`, `_ms`). A key that is unknown, has the wrong type or an impossible value
//! is rejected with its line and a reason; values are never adjusted silently.

use loomlb_config_file::line_of_key;
use loomlb_quota::Spec;
use serde::{Deserialize, Serialize};

pub use loomlb_config_file::ConfigError;

/// A scenario for the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Day")]
pub struct Scenario {
    /// The name.
    pub name: String,
    /// A short description.
    #[serde(default)]
    pub about: String,
    /// Seconds in which requests arrive; the scenario then runs until all have ended.
    pub seconds: f64,
    /// Time between two ticks at which schedulers handle their events, in milliseconds (virtual time only).
    #[serde(default = "default_tick_ms")]
    pub tick_ms: f64,
    /// The workers.
    pub fleet: Fleet,
    /// The schedulers.
    #[serde(default)]
    pub schedulers: Schedulers,
    /// The requests.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Delays and losses of the network.
    #[serde(default)]
    pub network: Network,
    /// Load reports of the workers.
    #[serde(default)]
    pub reports: Reports,
    /// The worker list.
    #[serde(default)]
    pub discovery: Discovery,
    /// Limits and obligations of the platform.
    #[serde(default)]
    pub terms: Terms,
    /// Classes of requests; there are three default classes.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Nested quotas of the schedulers; the nodes are named after the tenants.
    #[serde(default)]
    pub quota: Option<Spec>,
    /// Faults that are injected.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

fn default_tick_ms() -> f64 {
    2.0
}
fn default_one() -> f64 {
    1.0
}
fn default_true() -> bool {
    true
}

/// The workers of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of workers.
    pub workers: usize,
    /// Number of workers in a cell, which deduplicate requests together.
    #[serde(default = "default_cell_size")]
    pub cell_size: usize,
    /// Number of zones; workers and schedulers are assigned to them round-robin.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Caches of the workers; without them no job has to fetch its subject.
    #[serde(default)]
    pub keeps: Option<SubjectCache>,
    /// The order in which workers serve their queues.
    #[serde(default)]
    pub queue: Queue,
    /// Kinds of machine; there are two default kinds.
    #[serde(default = "default_kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
}

fn default_cell_size() -> usize {
    6
}
fn default_zones() -> usize {
    1
}

/// The cache of a worker, which holds the subjects of its latest jobs.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Keeps")]
pub struct SubjectCache {
    /// Cached subjects per slot.
    pub per_slot: f64,
    /// Extra work of a job whose subject is not cached, as a fraction of the mean work of its class.
    pub fetch: f64,
}

/// The order in which a worker serves its queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Queue {
    /// First in, first out; the first job waits until it fits.
    #[default]
    Fifo,
    /// The first job that fits is served next.
    Backfill,
    /// By the priority of the class.
    Priority,
}

/// A kind of machine. Ranges are `[least, most]`; each worker draws its own value.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name.
    pub name: String,
    /// Its weight among the kinds.
    #[serde(default = "default_one")]
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core, relative to a reference core.
    pub speed: [f64; 2],
    /// Slots per core.
    #[serde(default = "default_slots_per_core")]
    pub slots_per_core: [f64; 2],
    /// Queue length per core.
    #[serde(default = "default_queue_per_core")]
    pub queue_per_core: [f64; 2],
    /// Efficiency lost per request per core beyond `thrash_at`.
    #[serde(default)]
    pub thrash: f64,
    /// Requests per core above which efficiency falls.
    #[serde(default = "default_thrash_at")]
    pub thrash_at: f64,
    /// Fraction of its capacity that a worker has when it starts.
    #[serde(default = "default_cold_from")]
    pub cold_from: f64,
    /// Seconds until a started worker has its full capacity.
    #[serde(default = "default_cold_s")]
    pub cold_s: f64,
    /// Whether cancelling stops running jobs as well as queued ones.
    #[serde(default = "default_true")]
    pub cancel_stops_running: bool,
    /// Connections that a worker accepts, per core.
    #[serde(default = "default_connections_per_core")]
    pub connections_per_core: f64,
    /// Fraction of requests that fail without any fault.
    #[serde(default)]
    pub error_rate: f64,
}

fn default_slots_per_core() -> [f64; 2] {
    [1.0, 1.3]
}
fn default_queue_per_core() -> [f64; 2] {
    [7.0, 12.0]
}
fn default_thrash_at() -> f64 {
    6.0
}
fn default_cold_from() -> f64 {
    0.2
}
fn default_cold_s() -> f64 {
    18.0
}
fn default_connections_per_core() -> f64 {
    700.0
}

fn default_kinds() -> Vec<Kind> {
    let kind = |name: &str, share, cores, speed| Kind {
        name: name.into(),
        share,
        cores,
        speed,
        slots_per_core: default_slots_per_core(),
        queue_per_core: default_queue_per_core(),
        thrash: 0.08,
        thrash_at: 6.0,
        cold_from: 0.2,
        cold_s: 18.0,
        cancel_stops_running: true,
        connections_per_core: 700.0,
        error_rate: 0.001,
    };
    vec![kind("four-core", 0.53, 4.0, [0.85, 1.1]), kind("five-core", 0.47, 5.0, [0.64, 0.86])]
}

/// The schedulers of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Schedulers {
    /// Number of schedulers.
    pub count: usize,
    /// Whether they may send messages to each other.
    pub talk: bool,
    /// Whether they may probe workers.
    pub probes: bool,
    /// Time until the front proxy notices that a scheduler has ended, in milliseconds.
    pub notice_ms: [f64; 2],
    /// Time from the end of a process to its restart, in milliseconds.
    pub restart_ms: f64,
}

impl Default for Schedulers {
    fn default() -> Self {
        Schedulers { count: 1, talk: true, probes: true, notice_ms: [900.0, 3900.0], restart_ms: 400.0 }
    }
}

/// The requests of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Arriving work, as a fraction of the fleet's capacity. Either `part` or `rate_per_s` is needed.
    #[serde(default)]
    pub part: Option<f64>,
    /// Requests per second.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// How the rate changes over time.
    #[serde(default)]
    pub shape: Shape,
    /// Amplitude of the wave, as a fraction of the mean rate.
    #[serde(default)]
    pub swing: f64,
    /// Number of subjects of requests; 0 for requests without a subject.
    #[serde(default = "default_subjects")]
    pub subjects: usize,
    /// Exponent of the Zipf distribution of the subjects; 0 for a uniform distribution.
    #[serde(default)]
    pub skew: f64,
    /// Coefficient of variation of the error in hints of the work; without it requests carry no hint.
    #[serde(default)]
    pub hints: Option<f64>,
}

fn default_subjects() -> usize {
    2000
}

/// How the rate changes over time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Constant.
    #[default]
    Steady,
    /// One sine wave over the scenario.
    Wave,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Retries after the first try.
    pub retries: u32,
    /// How the wait before a retry grows.
    pub backoff: Backoff,
    /// The wait before the first retry, in milliseconds.
    pub backoff_ms: f64,
    /// Fraction of refusals whose `Retry-After` is followed.
    pub honour: f64,
    /// Fraction of requests whose client leaves before its deadline.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, backoff: Backoff::Exponential, backoff_ms: 30.0, honour: 0.6, impatient: 0.003 }
    }
}

/// How the wait before a retry grows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Backoff {
    /// No wait.
    AtOnce,
    /// Constant.
    Fixed,
    /// Doubles with each retry.
    Exponential,
}

/// Delays and losses of the network.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way delay between schedulers and workers, in milliseconds.
    pub one_way_ms: f64,
    /// One-way delay between schedulers and workers of different zones, in milliseconds.
    pub cross_ms: f64,
    /// One-way delay between clients and schedulers, in milliseconds.
    pub client_ms: f64,
    /// Coefficient of variation of the delays.
    pub jitter: f64,
    /// Range of the one-way delay between schedulers, in milliseconds.
    pub peer_ms: [f64; 2],
    /// Fraction of messages between schedulers that are lost.
    pub peer_loss: f64,
    /// Work of a worker for a new connection, in milliseconds.
    pub handshake_ms: f64,
    /// Work of a worker for a probe, in milliseconds.
    pub probe_ms: f64,
    /// Idle time after which a connection is closed, in seconds.
    pub idle_s: f64,
    /// Timeout for opening a connection, in milliseconds.
    pub dial_ms: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            one_way_ms: 0.25,
            cross_ms: 8.0,
            client_ms: 0.7,
            jitter: 0.2,
            peer_ms: [3.3, 33.0],
            peer_loss: 0.01,
            handshake_ms: 1.0,
            probe_ms: 1.0,
            idle_s: 5.0,
            dial_ms: 120.0,
        }
    }
}

/// Load reports of the workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Whether there are load reports.
    pub on: bool,
    /// Whether they are sent with probes only, rather than with the end of each attempt.
    pub by_probe: bool,
    /// Time between two measurements, in milliseconds.
    pub period_ms: f64,
    /// Age of a measurement when it is reported, in milliseconds.
    pub delay_ms: f64,
    /// Coefficient of variation of the reported values.
    pub noise: f64,
}

impl Default for Reports {
    fn default() -> Self {
        Reports { on: true, by_probe: false, period_ms: 1000.0, delay_ms: 300.0, noise: 0.03 }
    }
}

/// The worker list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How schedulers receive the list.
    pub mode: DiscoveryMode,
    /// Range of the time from a change until it is published, in milliseconds.
    pub notice_ms: [f64; 2],
    /// Largest time between schedulers that receive the same change, in milliseconds.
    pub spread_ms: f64,
    /// Time between updates of the weights, in milliseconds; 0 for none.
    pub weights_ms: f64,
    /// Time to serve a request for the list, in milliseconds; requests are served one after the other.
    pub call_ms: f64,
    /// Longest wait of a request for the list in the queue before it fails, in milliseconds.
    pub wait_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: DiscoveryMode::Push,
            notice_ms: [560.0, 3400.0],
            spread_ms: 60.0,
            weights_ms: 1000.0,
            call_ms: 0.0,
            wait_ms: 500.0,
        }
    }
}

/// How schedulers receive the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[serde(expecting = "enum Mode")]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Push,
    /// Schedulers request changes.
    Poll,
}

/// Limits and obligations of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight.
    pub second_copies: bool,
    /// Longest `Retry-After` that clients follow, in milliseconds; 0 if refusals carry none.
    pub max_retry_after_ms: f64,
    /// Time after which nothing may be sent to a draining worker, in milliseconds.
    pub drain_grace_ms: f64,
    /// A cold worker fails if it is sent more than this multiple of its current capacity over `fall_ms`.
    pub fall_multiple: f64,
    /// Time over which the work sent to a cold worker is averaged, in milliseconds.
    pub fall_ms: f64,
    /// Time after the client's timeout within which a response still counts, in milliseconds.
    pub answer_grace_ms: f64,
    /// Worth of a request beyond its tenant's share, as a fraction of its usual worth.
    pub over_share_worth: f64,
    /// Costs of a probe and of an attempt in another zone, in units of the worth of the mean request.
    pub probe_price: f64,
    /// See `probe_price`.
    pub cross_price: f64,
    /// Time between progress reports of a job, in milliseconds; 0 for none.
    pub progress_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            max_attempts: 4,
            second_copies: true,
            max_retry_after_ms: 2000.0,
            drain_grace_ms: 1000.0,
            fall_multiple: 2.5,
            fall_ms: 1500.0,
            answer_grace_ms: 50.0,
            over_share_worth: 0.2,
            probe_price: 0.002,
            cross_price: 0.0,
            progress_ms: 1000.0,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// Its weight among the classes.
    #[serde(default = "default_one")]
    pub share: f64,
    /// Mean work of a job, in milliseconds of a reference core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    #[serde(default)]
    pub cv: f64,
    /// Latency objective in milliseconds, without the part that depends on the job.
    pub aim_ms: f64,
    /// How much the objective grows with the running time of the job.
    #[serde(default)]
    pub stretch: f64,
    /// The client times out after this time, in milliseconds.
    pub deadline_ms: f64,
    /// Worth per unit of work.
    #[serde(default = "default_one")]
    pub worth: f64,
    /// Whether requests may be repeated.
    pub effect: Idempotency,
    /// Time in which workers recognize a repeated request, in milliseconds.
    #[serde(default)]
    pub window_ms: f64,
    /// Weights of jobs with 1, 2, 4 and 8 slots.
    #[serde(default = "default_slots")]
    pub slots: Vec<f64>,
    /// Priority in queues that are ordered by priority.
    #[serde(default)]
    pub priority: i32,
}

fn default_slots() -> Vec<f64> {
    vec![1.0]
}

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[serde(expecting = "enum Effect")]
pub enum Idempotency {
    /// It may be repeated freely.
    #[serde(rename = "safe")]
    Idempotent,
    /// Repeats are deduplicated by the workers of a cell.
    #[serde(rename = "keyed")]
    DeduplicatedInCell,
    /// Repeats are deduplicated by the workers of a zone.
    #[serde(rename = "keyed_by_zone")]
    DeduplicatedInZone,
    /// It must not be repeated.
    #[serde(rename = "unsafe")]
    AtMostOnce,
}

impl Idempotency {
    /// Returns whether workers deduplicate its requests.
    pub fn is_deduplicated(self) -> bool {
        matches!(self, Idempotency::DeduplicatedInCell | Idempotency::DeduplicatedInZone)
    }
}

fn default_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, worth, effect| Class {
        name: name.into(),
        share,
        work_ms,
        cv: 0.5,
        aim_ms: 150.0,
        stretch: 2.0,
        deadline_ms: 5000.0,
        worth,
        effect,
        window_ms: 7500.0,
        slots: vec![0.6, 0.25, 0.15],
        priority: 0,
    };
    let view = Class { slots: default_slots(), ..class("view", 0.47, 280.0, 1.0, Idempotency::Idempotent) };
    let sign = Class {
        stretch: 1.75,
        priority: 1,
        ..class("sign", 0.36, 140.0, 5.0, Idempotency::DeduplicatedInCell)
    };
    let lodge = Class {
        stretch: 2.5,
        deadline_ms: 6000.0,
        ..class("lodge", 0.17, 560.0, 3.0, Idempotency::AtMostOnce)
    };
    vec![view, sign, lodge]
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name.
    pub name: String,
    /// Its share of the fleet, relative to the other tenants.
    pub share: f64,
    /// Its load as a multiple of its share.
    #[serde(default = "default_one")]
    pub usage: f64,
}

/// A fault that is injected.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Trouble")]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// Its start, in seconds.
    pub at_s: f64,
    /// Its duration, in seconds; not used by kills, rolling restarts and moves.
    #[serde(default)]
    pub for_s: f64,
    /// Fraction of the workers, schedulers, connections or requests that it affects.
    #[serde(default = "default_part")]
    pub part: f64,
    /// Its magnitude; see the kinds.
    #[serde(default)]
    pub size: Option<f64>,
    /// The only tenant that a burst affects; without it, all.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Seconds between two repetitions, for kinds that repeat.
    #[serde(default = "default_every_s")]
    pub every_s: f64,
}

fn default_part() -> f64 {
    0.2
}
fn default_every_s() -> f64 {
    3.0
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
#[serde(expecting = "enum TroubleKind")]
pub enum FaultKind {
    /// Workers stop responding, without a connection reset, and are restarted.
    Vanish,
    /// Workers crash, each after it has received a complete request: its connections are reset, its jobs are lost,
    /// and it is restarted.
    Crash,
    /// Workers immediately fail a fraction `size` (0.6) of their requests.
    FastErrors,
    /// Workers pause for `size` milliseconds (90) every `every_s` seconds.
    Pauses,
    /// Load reports are delayed by `size` seconds (2).
    ReportLate,
    /// The rate of requests is multiplied by `size` (2).
    Burst,
    /// The work of a fraction `part` of one class's requests is multiplied by `size` (15).
    HeavyTail,
    /// Workers drain: they finish their jobs, leave the list, and are restarted.
    Drain,
    /// All workers are drained and restarted one after the other, `every_s` apart.
    RollingRestart,
    /// A fraction `part` of the schedulers, at least one, are killed at the same time and restarted.
    SchedulerKill,
    /// A fraction `part` of the schedulers, at least one, receive SIGTERM at the same time and are restarted.
    SchedulerTerm,
    /// Discovery does not respond.
    DiscoveryDown,
    /// Discovery gets another address, and schedulers receive SIGHUP.
    DiscoveryMoved,
    /// One scheduler is isolated from some of the workers and from its peers, without connection resets.
    Partition,
    /// A zone is isolated from all others, without connection resets.
    ZoneCut,
    /// All schedulers are isolated from each other.
    PeersCut,
    /// A fraction `part` of the clients read their responses slowly.
    SlowReader,
    /// A fraction `part` of the connections to workers are stuck: attempts sent on them are never received.
    StuckConnection,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 18] = [
        FaultKind::Vanish,
        FaultKind::Crash,
        FaultKind::FastErrors,
        FaultKind::Pauses,
        FaultKind::ReportLate,
        FaultKind::Burst,
        FaultKind::HeavyTail,
        FaultKind::Drain,
        FaultKind::RollingRestart,
        FaultKind::SchedulerKill,
        FaultKind::SchedulerTerm,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoveryMoved,
        FaultKind::Partition,
        FaultKind::ZoneCut,
        FaultKind::PeersCut,
        FaultKind::SlowReader,
        FaultKind::StuckConnection,
    ];

    /// Returns the name in a scenario file.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Vanish => "vanish",
            FaultKind::Crash => "crash",
            FaultKind::FastErrors => "fast_errors",
            FaultKind::Pauses => "pauses",
            FaultKind::ReportLate => "report_late",
            FaultKind::Burst => "burst",
            FaultKind::HeavyTail => "heavy_tail",
            FaultKind::Drain => "drain",
            FaultKind::RollingRestart => "rolling_restart",
            FaultKind::SchedulerKill => "scheduler_kill",
            FaultKind::SchedulerTerm => "scheduler_term",
            FaultKind::DiscoveryDown => "discovery_down",
            FaultKind::DiscoveryMoved => "discovery_moved",
            FaultKind::Partition => "partition",
            FaultKind::ZoneCut => "zone_cut",
            FaultKind::PeersCut => "peers_cut",
            FaultKind::SlowReader => "slow_reader",
            FaultKind::StuckConnection => "stuck_connection",
        }
    }
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub fn read(text: &str) -> Result<Scenario, ConfigError> {
        let scenario: Scenario = loomlb_config_file::parse(text)?;
        let checked = scenario.check();
        checked.map_err(|(key, reason)| ConfigError { line: line_of_key(text, &key), key, reason })?;
        Ok(scenario)
    }

    /// Returns the first key with an impossible value, and the reason.
    pub fn check(&self) -> Result<(), (String, String)> {
        let mut first_error = None;
        let mut require = |key: &str, valid: bool, reason: &str| {
            if !valid && first_error.is_none() {
                first_error = Some((key.to_string(), reason.to_string()));
            }
        };
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        let non_negative = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let positive_range = |[a, b]: [f64; 2]| positive(a) && b.is_finite() && b >= a;
        let non_negative_range = |[a, b]: [f64; 2]| non_negative(a) && non_negative(b) && b >= a;
        require(
            "seconds",
            positive(self.seconds) && self.seconds <= 86_400.0,
            "a scenario lasts more than 0 and at most 86400 s",
        );
        require(
            "tick_ms",
            positive(self.tick_ms) && self.tick_ms <= 1000.0,
            "a tick lasts more than 0 and at most 1000 ms",
        );
        let f = &self.fleet;
        require("fleet.workers", (1..=100_000).contains(&f.workers), "a fleet has 1 to 100000 workers");
        require("fleet.cell_size", f.cell_size > 0, "a cell has at least one worker");
        require("fleet.zones", (1..=64).contains(&f.zones), "1 to 64 zones are possible");
        if let Some(k) = f.keeps {
            require("fleet.keeps.per_slot", non_negative(k.per_slot), "0 or more");
            require("fleet.keeps.fetch", non_negative(k.fetch), "0 or more");
        }
        require("load.skew", non_negative(self.load.skew), "0 or more");
        require("load.hints", self.load.hints.is_none_or(non_negative), "0 or more");
        require(
            "fleet.kind",
            !f.kinds.is_empty() && f.kinds.len() <= 64,
            "1 to 64 kinds of machine are needed",
        );
        for (i, k) in f.kinds.iter().enumerate() {
            let key = |name: &str| format!("fleet.kind[{i}].{name}");
            require(&key("name"), !k.name.is_empty(), "a kind needs a name");
            require(&key("share"), positive(k.share), "a share is above 0");
            require(
                &key("cores"),
                positive(k.cores) && k.cores <= 4096.0,
                "cores are above 0 and at most 4096",
            );
            require(
                &key("speed"),
                positive_range(k.speed),
                "a range of speeds is [least, most], both above 0",
            );
            require(
                &key("slots_per_core"),
                positive_range(k.slots_per_core),
                "a range is [least, most], both above 0",
            );
            require(
                &key("queue_per_core"),
                non_negative_range(k.queue_per_core),
                "a range is [least, most], 0 or more",
            );
            require(&key("thrash"), non_negative(k.thrash), "0 or more");
            require(&key("thrash_at"), non_negative(k.thrash_at), "0 or more");
            require(
                &key("cold_from"),
                positive(k.cold_from) && k.cold_from <= 1.0,
                "a part above 0 and at most 1",
            );
            require(&key("cold_s"), non_negative(k.cold_s), "a time is 0 or more");
            require(&key("connections_per_core"), positive(k.connections_per_core), "above 0");
            require(&key("error_rate"), fraction(k.error_rate), "a part is from 0 to 1");
        }
        let s = &self.schedulers;
        require("schedulers.count", (1..=128).contains(&s.count), "1 to 128 schedulers are possible");
        require(
            "schedulers.notice_ms",
            non_negative_range(s.notice_ms),
            "a range of times is [least, most], 0 or more",
        );
        require("schedulers.restart_ms", non_negative(s.restart_ms), "a time is 0 or more");
        match (self.load.part, self.load.rate_per_s) {
            (None, None) => require("load", false, "one of `part` and `rate_per_s` is needed"),
            (Some(_), Some(_)) => {
                require("load.rate_per_s", false, "`part` is given as well; leave one of them out")
            }
            (Some(p), None) => {
                require("load.part", positive(p) && p <= 100.0, "a part of the capacity is above 0")
            }
            (None, Some(r)) => {
                require("load.rate_per_s", positive(r) && r <= 1e7, "a rate is above 0 and at most 1e7")
            }
        }
        require("load.swing", fraction(self.load.swing), "a swing is from 0 to 1");
        let c = &self.clients;
        require("clients.retries", c.retries <= 14, "at most 14 retries are possible");
        require("clients.backoff_ms", non_negative(c.backoff_ms), "a time is 0 or more");
        require("clients.honour", fraction(c.honour), "a part is from 0 to 1");
        require("clients.impatient", fraction(c.impatient), "a part is from 0 to 1");
        let n = &self.network;
        for (key, value) in [
            ("network.one_way_ms", n.one_way_ms),
            ("network.cross_ms", n.cross_ms),
            ("terms.probe_price", self.terms.probe_price),
            ("terms.cross_price", self.terms.cross_price),
            ("network.client_ms", n.client_ms),
            ("network.jitter", n.jitter),
            ("network.handshake_ms", n.handshake_ms),
            ("network.probe_ms", n.probe_ms),
            ("network.idle_s", n.idle_s),
            ("network.dial_ms", n.dial_ms),
            ("reports.delay_ms", self.reports.delay_ms),
            ("reports.noise", self.reports.noise),
            ("discovery.spread_ms", self.discovery.spread_ms),
            ("discovery.weights_ms", self.discovery.weights_ms),
            ("discovery.call_ms", self.discovery.call_ms),
            ("discovery.wait_ms", self.discovery.wait_ms),
            ("terms.max_retry_after_ms", self.terms.max_retry_after_ms),
            ("terms.drain_grace_ms", self.terms.drain_grace_ms),
            ("terms.fall_ms", self.terms.fall_ms),
            ("terms.fall_multiple", self.terms.fall_multiple),
            ("terms.answer_grace_ms", self.terms.answer_grace_ms),
            ("terms.progress_ms", self.terms.progress_ms),
        ] {
            require(key, non_negative(value), "0 or more is needed");
        }
        require(
            "network.peer_ms",
            non_negative_range(n.peer_ms),
            "a range of times is [least, most], 0 or more",
        );
        require("network.peer_loss", fraction(n.peer_loss), "a part is from 0 to 1");
        require("reports.period_ms", positive(self.reports.period_ms), "a period is above 0");
        require(
            "discovery.notice_ms",
            non_negative_range(self.discovery.notice_ms),
            "a range of times is [least, most], 0 or more",
        );
        require(
            "terms.max_attempts",
            (1..=64).contains(&self.terms.max_attempts),
            "1 to 64 attempts are possible",
        );
        require("terms.over_share_worth", fraction(self.terms.over_share_worth), "a part is from 0 to 1");
        require("class", (1..=64).contains(&self.classes.len()), "1 to 64 classes are needed");
        for (i, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class[{i}].{name}");
            let duplicate = self.classes[..i].iter().any(|o| o.name == c.name);
            require(&key("name"), !c.name.is_empty() && !duplicate, "a class needs a name of its own");
            require(&key("share"), non_negative(c.share), "a share is 0 or more");
            require(&key("work_ms"), positive(c.work_ms), "work is above 0");
            require(&key("cv"), non_negative(c.cv), "0 or more");
            require(&key("aim_ms"), positive(c.aim_ms), "an aim is above 0");
            require(&key("stretch"), non_negative(c.stretch), "0 or more");
            require(&key("deadline_ms"), positive(c.deadline_ms), "a deadline is above 0");
            require(&key("worth"), non_negative(c.worth), "0 or more");
            require(&key("window_ms"), non_negative(c.window_ms), "a time is 0 or more");
            let slots = (1..=4).contains(&c.slots.len()) && c.slots.iter().all(|s| non_negative(*s));
            require(&key("slots"), slots && c.slots.iter().sum::<f64>() > 0.0, "1 to 4 shares, not all 0");
        }
        require(
            "class",
            self.classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
            "a class needs a share above 0",
        );
        for (i, t) in self.tenants.iter().enumerate() {
            let key = |name: &str| format!("tenant[{i}].{name}");
            let duplicate = self.tenants[..i].iter().any(|o| o.name == t.name);
            require(&key("name"), !t.name.is_empty() && !duplicate, "a tenant needs a name of its own");
            require(&key("share"), positive(t.share), "a share is above 0");
            require(&key("usage"), non_negative(t.usage), "0 or more");
        }
        for (i, t) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("trouble[{i}].{name}");
            require(
                &key("at_s"),
                non_negative(t.at_s) && t.at_s < self.seconds,
                "a fault starts within the scenario, at 0 or later and before `seconds`",
            );
            require(&key("for_s"), non_negative(t.for_s), "a time is 0 or more");
            require(&key("part"), fraction(t.part), "a part is from 0 to 1");
            require(&key("size"), t.size.is_none_or(non_negative), "0 or more");
            let named = |n: &String| t.kind == FaultKind::Burst && self.tenants.iter().any(|x| x.name == *n);
            require(
                &key("tenant"),
                t.tenant.as_ref().is_none_or(named),
                "only a burst may name a tenant, and only one of the scenario's tenants",
            );
            require(&key("every_s"), positive(t.every_s), "a time between repetitions is above 0");
        }
        if let Some(Err(e)) = self.quota.as_ref().map(Spec::check) {
            let node = e.node.map_or(String::new(), |i| format!("node[{i}]."));
            require(&format!("quota.{node}{}", e.key), false, &e.reason);
        }
        first_error.map_or(Ok(()), Err)
    }
}

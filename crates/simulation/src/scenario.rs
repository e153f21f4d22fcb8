//! A scenario: everything that a run of the model is made of, read from a file and checked.
//!
//! All times in a scenario file say their unit in the key (`_s`, `_ms`). A key that is unknown, of the wrong type or
//! impossible is refused with its line and a reason; nothing is silently cut to fit.

use loomlb_config_file::line_of_key;
use loomlb_quota::Spec;
use serde::{Deserialize, Serialize};

pub use loomlb_config_file::ConfigError;

/// A scenario of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Day")]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it shows, in a sentence.
    #[serde(default)]
    pub about: String,
    /// Seconds in which requests arrive; then the scenario runs on until all are answered.
    pub seconds: f64,
    /// Shortest time between two moments at which a scheduler acts, in milliseconds (virtual time only).
    #[serde(default = "two")]
    pub tick_ms: f64,
    /// The workers.
    pub fleet: Fleet,
    /// The schedulers.
    #[serde(default)]
    pub schedulers: Schedulers,
    /// What arrives.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Delays and losses.
    #[serde(default)]
    pub network: Network,
    /// Load reports of the workers.
    #[serde(default)]
    pub reports: Reports,
    /// The list of workers.
    #[serde(default)]
    pub discovery: Discovery,
    /// What the site permits and asks for.
    #[serde(default)]
    pub terms: Terms,
    /// Classes of requests; three of the usual kind where none is given.
    #[serde(default = "usual_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; none is fine.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Nested quotas of the schedulers; their nodes' names are the tenants'.
    #[serde(default)]
    pub quota: Option<Spec>,
    /// What goes wrong.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

fn two() -> f64 {
    2.0
}
fn one() -> f64 {
    1.0
}
fn yes() -> bool {
    true
}

/// The workers of a scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many.
    pub workers: usize,
    /// Workers of one cell: they share the keys that they have seen.
    #[serde(default = "six")]
    pub cell_size: usize,
    /// Zones; workers and schedulers are dealt to them in turn.
    #[serde(default = "one_zone")]
    pub zones: usize,
    /// What workers keep at hand of the subjects of their jobs; without it a job needs nothing.
    #[serde(default)]
    pub keeps: Option<Keeps>,
    /// How they serve their queues.
    #[serde(default)]
    pub queue: Queue,
    /// Kinds of machine; two of the usual ones where none is given.
    #[serde(default = "usual_kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
}

fn six() -> usize {
    6
}
fn one_zone() -> usize {
    1
}

/// What workers keep at hand: the data of the subjects that they served last.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keeps {
    /// Subjects for each slot.
    pub per_slot: f64,
    /// What a job works more where its subject's data is not at hand, as a part of its class's mean work.
    pub fetch: f64,
}

/// How workers serve their queues.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Queue {
    /// In order; the head waits until it fits.
    #[default]
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// A kind of machine. Ranges are `[least, most]`; each worker draws its own.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the fleet, against the other kinds.
    #[serde(default = "one")]
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Speed of a core; a yardstick core has 1.
    pub speed: [f64; 2],
    /// Slots for each core.
    #[serde(default = "slots")]
    pub slots_per_core: [f64; 2],
    /// Jobs that may wait, for each core.
    #[serde(default = "room")]
    pub queue_per_core: [f64; 2],
    /// Efficiency lost for each request a core held beyond `thrash_at`.
    #[serde(default)]
    pub thrash: f64,
    /// Requests a core from which efficiency falls.
    #[serde(default = "six_f")]
    pub thrash_at: f64,
    /// The part of its capacity that a worker starts with.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// Seconds until it is warm.
    #[serde(default = "cold_s")]
    pub cold_s: f64,
    /// A cancel stops running jobs as well as waiting ones.
    #[serde(default = "yes")]
    pub cancel_stops_running: bool,
    /// Connections that a worker holds, for each core.
    #[serde(default = "connections")]
    pub connections_per_core: f64,
    /// Share of requests that fail on a calm scenario.
    #[serde(default)]
    pub error_rate: f64,
}

fn slots() -> [f64; 2] {
    [1.0, 1.3]
}
fn room() -> [f64; 2] {
    [7.0, 12.0]
}
fn six_f() -> f64 {
    6.0
}
fn cold_from() -> f64 {
    0.2
}
fn cold_s() -> f64 {
    18.0
}
fn connections() -> f64 {
    700.0
}

fn usual_kinds() -> Vec<Kind> {
    let kind = |name: &str, share, cores, speed| Kind {
        name: name.into(),
        share,
        cores,
        speed,
        slots_per_core: slots(),
        queue_per_core: room(),
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
    /// How many.
    pub count: usize,
    /// They may send each other short messages.
    pub talk: bool,
    /// They may probe workers.
    pub probes: bool,
    /// Time until the front notices that one is dead, in milliseconds.
    pub notice_ms: [f64; 2],
    /// Time from the end of one to its next start, in milliseconds.
    pub restart_ms: f64,
}

impl Default for Schedulers {
    fn default() -> Self {
        Schedulers { count: 1, talk: true, probes: true, notice_ms: [900.0, 3900.0], restart_ms: 400.0 }
    }
}

/// What arrives.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Work that arrives, as a part of the fleet's capacity. One of `part` and `rate_per_s` is needed.
    #[serde(default)]
    pub part: Option<f64>,
    /// Requests a second.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// How the rate moves.
    #[serde(default)]
    pub shape: Shape,
    /// How far a wave swings around the mean, as a part of it.
    #[serde(default)]
    pub swing: f64,
    /// Different subjects of requests; 0 for requests without one.
    #[serde(default = "subjects")]
    pub subjects: usize,
    /// How unevenly requests fall on them: the exponent of a Zipf law; 0 for evenly.
    #[serde(default)]
    pub skew: f64,
    /// Requests come with a hint of their work, off by this coefficient of variation; without it they come with none.
    #[serde(default)]
    pub hints: Option<f64>,
}

fn subjects() -> usize {
    2000
}

/// How the rate moves over the scenario.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// The same throughout.
    #[default]
    Steady,
    /// One wave over the scenario.
    Wave,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// How they wait before a retry.
    pub backoff: Backoff,
    /// The first wait, in milliseconds.
    pub backoff_ms: f64,
    /// Share of refusals whose `Retry-After` they follow.
    pub honour: f64,
    /// Share of requests whose client leaves early.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, backoff: Backoff::Exponential, backoff_ms: 30.0, honour: 0.6, impatient: 0.003 }
    }
}

/// How clients wait before a retry.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Backoff {
    /// Not at all.
    AtOnce,
    /// Always as long.
    Fixed,
    /// Twice as long each time.
    Exponential,
}

/// Delays and losses between machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way between schedulers and workers, in milliseconds.
    pub one_way_ms: f64,
    /// One way between schedulers and workers of another zone, in milliseconds.
    pub cross_ms: f64,
    /// One way between clients and schedulers, in milliseconds.
    pub client_ms: f64,
    /// Coefficient of variation of delays.
    pub jitter: f64,
    /// One way between schedulers, in milliseconds.
    pub peer_ms: [f64; 2],
    /// Share of the schedulers' datagrams that are lost.
    pub peer_loss: f64,
    /// Work that a new connection costs a worker, in milliseconds.
    pub handshake_ms: f64,
    /// Work that a probe costs a worker, in milliseconds.
    pub probe_ms: f64,
    /// A connection is closed when idle for so long, in seconds.
    pub idle_s: f64,
    /// A connection that is not up in this time counts as none, in milliseconds.
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
    /// Reports come with the ends of attempts.
    pub on: bool,
    /// They come to those that ask for them, and not with the ends of attempts.
    pub by_probe: bool,
    /// Time between two measurements, in milliseconds.
    pub period_ms: f64,
    /// Age of a measurement before it is told, in milliseconds.
    pub delay_ms: f64,
    /// Coefficient of variation of what is told.
    pub noise: f64,
}

impl Default for Reports {
    fn default() -> Self {
        Reports { on: true, by_probe: false, period_ms: 1000.0, delay_ms: 300.0, noise: 0.03 }
    }
}

/// The list of workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How it comes to the schedulers.
    pub mode: Mode,
    /// Time from a change to its news, in milliseconds.
    pub notice_ms: [f64; 2],
    /// How far the schedulers' news lie apart, in milliseconds.
    pub spread_ms: f64,
    /// Time between two lists that tell the workers' weights anew, in milliseconds; 0 for none.
    pub weights_ms: f64,
    /// Where it is asked: time that a call takes it, one after the other for all schedulers, in milliseconds.
    pub call_ms: f64,
    /// A call that would wait longer than this for its turn fails, in milliseconds.
    pub wait_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: Mode::Push,
            notice_ms: [560.0, 3400.0],
            spread_ms: 60.0,
            weights_ms: 1000.0,
            call_ms: 0.0,
            wait_ms: 500.0,
        }
    }
}

/// How the list comes to the schedulers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Changes come by themselves.
    Push,
    /// A scheduler asks for them.
    Poll,
}

/// What the site permits and asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Attempts of a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Longest wait that clients follow after a refusal, in milliseconds; 0 if they are not told.
    pub max_retry_after_ms: f64,
    /// Nothing new to a draining worker after this time, in milliseconds.
    pub drain_grace_ms: f64,
    /// A cold worker falls over when sent more than this multiple of its present capacity,
    pub fall_multiple: f64,
    /// for this long, in milliseconds.
    pub fall_ms: f64,
    /// An answer may be this much later than the client's patience, in milliseconds.
    pub answer_grace_ms: f64,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// The price of a probe, and of an attempt that crosses zones, in the worth of the mean request.
    pub probe_price: f64,
    /// See `probe_price`.
    pub cross_price: f64,
    /// Time between workers' notes of progress, in milliseconds; 0 for none.
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
    /// Its name.
    pub name: String,
    /// Its part of the requests, against the other classes.
    #[serde(default = "one")]
    pub share: f64,
    /// Mean work of a job, in milliseconds of a yardstick core.
    pub work_ms: f64,
    /// Coefficient of variation of the work; 0 for a fixed one.
    #[serde(default)]
    pub cv: f64,
    /// Wanted within this time, in milliseconds,
    pub aim_ms: f64,
    /// plus so many times the job's own running time.
    #[serde(default)]
    pub stretch: f64,
    /// The client gives up after this time, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of a unit of work.
    #[serde(default = "one")]
    pub worth: f64,
    /// What may be repeated.
    pub effect: Effect,
    /// Time in which workers of a cell know a key again, in milliseconds.
    #[serde(default)]
    pub window_ms: f64,
    /// Shares of jobs with 1, 2, 4 and 8 slots.
    #[serde(default = "one_slot")]
    pub slots: Vec<f64>,
    /// Priority in queues that are served by it.
    #[serde(default)]
    pub priority: i32,
}

fn one_slot() -> Vec<f64> {
    vec![1.0]
}

/// What a class permits once an attempt may have run.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Repeat freely.
    Safe,
    /// The workers of a cell know its key again.
    Keyed,
    /// The workers of a zone do.
    KeyedByZone,
    /// Never twice.
    Unsafe,
}

impl Effect {
    /// Whether its requests carry a key by which workers drop repeats.
    pub fn keyed(self) -> bool {
        matches!(self, Effect::Keyed | Effect::KeyedByZone)
    }
}

fn usual_classes() -> Vec<Class> {
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
    let view = Class { slots: one_slot(), ..class("view", 0.47, 280.0, 1.0, Effect::Safe) };
    let sign = Class { stretch: 1.75, priority: 1, ..class("sign", 0.36, 140.0, 5.0, Effect::Keyed) };
    let lodge =
        Class { stretch: 2.5, deadline_ms: 6000.0, ..class("lodge", 0.17, 560.0, 3.0, Effect::Unsafe) };
    vec![view, sign, lodge]
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the fleet, against the other tenants.
    pub share: f64,
    /// What it sends, as a multiple of its share.
    #[serde(default = "one")]
    pub usage: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Trouble")]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds; for a kill, a restart or a move it says nothing.
    #[serde(default)]
    pub for_s: f64,
    /// The part of the workers (or of the schedulers, connections or requests) that it meets.
    #[serde(default = "fifth")]
    pub part: f64,
    /// How bad it is; what that means is said at each kind.
    #[serde(default)]
    pub size: Option<f64>,
    /// The one tenant that it concerns, where it is a burst; all of them without a name.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Seconds between two of its strokes, where it has any.
    #[serde(default = "three")]
    pub every_s: f64,
}

fn fifth() -> f64 {
    0.2
}
fn three() -> f64 {
    3.0
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
#[serde(expecting = "enum TroubleKind")]
pub enum FaultKind {
    /// Workers go silent without a reset, and come back cold.
    Vanish,
    /// Workers' processes die, each with the last byte of a request that it receives: its connections are reset before
    /// the answer, what it held is lost, and it comes back cold.
    Crash,
    /// Workers quickly fail a share of their requests (`size`, 0.6).
    FastErrors,
    /// Workers stand still for `size` milliseconds (90), every `every_s` seconds.
    Pauses,
    /// Load reports come `size` seconds (2) later.
    ReportLate,
    /// Traffic is `size` times (2) the usual.
    Burst,
    /// A `part` of one class's requests costs `size` times (15) the usual work.
    HeavyTail,
    /// Workers drain: they finish their work, leave the list, and come back cold.
    Drain,
    /// All workers drain one after the other, `every_s` apart.
    RollingRestart,
    /// A `part` of the schedulers, one at the least, are killed outright at once and start again.
    SchedulerKill,
    /// A `part` of the schedulers, one at the least, are asked to end (SIGTERM) at once and start again.
    SchedulerTerm,
    /// Discovery does not answer.
    DiscoveryDown,
    /// Discovery moves to another address (SIGHUP).
    DiscoveryMoved,
    /// A scheduler and a part of the workers, or two schedulers, cannot reach each other, and nothing is signalled.
    Partition,
    /// A zone is cut off from all others, and nothing is signalled; within it everything gets through.
    ZoneCut,
    /// No scheduler hears another, and nothing is signalled.
    PeersCut,
    /// A `part` of the clients reads its answers slowly.
    SlowReader,
    /// A `part` of the connections to workers is stuck: what is written to it is never read, and nothing comes back.
    StuckConnection,
}

impl FaultKind {
    /// All of them.
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

    /// Its name, as a scenario file has it.
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
    /// Reads a scenario file.
    pub fn read(text: &str) -> Result<Scenario, ConfigError> {
        let scenario: Scenario = loomlb_config_file::parse(text)?;
        let checked = scenario.check();
        checked.map_err(|(key, reason)| ConfigError { line: line_of_key(text, &key), key, reason })?;
        Ok(scenario)
    }

    /// The first key that asks for the impossible, and why it does.
    pub fn check(&self) -> Result<(), (String, String)> {
        let mut first_error = None;
        let mut need = |key: &str, good: bool, reason: &str| {
            if !good && first_error.is_none() {
                first_error = Some((key.to_string(), reason.to_string()));
            }
        };
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let time = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        let above = |x: f64| x.is_finite() && x > 0.0;
        let range = |[a, b]: [f64; 2]| above(a) && b.is_finite() && b >= a;
        let later = |[a, b]: [f64; 2]| time(a) && time(b) && b >= a;
        need(
            "seconds",
            above(self.seconds) && self.seconds <= 86_400.0,
            "a day takes more than 0 and at most 86400 s",
        );
        need(
            "tick_ms",
            above(self.tick_ms) && self.tick_ms <= 1000.0,
            "a tick takes more than 0 and at most 1000 ms",
        );
        let f = &self.fleet;
        need("fleet.workers", (1..=100_000).contains(&f.workers), "a fleet has 1 to 100000 workers");
        need("fleet.cell_size", f.cell_size > 0, "a cell has one worker at least");
        need("fleet.zones", (1..=64).contains(&f.zones), "1 to 64 zones are possible");
        if let Some(k) = f.keeps {
            need("fleet.keeps.per_slot", time(k.per_slot), "0 or more");
            need("fleet.keeps.fetch", time(k.fetch), "0 or more");
        }
        need("load.skew", time(self.load.skew), "0 or more");
        need("load.hints", self.load.hints.is_none_or(time), "0 or more");
        need("fleet.kind", !f.kinds.is_empty() && f.kinds.len() <= 64, "1 to 64 kinds of machine are needed");
        for (i, k) in f.kinds.iter().enumerate() {
            let key = |name: &str| format!("fleet.kind[{i}].{name}");
            need(&key("name"), !k.name.is_empty(), "a kind needs a name");
            need(&key("share"), above(k.share), "a share is above 0");
            need(&key("cores"), above(k.cores) && k.cores <= 4096.0, "cores are above 0 and at most 4096");
            need(&key("speed"), range(k.speed), "a range of speeds is [least, most], both above 0");
            need(&key("slots_per_core"), range(k.slots_per_core), "a range is [least, most], both above 0");
            need(&key("queue_per_core"), later(k.queue_per_core), "a range is [least, most], 0 or more");
            need(&key("thrash"), time(k.thrash), "0 or more");
            need(&key("thrash_at"), time(k.thrash_at), "0 or more");
            need(&key("cold_from"), above(k.cold_from) && k.cold_from <= 1.0, "a part above 0 and at most 1");
            need(&key("cold_s"), time(k.cold_s), "a time is 0 or more");
            need(&key("connections_per_core"), above(k.connections_per_core), "above 0");
            need(&key("error_rate"), part(k.error_rate), "a part is from 0 to 1");
        }
        let s = &self.schedulers;
        need("schedulers.count", (1..=128).contains(&s.count), "1 to 128 schedulers are possible");
        need("schedulers.notice_ms", later(s.notice_ms), "a range of times is [least, most], 0 or more");
        need("schedulers.restart_ms", time(s.restart_ms), "a time is 0 or more");
        match (self.load.part, self.load.rate_per_s) {
            (None, None) => need("load", false, "one of `part` and `rate_per_s` is needed"),
            (Some(_), Some(_)) => {
                need("load.rate_per_s", false, "`part` is given as well; leave one of them out")
            }
            (Some(p), None) => need("load.part", above(p) && p <= 100.0, "a part of the capacity is above 0"),
            (None, Some(r)) => {
                need("load.rate_per_s", above(r) && r <= 1e7, "a rate is above 0 and at most 1e7")
            }
        }
        need("load.swing", part(self.load.swing), "a swing is from 0 to 1");
        let c = &self.clients;
        need("clients.retries", c.retries <= 14, "at most 14 retries are possible");
        need("clients.backoff_ms", time(c.backoff_ms), "a time is 0 or more");
        need("clients.honour", part(c.honour), "a part is from 0 to 1");
        need("clients.impatient", part(c.impatient), "a part is from 0 to 1");
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
            need(key, time(value), "0 or more is needed");
        }
        need("network.peer_ms", later(n.peer_ms), "a range of times is [least, most], 0 or more");
        need("network.peer_loss", part(n.peer_loss), "a part is from 0 to 1");
        need("reports.period_ms", above(self.reports.period_ms), "a period is above 0");
        need(
            "discovery.notice_ms",
            later(self.discovery.notice_ms),
            "a range of times is [least, most], 0 or more",
        );
        need(
            "terms.max_attempts",
            (1..=64).contains(&self.terms.max_attempts),
            "1 to 64 attempts are possible",
        );
        need("terms.over_share_worth", part(self.terms.over_share_worth), "a part is from 0 to 1");
        need("class", (1..=64).contains(&self.classes.len()), "1 to 64 classes are needed");
        for (i, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class[{i}].{name}");
            let same = self.classes[..i].iter().any(|o| o.name == c.name);
            need(&key("name"), !c.name.is_empty() && !same, "a class needs a name of its own");
            need(&key("share"), time(c.share), "a share is 0 or more");
            need(&key("work_ms"), above(c.work_ms), "work is above 0");
            need(&key("cv"), time(c.cv), "0 or more");
            need(&key("aim_ms"), above(c.aim_ms), "an aim is above 0");
            need(&key("stretch"), time(c.stretch), "0 or more");
            need(&key("deadline_ms"), above(c.deadline_ms), "a deadline is above 0");
            need(&key("worth"), time(c.worth), "0 or more");
            need(&key("window_ms"), time(c.window_ms), "a time is 0 or more");
            let slots = (1..=4).contains(&c.slots.len()) && c.slots.iter().all(|s| time(*s));
            need(&key("slots"), slots && c.slots.iter().sum::<f64>() > 0.0, "1 to 4 shares, not all 0");
        }
        need(
            "class",
            self.classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
            "a class needs a share above 0",
        );
        for (i, t) in self.tenants.iter().enumerate() {
            let key = |name: &str| format!("tenant[{i}].{name}");
            let same = self.tenants[..i].iter().any(|o| o.name == t.name);
            need(&key("name"), !t.name.is_empty() && !same, "a tenant needs a name of its own");
            need(&key("share"), above(t.share), "a share is above 0");
            need(&key("usage"), time(t.usage), "0 or more");
        }
        for (i, t) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("trouble[{i}].{name}");
            need(&key("at_s"), time(t.at_s) && t.at_s < self.seconds, "it begins within the day");
            need(&key("for_s"), time(t.for_s), "a time is 0 or more");
            need(&key("part"), part(t.part), "a part is from 0 to 1");
            need(&key("size"), t.size.is_none_or(time), "0 or more");
            let named = |n: &String| t.kind == FaultKind::Burst && self.tenants.iter().any(|x| x.name == *n);
            need(
                &key("tenant"),
                t.tenant.as_ref().is_none_or(named),
                "a burst may name one of the day's tenants",
            );
            need(&key("every_s"), above(t.every_s), "a time between strokes is above 0");
        }
        if let Some(Err(e)) = self.quota.as_ref().map(Spec::check) {
            let node = e.node.map_or(String::new(), |i| format!("node[{i}]."));
            need(&format!("quota.{node}{}", e.key), false, &e.reason);
        }
        first_error.map_or(Ok(()), Err)
    }
}

//! The wire's lines as types. Unknown fields are skipped; what is missing or of a wrong type is named.

use cypresspass::{
    Action, CellId, Class, Effect, Group, KindId, Limits, ListKind, Nanos, Outcome, PeerId, Prices,
    QueueOrder, Receiver, Report, Reports, Rules, Settings, Tenant, Weights, Worker, WorkerId, WorkerState,
    ZoneId,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

#[derive(Deserialize)]
pub struct Batch<'a> {
    pub t: u64,
    pub round: u64,
    #[serde(borrow)]
    pub dispatchers: Vec<Inbox<'a>>,
}

#[derive(Deserialize)]
pub struct Inbox<'a> {
    pub dispatcher: u64,
    #[serde(borrow)]
    pub input: Vec<RawEvent<'a>>,
}

/// Any event: the fields of all of them, each absent where the event has none such.
#[derive(Deserialize)]
pub struct RawEvent<'a> {
    #[serde(borrow)]
    pub op: Cow<'a, str>,
    pub req: Option<u64>,
    pub hop: Option<u32>,
    pub worker: Option<u64>,
    #[serde(borrow)]
    pub status: Option<Cow<'a, str>>,
    pub duration: Option<u64>,
    #[serde(default)]
    pub closed: bool,
    pub report: Option<RawReport>,
    #[serde(borrow)]
    pub path_key: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub user_group: Option<NameOrZero<'a>>,
    #[serde(borrow)]
    pub category: Option<Cow<'a, str>>,
    pub mem: Option<f64>,
    pub remaining: Option<u64>,
    pub slots: Option<f64>,
    #[serde(default)]
    pub retry: bool,
    pub expected: Option<u64>,
    pub sort: Option<i64>,
    pub x: Option<f64>,
    pub ctx: Option<u64>,
    pub by: Option<u32>,
    #[serde(borrow)]
    pub raw: Option<Cow<'a, str>>,
    pub roster_id: Option<usize>,
    #[serde(borrow)]
    pub entries: Option<Vec<RawEntry<'a>>>,
    #[serde(borrow)]
    pub how: Option<Cow<'a, str>>,
    pub nonce64: Option<u64>,
    pub boot_info: Option<Box<BootInfo>>,
}

/// A tenant's name, or a number (0) where there is none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum NameOrZero<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    Number(#[allow(dead_code)] u64),
}

#[derive(Deserialize, Clone, Copy)]
pub struct RawReport {
    rif: Option<f64>,
    q: Option<f64>,
    busy: Option<f64>,
    lat_ms: Option<f64>,
    x0: Option<f64>,
}

impl From<RawReport> for Report {
    fn from(r: RawReport) -> Self {
        Report { in_flight: r.rif, queue: r.q, free_slots: r.x0, busy: r.busy, latency_ms: r.lat_ms }
    }
}

#[derive(Deserialize)]
pub struct RawEntry<'a> {
    worker: u64,
    #[serde(borrow, default)]
    dc: Cow<'a, str>,
    #[serde(borrow, default)]
    shape: Cow<'a, str>,
    #[serde(default)]
    pack: u64,
    #[serde(borrow)]
    phase: Cow<'a, str>,
    #[serde(default)]
    rating: f64,
    #[serde(default)]
    last_start: u64,
}

/// A list entry with the names still in it: each instance looks them up in its own settings.
pub struct NamedEntry {
    zone: String,
    kind: String,
    worker: Worker,
}

impl RawEntry<'_> {
    pub fn named(&self) -> Result<NamedEntry, String> {
        let state = match &*self.phase {
            "IN" => WorkerState::Ready,
            "LAME" => WorkerState::Draining,
            "OUT" => WorkerState::Gone,
            other => return Err(format!("phase: unknown word {other:?}")),
        };
        let worker = Worker {
            state,
            cell: CellId(self.pack),
            weight: self.rating,
            started: self.last_start,
            ..Worker::new(WorkerId(self.worker))
        };
        Ok(NamedEntry { zone: self.dc.to_string(), kind: self.shape.to_string(), worker })
    }
}

/// An instance's names, in the order of its settings. What is not among them is numbered behind them.
#[derive(Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

fn place(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(names.len())
}

impl Names {
    pub fn worker(&self, entry: &NamedEntry) -> Worker {
        let (zone, kind) = (place(&self.zones, &entry.zone), place(&self.kinds, &entry.kind));
        Worker { zone: ZoneId(zone), kind: KindId(kind), ..entry.worker.clone() }
    }
    pub fn class(&self, name: &str) -> usize {
        place(&self.classes, name)
    }
}

pub fn list_kind(word: &str) -> Option<ListKind> {
    Some(match word {
        "Partial" => ListKind::Partial,
        "Complete" => ListKind::Complete,
        "Persisted" => ListKind::Persisted,
        _ => return None,
    })
}

pub fn outcome(word: &str) -> Option<Outcome> {
    Some(match word {
        "served" => Outcome::Served,
        "server_error" => Outcome::Error,
        "turned_away" => Outcome::Full,
        "no_answer" => Outcome::Timeout,
        "no_connection" => Outcome::NoConnection,
        "connection_lost" => Outcome::Reset,
        "called_off" => Outcome::Cancelled,
        "not_sent" => Outcome::NotSent,
        _ => return None,
    })
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct BootInfo {
    balancers: u32,
    rank: u32,
    my_zone: String,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<RawClass>,
    tenants: Vec<RawTenant>,
    over_share_worth: f64,
    worth_by: String,
    registry_mode: String,
    weights: String,
    tick: Nanos,
    load_report: LoadReport,
    ceilings: Ceilings,
    obligations: Obligations,
    penalties: Penalties,
    extra: Extra,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawClass {
    name: String,
    aim: Nanos,
    aim_stretch: f64,
    give_up: Nanos,
    worth: f64,
    late_worth: f64,
    effect: String,
    group: String,
    repeat_window: Nanos,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawTenant {
    name: String,
    quota_rps: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadReport {
    how: String,
}

#[derive(Deserialize)]
#[serde(default)]
struct Ceilings {
    cancel: bool,
    max_attempts: u32,
    max_retry_after: Nanos,
    may_tell: bool,
    probing: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for Ceilings {
    fn default() -> Self {
        Ceilings {
            cancel: false,
            max_attempts: 1,
            max_retry_after: 0,
            may_tell: false,
            probing: false,
            retry_after: false,
            second_copies: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Obligations {
    cold: Nanos,
    cold_from: f64,
    must_ask_in: Nanos,
    overload_factor: f64,
    overload_for: Nanos,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Penalties {
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    peer: f64,
    probe: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Extra {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: Nanos,
    tells_start: bool,
    queue_order: String,
    report_x0: String,
}

impl BootInfo {
    /// The settings and names that these words stand for.
    pub fn read(&self) -> (Settings, Names) {
        let classes = self.classes.iter().enumerate().map(|(i, c)| Class {
            aim: c.aim,
            stretch: self.extra.class_stretch.get(i).copied().unwrap_or(c.aim_stretch),
            deadline: c.give_up,
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match (&*c.effect, &*c.group) {
                ("idempotent", _) => Effect::Safe,
                ("deduplicated", "all") => Effect::Keyed(Group::All),
                ("deduplicated", "zone") => Effect::Keyed(Group::Zone),
                ("deduplicated", "cell") => Effect::Keyed(Group::Cell),
                _ => Effect::Unsafe,
            },
            window: c.repeat_window,
            kind: self.extra.class_kind.get(i).and_then(|&k| usize::try_from(k).ok()).map(KindId),
        });
        let settings = Settings {
            dispatchers: self.balancers,
            me: PeerId(self.rank),
            zone: ZoneId(place(&self.zones, &self.my_zone)),
            zones: self.zones.len(),
            kinds: self.kinds.len(),
            classes: classes.collect(),
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_rps }).collect(),
            over_share_worth: self.over_share_worth,
            worth_by_work: self.worth_by == "work",
            queue_order: match &*self.extra.queue_order {
                "backfill" => QueueOrder::Backfill,
                "priority" => QueueOrder::Priority,
                _ => QueueOrder::Fifo,
            },
            tells_start: self.extra.tells_start,
            progress: self.extra.progress,
            free_slots_reported: self.extra.report_x0 == "free slots",
            reports: match &*self.load_report.how {
                "inline" => Reports::Answers,
                "on_probe" => Reports::Probes,
                _ => Reports::None,
            },
            weights: match &*self.weights {
                "nominal" | "rough" => Weights::Size,
                "live" => Weights::Live,
                _ => Weights::None,
            },
            ask_for_list: self.registry_mode == "subscribe",
            tick: self.tick,
            limits: Limits {
                max_attempts: self.ceilings.max_attempts,
                cancel: self.ceilings.cancel,
                second_copies: self.ceilings.second_copies,
                probes: self.ceilings.probing,
                peers: self.ceilings.may_tell,
                max_retry_after: if self.ceilings.retry_after { self.ceilings.max_retry_after } else { 0 },
            },
            rules: Rules {
                cold: self.obligations.cold,
                cold_from: self.obligations.cold_from,
                fall_multiple: self.obligations.overload_factor,
                fall: self.obligations.overload_for,
                ask_within: self.obligations.must_ask_in,
            },
            prices: Prices {
                cross_zone: self.penalties.cross_zone,
                waste: self.penalties.waste,
                late_fail: self.penalties.late_fail,
                peer: self.penalties.peer,
                probe: self.penalties.probe,
                handshake: self.penalties.handshake,
            },
        };
        let names = Names {
            classes: self.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: self.tenants.iter().map(|t| t.name.clone()).collect(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
        };
        (settings, names)
    }
}

#[derive(Serialize)]
pub struct Reply {
    pub round: u64,
    pub dispatchers: Vec<Outbox>,
}

#[derive(Serialize)]
pub struct Outbox {
    pub dispatcher: u64,
    pub outbox: Vec<RawAction>,
}

#[derive(Serialize)]
#[serde(tag = "op")]
pub enum RawAction {
    #[serde(rename = "DELIVER")]
    Deliver { req: u64, worker: u64, allow_for: u64 },
    #[serde(rename = "OVERLOAD_REPLY")]
    OverloadReply { req: u64, retry_in: u64 },
    #[serde(rename = "ERROR")]
    Error { req: u64 },
    #[serde(rename = "WITHDRAW")]
    Withdraw { req: u64, hop: u32 },
    #[serde(rename = "SLEEP")]
    Sleep { after: u64, ctx: u64 },
    #[serde(rename = "SAMPLE")]
    Sample { worker: u64 },
    #[serde(rename = "RELEASE")]
    Release { worker: u64 },
    #[serde(rename = "OBSERVE")]
    Observe { on: bool },
    #[serde(rename = "POST")]
    Post { neighbour_id: RawReceiver, raw: String },
    #[serde(rename = "BROKEN")]
    Broken { msg: String },
}

#[derive(Serialize)]
#[serde(untagged)]
pub enum RawReceiver {
    One(u32),
    Word(&'static str),
}

impl From<Action> for RawAction {
    fn from(action: Action) -> Self {
        match action {
            Action::Send { id, worker, timeout } => {
                RawAction::Deliver { req: id.0, worker: worker.0, allow_for: timeout }
            }
            Action::Refuse { id, retry_after } => {
                RawAction::OverloadReply { req: id.0, retry_in: retry_after }
            }
            Action::Fail(id) => RawAction::Error { req: id.0 },
            Action::Cancel(id, attempt) => RawAction::Withdraw { req: id.0, hop: attempt },
            // The wire takes timers of up to 71 minutes.
            Action::Timer { after, token } => {
                RawAction::Sleep { after: after.min(71 * 60_000_000_000), ctx: token }
            }
            Action::Probe(worker) => RawAction::Sample { worker: worker.0 },
            Action::Close(worker) => RawAction::Release { worker: worker.0 },
            Action::Watch => RawAction::Observe { on: true },
            Action::Tell(to, bytes) => {
                use base64::Engine as _;
                let neighbour_id = match to {
                    Receiver::One(peer) => RawReceiver::One(peer.0),
                    Receiver::All => RawReceiver::Word("all"),
                };
                RawAction::Post { neighbour_id, raw: base64::engine::general_purpose::STANDARD.encode(bytes) }
            }
        }
    }
}

//! The JSON lines of the simulator's protocol. Fields have the names of the protocol; unknown ones are
//! ignored, and errors name those that are missing or malformed.

use loomlb_policy::raw_settings::RawSettings;
use loomlb_policy::{
    Action, CellId, ListKind, LoadReport, Outcome, Recipient, Worker, WorkerId, WorkerState,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The events of one moment.
#[derive(Deserialize)]
pub struct Batch<'a> {
    pub t: u64,
    pub round: u64,
    #[serde(borrow)]
    pub dispatchers: Vec<Inbox<'a>>,
}

/// The events for one dispatcher.
#[derive(Deserialize)]
pub struct Inbox<'a> {
    pub dispatcher: u64,
    #[serde(borrow)]
    pub input: Vec<RawEvent<'a>>,
}

/// An event of any type, with the fields of all types.
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
    pub boot_info: Option<Box<RawSettings>>,
}

/// The name of a tenant, or the number 0 for none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum NameOrZero<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    Number(#[allow(dead_code)] u64),
}

/// A load report.
#[derive(Deserialize, Clone, Copy)]
pub struct RawReport {
    rif: Option<f64>,
    q: Option<f64>,
    busy: Option<f64>,
    lat_ms: Option<f64>,
    x0: Option<f64>,
}

impl From<RawReport> for LoadReport {
    fn from(r: RawReport) -> Self {
        LoadReport {
            in_flight: r.rif,
            queued: r.q,
            free_slots: r.x0,
            utilization: r.busy,
            service_time_ms: r.lat_ms,
        }
    }
}

/// An entry of a worker list.
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

/// A worker with the names of its zone and kind. Each instance has its own numbers for them.
pub struct NamedEntry {
    pub zone: String,
    pub kind: String,
    pub worker: Worker,
}

impl RawEntry<'_> {
    /// Converts the entry.
    pub fn to_named_entry(&self) -> Result<NamedEntry, String> {
        let state = match &*self.phase {
            "IN" => WorkerState::Ready,
            "LAME" => WorkerState::Draining,
            "OUT" => WorkerState::Removed,
            other => return Err(format!("phase: unknown value {other:?}")),
        };
        let worker = Worker {
            state,
            cell: CellId(self.pack),
            weight: self.rating,
            started_at: self.last_start,
            ..Worker::new(WorkerId(self.worker))
        };
        Ok(NamedEntry { zone: self.dc.to_string(), kind: self.shape.to_string(), worker })
    }
}

/// Converts the `how` of a worker list; `None` if it is unknown.
pub fn parse_list_kind(how: &str) -> Option<ListKind> {
    Some(match how {
        "Partial" => ListKind::Partial,
        "Complete" => ListKind::Complete,
        "Persisted" => ListKind::Persisted,
        _ => return None,
    })
}

/// Converts the `status` of an attempt or a probe; `None` if it is unknown.
pub fn parse_outcome(status: &str) -> Option<Outcome> {
    Some(match status {
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

/// The actions in response to a batch.
#[derive(Serialize)]
pub struct Reply {
    pub round: u64,
    pub dispatchers: Vec<Outbox>,
}

/// The actions of one dispatcher.
#[derive(Serialize)]
pub struct Outbox {
    pub dispatcher: u64,
    pub outbox: Vec<RawAction>,
}

/// An action.
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
    Post { neighbour_id: RawRecipient, raw: String },
    #[serde(rename = "BROKEN")]
    Broken { msg: String },
}

/// The recipients of a message: the number of a peer, or `all`.
#[derive(Serialize)]
#[serde(untagged)]
pub enum RawRecipient {
    One(u32),
    Keyword(&'static str),
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
            // The protocol limits timers to 71 minutes.
            Action::SetTimer { after, token } => {
                RawAction::Sleep { after: after.min(71 * 60_000_000_000), ctx: token }
            }
            Action::Probe(worker) => RawAction::Sample { worker: worker.0 },
            Action::CloseIdleConnections(worker) => RawAction::Release { worker: worker.0 },
            Action::WatchList => RawAction::Observe { on: true },
            Action::SendToPeers(recipient, bytes) => {
                use base64::Engine as _;
                let neighbour_id = match recipient {
                    Recipient::One(peer) => RawRecipient::One(peer.0),
                    Recipient::All => RawRecipient::Keyword("all"),
                };
                RawAction::Post { neighbour_id, raw: base64::engine::general_purpose::STANDARD.encode(bytes) }
            }
        }
    }
}

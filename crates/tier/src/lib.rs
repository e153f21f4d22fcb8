//! The tier: schedulers that agree on settings and on workers taken offline. Without a configured tier nothing is opened or
//! sent.
//!
//! `loomlb-consensus` decides which version of the settings a scheduler may use and for how long. This crate adds the
//! sockets, the voter's log file and the timers: a link to each voter, on which a scheduler renews its lease and voters
//! exchange their messages; the listener of a voter; and applying an agreed version to the running process, which is
//! represented by the trait [`Application`].

#![forbid(unsafe_code)]

mod config;
mod history;
mod lease;
mod link;
mod proposals;
mod status;
mod store_health;
mod voter;
mod voter_error;

pub use config::{LapsePolicy, TierConfig, VoterAddress};
pub use proposals::{propose_settings, set_worker_offline};
pub use status::status;

use history::History;
use link::Outbox;
use loomlb_consensus::history_check::{HistoryEvent, HistoryRecord};
use loomlb_consensus::lease_holder::LeaseHolder;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::ReplicatedState;
use loomlb_consensus::timing::LeaseTiming;
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport};
use loomlb_consensus::{EffectiveRules, Nanos};
use loomlb_sockets::OpenRetry;
use proposals::PendingProposal;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store_health::StoreHealth;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use voter::{Voter, open_voter};
use voter_error::VoterError;

/// Time between two checks of a condition that an admin request waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The process that applies what the tier has agreed on.
pub trait Application {
    /// Returns the version of its worker list and the workers that the list shows as leaving.
    fn worker_list(&self) -> ListReport;
    /// Returns the settings in force, including the keys that each scheduler sets for itself.
    fn settings(&self) -> Value;
    /// Checks settings without applying them. The error names the invalid key.
    fn validate_settings(&self, settings: Value) -> Result<(), String>;
    /// Applies settings, either completely or not at all.
    fn apply_settings(&self, settings: Value) -> Result<(), String>;
    /// Takes a worker offline or puts it back online.
    fn set_worker_offline(&self, worker: &str, offline: bool);
    /// Records that another scheduler's list shows a worker as leaving. Returns whether that was unknown.
    fn learn_leaving_worker(&self, leaving: &LeavingWorker) -> bool;
    /// Removes reports of leaving workers that have not been repeated for a while.
    fn expire_leaving_workers(&self);
    /// Requests the worker list from discovery, because another scheduler has a newer one.
    fn refetch_worker_list(&self);
}

/// Handle to the tier; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Tier(Option<Rc<Node>>);

/// State of this process in the tier.
#[derive(Debug)]
struct Node {
    config: TierConfig,
    name: String,
    timing: LeaseTiming,
    /// Random number that identifies this process.
    process_id: u64,
    started: Instant,
    /// Id of this scheduler as a voter, from 1, if it is configured as one.
    voter_id: Option<u64>,
    /// The voter, unless another process of this scheduler votes or its log cannot be opened.
    voter: RefCell<Option<Voter>>,
    holder: RefCell<LeaseHolder>,
    /// The rules that are applied in this process.
    applied: Cell<Option<EffectiveRules>>,
    /// The workers that are taken offline in this process.
    offline_workers: RefCell<BTreeSet<String>>,
    /// Why the agreed settings could not be applied.
    apply_error: RefCell<Option<String>>,
    /// Whether there was a lease at the last check.
    had_lease: Cell<bool>,
    /// Whether the strictest rules are in force because there is no lease.
    strict_rules_in_force: Cell<bool>,
    proposals: RefCell<BTreeMap<u64, PendingProposal>>,
    outboxes: Vec<Outbox>,
    /// Notified to renew the lease before the next interval.
    renew_now: Notify,
    /// The newest and the oldest version of the worker list among all schedulers.
    list_versions: Cell<(u64, u64)>,
    /// Time of the last check at which the list of this scheduler was current, or of the last refetch.
    list_current_at: Cell<Nanos>,
    history: RefCell<Option<History>>,
    store_health: RefCell<StoreHealth>,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Counters {
    lapses: Cell<u64>,
    messages_dropped: Cell<u64>,
    open_links: Cell<usize>,
    link_errors: Cell<u64>,
    history_unwritten: Cell<u64>,
    leaving_learned: Cell<u64>,
    list_refetches: Cell<u64>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn random_u64() -> io::Result<u64> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(io::Error::other)?;
    Ok(u64::from_le_bytes(bytes))
}

/// Returns the time of the machine's monotonic clock, which all its processes share.
fn monotonic_nanos() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as Nanos * 1_000_000_000 + now.tv_nsec as Nanos
}

impl Node {
    /// Time since this process started, scaled by the configured `trial_clock`.
    fn now(&self) -> Nanos {
        (self.started.elapsed().as_nanos() as f64 * self.config.trial_clock) as Nanos
    }

    /// Time since this process started.
    fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Appends an event to the history, if one is configured.
    fn record(&self, event: HistoryEvent) {
        let mut history = self.history.borrow_mut();
        let Some(history) = history.as_mut() else { return };
        let line = HistoryRecord {
            at: monotonic_nanos(),
            scheduler: self.name.clone(),
            process: self.process_id,
            event,
        };
        if history.write(&line).is_err() {
            increment(&self.counters.history_unwritten);
        }
    }

    /// Queues a message to a voter. A full queue drops its oldest message.
    fn enqueue(&self, voter: usize, message: LinkMessage) {
        let Some(outbox) = self.outboxes.get(voter) else { return };
        let mut queue = outbox.queue.borrow_mut();
        if queue.len() >= link::MAX_QUEUED_MESSAGES {
            queue.pop_front();
            increment(&self.counters.messages_dropped);
        }
        queue.push_back(message);
        outbox.queued.notify_one();
    }

    /// Reads from the agreed state that this scheduler knows.
    fn read_state<T>(&self, read: impl FnOnce(&ReplicatedState) -> T) -> T {
        read(self.holder.borrow().state())
    }

    /// Whether this process holds a lease on the rules that are applied.
    fn has_lease(&self) -> bool {
        let holder = self.holder.borrow();
        holder.has_valid_lease(self.now())
            && holder.rules() == self.applied.get()
            && self.apply_error.borrow().is_none()
    }
}

impl Tier {
    /// Whether a tier is configured.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Whether this scheduler may serve now.
    pub fn may_serve(&self) -> bool {
        let Some(node) = &self.0 else { return true };
        // The strictest rules need no lease once they are in force.
        node.has_lease() || (node.strict_rules_in_force.get() && node.apply_error.borrow().is_none())
    }

    /// Whether a forward may be sent now. Must be called immediately before its first byte; recorded in the history.
    pub fn authorize_forward(&self) -> bool {
        let Some(node) = &self.0 else { return true };
        if node.has_lease() {
            let lease_left = node.holder.borrow().lease_expiry().unwrap_or(0).saturating_sub(node.now());
            if let Some(rules) = node.applied.get() {
                node.record(HistoryEvent::Acted { rules, lease_left });
            }
            return true;
        }
        self.may_serve()
    }
}

/// Opens the tier: the log and the listener if this scheduler is a voter, and the history. `opening` limits the time of
/// retries.
pub async fn open(
    config: Option<TierConfig>,
    name: &str,
    opening: &OpenRetry,
) -> io::Result<(Tier, Option<TcpListener>)> {
    let Some(config) = config else { return Ok((Tier::default(), None)) };
    let timing = config.timing().map_err(|(key, why)| io::Error::other(format!("{key}: {why}")))?;
    let voter_id = config.voters.iter().position(|v| v.name == name).map(|at| at as u64 + 1);
    let started = Instant::now();
    let mut store_health = StoreHealth::default();
    let voter_start = match voter_id {
        Some(voter_id) => initial_voter(
            open_voter(&config, name, voter_id, timing, 0, opening).await,
            name,
            &mut store_health,
        )?,
        None => None,
    };
    let (listener, voter) = voter_start.unzip();
    let history = config.history.as_deref().map(History::open).transpose()?;
    Ok((
        Tier(Some(Rc::new(Node {
            name: name.into(),
            timing,
            process_id: random_u64()?,
            started,
            voter_id,
            voter: RefCell::new(voter),
            holder: RefCell::new(LeaseHolder::new(timing, config.voters.len())),
            applied: Cell::default(),
            offline_workers: RefCell::default(),
            apply_error: RefCell::default(),
            had_lease: Cell::new(false),
            strict_rules_in_force: Cell::new(false),
            proposals: RefCell::default(),
            outboxes: config.voters.iter().map(|_| Outbox::default()).collect(),
            renew_now: Notify::new(),
            list_versions: Cell::default(),
            list_current_at: Cell::new(Nanos::MAX / 2),
            history: RefCell::new(history),
            store_health: RefCell::new(store_health),
            counters: Counters::default(),
            config,
        }))),
        listener,
    ))
}

/// Returns the listener and the voter, or `None` while another process of this scheduler votes or the log cannot be opened
/// because of a transient error. Meanwhile this scheduler gets its lease from the other voters.
fn initial_voter(
    opened: Result<(TcpListener, Voter), VoterError>,
    name: &str,
    store_health: &mut StoreHealth,
) -> io::Result<Option<(TcpListener, Voter)>> {
    match opened {
        Ok(voter_start) => Ok(Some(voter_start)),
        Err(e) if e.is_held_by_another_process() => {
            tracing::warn!(
                "tier: {}; not voting because another process of {name:?} does",
                io::Error::from(e)
            );
            Ok(None)
        }
        Err(e) if e.is_transient() => {
            store_health.record_failure(Duration::ZERO);
            tracing::error!("tier: {}; not voting until the error is resolved", io::Error::from(e));
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}

/// Starts the tasks of the tier, if one is configured.
pub fn start(tier: &Tier, application: &Rc<dyn Application>, listener: Option<TcpListener>) {
    let Some(node) = &tier.0 else { return };
    if let Some(listener) = listener {
        voter::start(node, listener);
    } else if let Some(voter_id) = node.voter_id {
        spawn_local(voter::take_over_vote(Rc::clone(node), voter_id));
    }
    for voter in (0..node.outboxes.len()).filter(|v| node.voter_id != Some(*v as u64 + 1)) {
        spawn_local(link::maintain_link(Rc::clone(node), Rc::clone(application), voter));
    }
    spawn_local(lease::run_renewals(Rc::clone(node), Rc::clone(application)));
}

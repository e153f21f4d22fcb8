//! Tier: what the schedulers have agreed on, where the operator has them agree. Off otherwise: nothing is opened, asked or
//! sent.
//!
//! What may be acted on, and for how long, is decided in `loomlb-consensus`. Here are the sockets, the file and the timers
//! around it: a link to each voter, on which this scheduler asks for its lease and a voter sends what voters tell each
//! other; at a voter the listener for those links; and the way of a version into force. What acts by the rules is an
//! [`Application`], of which the tier knows no more than that.

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
use proposals::Waiting;
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
use voter::{Voter, vote_as};
use voter_error::VoterError;

/// Time between two looks at what a call or a change waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What acts by the tier's rules: the process around it. The tier asks no more of it than this.
pub trait Application {
    /// What it has been told of the workers.
    fn worker_list(&self) -> ListReport;
    /// The settings that are in force in it, its own keys included.
    fn settings(&self) -> Value;
    /// Why it could not act on these settings, by their key; it changes nothing.
    fn validate_settings(&self, settings: Value) -> Result<(), String>;
    /// Puts these settings in force, all of them or nothing.
    fn apply_settings(&self, settings: Value) -> Result<(), String>;
    /// Takes a worker out, or puts it back.
    fn set_worker_offline(&self, worker: &str, out: bool);
    /// Another scheduler was told that a worker is leaving; true if that is news here.
    fn learn_leaving_worker(&self, leaving: &LeavingWorker) -> bool;
    /// Words of others on leaving workers that were not said again for a while are over.
    fn expire_leaving_workers(&self);
    /// Others have a newer list: it is asked for at once.
    fn refetch_worker_list(&self);
}

/// The tier as this scheduler sees it; a clone is the same one.
#[derive(Clone, Debug, Default)]
pub struct Tier(Option<Rc<Node>>);

#[derive(Debug)]
struct Node {
    config: TierConfig,
    name: String,
    timing: LeaseTiming,
    /// This process, as no other is called.
    process_id: u64,
    started: Instant,
    /// This voter's number, from 1, if it is one.
    voter_id: Option<u64>,
    voter: RefCell<Option<Voter>>,
    holder: RefCell<LeaseHolder>,
    /// What is in force in this process, and what of it staff have taken out.
    applied: Cell<Option<EffectiveRules>>,
    offline_workers: RefCell<BTreeSet<String>>,
    /// What was agreed and cannot be read here.
    apply_error: RefCell<Option<String>>,
    /// The lease as it was last looked at.
    had_lease: Cell<bool>,
    /// The strictest rules are in force here, for want of a lease.
    strict_rules_in_force: Cell<bool>,
    proposals: RefCell<BTreeMap<u64, Waiting>>,
    outboxes: Vec<Outbox>,
    renew_now: Notify,
    /// The newest and the oldest list in use, and since when this one is behind.
    list_versions: Cell<(u64, u64)>,
    behind_since: Cell<Nanos>,
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

/// The machine's monotonic clock: the same for all processes on it.
fn monotonic_nanos() -> Nanos {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as Nanos * 1_000_000_000 + now.tv_nsec as Nanos
}

impl Node {
    fn now(&self) -> Nanos {
        (self.started.elapsed().as_nanos() as f64 * self.config.trial_clock) as Nanos
    }

    /// Time since this process started, by the machine's clock.
    fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

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

    fn enqueue(&self, voter: usize, word: LinkMessage) {
        let Some(outbox) = self.outboxes.get(voter) else { return };
        let mut words = outbox.queue.borrow_mut();
        if words.len() >= link::WAITING {
            words.pop_front();
            increment(&self.counters.messages_dropped);
        }
        words.push_back(word);
        outbox.queued.notify_one();
    }

    /// Something of what this scheduler knows to be agreed.
    fn read_state<T>(&self, of: impl FnOnce(&ReplicatedState) -> T) -> T {
        of(self.holder.borrow().state())
    }

    /// Whether a lease holds now on what is in force here.
    fn has_lease(&self) -> bool {
        let holder = self.holder.borrow();
        holder.has_valid_lease(self.now())
            && holder.rules() == self.applied.get()
            && self.apply_error.borrow().is_none()
    }
}

impl Tier {
    /// Whether the operator has a tier agree.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Whether this scheduler may serve now.
    pub fn may_serve(&self) -> bool {
        let Some(node) = &self.0 else { return true };
        // The strictest rules need no lease, once they are in force here.
        node.has_lease() || (node.strict_rules_in_force.get() && node.apply_error.borrow().is_none())
    }

    /// Looked at immediately before the first byte of a forward, and written into the history.
    pub fn authorize_forward(&self) -> bool {
        let Some(node) = &self.0 else { return true };
        if node.has_lease() {
            let left = node.holder.borrow().lease_expiry().unwrap_or(0).saturating_sub(node.now());
            if let Some(acting) = node.applied.get() {
                node.record(HistoryEvent::Acted { rules: acting, lease_left: left });
            }
            return true;
        }
        self.may_serve()
    }
}

/// Opens what a tier needs: the listener of a voter and its file. `opening` limits how long the listener is tried.
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
    let seat = match voter_id {
        Some(voter_id) => {
            seat(vote_as(&config, name, voter_id, timing, 0, opening).await, name, &mut store_health)?
        }
        None => None,
    };
    let (listener, voter) = seat.unzip();
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
            behind_since: Cell::new(Nanos::MAX / 2),
            history: RefCell::new(history),
            store_health: RefCell::new(store_health),
            counters: Counters::default(),
            config,
        }))),
        listener,
    ))
}

/// What a voter starts with; none while another process of its scheduler votes, or its file cannot be opened for a
/// reason that passes by itself. It serves by the leases of the other voters meanwhile.
fn seat(
    taken: Result<(TcpListener, Voter), VoterError>,
    name: &str,
    store_health: &mut StoreHealth,
) -> io::Result<Option<(TcpListener, Voter)>> {
    match taken {
        Ok(seat) => Ok(Some(seat)),
        Err(e) if e.is_held_elsewhere() => {
            tracing::warn!("tier: {}; another process of {name:?} votes", io::Error::from(e));
            Ok(None)
        }
        Err(e) if e.is_transient() => {
            store_health.failed(Duration::ZERO);
            tracing::error!("tier: {}; serving without a vote until it passes", io::Error::from(e));
            Ok(None)
        }
        Err(e) => Err(e.into()),
    }
}

/// Starts the links and the timers, where there is a tier.
pub fn start(tier: &Tier, application: &Rc<dyn Application>, listener: Option<TcpListener>) {
    let Some(node) = &tier.0 else { return };
    if let Some(listener) = listener {
        voter::start(node, listener);
    } else if let Some(voter_id) = node.voter_id {
        spawn_local(voter::succeed(Rc::clone(node), voter_id));
    }
    for voter in (0..node.outboxes.len()).filter(|v| node.voter_id != Some(*v as u64 + 1)) {
        spawn_local(link::link(Rc::clone(node), Rc::clone(application), voter));
    }
    spawn_local(lease::renew(Rc::clone(node), Rc::clone(application)));
}

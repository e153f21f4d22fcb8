//! Discovery: the target group, as the platform's list tells of it.

use super::http::{Connection, Message, MessageKind};
use super::worker_starts::{Incarnation, WorkerStarts};
use super::{Scheduler, route};
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport, MAX_LEAVING_WORKERS};
use loomlb_control::overrides::{EffectiveState, WorkerOverrides};
use loomlb_policy::raw_settings::SettingNames;
use loomlb_policy::{CellId, Event, ListKind, Nanos, Worker, WorkerId, WorkerState};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// How long a watch may wait for news. What a silent one misses counts as told 6 s after discovery had it, so there is
/// time to notice, and for a call in vain before the one that is answered.
const HOLD: Duration = Duration::from_secs(2);
/// How much longer an answer may take before its connection counts as dead.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Where lists are asked for, discovery may be crowded and answer late. After a call that was given up unanswered the next
/// one waits for so long: given up after `PATIENCE` each, calls would add to the crowd and never bring a list.
const PATIENCE_WHEN_CROWDED: Duration = Duration::from_millis(2400);
/// Where lists are pushed, what the agent has counts as told, and it answers at once: a first call that is not answered
/// in this time is not waited for alone, and another one goes out beside it,
const BESIDE: Duration = Duration::from_millis(250);
/// so that there are no more than this many.
const CALLS: usize = 4;
/// Pause before another try after a failed one.
const RETRY: Duration = Duration::from_millis(100);
/// A drain is told to other schedulers for so long, in nanoseconds.
const TOLD: Nanos = 10_000_000_000;
/// Others' word that a target is leaving holds for so long after it was said last, in nanoseconds.
const HEARD: Nanos = 3_000_000_000;
/// Targets that have left are remembered for this long, for what is still out there.
const REMEMBER: Nanos = 60_000_000_000;

/// A target as listed.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub host: Rc<str>,
    /// Where it listens.
    pub dial: SocketAddr,
    /// When it was told to be draining or gone, if it is.
    pub leaving: Option<Nanos>,
    /// Since when other schedulers say that it is leaving, if our own list does not say so yet.
    hearsay: Option<Nanos>,
    /// Discovery's own word on it, as the module reads it,
    word: Worker,
    /// and as it was written.
    said: Rc<Host>,
}

impl Target {
    /// Nobody has told that it drains or is gone.
    pub fn takes_new(&self) -> bool {
        self.leaving.is_none() && self.hearsay.is_none()
    }

    /// Whether another look at a target found the same process at the same address.
    pub fn same_life(&self, other: &Target) -> bool {
        self.dial == other.dial && self.said.born_ms == other.said.born_ms
    }

    /// Its process, and when that started.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { born_ms: self.said.born_ms, started: self.word.started_at }
    }
}

/// The targets that discovery has named.
#[derive(Debug, Default)]
pub struct Group {
    targets: RefCell<HashMap<WorkerId, Target>>,
    asked: Notify,
    /// Where discovery answers, if a reload has named another address than the start did.
    address: Cell<Option<SocketAddr>>,
    moved: Notify,
    /// The last call on a new connection was given up unanswered.
    unanswered: Cell<bool>,
    /// The version of the list that was taken in last.
    seq: Cell<Option<u64>>,
    /// When workers started, on our own scale.
    starts: RefCell<WorkerStarts>,
}

/// The list, in discovery's form.
#[derive(Clone, Debug, Deserialize, Serialize, Default)]
pub struct List {
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Host>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Host {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u64,
    health: String,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A target's number: the same at every scheduler, and no more than 32 bits, as peers' messages cut the rest.
/// Names of the usual form carry such a number; others are hashed (FNV-1a).
pub fn number(host: &str) -> WorkerId {
    let plain = host.strip_prefix("s-").filter(|hex| hex.len() == 8 && !hex.starts_with('+'));
    let hash = || host.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    WorkerId(plain.and_then(|hex| u32::from_str_radix(hex, 16).ok()).unwrap_or_else(hash).into())
}

impl Group {
    /// A target by its number.
    pub fn target(&self, id: WorkerId) -> Option<Target> {
        self.targets.borrow().get(&id).cloned()
    }

    /// Whether discovery has named this target, and if it has left since, not long ago.
    pub fn names(&self, host: &str) -> bool {
        self.targets.borrow().get(&number(host)).is_some_and(|t| &*t.host == host)
    }

    /// The module wants the list, at sites where it must be asked for.
    pub fn ask(&self) {
        self.asked.notify_one();
    }

    /// The list as it was last told, targets that have left not long ago included.
    pub fn list(&self) -> List {
        let health = |state| match state {
            WorkerState::Ready => "active",
            WorkerState::Draining => "leaving",
            WorkerState::Removed => "left",
        };
        let targets = self.targets.borrow();
        let hosts =
            targets.values().map(|t| Host { health: health(t.word.state).into(), ..(*t.said).clone() });
        List { seq: self.seq.get().unwrap_or(0), whole: self.seq.get().is_some(), hosts: hosts.collect() }
    }

    /// What is known of the workers' starts, for a successor.
    pub fn starts_for_successor(&self, now: Nanos) -> WorkerStarts {
        let targets = self.targets.borrow();
        let listed = targets.values().map(|t| (t.host.to_string(), t.incarnation()));
        self.starts.borrow().handed_over(now, listed)
    }

    /// Where discovery answers, if a reload has named another address than the start did.
    pub fn moved_to(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// What this scheduler tells others of its list: the version, and what is leaving by discovery's own word.
    pub fn mine(&self, now: Nanos) -> ListReport {
        let targets = self.targets.borrow();
        let lately = targets.values().filter(|t| t.leaving.is_some_and(|at| now < at + TOLD));
        let leaving = lately.map(|t| LeavingWorker { host: t.host.to_string(), born_ms: t.said.born_ms });
        ListReport {
            version: self.seq.get().unwrap_or(0),
            leaving: leaving.take(MAX_LEAVING_WORKERS).collect(),
        }
    }

    /// Others have a newer list: the whole of it is asked for at once.
    pub fn ask_anew(&self) {
        self.moved.notify_one();
    }

    /// Discovery answers at this address from now on.
    pub fn follow_at(&self, address: SocketAddr) {
        self.address.set(Some(address));
        self.moved.notify_one();
    }
}

/// What the module is told of a target: discovery's word joined with what staff ordered.
fn effective(orders: &WorkerOverrides, target: &Target) -> Worker {
    let mut word = target.word.clone();
    if target.hearsay.is_some() && word.state == WorkerState::Ready {
        word.state = WorkerState::Draining;
    }
    match orders.effective_state(&target.host, word.started_at) {
        EffectiveState::AsListed => word,
        EffectiveState::Offline if word.state == WorkerState::Removed => word,
        EffectiveState::Offline => Worker { state: WorkerState::Draining, ..word },
        EffectiveState::StartedAt(started) => Worker { started_at: started, ..word },
    }
}

/// Staff have ordered something of a target: the module is told what it is now. Connections to a process that is about
/// to be restarted, or has been, are of no use.
pub fn ordered(s: &Rc<Scheduler>, host: &str) {
    let id = number(host);
    let Some(target) = s.target_group.target(id).filter(|t| &*t.host == host) else { return };
    s.pool.close_idle(id);
    let entry = effective(&s.orders.borrow(), &target);
    route::handle_event(s, Event::WorkerList { kind: ListKind::Partial, entries: vec![entry] });
}

/// Another scheduler's list says that a target is leaving in the life that we know: it counts as draining until our own
/// list says what it is, or the word is over. True if that is news. Words never take more than a third of the targets.
pub fn hearsay(s: &Rc<Scheduler>, host: &str, born_ms: u64) -> bool {
    let (now, id) = (s.clock.now(), number(host));
    let mut targets = s.target_group.targets.borrow_mut();
    let (all, said) = (targets.len(), targets.values().filter(|t| t.hearsay.is_some()).count());
    let Some(target) = targets.get_mut(&id).filter(|t| &*t.host == host && t.leaving.is_none()) else {
        return false;
    };
    if target.said.born_ms != born_ms {
        return false;
    }
    if target.hearsay.is_some() {
        target.hearsay = Some(now);
        return false;
    }
    if (said + 1) * 3 > all {
        return false;
    }
    target.hearsay = Some(now);
    let entry = effective(&s.orders.borrow(), target);
    drop(targets);
    s.pool.close_idle(id);
    route::handle_event(s, Event::WorkerList { kind: ListKind::Partial, entries: vec![entry] });
    true
}

/// Words of others that were not said again for a while are over: the targets are as our own list says.
pub fn forget_hearsay(s: &Rc<Scheduler>) {
    let now = s.clock.now();
    let mut targets = s.target_group.targets.borrow_mut();
    let over = targets.values_mut().filter(|t| t.hearsay.is_some_and(|at| now >= at + HEARD));
    let entries: Vec<Worker> = over
        .map(|target| {
            target.hearsay = None;
            effective(&s.orders.borrow(), target)
        })
        .collect();
    drop(targets);
    if !entries.is_empty() {
        route::handle_event(s, Event::WorkerList { kind: ListKind::Partial, entries });
    }
}

/// Zones and kinds may have other numbers since the settings have changed: the module is told of all targets anew.
pub fn renamed(s: &Rc<Scheduler>) {
    let epoch = s.epoch();
    let mut targets = s.target_group.targets.borrow_mut();
    let listed = targets.values_mut().filter(|t| t.word.state != WorkerState::Removed);
    let entries = listed.map(|target| {
        target.word =
            epoch.names.with_zone_and_kind(&target.said.site, &target.said.class, target.word.clone());
        effective(&s.orders.borrow(), target)
    });
    let entries = entries.collect();
    drop(targets);
    route::handle_event(s, Event::WorkerList { kind: ListKind::Partial, entries });
}

/// What the settings do not know of a target's entry. The target itself can be used.
fn strange(names: &SettingNames, host: &Host) -> Vec<String> {
    let parts = [("site", &host.site, &names.zones), ("class", &host.class, &names.kinds)];
    let unknown = parts.into_iter().filter(|(_, said, known)| !known.contains(said));
    unknown.map(|(key, said, _)| format!("{key} {said:?} is not in the settings")).collect()
}

/// Takes in a list and tells the module of it.
fn take(s: &Rc<Scheduler>, list: List, kind: ListKind) {
    let now = s.clock.now();
    let mut targets = s.target_group.targets.borrow_mut();
    if kind != ListKind::Partial {
        let named: HashSet<WorkerId> = list.hosts.iter().map(|h| number(&h.host)).collect();
        for (id, target) in targets.iter_mut().filter(|t| !named.contains(t.0)) {
            target.leaving.get_or_insert(now);
            target.word.state = WorkerState::Removed;
            s.pool.close_idle(*id);
        }
    }
    let hosts: Vec<(Host, SocketAddr)> =
        list.hosts.into_iter().filter_map(|host| dialable(&targets, host)).collect();
    let mut starts = s.target_group.starts.borrow_mut();
    let news = hosts.iter().filter(|(host, _)| known_start(&targets, host).is_none());
    starts.observe(now, news.map(|(host, _)| (&*host.host, host.born_ms)));
    let mut entries = Vec::with_capacity(hosts.len());
    for (host, dial) in hosts {
        let id = number(&host.host);
        let state = listed_state(&host);
        let known = targets.get(&id);
        if known.is_some_and(|t| *t.host != *host.host) {
            tracing::error!("discovery: {}: shares its number with another target, left out", host.host);
            continue;
        }
        let same_process = known.filter(|t| t.said.born_ms == host.born_ms);
        let hearsay = same_process.and_then(|t| t.hearsay);
        let epoch = s.epoch();
        if known.is_none_or(|t| (&t.said.site, &t.said.class) != (&host.site, &host.class)) {
            for fault in strange(&epoch.names, &host) {
                s.book.borrow_mut().counters.list_strange += 1;
                tracing::warn!("discovery: {}: {fault}, used all the same", host.host);
            }
        }
        let started =
            known_start(&targets, &host).unwrap_or_else(|| starts.appeared(now, &host.host, host.born_ms));
        let leaving = match state {
            WorkerState::Ready => None,
            _ => Some(known.and_then(|t| t.leaving).unwrap_or(now)),
        };
        if leaving.is_some() || known.is_some_and(|t| t.said.born_ms != host.born_ms || t.dial != dial) {
            // Connections to a process that has ended or is about to: the next use would only find that out.
            s.pool.close_idle(id);
        }
        let worker = Worker {
            cell: CellId(host.block),
            state,
            weight: host.share,
            started_at: started,
            ..Worker::new(id)
        };
        let word = epoch.names.with_zone_and_kind(&host.site, &host.class, worker);
        let target =
            Target { host: host.host.as_str().into(), dial, leaving, hearsay, word, said: Rc::new(host) };
        entries.push(effective(&s.orders.borrow(), &target));
        targets.insert(id, target);
    }
    s.orders
        .borrow_mut()
        .forget_restored(now, s.epoch().settings.obligations.warm_up_time.saturating_add(REMEMBER));
    let departed = targets.extract_if(|_, target| target.leaving.is_some_and(|at| now >= at + REMEMBER));
    starts.departed(now, departed.map(|(_, target)| (target.host.to_string(), target.incarnation())));
    drop(targets);
    drop(starts);
    route::handle_event(s, Event::WorkerList { kind, entries });
}

/// An entry with the address to dial, its own or the one known so far; none where that is no address, or where another
/// target has its number.
fn dialable(targets: &HashMap<WorkerId, Target>, host: Host) -> Option<(Host, SocketAddr)> {
    let known = targets.get(&number(&host.host));
    if known.is_some_and(|t| *t.host != *host.host) {
        tracing::error!("discovery: {}: shares its number with another target, left out", host.host);
        return None;
    }
    let dial = host.dial.parse().ok().or(known.map(|t| t.dial));
    if dial.is_none() {
        tracing::error!("discovery: {}: dial {:?} is no address, left out", host.host, host.dial);
    }
    Some((host, dial?))
}

/// The state that discovery gives an entry.
fn listed_state(host: &Host) -> WorkerState {
    match &*host.health {
        "active" => WorkerState::Ready,
        "left" => WorkerState::Removed,
        "leaving" => WorkerState::Draining,
        other => {
            tracing::warn!("discovery: {}: unknown health {other:?}, taken as leaving", host.host);
            WorkerState::Draining
        }
    }
}

/// The start that was assigned to this incarnation when the list named it before.
fn known_start(targets: &HashMap<WorkerId, Target>, host: &Host) -> Option<Nanos> {
    let known = targets.get(&number(&host.host))?;
    let same = *known.host == *host.host && known.said.born_ms == host.born_ms;
    same.then_some(known.word.started_at)
}

/// Starts from the list that the configuration brought.
pub fn start(s: &Rc<Scheduler>) {
    let known = match &s.config.known {
        serde_json::Value::Null => List::default(),
        known => List::deserialize(known).unwrap_or_else(|e| {
            tracing::error!("configuration: known: {e}; starting without targets");
            List::default()
        }),
    };
    start_from(s, known);
}

/// Starts from the list of the process before this one, and from what that one knows of the workers' starts. A build
/// that does not tell them had its list from discovery just now, as far as we know.
pub fn take_over(s: &Rc<Scheduler>, list: List, starts: Option<WorkerStarts>) {
    let answered = list.whole;
    let told = starts.is_some();
    s.target_group.starts.replace(starts.unwrap_or_default());
    start_from(s, list);
    if answered && !told {
        s.target_group.starts.borrow_mut().answered(s.clock.now());
    }
}

/// Takes in the first list, and follows discovery from its version on if it was a whole one.
fn start_from(s: &Rc<Scheduler>, list: List) {
    s.target_group.seq.set(list.whole.then_some(list.seq));
    take(s, list, ListKind::Persisted);
}

/// Keeps up with discovery for as long as the program runs. While it is silent the last list stays. What has changed
/// since the version we have is all that is asked for: were every scheduler of a large tier to ask for the whole list at its
/// start, the service of the list would fail them all.
pub async fn follow(s: Rc<Scheduler>) {
    loop {
        if s.epoch().settings.list_needs_watch {
            tokio::select! {
                () = s.target_group.asked.notified() => {}
                () = s.target_group.moved.notified() => s.target_group.seq.set(None),
            }
        }
        let fault = loop {
            tokio::select! {
                // A connection that was closed with its answer is no fault: the next watch must be quick.
                ended = session(&s) => if let Err(fault) = ended {
                    break fault;
                },
                // At another address the versions may be others, and a watch that still waits at the old one
                // would be told nothing more: the whole list is asked for at once. Until it comes the old
                // stays.
                () = s.target_group.moved.notified() => s.target_group.seq.set(None),
            }
        };
        s.book.borrow_mut().counters.list_faults += 1;
        tracing::warn!("discovery: {fault}; the last list stays");
        if s.epoch().settings.list_needs_watch {
            route::handle_event(&s, Event::ListRequestFailed);
        }
        tokio::time::sleep(RETRY).await;
    }
}

/// One connection to discovery: a call at once, then one watch after the other, until it is closed in good
/// order or something fails.
async fn session(s: &Rc<Scheduler>) -> Result<(), &'static str> {
    let (mut wire, mut answer) = first(s).await?;
    loop {
        take_in(s, &answer)?;
        if !answer.keep_alive {
            return Ok(());
        }
        answer = ask(&mut wire, &question(s, HOLD), HOLD + PATIENCE).await?;
    }
}

/// A connection to discovery and the first answer on it, which waits for no news: after a call that failed nobody knows
/// whether there are any. Where lists are pushed a call costs nothing, and another goes out beside one that hangs; where
/// they are asked for there is one.
async fn first(s: &Rc<Scheduler>) -> Result<(Connection, Message), &'static str> {
    let most = if s.epoch().settings.list_needs_watch { 1 } else { CALLS };
    let (mut calls, mut again) = (JoinSet::new(), tokio::time::interval(BESIDE));
    loop {
        tokio::select! {
            _ = again.tick(), if calls.len() < most => {
                calls.spawn_local(first_call(Rc::clone(s)));
            }
            Some(called) = calls.join_next() => match called {
                Ok(Err(_)) if !calls.is_empty() => {}
                Ok(said) => return said,
                Err(_) => return Err("the call ended"),
            },
        }
    }
}

/// A connection of its own, and the answer to one call on it.
async fn first_call(s: Rc<Scheduler>) -> Result<(Connection, Message), &'static str> {
    let address = s.target_group.address.get().unwrap_or(s.config.discovery);
    let count = |fault: Option<_>| s.book.borrow_mut().counters.dials_again += u64::from(fault.is_some());
    let dial = tokio::time::timeout(PATIENCE, loomlb_sockets::connect(address, count));
    let Ok(Ok(stream)) = dial.await else { return Err("no connection") };
    let mut wire = Connection::new(stream).with_max_body(s.config.list_bytes);
    let begun = Instant::now();
    let answer = ask(&mut wire, &question(&s, Duration::ZERO), first_patience(&s)).await;
    // An answer that comes late, or an error, leaves open whether the crowd is gone.
    if begun.elapsed() >= PATIENCE {
        s.target_group.unanswered.set(true);
    } else if answer.is_ok() {
        s.target_group.unanswered.set(false);
    }
    answer.map(|answer| (wire, answer))
}

/// How long the answer to the first call on a connection may take. An agent that has pushed lists answers at once.
fn first_patience(s: &Scheduler) -> Duration {
    let crowded = s.epoch().settings.list_needs_watch && s.target_group.unanswered.get();
    if crowded { PATIENCE_WHEN_CROWDED } else { PATIENCE }
}

/// A call for what has changed since the version we have, which may wait this long for news.
fn question(s: &Scheduler, hold: Duration) -> String {
    let address = s.target_group.address.get().unwrap_or(s.config.discovery);
    let seq = s.target_group.seq.get();
    let query = seq.map_or(String::new(), |seq| format!("?from={seq}&hold_ms={}", hold.as_millis()));
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}

async fn ask(wire: &mut Connection, call: &str, patience: Duration) -> Result<Message, &'static str> {
    if wire.write_all(call.as_bytes()).await.is_err() {
        return Err("the connection broke");
    }
    match tokio::time::timeout(patience, wire.read(MessageKind::Response)).await {
        Ok(Ok(answer)) if answer.status == 200 => Ok(answer),
        Ok(Ok(_)) => Err("an answer other than 200"),
        Ok(Err(_)) => Err("the connection broke"),
        Err(_) => Err("no answer"),
    }
}

/// Takes in an answer of discovery.
fn take_in(s: &Rc<Scheduler>, answer: &Message) -> Result<(), &'static str> {
    let Ok(list) = serde_json::from_slice::<List>(&answer.body) else { return Err("a malformed list") };
    let kind = if list.whole { ListKind::Complete } else { ListKind::Partial };
    s.target_group.seq.set(Some(list.seq));
    s.book.borrow_mut().counters.lists += 1;
    tracing::debug!(seq = list.seq, whole = list.whole, entries = list.hosts.len(), "list");
    if kind == ListKind::Complete || !list.hosts.is_empty() {
        take(s, list, kind);
    }
    s.target_group.starts.borrow_mut().answered(s.clock.now());
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What discovery had, and was reachable with, counts as told 6 s later, whatever became of the calls before: a watch
    /// that has just begun when it falls silent, and one call in vain after it, leave time for the call that is answered.
    /// After SIGHUP what is there counts 4 s later.
    #[test]
    fn a_silent_watch_and_a_call_in_vain_leave_time_before_what_they_missed_counts_as_told() {
        let told = Duration::from_secs(6);
        let asked_at_most_every = Duration::from_secs(1);
        let pushed = HOLD + PATIENCE + RETRY + PATIENCE + RETRY;
        // The first of the module's pauses is half as long.
        let asked =
            HOLD + PATIENCE + RETRY + asked_at_most_every / 2 + PATIENCE + RETRY + asked_at_most_every;
        assert!(pushed.max(asked) <= told);
        assert!(
            PATIENCE + RETRY + PATIENCE + RETRY <= Duration::from_secs(4),
            "after SIGHUP, one call in vain, what is there counts"
        );
        // One that hangs when an outage ends, and the answer to the next, at whatever pace it came before.
        assert!(PATIENCE_WHEN_CROWDED + RETRY + asked_at_most_every + PATIENCE_WHEN_CROWDED <= told);
    }

    #[test]
    fn numbers_fit_32_bits_and_follow_from_the_name_alone() {
        assert_eq!(number("s-5be2a07c"), WorkerId(0x5be2_a07c));
        assert_eq!(number("alpha"), number("alpha"));
        assert_ne!(number("alpha"), number("beta"));
        assert!(number("s-+be2a07c").0 <= u64::from(u32::MAX));
    }
}

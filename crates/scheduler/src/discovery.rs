//! Discovery: keeps the target group up to date by watching the platform's endpoint list.

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

/// How long discovery may hold a watch until the list changes. The platform expects a change to be known 6 s
/// after discovery has it, so a silent watch must end early enough for one failed call and the one that
/// succeeds.
const WATCH_HOLD: Duration = Duration::from_secs(2);
/// Time limit for a response beyond the hold time of its call. After it the connection counts as broken.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for the first response after an unanswered call, at sites where schedulers request the list.
/// Discovery may be overloaded there, and repeated calls with a short limit would add to the load and never
/// succeed.
const OVERLOAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// Delay before another call is sent in parallel to an unanswered first call, at sites where an agent, which
/// normally responds at once, pushes the list.
/// A change counts as known there as soon as the agent has it, so a first call must not be waited for alone.
const PARALLEL_CALL_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of parallel first calls.
const MAX_PARALLEL_CALLS: usize = 4;
/// Delay before the next attempt after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long this scheduler reports a leaving target to other schedulers, in nanoseconds.
const LEAVING_REPORT_TIME: Nanos = 10_000_000_000;
/// How long a peer's report of a leaving target holds after it was last repeated, in nanoseconds.
const PEER_REPORT_TTL: Nanos = 3_000_000_000;
/// How long targets that have left stay in the group, for flows that still refer to them, in nanoseconds.
const LEFT_RETENTION: Nanos = 60_000_000_000;

/// A target of the group.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub host: Rc<str>,
    /// The address at which it listens.
    pub dial: SocketAddr,
    /// When the list first showed it as leaving or left; none while it is active.
    pub leaving_since: Option<Nanos>,
    /// When a peer last reported it as leaving; none once the report has expired.
    peer_report: Option<Nanos>,
    /// The listed state of the target, for the decision module.
    listed: Worker,
    /// The endpoint from which `listed` was made.
    endpoint: Rc<Endpoint>,
}

impl Target {
    /// Returns whether neither the list nor a peer reports it as leaving.
    pub fn accepts_new_jobs(&self) -> bool {
        self.leaving_since.is_none() && self.peer_report.is_none()
    }

    /// Returns whether both refer to the same process at the same address.
    pub fn is_same_incarnation(&self, other: &Target) -> bool {
        self.dial == other.dial && self.endpoint.born_ms == other.endpoint.born_ms
    }

    /// Returns the incarnation of its process, with the start assigned to it.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { born_ms: self.endpoint.born_ms, started: self.listed.started_at }
    }
}

/// The targets of the endpoint list, and the state of the watch.
#[derive(Debug, Default)]
pub struct TargetGroup {
    targets: RefCell<HashMap<WorkerId, Target>>,
    /// Notifies the watch that the module requests the list.
    list_requested: Notify,
    /// The address of discovery, if a reload has changed it.
    address: Cell<Option<SocketAddr>>,
    /// Notifies the watch to start again from the full list.
    full_list_requested: Notify,
    /// Whether the last call on a new connection timed out.
    last_call_timed_out: Cell<bool>,
    /// The version of the list that was applied last; none before the first full list.
    version: Cell<Option<u64>>,
    /// When workers started, by the scheduler's clock.
    worker_starts: RefCell<WorkerStarts>,
}

/// The endpoint list in discovery's format: all endpoints, or those that have changed.
#[derive(Clone, Debug, Deserialize, Serialize, Default)]
pub struct EndpointList {
    #[serde(default, rename = "seq")]
    version: u64,
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default, rename = "hosts")]
    endpoints: Vec<Endpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Endpoint {
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
    #[serde(default = "default_share")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn default_share() -> f64 {
    1.0
}

/// Returns the id of a target, which is the same at every scheduler. Messages between peers carry 32 bits of
/// it. Names of the form `s-` and eight hexadecimal digits contain the id; others are hashed with FNV-1a.
pub fn worker_id(host: &str) -> WorkerId {
    let plain = host.strip_prefix("s-").filter(|hex| hex.len() == 8 && !hex.starts_with('+'));
    let hash = || host.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    WorkerId(plain.and_then(|hex| u32::from_str_radix(hex, 16).ok()).unwrap_or_else(hash).into())
}

impl TargetGroup {
    /// Returns a target by its id.
    pub fn target(&self, id: WorkerId) -> Option<Target> {
        self.targets.borrow().get(&id).cloned()
    }

    /// Returns whether the group has this target, including one that has left recently.
    pub fn contains(&self, host: &str) -> bool {
        self.targets.borrow().get(&worker_id(host)).is_some_and(|t| &*t.host == host)
    }

    /// Requests the list, at sites where schedulers request it.
    pub fn request_list(&self) {
        self.list_requested.notify_one();
    }

    /// Returns the list as last received, including targets that have left recently.
    pub fn endpoint_list(&self) -> EndpointList {
        let health = |state| match state {
            WorkerState::Ready => "active",
            WorkerState::Draining => "leaving",
            WorkerState::Removed => "left",
        };
        let targets = self.targets.borrow();
        let endpoints = targets
            .values()
            .map(|t| Endpoint { health: health(t.listed.state).into(), ..(*t.endpoint).clone() });
        EndpointList {
            version: self.version.get().unwrap_or(0),
            is_full: self.version.get().is_some(),
            endpoints: endpoints.collect(),
        }
    }

    /// Returns the known starts of workers for a successor.
    pub fn starts_for_successor(&self, now: Nanos) -> WorkerStarts {
        let targets = self.targets.borrow();
        let listed = targets.values().map(|t| (t.host.to_string(), t.incarnation()));
        self.worker_starts.borrow().for_successor(now, listed)
    }

    /// Returns the address of discovery, if a reload has changed it.
    pub fn reloaded_address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// Returns what this scheduler reports to others: the version of its list, and the targets that its list
    /// shows as leaving.
    pub fn report_to_peers(&self, now: Nanos) -> ListReport {
        let targets = self.targets.borrow();
        let recent =
            targets.values().filter(|t| t.leaving_since.is_some_and(|at| now < at + LEAVING_REPORT_TIME));
        let leaving = recent.map(|t| LeavingWorker { host: t.host.to_string(), born_ms: t.endpoint.born_ms });
        ListReport {
            version: self.version.get().unwrap_or(0),
            leaving: leaving.take(MAX_LEAVING_WORKERS).collect(),
        }
    }

    /// Requests the full list at once, as other schedulers have a newer version.
    pub fn request_full_list(&self) {
        self.full_list_requested.notify_one();
    }

    /// Changes the address of discovery and requests the full list from it.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(Some(address));
        self.full_list_requested.notify_one();
    }
}

/// Combines the listed state of a target with peers' reports and operators' orders.
fn effective_state(orders: &WorkerOverrides, target: &Target) -> Worker {
    let mut listed = target.listed.clone();
    if target.peer_report.is_some() && listed.state == WorkerState::Ready {
        listed.state = WorkerState::Draining;
    }
    match orders.effective_state(&target.host, listed.started_at) {
        EffectiveState::AsListed => listed,
        EffectiveState::Offline if listed.state == WorkerState::Removed => listed,
        EffectiveState::Offline => Worker { state: WorkerState::Draining, ..listed },
        EffectiveState::StartedAt(started) => Worker { started_at: started, ..listed },
    }
}

/// Informs the module after an operator's order for a target. Idle connections are closed: the process is
/// about to be restarted, or has been.
pub fn apply_order(scheduler: &Rc<Scheduler>, host: &str) {
    let id = worker_id(host);
    let Some(target) = scheduler.target_group.target(id).filter(|t| &*t.host == host) else { return };
    scheduler.pool.close_idle(id);
    let entry = effective_state(&scheduler.orders.borrow(), &target);
    route::handle_event(scheduler, Event::WorkerList { kind: ListKind::Partial, entries: vec![entry] });
}

/// Records a peer's report that a target is leaving. If the incarnation matches, the target counts as
/// draining until our own list shows it as leaving or restarted, or the report expires. Returns whether the
/// report changed anything. Reports apply to at most a third of the targets at once.
pub fn record_peer_report(scheduler: &Rc<Scheduler>, host: &str, born_ms: u64) -> bool {
    let (now, id) = (scheduler.clock.now(), worker_id(host));
    let mut targets = scheduler.target_group.targets.borrow_mut();
    let (target_count, report_count) =
        (targets.len(), targets.values().filter(|t| t.peer_report.is_some()).count());
    let Some(target) = targets.get_mut(&id).filter(|t| &*t.host == host && t.leaving_since.is_none()) else {
        return false;
    };
    if target.endpoint.born_ms != born_ms {
        return false;
    }
    if target.peer_report.is_some() {
        target.peer_report = Some(now);
        return false;
    }
    if (report_count + 1) * 3 > target_count {
        return false;
    }
    target.peer_report = Some(now);
    let entry = effective_state(&scheduler.orders.borrow(), target);
    drop(targets);
    scheduler.pool.close_idle(id);
    route::handle_event(scheduler, Event::WorkerList { kind: ListKind::Partial, entries: vec![entry] });
    true
}

/// Drops reports of peers that were not repeated in time.
pub fn expire_peer_reports(scheduler: &Rc<Scheduler>) {
    let now = scheduler.clock.now();
    let mut targets = scheduler.target_group.targets.borrow_mut();
    let expired =
        targets.values_mut().filter(|t| t.peer_report.is_some_and(|at| now >= at + PEER_REPORT_TTL));
    let entries: Vec<Worker> = expired
        .map(|target| {
            target.peer_report = None;
            effective_state(&scheduler.orders.borrow(), target)
        })
        .collect();
    drop(targets);
    if !entries.is_empty() {
        route::handle_event(scheduler, Event::WorkerList { kind: ListKind::Partial, entries });
    }
}

/// Sends all targets to the module again after a change of settings, as zones and kinds may have other
/// numbers.
pub fn resend_targets(scheduler: &Rc<Scheduler>) {
    let settings = scheduler.settings();
    let mut targets = scheduler.target_group.targets.borrow_mut();
    let listed = targets.values_mut().filter(|t| t.listed.state != WorkerState::Removed);
    let entries = listed.map(|target| {
        target.listed = settings.names.with_zone_and_kind(
            &target.endpoint.site,
            &target.endpoint.class,
            target.listed.clone(),
        );
        effective_state(&scheduler.orders.borrow(), target)
    });
    let entries = entries.collect();
    drop(targets);
    route::handle_event(scheduler, Event::WorkerList { kind: ListKind::Partial, entries });
}

/// Returns the attributes of an endpoint that the settings do not define. The target itself can be used.
fn unknown_attributes(names: &SettingNames, endpoint: &Endpoint) -> Vec<String> {
    let parts = [("site", &endpoint.site, &names.zones), ("class", &endpoint.class, &names.kinds)];
    let unknown = parts.into_iter().filter(|(_, value, known)| !known.contains(value));
    unknown.map(|(key, value, _)| format!("{key} {value:?} is not in the settings")).collect()
}

/// Applies a list to the group and passes it to the module.
fn apply_list(scheduler: &Rc<Scheduler>, list: EndpointList, kind: ListKind) {
    let now = scheduler.clock.now();
    let mut targets = scheduler.target_group.targets.borrow_mut();
    if kind != ListKind::Partial {
        let listed_ids: HashSet<WorkerId> =
            list.endpoints.iter().map(|endpoint| worker_id(&endpoint.host)).collect();
        for (id, target) in targets.iter_mut().filter(|t| !listed_ids.contains(t.0)) {
            target.leaving_since.get_or_insert(now);
            target.listed.state = WorkerState::Removed;
            scheduler.pool.close_idle(*id);
        }
    }
    let endpoints: Vec<(Endpoint, SocketAddr)> =
        list.endpoints.into_iter().filter_map(|endpoint| with_address(&targets, endpoint)).collect();
    let mut starts = scheduler.target_group.worker_starts.borrow_mut();
    let new_endpoints = endpoints.iter().filter(|(endpoint, _)| assigned_start(&targets, endpoint).is_none());
    starts.observe(now, new_endpoints.map(|(endpoint, _)| (&*endpoint.host, endpoint.born_ms)));
    let mut entries = Vec::with_capacity(endpoints.len());
    for (endpoint, dial) in endpoints {
        let id = worker_id(&endpoint.host);
        let state = listed_state(&endpoint);
        let known = targets.get(&id);
        if known.is_some_and(|t| *t.host != *endpoint.host) {
            tracing::error!("discovery: {}: has the same number as another target, ignored", endpoint.host);
            continue;
        }
        let same_process = known.filter(|t| t.endpoint.born_ms == endpoint.born_ms);
        let peer_report = same_process.and_then(|t| t.peer_report);
        let settings = scheduler.settings();
        if known.is_none_or(|t| (&t.endpoint.site, &t.endpoint.class) != (&endpoint.site, &endpoint.class)) {
            for unknown in unknown_attributes(&settings.names, &endpoint) {
                scheduler.book.borrow_mut().counters.list_strange += 1;
                tracing::warn!("discovery: {}: {unknown}, target used anyway", endpoint.host);
            }
        }
        let started = assigned_start(&targets, &endpoint)
            .unwrap_or_else(|| starts.assign(now, &endpoint.host, endpoint.born_ms));
        let leaving_since = match state {
            WorkerState::Ready => None,
            _ => Some(known.and_then(|t| t.leaving_since).unwrap_or(now)),
        };
        if leaving_since.is_some()
            || known.is_some_and(|t| t.endpoint.born_ms != endpoint.born_ms || t.dial != dial)
        {
            // Idle connections to a process that is ending or has ended are useless.
            scheduler.pool.close_idle(id);
        }
        let worker = Worker {
            cell: CellId(endpoint.block),
            state,
            weight: endpoint.share,
            started_at: started,
            ..Worker::new(id)
        };
        let listed = settings.names.with_zone_and_kind(&endpoint.site, &endpoint.class, worker);
        let target = Target {
            host: endpoint.host.as_str().into(),
            dial,
            leaving_since,
            peer_report,
            listed,
            endpoint: Rc::new(endpoint),
        };
        entries.push(effective_state(&scheduler.orders.borrow(), &target));
        targets.insert(id, target);
    }
    scheduler.orders.borrow_mut().forget_restored(
        now,
        scheduler.settings().policy.obligations.warm_up_time.saturating_add(LEFT_RETENTION),
    );
    let expired =
        targets.extract_if(|_, target| target.leaving_since.is_some_and(|at| now >= at + LEFT_RETENTION));
    starts.record_departures(now, expired.map(|(_, target)| (target.host.to_string(), target.incarnation())));
    drop(targets);
    drop(starts);
    route::handle_event(scheduler, Event::WorkerList { kind, entries });
}

/// Returns an endpoint with its address, or the last known address if its own is invalid. Returns none if
/// there is no address, or if another target has the same number.
fn with_address(targets: &HashMap<WorkerId, Target>, endpoint: Endpoint) -> Option<(Endpoint, SocketAddr)> {
    let known = targets.get(&worker_id(&endpoint.host));
    if known.is_some_and(|t| *t.host != *endpoint.host) {
        tracing::error!("discovery: {}: has the same number as another target, ignored", endpoint.host);
        return None;
    }
    let dial = endpoint.dial.parse().ok().or(known.map(|t| t.dial));
    if dial.is_none() {
        tracing::error!("discovery: {}: dial {:?} is not an address, ignored", endpoint.host, endpoint.dial);
    }
    Some((endpoint, dial?))
}

/// Returns the state of an endpoint.
fn listed_state(endpoint: &Endpoint) -> WorkerState {
    match &*endpoint.health {
        "active" => WorkerState::Ready,
        "left" => WorkerState::Removed,
        "leaving" => WorkerState::Draining,
        other => {
            tracing::warn!("discovery: {}: unknown health {other:?}, treated as leaving", endpoint.host);
            WorkerState::Draining
        }
    }
}

/// Returns the start that was assigned to this incarnation when the list first contained it.
fn assigned_start(targets: &HashMap<WorkerId, Target>, endpoint: &Endpoint) -> Option<Nanos> {
    let known = targets.get(&worker_id(&endpoint.host))?;
    let same = *known.host == *endpoint.host && known.endpoint.born_ms == endpoint.born_ms;
    same.then_some(known.listed.started_at)
}

/// Starts from the list in the configuration.
pub fn start_from_config(scheduler: &Rc<Scheduler>) {
    let known = match &scheduler.config.initial_list {
        serde_json::Value::Null => EndpointList::default(),
        known => EndpointList::deserialize(known).unwrap_or_else(|e| {
            tracing::error!("configuration: known: {e}; starting without targets");
            EndpointList::default()
        }),
    };
    start_from(scheduler, known);
}

/// Starts from the predecessor's list and worker starts. A predecessor of the previous build sends no starts;
/// its list counts as received just now.
pub fn start_from_predecessor(scheduler: &Rc<Scheduler>, list: EndpointList, starts: Option<WorkerStarts>) {
    let is_full = list.is_full;
    let has_starts = starts.is_some();
    scheduler.target_group.worker_starts.replace(starts.unwrap_or_default());
    start_from(scheduler, list);
    if is_full && !has_starts {
        scheduler.target_group.worker_starts.borrow_mut().record_response(scheduler.clock.now());
    }
}

/// Applies the initial list. The watch continues from its version if it is a full list.
fn start_from(scheduler: &Rc<Scheduler>, list: EndpointList) {
    scheduler.target_group.version.set(list.is_full.then_some(list.version));
    apply_list(scheduler, list, ListKind::Persisted);
}

/// Watches the list for as long as the program runs. The last list stays in use while discovery does not
/// respond. Only changes since the last version are requested: if all schedulers of a large tier requested
/// the full list when they start, they would overload the service.
pub async fn watch(scheduler: Rc<Scheduler>) {
    loop {
        if scheduler.settings().policy.list_needs_watch {
            tokio::select! {
                () = scheduler.target_group.list_requested.notified() => {}
                () = scheduler.target_group.full_list_requested.notified() => scheduler.target_group.version.set(None),
            }
        }
        let error = loop {
            tokio::select! {
                // A connection that was closed after its response is no failure: the next watch starts at
                // once.
                ended = run_connection(&scheduler) => if let Err(error) = ended {
                    break error;
                },
                // Versions of another service need not match, and a watch at the old address would receive
                // nothing. The old list stays in use until the full list arrives.
                () = scheduler.target_group.full_list_requested.notified() => scheduler.target_group.version.set(None),
            }
        };
        scheduler.book.borrow_mut().counters.list_faults += 1;
        tracing::warn!("discovery: {error}; keeping the last list");
        if scheduler.settings().policy.list_needs_watch {
            route::handle_event(&scheduler, Event::ListRequestFailed);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Runs one connection to discovery: a call without hold time, then consecutive watches until the connection
/// closes or a call fails.
async fn run_connection(scheduler: &Rc<Scheduler>) -> Result<(), &'static str> {
    let (mut connection, mut response) = connect(scheduler).await?;
    loop {
        apply_response(scheduler, &response)?;
        if !response.keep_alive {
            return Ok(());
        }
        response =
            call(&mut connection, &changes_request(scheduler, WATCH_HOLD), WATCH_HOLD + RESPONSE_TIMEOUT)
                .await?;
    }
}

/// Opens a connection and returns it with the first response, which does not wait for changes: after a
/// failure it is unknown whether there are any. Where the list is pushed, calls are cheap and further ones
/// are sent in parallel; where it is requested, there is one call.
async fn connect(scheduler: &Rc<Scheduler>) -> Result<(Connection, Message), &'static str> {
    let max_calls = if scheduler.settings().policy.list_needs_watch { 1 } else { MAX_PARALLEL_CALLS };
    let (mut calls, mut attempts) = (JoinSet::new(), tokio::time::interval(PARALLEL_CALL_DELAY));
    loop {
        tokio::select! {
            _ = attempts.tick(), if calls.len() < max_calls => {
                calls.spawn_local(connect_and_call(Rc::clone(scheduler)));
            }
            Some(finished) = calls.join_next() => match finished {
                Ok(Err(_)) if !calls.is_empty() => {}
                Ok(result) => return result,
                Err(_) => return Err("call aborted"),
            },
        }
    }
}

/// Opens one connection and makes one call on it.
async fn connect_and_call(scheduler: Rc<Scheduler>) -> Result<(Connection, Message), &'static str> {
    let address = scheduler.target_group.address.get().unwrap_or(scheduler.config.discovery);
    let count =
        |error: Option<_>| scheduler.book.borrow_mut().counters.dials_again += u64::from(error.is_some());
    let connecting = tokio::time::timeout(RESPONSE_TIMEOUT, loomlb_sockets::connect(address, count));
    let Ok(Ok(stream)) = connecting.await else { return Err("cannot connect") };
    let mut connection = Connection::new(stream).with_max_body(scheduler.config.max_list_bytes);
    let started_at = Instant::now();
    let response = call(
        &mut connection,
        &changes_request(&scheduler, Duration::ZERO),
        first_response_timeout(&scheduler),
    )
    .await;
    // A late response, or an error, does not show that the overload has ended.
    if started_at.elapsed() >= RESPONSE_TIMEOUT {
        scheduler.target_group.last_call_timed_out.set(true);
    } else if response.is_ok() {
        scheduler.target_group.last_call_timed_out.set(false);
    }
    response.map(|response| (connection, response))
}

/// Returns the time limit for the response to the first call on a connection.
fn first_response_timeout(scheduler: &Scheduler) -> Duration {
    let overloaded =
        scheduler.settings().policy.list_needs_watch && scheduler.target_group.last_call_timed_out.get();
    if overloaded { OVERLOAD_TIMEOUT } else { RESPONSE_TIMEOUT }
}

/// Formats a request for the changes since the last version. Discovery may hold it for `hold` until there are
/// any.
fn changes_request(scheduler: &Scheduler, hold: Duration) -> String {
    let address = scheduler.target_group.address.get().unwrap_or(scheduler.config.discovery);
    let seq = scheduler.target_group.version.get();
    let query = seq.map_or(String::new(), |seq| format!("?from={seq}&hold_ms={}", hold.as_millis()));
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {address}\r\n\r\n")
}

/// Sends a request and returns the response, whose status must be 200.
async fn call(connection: &mut Connection, call: &str, timeout: Duration) -> Result<Message, &'static str> {
    if connection.write_all(call.as_bytes()).await.is_err() {
        return Err("connection lost");
    }
    match tokio::time::timeout(timeout, connection.read(MessageKind::Response)).await {
        Ok(Ok(response)) if response.status == 200 => Ok(response),
        Ok(Ok(_)) => Err("response status other than 200"),
        Ok(Err(_)) => Err("connection lost"),
        Err(_) => Err("no response in time"),
    }
}

/// Applies a response of discovery.
fn apply_response(scheduler: &Rc<Scheduler>, response: &Message) -> Result<(), &'static str> {
    let Ok(list) = serde_json::from_slice::<EndpointList>(&response.body) else {
        return Err("invalid list");
    };
    let kind = if list.is_full { ListKind::Complete } else { ListKind::Partial };
    scheduler.target_group.version.set(Some(list.version));
    scheduler.book.borrow_mut().counters.lists += 1;
    tracing::debug!(seq = list.version, whole = list.is_full, entries = list.endpoints.len(), "list");
    if kind == ListKind::Complete || !list.endpoints.is_empty() {
        apply_list(scheduler, list, kind);
    }
    scheduler.target_group.worker_starts.borrow_mut().record_response(scheduler.clock.now());
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Changes must arrive within 6 s of discovery having them, or 4 s after SIGHUP. A watch that has just
    /// begun when discovery falls silent, and one failed call after it, must leave time for the call that
    /// succeeds.
    #[test]
    fn a_silent_watch_and_a_failed_call_leave_time_for_a_successful_call() {
        let arrival_limit = Duration::from_secs(6);
        let request_interval = Duration::from_secs(1);
        let when_pushed = WATCH_HOLD + RESPONSE_TIMEOUT + RETRY_DELAY + RESPONSE_TIMEOUT + RETRY_DELAY;
        // The module's first pause is half as long.
        let when_requested = WATCH_HOLD
            + RESPONSE_TIMEOUT
            + RETRY_DELAY
            + request_interval / 2
            + RESPONSE_TIMEOUT
            + RETRY_DELAY
            + request_interval;
        assert!(when_pushed.max(when_requested) <= arrival_limit);
        assert!(
            RESPONSE_TIMEOUT + RETRY_DELAY + RESPONSE_TIMEOUT + RETRY_DELAY <= Duration::from_secs(4),
            "after SIGHUP, with one failed call"
        );
        // A call that hangs when an outage ends, followed by one that takes the longest time allowed.
        assert!(OVERLOAD_TIMEOUT + RETRY_DELAY + request_interval + OVERLOAD_TIMEOUT <= arrival_limit);
    }

    #[test]
    fn worker_ids_fit_32_bits_and_depend_on_the_name_alone() {
        assert_eq!(worker_id("s-5be2a07c"), WorkerId(0x5be2_a07c));
        assert_eq!(worker_id("alpha"), worker_id("alpha"));
        assert_ne!(worker_id("alpha"), worker_id("beta"));
        assert!(worker_id("s-+be2a07c").0 <= u64::from(u32::MAX));
    }
}

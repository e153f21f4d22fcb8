//! The ids of requests that other processes of this scheduler have open. To clients and workers all processes are one
//! scheduler, so an id that one of them has open is in use at each.
//!
//! A predecessor sends its open requests before it hands over, and again whenever they have changed. Once it has handed
//! over, the successor decides about ids: it asks the predecessor whether a request of the list is still open, and the
//! predecessor asks it before it admits a request that comes on a connection that it still has.
//!
//! An at-most-once request that has ended without a result keeps its id in use for as long as a client may wait: the id could come again after
//! its client has left, while the job still runs.
//!
//! When one of them dies, its jobs may still run. The other one keeps the ids of those that must not run twice in use until
//! their deadline; for that the successor sends its own open at-most-once requests to the predecessor.

use super::super::Scheduler;
use super::super::admit::{Offer, Rejection, UNAVAILABLE_RETRY_AFTER, is_valid_correlation_id};
use super::super::book::Flow;
use super::{OtherProcess, query};
use loomlb_hot_restart::message::{ForwardedRequest, OpenRequest};
use loomlb_policy::{Idempotency, Nanos};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Longest wait before requests that a process has left behind are looked through for those whose deadline has passed.
const MAX_LEFT_BEHIND_WAIT: Nanos = 60_000_000_000;
/// Ended requests that are kept before expired ones are looked for.
const MIN_CLEANUP_SIZE: usize = 64;

/// The requests that other processes have open, as far as is known here.
#[derive(Debug, Default)]
pub struct RequestsElsewhere {
    /// Those of the predecessor's latest list, and those granted to it since.
    of_predecessor: HashMap<String, OpenRequest>,
    /// Those that processes which have ended left at workers.
    left_behind: HashMap<String, OpenRequest>,
    /// Those of this process that wait for the successor's grant.
    claimed: HashMap<String, OpenRequest>,
    /// At-most-once requests of this process that may have run and ended without a result.
    ended: HashMap<String, OpenRequest>,
    /// Size of `ended` at which expired requests are removed from it.
    next_cleanup: usize,
}

impl RequestsElsewhere {
    /// Replaces the predecessor's requests by those of its latest list.
    pub fn replace(&mut self, requests: Vec<OpenRequest>) {
        self.of_predecessor = requests.into_iter().map(|request| (request.id.clone(), request)).collect();
    }

    /// Adds a request of the predecessor.
    pub fn insert(&mut self, request: OpenRequest) {
        self.of_predecessor.insert(request.id.clone(), request);
    }

    /// Removes a request of the predecessor that has ended.
    pub fn remove(&mut self, id: &str) {
        self.of_predecessor.remove(id);
    }

    /// Whether the predecessor is known to have had this id open, and its deadline has not passed.
    pub fn is_listed(&self, now: Nanos, id: &str) -> bool {
        self.of_predecessor.get(id).is_some_and(|request| request.deadline > now)
    }

    /// Whether a process that has ended left a request with this id, and its deadline has not passed.
    pub fn is_left_behind(&self, now: Nanos, id: &str) -> bool {
        self.left_behind.get(id).is_some_and(|request| request.deadline > now)
    }

    /// Adds a request of this process for which the successor's grant is requested.
    pub fn start_claim(&mut self, request: OpenRequest) {
        self.claimed.insert(request.id.clone(), request);
    }

    /// Removes a claim that the successor has answered.
    pub fn end_claim(&mut self, id: &str) {
        self.claimed.remove(id);
    }

    /// Whether the successor's grant is requested for this id.
    pub fn is_claimed(&self, id: &str) -> bool {
        self.claimed.contains_key(id)
    }

    /// Keeps the id of a request of this process that has ended.
    fn keep_ended(&mut self, now: Nanos, request: OpenRequest) {
        if self.ended.len() >= self.next_cleanup {
            self.ended.retain(|_, request| request.deadline > now);
            self.next_cleanup = (2 * self.ended.len()).max(MIN_CLEANUP_SIZE);
        }
        self.ended.insert(request.id.clone(), request);
    }

    /// Whether a request of this process with this id has ended and keeps the id in use.
    fn has_ended(&self, now: Nanos, id: &str) -> bool {
        self.ended.get(id).is_some_and(|request| request.deadline > now)
    }

    /// Records that the predecessor has ended, with the requests that it left behind.
    pub fn end_predecessor(&mut self, now: Nanos) {
        let requests = std::mem::take(&mut self.of_predecessor);
        self.leave_behind(now, requests.into_values());
    }

    /// Adds the requests that a process left behind. Only those that must not run twice count.
    pub fn leave_behind(&mut self, now: Nanos, requests: impl IntoIterator<Item = OpenRequest>) {
        let kept = requests.into_iter().filter(|request| request.at_most_once && request.deadline > now);
        self.left_behind.extend(kept.map(|request| (request.id.clone(), request)));
    }

    /// Removes requests left behind whose deadline has passed. Returns the earliest deadline of the others.
    pub fn remove_expired(&mut self, now: Nanos) -> Option<Nanos> {
        self.left_behind.retain(|_, request| request.deadline > now);
        self.left_behind.values().map(|request| request.deadline).min()
    }

    /// The requests whose deadline has not passed, with the claimed ones.
    pub fn requests(&self, now: Nanos) -> impl Iterator<Item = &OpenRequest> {
        let elsewhere = self.of_predecessor.values().chain(self.left_behind.values());
        let all = elsewhere.chain(self.claimed.values()).chain(self.ended.values());
        all.filter(move |request| request.deadline > now)
    }
}

/// The requests that this process and its predecessors have open, for its successor.
pub(super) fn open_requests(scheduler: &Scheduler) -> Vec<OpenRequest> {
    let elsewhere = scheduler.upgrade.open_elsewhere.borrow();
    let mut requests = own_requests(scheduler);
    requests.extend(elsewhere.requests(scheduler.clock.now()).cloned());
    requests
}

/// The requests that this process has open and that must not run twice, for its predecessor.
pub(super) fn at_most_once_requests(scheduler: &Scheduler) -> Vec<OpenRequest> {
    let (elsewhere, now) = (scheduler.upgrade.open_elsewhere.borrow(), scheduler.clock.now());
    let mut requests = own_requests(scheduler);
    requests.retain(|request| request.at_most_once);
    requests.extend(elsewhere.ended.values().filter(|request| request.deadline > now).cloned());
    requests
}

fn own_requests(scheduler: &Scheduler) -> Vec<OpenRequest> {
    let (settings, book) = (scheduler.settings(), scheduler.book.borrow());
    let classes = &settings.policy.classes;
    let own = book.flows().map(|flow| OpenRequest {
        id: String::from_utf8_lossy(&flow.job.correlation_id).into_owned(),
        deadline: flow.deadline,
        at_most_once: classes
            .get(flow.class)
            .is_none_or(|class| class.idempotency == Idempotency::AtMostOnce),
    });
    own.collect()
}

/// Records the list of requests that the predecessor has open.
pub(super) fn record(scheduler: &Scheduler, requests: Vec<OpenRequest>) {
    scheduler.upgrade.open_elsewhere.borrow_mut().replace(requests);
}

/// Whether this process has a request with this id open or is about to admit one, or had one that must not run again.
fn is_open_here(scheduler: &Scheduler, id: &str) -> bool {
    let elsewhere = scheduler.upgrade.open_elsewhere.borrow();
    scheduler.book.borrow().find_by_correlation_id(id.as_bytes()).is_some()
        || elsewhere.is_claimed(id)
        || elsewhere.has_ended(scheduler.clock.now(), id)
}

/// Keeps the id of an at-most-once flow that may have run and ended without a result for its client, for as long as a client of its class may wait.
pub fn keep_ended(scheduler: &Scheduler, flow: &Flow) {
    let settings = scheduler.settings();
    let class = settings.policy.classes.get(flow.class);
    let at_most_once = class.is_none_or(|class| class.idempotency == Idempotency::AtMostOnce);
    if !at_most_once || flow.served || !flow.may_have_run() {
        return;
    }
    let now = scheduler.clock.now();
    let client_timeout = class.map_or(settings.longest_client_timeout(), |class| class.client_timeout);
    let id = String::from_utf8_lossy(&flow.job.correlation_id).into_owned();
    let deadline = now.saturating_add(client_timeout);
    let request = OpenRequest { id, deadline, at_most_once };
    scheduler.upgrade.open_elsewhere.borrow_mut().keep_ended(now, request);
}

/// Whether no further id of an at-most-once request can be kept.
fn is_full(scheduler: &Scheduler, offer: &Offer) -> bool {
    let settings = scheduler.settings();
    let class = settings.policy.classes.get(settings.names.class_index(&offer.class));
    let mut elsewhere = scheduler.upgrade.open_elsewhere.borrow_mut();
    if elsewhere.ended.len() < scheduler.config.max_ended_ids
        || class.is_none_or(|class| class.idempotency != Idempotency::AtMostOnce)
    {
        return false;
    }
    let now = scheduler.clock.now();
    elsewhere.ended.retain(|_, request| request.deadline > now);
    elsewhere.ended.len() >= scheduler.config.max_ended_ids
}

/// Whether this process or one of its predecessors has a request with this id open.
pub(super) async fn is_open(scheduler: &Rc<Scheduler>, id: &str) -> bool {
    is_open_here(scheduler, id) || is_open_elsewhere(scheduler, id).await
}

/// Records that a process has ended. Requests that it left behind and that must not run twice keep their ids in use until
/// their deadline.
pub(super) fn process_ended(scheduler: &Rc<Scheduler>, process: &OtherProcess) {
    let now = scheduler.clock.now();
    let mut elsewhere = scheduler.upgrade.open_elsewhere.borrow_mut();
    if process.is_successor {
        elsewhere.leave_behind(now, process.open_requests_received.take());
    } else {
        elsewhere.end_predecessor(now);
    }
    let Some(first_deadline) = elsewhere.remove_expired(now) else { return };
    spawn_local(forget_expired(Rc::clone(scheduler), first_deadline));
}

/// Forgets the requests that processes have left behind as their deadlines pass.
async fn forget_expired(scheduler: Rc<Scheduler>, first_deadline: Nanos) {
    let mut next_deadline = Some(first_deadline);
    while let Some(deadline) = next_deadline {
        let latest = scheduler.clock.now().saturating_add(MAX_LEFT_BEHIND_WAIT);
        tokio::time::sleep_until(scheduler.clock.instant(deadline.min(latest))).await;
        let now = scheduler.clock.now();
        next_deadline = scheduler.upgrade.open_elsewhere.borrow_mut().remove_expired(now);
    }
}

/// Checks that no other process of this scheduler uses the id of an offer, and reserves it where another process decides
/// about ids. Takes the time that this needs off the client's.
pub async fn check_id(scheduler: &Rc<Scheduler>, offer: &mut Offer) -> Result<(), Rejection> {
    let started = scheduler.clock.now();
    // Admission rejects it.
    if !is_valid_correlation_id(&offer.job.correlation_id) {
        return Ok(());
    }
    if is_open(scheduler, &String::from_utf8_lossy(&offer.job.correlation_id)).await {
        return Err(Rejection::IdInUse);
    }
    if is_full(scheduler, offer) {
        return Err(unavailable(scheduler));
    }
    claim_from_successor(scheduler, offer).await?;
    let elapsed = scheduler.clock.now().saturating_sub(started);
    offer.time_left = offer.time_left.map(|time_left| time_left.saturating_sub(elapsed));
    Ok(())
}

/// Whether another process has a request with this id open, or left one behind. A predecessor that does not answer may
/// have it.
async fn is_open_elsewhere(scheduler: &Rc<Scheduler>, id: &str) -> bool {
    let is_left_behind =
        || scheduler.upgrade.open_elsewhere.borrow().is_left_behind(scheduler.clock.now(), id);
    let is_listed = || scheduler.upgrade.open_elsewhere.borrow().is_listed(scheduler.clock.now(), id);
    if is_left_behind() {
        return true;
    }
    if !is_listed() {
        return false;
    }
    let predecessors = predecessors(scheduler);
    let answer = query(scheduler, &ForwardedRequest::IsOpen(id.to_string()), &predecessors).await;
    // One that has ended meanwhile has not answered; what it left behind is known here by now.
    if answer == Some(false) && predecessors.iter().all(|process| !process.link.is_closed()) {
        scheduler.upgrade.open_elsewhere.borrow_mut().remove(id);
    }
    is_listed() || is_left_behind()
}

/// The predecessors that can be asked about ids.
fn predecessors(scheduler: &Scheduler) -> Vec<Rc<OtherProcess>> {
    let processes = scheduler.upgrade.processes.borrow();
    processes.iter().filter(|process| !process.is_successor && process.shares_ids).cloned().collect()
}

/// Asks the successor for the right to admit an offer, if there is one that shares ids.
async fn claim_from_successor(scheduler: &Rc<Scheduler>, offer: &Offer) -> Result<(), Rejection> {
    let Some(successor) = scheduler.upgrade.successor().filter(|process| process.shares_ids) else {
        return Ok(());
    };
    let settings = scheduler.settings();
    let Some(class) = settings.policy.classes.get(settings.names.class_index(&offer.class)) else {
        return Ok(());
    };
    let time_left = offer.time_left.unwrap_or(class.client_timeout);
    let request = OpenRequest {
        id: String::from_utf8_lossy(&offer.job.correlation_id).into_owned(),
        deadline: scheduler.clock.now().saturating_add(time_left),
        at_most_once: class.idempotency == Idempotency::AtMostOnce,
    };
    let id = request.id.clone();
    scheduler.upgrade.open_elsewhere.borrow_mut().start_claim(request.clone());
    let granted = query(scheduler, &ForwardedRequest::ClaimId(request), &[successor]).await;
    scheduler.upgrade.open_elsewhere.borrow_mut().end_claim(&id);
    match granted {
        Some(true) => Ok(()),
        Some(false) if scheduler.upgrade.successor().is_some() => Err(Rejection::IdInUse),
        // The successor has died, so this process decides about ids again.
        Some(false) => Ok(()),
        None => Err(unavailable(scheduler)),
    }
}

/// The rejection of an offer that could be admitted later.
fn unavailable(scheduler: &Scheduler) -> Rejection {
    Rejection::Unavailable(UNAVAILABLE_RETRY_AFTER.min(scheduler.settings().policy.limits.max_retry_after))
}

/// Grants a claim of the predecessor, unless this process has the id or, if it has handed over itself, its successor does.
/// The list of the predecessor's open requests does not matter here, as it knows best which of them have ended.
pub(super) async fn grant_claim(scheduler: &Rc<Scheduler>, request: OpenRequest) -> bool {
    if is_open_here(scheduler, &request.id) {
        return false;
    }
    scheduler.upgrade.open_elsewhere.borrow_mut().insert(request.clone());
    let Some(successor) = scheduler.upgrade.successor().filter(|process| process.shares_ids) else {
        return true;
    };
    let granted = query(scheduler, &ForwardedRequest::ClaimId(request.clone()), &[successor]).await;
    if granted != Some(true) {
        scheduler.upgrade.open_elsewhere.borrow_mut().remove(&request.id);
    }
    granted == Some(true)
}

#[cfg(test)]
mod tests;

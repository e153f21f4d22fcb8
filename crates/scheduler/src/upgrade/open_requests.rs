//! The ids of requests that other processes of this scheduler have open. To clients and workers all processes are one
//! scheduler, so an id that one of them has open is in use at each.
//!
//! A predecessor sends its open requests before it hands over, and again whenever they have changed. Once it has handed
//! over, the successor decides about ids: it asks the predecessor whether a request of the list is still open, and the
//! predecessor asks it before it admits a request that comes on a connection that it still has.

use super::super::Scheduler;
use super::super::admit::{Offer, Rejection, UNAVAILABLE_RETRY_AFTER, is_valid_correlation_id};
use super::{OtherProcess, query};
use loomlb_hot_restart::message::{ForwardedRequest, OpenRequest};
use loomlb_policy::{Idempotency, Nanos};
use std::collections::HashMap;
use std::rc::Rc;

/// The requests that other processes have open, as far as is known here.
#[derive(Debug, Default)]
pub struct RequestsElsewhere {
    by_id: HashMap<String, OpenRequest>,
    /// Requests of this process that wait for the successor's grant.
    claimed: HashMap<String, OpenRequest>,
}

impl RequestsElsewhere {
    /// Replaces the requests by those of the predecessor's latest list.
    pub fn replace(&mut self, requests: Vec<OpenRequest>) {
        self.by_id = requests.into_iter().map(|request| (request.id.clone(), request)).collect();
    }

    /// Adds a request.
    pub fn insert(&mut self, request: OpenRequest) {
        self.by_id.insert(request.id.clone(), request);
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Whether a request has this id and its deadline has not passed.
    pub fn contains(&self, now: Nanos, id: &str) -> bool {
        self.by_id.get(id).is_some_and(|request| request.deadline > now)
    }

    /// Removes the requests that may run again after their process has ended.
    pub fn remove_repeatable(&mut self) {
        self.by_id.retain(|_, request| request.at_most_once);
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

    /// The requests whose deadline has not passed, with the claimed ones.
    pub fn requests(&self, now: Nanos) -> impl Iterator<Item = &OpenRequest> {
        self.by_id.values().chain(self.claimed.values()).filter(move |request| request.deadline > now)
    }
}

/// The requests that this process and its predecessors have open.
pub(super) fn open_requests(scheduler: &Scheduler) -> Vec<OpenRequest> {
    let (settings, book) = (scheduler.settings(), scheduler.book.borrow());
    let own = book.flows().map(|flow| OpenRequest {
        id: String::from_utf8_lossy(&flow.job.correlation_id).into_owned(),
        deadline: flow.deadline,
        at_most_once: settings
            .policy
            .classes
            .get(flow.class)
            .is_none_or(|class| class.idempotency == Idempotency::AtMostOnce),
    });
    let elsewhere = scheduler.upgrade.open_elsewhere.borrow();
    own.chain(elsewhere.requests(scheduler.clock.now()).cloned()).collect()
}

/// Records the list of requests that the predecessor has open.
pub(super) fn record(scheduler: &Scheduler, requests: Vec<OpenRequest>) {
    scheduler.upgrade.open_elsewhere.borrow_mut().replace(requests);
}

/// Whether this process has a request with this id open, or is about to admit one.
fn is_open_here(scheduler: &Scheduler, id: &str) -> bool {
    scheduler.book.borrow().find_by_correlation_id(id.as_bytes()).is_some()
        || scheduler.upgrade.open_elsewhere.borrow().is_claimed(id)
}

/// Whether this process or one of its predecessors has a request with this id open.
pub(super) async fn is_open(scheduler: &Rc<Scheduler>, id: &str) -> bool {
    is_open_here(scheduler, id) || is_open_elsewhere(scheduler, id).await
}

/// Forgets the ids that may be used again after a process has ended. The ids of requests that must not run twice stay in
/// use until their deadline.
pub(super) fn forget_repeatable(scheduler: &Scheduler) {
    scheduler.upgrade.open_elsewhere.borrow_mut().remove_repeatable();
}

/// Checks that no other process of this scheduler uses the id of an offer, and reserves it where another process decides
/// about ids. Takes the time that this needs off the client's.
pub async fn check_id(scheduler: &Rc<Scheduler>, offer: &mut Offer) -> Result<(), Rejection> {
    let started = scheduler.clock.now();
    if !is_valid_correlation_id(&offer.job.correlation_id) {
        return Err(Rejection::Invalid("missing or bad id"));
    }
    if is_open(scheduler, &String::from_utf8_lossy(&offer.job.correlation_id)).await {
        return Err(Rejection::IdInUse);
    }
    claim_from_successor(scheduler, offer).await?;
    let elapsed = scheduler.clock.now().saturating_sub(started);
    offer.time_left = offer.time_left.map(|time_left| time_left.saturating_sub(elapsed));
    Ok(())
}

/// Whether a predecessor has a request with this id open. One that does not answer may have it.
async fn is_open_elsewhere(scheduler: &Rc<Scheduler>, id: &str) -> bool {
    let contains = || scheduler.upgrade.open_elsewhere.borrow().contains(scheduler.clock.now(), id);
    if !contains() {
        return false;
    }
    let predecessors = predecessors(scheduler);
    if !predecessors.is_empty() {
        let answer = query(scheduler, &ForwardedRequest::IsOpen(id.to_string()), &predecessors).await;
        // A predecessor that has ended meanwhile may have left the request at a worker.
        let all_answered = predecessors.iter().all(|process| !process.link.is_closed());
        if answer == Some(false) && all_answered {
            scheduler.upgrade.open_elsewhere.borrow_mut().remove(id);
        }
    }
    contains()
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
        None => {
            Err(Rejection::Unavailable(UNAVAILABLE_RETRY_AFTER.min(settings.policy.limits.max_retry_after)))
        }
    }
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

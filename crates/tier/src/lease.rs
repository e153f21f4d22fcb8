//! The lease: renewed periodically, and the rules that it allows this process to apply.

use crate::proposals::resend_proposals;
use crate::voter::handle_message;
use crate::{Application, LapsePolicy, Node, POLL_INTERVAL, increment, random_u64};
use loomlb_consensus::Nanos;
use loomlb_consensus::document;
use loomlb_consensus::history_check::HistoryEvent;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::ReplicatedState;
use loomlb_consensus::worker_lists::ListSummary;
use std::rc::Rc;
use std::time::Duration;

/// A worker list that has been older than another scheduler's for this long is requested from discovery again, in
/// nanoseconds.
const LIST_REFETCH_AFTER: Nanos = 1_500_000_000;

/// Renews the lease and detects its expiry until the program ends.
pub(crate) async fn run_renewals(node: Rc<Node>, application: Rc<dyn Application>) {
    let (node, application) = (&*node, &*application);
    let interval = Duration::from_nanos(node.timing.renewal_interval);
    let mut round = 0;
    // A random delay, so that schedulers that start at the same time do not renew at the same time.
    tokio::time::sleep(interval.mul_f64(random_u64().unwrap_or(0) as f64 / u64::MAX as f64)).await;
    loop {
        update_lease_state(node, application);
        application.expire_leaving_workers();
        request_lease(node, application);
        resend_proposals(node, application, round);
        round += 1;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.renew_now.notified() => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Requests the lease from all voters.
fn request_lease(node: &Node, application: &dyn Application) {
    let (number, rules) = node.holder.borrow_mut().start_renewal(node.now());
    let index = node.holder.borrow().state().index;
    // Built once, because it iterates over all workers.
    let list = application.worker_list();
    for voter in 0..node.outboxes.len() {
        let message = LinkMessage::LeaseRequest { number, rules, index, list: list.clone() };
        if node.voter_id == Some(voter as u64 + 1) {
            let sender = (node.name.clone(), node.process_id);
            if let Some(LinkMessage::LeaseResponse { number, granted, newer_state, lists }) =
                handle_message(node, &sender, node.voter_id, message)
            {
                handle_lease_response(
                    node,
                    application,
                    voter,
                    number,
                    granted,
                    newer_state.map(|state| *state),
                );
                handle_lists(node, application, &lists);
            }
        } else {
            node.enqueue(voter, message);
        }
    }
}

/// Handles the response of a voter to a lease request.
pub(crate) fn handle_lease_response(
    node: &Node,
    application: &dyn Application,
    voter: usize,
    number: u64,
    granted: bool,
    newer_state: Option<ReplicatedState>,
) {
    let changed = node.holder.borrow_mut().handle_response(node.now(), voter, number, granted, newer_state);
    if changed {
        apply_agreed_state(node, application);
        node.renew_now.notify_one();
    }
    update_lease_state(node, application);
}

/// Compares the worker lists of all schedulers with that of this one. Adopts leaving workers, and requests the list from
/// discovery if this one stays outdated.
pub(crate) fn handle_lists(node: &Node, application: &dyn Application, all_lists: &ListSummary) {
    let (now, own_version) = (node.now(), application.worker_list().version);
    node.list_versions.set((all_lists.newest, all_lists.oldest));
    for leaving in &all_lists.leaving {
        if application.learn_leaving_worker(leaving) {
            increment(&node.counters.leaving_learned);
        }
    }
    if own_version >= all_lists.newest {
        return node.list_current_at.set(now);
    }
    // A newer list usually arrives by itself after a short time. Otherwise it is requested, at most once per interval.
    if now >= node.list_current_at.get() + LIST_REFETCH_AFTER {
        node.list_current_at.set(now);
        increment(&node.counters.list_refetches);
        application.refetch_worker_list();
    }
}

/// Detects whether the lease was acquired or has expired since the last check.
fn update_lease_state(node: &Node, application: &dyn Application) {
    let has_lease = node.has_lease();
    if node.had_lease.replace(has_lease) == has_lease {
        return;
    }
    node.record(if has_lease { HistoryEvent::LeaseAcquired } else { HistoryEvent::LeaseExpired });
    if has_lease {
        tracing::info!(rules = ?node.applied.get(), "tier: lease acquired");
    } else {
        increment(&node.counters.lapses);
        tracing::warn!("tier: lease expired: no majority of the voters has renewed it");
    }
    if node.config.on_lapse == LapsePolicy::Strict {
        apply_rules(node, application, has_lease);
    }
}

/// Applies the rules that this scheduler has learned of. Nothing can be forwarded under the previous rules meanwhile,
/// because everything runs on one thread.
fn apply_agreed_state(node: &Node, application: &dyn Application) {
    let rules = node.holder.borrow().rules();
    let has_lease = node.holder.borrow().has_valid_lease(node.now());
    apply_rules(node, application, has_lease || node.config.on_lapse == LapsePolicy::Leave);
    node.applied.set(rules);
    if let Some(rules) = rules {
        node.record(HistoryEvent::Adopted(rules));
        tracing::info!(?rules, "tier: rules applied");
    }
}

/// Applies the agreed settings and offline workers, or the strictest form of the settings if `agreed` is false.
fn apply_rules(node: &Node, application: &dyn Application, agreed: bool) {
    let Some(body) = node.holder.borrow().effective_body() else { return };
    let body = if agreed { body } else { document::restrict_without_lease(&body) };
    match application.apply_settings(body.settings_for(&application.settings())) {
        Ok(()) => {
            node.strict_rules_in_force.set(!agreed);
            *node.apply_error.borrow_mut() = None;
        }
        Err(e) => {
            tracing::error!("tier: this build cannot apply the agreed settings: {e}; out of service");
            *node.apply_error.borrow_mut() = Some(e);
        }
    }
    let before = node.offline_workers.replace(body.workers_out.clone());
    for worker in before.symmetric_difference(&body.workers_out) {
        application.set_worker_offline(worker, body.workers_out.contains(worker));
    }
}

//! The lease: asked for again and again, and what it lets this process act on.

use crate::proposals::settle;
use crate::voter::voter_hears;
use crate::{Application, LapsePolicy, Node, POLL_INTERVAL, increment, random_u64};
use loomlb_consensus::Nanos;
use loomlb_consensus::document;
use loomlb_consensus::history_check::HistoryEvent;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::ReplicatedState;
use loomlb_consensus::worker_lists::ListSummary;
use std::rc::Rc;
use std::time::Duration;

/// A list that is behind another scheduler's for so long is asked for anew, in nanoseconds.
const BEHIND: Nanos = 1_500_000_000;

/// Renews the lease for as long as the program runs, and sees when it has ended.
pub(crate) async fn renew(node: Rc<Node>, application: Rc<dyn Application>) {
    let (node, application) = (&*node, &*application);
    let pause = Duration::from_nanos(node.timing.renewal_interval);
    let mut turn = 0;
    // Schedulers that start in the same moment do not ask in the same moments ever after.
    tokio::time::sleep(pause.mul_f64(random_u64().unwrap_or(0) as f64 / u64::MAX as f64)).await;
    loop {
        look(node, application);
        application.expire_leaving_workers();
        ask(node, application);
        settle(node, application, turn);
        turn += 1;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = node.renew_now.notified() => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Asks all voters.
fn ask(node: &Node, application: &dyn Application) {
    let (number, acting) = node.holder.borrow_mut().start_renewal(node.now());
    let index = node.holder.borrow().state().index;
    // A look at every worker: once for all voters.
    let list = application.worker_list();
    for voter in 0..node.outboxes.len() {
        let word = LinkMessage::LeaseRequest { number, rules: acting, index, list: list.clone() };
        if node.voter_id == Some(voter as u64 + 1) {
            let who = (node.name.clone(), node.process_id);
            if let Some(LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, lists }) =
                voter_hears(node, &who, node.voter_id, word)
            {
                answered(node, application, voter, number, yes, news.map(|n| *n));
                compare(node, application, &lists);
            }
        } else {
            node.enqueue(voter, word);
        }
    }
}

pub(crate) fn answered(
    node: &Node,
    application: &dyn Application,
    voter: usize,
    number: u64,
    yes: bool,
    news: Option<ReplicatedState>,
) {
    let changed = node.holder.borrow_mut().handle_response(node.now(), voter, number, yes, news);
    if changed {
        put_in_force(node, application);
        node.renew_now.notify_one();
    }
    look(node, application);
}

/// What other schedulers have been told of the workers: whoever is behind asks discovery, and takes their word for a drain.
pub(crate) fn compare(node: &Node, application: &dyn Application, theirs: &ListSummary) {
    let (now, mine) = (node.now(), application.worker_list().version);
    node.list_versions.set((theirs.newest, theirs.oldest));
    for leaving in &theirs.leaving {
        if application.learn_leaving_worker(leaving) {
            increment(&node.counters.leaving_learned);
        }
    }
    if mine >= theirs.newest {
        return node.behind_since.set(now);
    }
    // News is on its way for a while; what does not come by itself is asked for, and not again and again.
    if now >= node.behind_since.get() + BEHIND {
        node.behind_since.set(now);
        increment(&node.counters.list_refetches);
        application.refetch_worker_list();
    }
}

/// Sees whether the lease has ended or begun since the last look.
fn look(node: &Node, application: &dyn Application) {
    let holds = node.has_lease();
    if node.had_lease.replace(holds) == holds {
        return;
    }
    node.record(if holds { HistoryEvent::LeaseAcquired } else { HistoryEvent::LeaseExpired });
    if holds {
        tracing::info!("tier: a lease on {:?}", node.applied.get());
    } else {
        increment(&node.counters.lapses);
        tracing::warn!("tier: the lease has ended: no majority of the voters answers");
    }
    if node.config.on_lapse == LapsePolicy::Strict {
        enforce(node, application, holds);
    }
}

/// Puts in force what this scheduler acts on from now on. Another act on what was before is not possible meanwhile, as
/// all is done on one thread.
fn put_in_force(node: &Node, application: &dyn Application) {
    let acting = node.holder.borrow().rules();
    let holds = node.holder.borrow().has_valid_lease(node.now());
    enforce(node, application, holds || node.config.on_lapse == LapsePolicy::Leave);
    node.applied.set(acting);
    if let Some(acting) = acting {
        node.record(HistoryEvent::Adopted(acting));
        tracing::info!("tier: takes {acting:?}");
    }
}

fn enforce(node: &Node, application: &dyn Application, agreed: bool) {
    let Some(body) = node.holder.borrow().effective_body() else { return };
    let body = if agreed { body } else { document::restrict_without_lease(&body) };
    match application.apply_settings(body.settings_for(&application.settings())) {
        Ok(()) => {
            node.strict_rules_in_force.set(!agreed);
            *node.apply_error.borrow_mut() = None;
        }
        Err(e) => {
            tracing::error!("tier: what was agreed cannot be read by this build: {e}; out of service");
            *node.apply_error.borrow_mut() = Some(e);
        }
    }
    let before = node.offline_workers.replace(body.workers_out.clone());
    for host in before.symmetric_difference(&body.workers_out) {
        application.set_worker_offline(host, body.workers_out.contains(host));
    }
}

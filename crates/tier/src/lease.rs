//! The lease: asked for again and again, and what it lets this process act on.

use crate::proposals::settle;
use crate::voter::voter_hears;
use crate::{Application, LOOK, LapsePolicy, On, more, random};
use loomlb_consensus::Nanos;
use loomlb_consensus::document;
use loomlb_consensus::history_check::HistoryEvent as Did;
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::state::ReplicatedState;
use loomlb_consensus::worker_lists::ListSummary;
use std::rc::Rc;
use std::time::Duration;

/// A list that is behind another scheduler's for so long is asked for anew, in nanoseconds.
const BEHIND: Nanos = 1_500_000_000;

/// Renews the lease for as long as the program runs, and sees when it has ended.
pub(crate) async fn renew(on: Rc<On>, around: Rc<dyn Application>) {
    let (on, around) = (&*on, &*around);
    let pause = Duration::from_nanos(on.timing.renewal_interval);
    let mut turn = 0;
    // Schedulers that start in the same moment do not ask in the same moments ever after.
    tokio::time::sleep(pause.mul_f64(random().unwrap_or(0) as f64 / u64::MAX as f64)).await;
    loop {
        look(on, around);
        around.expire_leaving_workers();
        ask(on, around);
        settle(on, around, turn);
        turn += 1;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = on.hurry.notified() => tokio::time::sleep(LOOK).await,
        }
    }
}

/// Asks all voters.
fn ask(on: &On, around: &dyn Application) {
    let (number, acting) = on.holder.borrow_mut().start_renewal(on.now());
    let index = on.holder.borrow().state().index;
    // A look at every worker: once for all voters.
    let list = around.worker_list();
    for voter in 0..on.boxes.len() {
        let word = LinkMessage::LeaseRequest { number, rules: acting, index, list: list.clone() };
        if on.number == Some(voter as u64 + 1) {
            let who = (on.name.clone(), on.process);
            if let Some(LinkMessage::LeaseResponse { number, granted: yes, newer_state: news, lists }) =
                voter_hears(on, &who, on.number, word)
            {
                answered(on, around, voter, number, yes, news.map(|n| *n));
                compare(on, around, &lists);
            }
        } else {
            on.put(voter, word);
        }
    }
}

pub(crate) fn answered(
    on: &On,
    around: &dyn Application,
    voter: usize,
    number: u64,
    yes: bool,
    news: Option<ReplicatedState>,
) {
    let changed = on.holder.borrow_mut().handle_response(on.now(), voter, number, yes, news);
    if changed {
        put_in_force(on, around);
        on.hurry.notify_one();
    }
    look(on, around);
}

/// What other schedulers have been told of the workers: whoever is behind asks discovery, and takes their word for a drain.
pub(crate) fn compare(on: &On, around: &dyn Application, theirs: &ListSummary) {
    let (now, mine) = (on.now(), around.worker_list().version);
    on.lists.set((theirs.newest, theirs.oldest));
    for leaving in &theirs.leaving {
        if around.learn_leaving_worker(leaving) {
            more(&on.counts.hearsay);
        }
    }
    if mine >= theirs.newest {
        return on.behind.set(now);
    }
    // News is on its way for a while; what does not come by itself is asked for, and not again and again.
    if now >= on.behind.get() + BEHIND {
        on.behind.set(now);
        more(&on.counts.asked_again);
        around.refetch_worker_list();
    }
}

/// Sees whether the lease has ended or begun since the last look.
fn look(on: &On, around: &dyn Application) {
    let holds = on.holds();
    if on.held.replace(holds) == holds {
        return;
    }
    on.log(if holds { Did::LeaseAcquired } else { Did::LeaseExpired });
    if holds {
        tracing::info!("tier: a lease on {:?}", on.applied.get());
    } else {
        more(&on.counts.lapses);
        tracing::warn!("tier: the lease has ended: no majority of the voters answers");
    }
    if on.spec.on_lapse == LapsePolicy::Strict {
        enforce(on, around, holds);
    }
}

/// Puts in force what this scheduler acts on from now on. Another act on what was before is not possible meanwhile, as
/// all is done on one thread.
fn put_in_force(on: &On, around: &dyn Application) {
    let acting = on.holder.borrow().rules();
    let holds = on.holder.borrow().has_valid_lease(on.now());
    enforce(on, around, holds || on.spec.on_lapse == LapsePolicy::Leave);
    on.applied.set(acting);
    if let Some(acting) = acting {
        on.log(Did::Adopted(acting));
        tracing::info!("tier: takes {acting:?}");
    }
}

fn enforce(on: &On, around: &dyn Application, agreed: bool) {
    let Some(body) = on.holder.borrow().effective_body() else { return };
    let body = if agreed { body } else { document::restrict_without_lease(&body) };
    match around.apply_settings(body.settings_for(&around.settings())) {
        Ok(()) => {
            on.careful.set(!agreed);
            *on.fault.borrow_mut() = None;
        }
        Err(e) => {
            tracing::error!("tier: what was agreed cannot be read by this build: {e}; out of service");
            *on.fault.borrow_mut() = Some(e);
        }
    }
    let before = on.out.replace(body.workers_out.clone());
    for host in before.symmetric_difference(&body.workers_out) {
        around.set_worker_offline(host, body.workers_out.contains(host));
    }
}

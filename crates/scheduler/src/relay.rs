//! Relay: passes the results of forwards to the decision module, and final answers to the front end of a flow.

use super::book::{Answer, Flow, Forward, ForwardStage};
use super::upgrade::open_requests;
use super::{Scheduler, route};
use bytes::Bytes;
use loomlb_policy::{AttemptResult, Event, JobProgress, LoadReport, Outcome, RequestId};
use serde::Deserialize;
use std::borrow::Cow;
use std::rc::Rc;

/// Gives a flow its final answer; false if it was already answered.
pub fn answer_flow(scheduler: &Rc<Scheduler>, id: RequestId, answer: Answer) -> bool {
    let mut book = scheduler.book.borrow_mut();
    let Some(reply) = book.take_reply(id) else { return false };
    let answer_name = match answer {
        Answer::Served(_) => "served",
        Answer::Refused(_) => "refused",
        Answer::Failed => "failed",
    };
    tracing::debug!(flow = id.0, answer = answer_name, "answered");
    match answer {
        Answer::Served(_) => book.counters.served += 1,
        Answer::Refused(_) => book.counters.refused += 1,
        Answer::Failed => book.counters.failed += 1,
    }
    flow_finished(scheduler, book.remove_if_finished(id));
    let is_result = matches!(answer, Answer::Served(_));
    // Fails if the client has just disconnected; the answer is then dropped.
    if reply.send(answer).is_ok()
        && is_result
        && let Some(flow) = book.flow(id)
    {
        flow.served = true;
    }
    true
}

/// Charges the quota of a finished flow with the seconds that its jobs ran, and keeps its id if it must not run again.
fn flow_finished(scheduler: &Scheduler, finished: Option<Flow>) {
    let Some(flow) = finished else { return };
    open_requests::keep_ended(scheduler, &flow);
    if let Some(grant) = flow.quota_grant {
        scheduler.quotas.charge(scheduler.clock.now(), grant, flow.run_seconds);
    }
}

/// Ends a flow whose client has disconnected.
pub fn client_disconnected(scheduler: &Rc<Scheduler>, id: RequestId) {
    let mut book = scheduler.book.borrow_mut();
    if book.take_reply(id).is_some() {
        book.counters.gone += 1;
        flow_finished(scheduler, book.remove_if_finished(id));
        drop(book);
        route::handle_event(scheduler, Event::RequestAbandoned(id));
    }
}

/// Fails a flow that has no answer at its deadline.
pub fn deadline_reached(scheduler: &Rc<Scheduler>, id: RequestId) {
    if answer_flow(scheduler, id, Answer::Failed) {
        scheduler.book.borrow_mut().counters.overdue += 1;
        route::handle_event(scheduler, Event::RequestAbandoned(id));
    }
}

/// Records the end of a forward and passes it to the decision module. Later ends of the same forward are ignored.
pub fn forward_ended(
    scheduler: &Rc<Scheduler>,
    id: RequestId,
    attempt: u32,
    outcome: Outcome,
    report: Option<LoadReport>,
) {
    let mut book = scheduler.book.borrow_mut();
    let Some(forward) = book.forward(id, attempt).filter(|forward| forward.stage != ForwardStage::Ended)
    else {
        return;
    };
    (forward.stage, forward.never_ran) = (ForwardStage::Ended, outcome.never_ran());
    let now = scheduler.clock.now();
    let latency = now.saturating_sub(forward.requested_at);
    // The run time counts from the reported start, or from the request where targets do not report starts.
    let started_at = if scheduler.settings().policy.job_starts_reported {
        forward.started_at
    } else {
        Some(forward.requested_at)
    };
    let run_seconds =
        started_at.filter(|_| !outcome.never_ran()).map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e9);
    tracing::debug!(flow = id.0, target = &*forward.host, attempt = attempt, outcome = ?outcome, latency_us = latency / 1000, "ended");
    let closed = book.flow(id).is_none_or(|flow| {
        flow.run_seconds += run_seconds;
        flow.reply.is_none()
    });
    book.counters.count_outcome(outcome);
    flow_finished(scheduler, book.remove_if_finished(id));
    drop(book);
    route::handle_event(
        scheduler,
        Event::AttemptEnded {
            id,
            attempt,
            result: AttemptResult { outcome, latency, request_finished: closed, load_report: report },
        },
    );
}

/// The body of a call-back, in which a target reports on a job.
#[derive(Deserialize)]
struct CallBack<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    /// Host name of the target.
    #[serde(borrow)]
    from: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    /// The part of the job that is done, from 0 to 1.
    share: Option<f64>,
    result: Option<String>,
    load: Option<serde_json::Value>,
}

/// How a call-back was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBackResult {
    /// It is malformed.
    Malformed,
    /// Its flow is open in this process.
    Accepted,
    /// No flow in this process has its id.
    UnknownFlow,
}

/// Whether a call-back reports that an attempt ended without a result.
fn ends_without_result(state: &str) -> bool {
    ["failed", "returned", "lost"].contains(&state)
}

/// Whether the target was sent this flow before the forward with this index. A target repeats a call whose answer was lost,
/// and the call does not name its attempt, so its end may be that of the earlier one.
fn has_earlier_forward(forwards: &[Forward], index: usize) -> bool {
    let host = &forwards[index].host;
    forwards[..index].iter().any(|earlier| earlier.host == *host && earlier.first_byte_at.is_some())
}

/// Handles a call-back. It may be early, late, repeated, or about a forward that was cancelled: it counts only for the
/// flow's last forward to that target, and only while that forward is open. An end without a result counts only for the
/// first forward to that target; a later one ends by its result or by its timeout.
pub fn handle_call_back(scheduler: &Rc<Scheduler>, body: &[u8]) -> CallBackResult {
    let Ok(call_back) = serde_json::from_slice::<CallBack>(body) else { return CallBackResult::Malformed };
    if !["started", "running", "done", "failed", "returned", "lost"].contains(&&*call_back.state) {
        return CallBackResult::Malformed;
    }
    let mut book = scheduler.book.borrow_mut();
    book.counters.call_backs += 1;
    let Some(id) = book.find_by_correlation_id(call_back.id.as_bytes()) else {
        return CallBackResult::UnknownFlow;
    };
    let open_forward = Some(id).and_then(|id| {
        let forwards = &book.flow(id)?.forwards;
        let index = forwards.iter().rposition(|forward| *forward.host == *call_back.from)?;
        if ends_without_result(&call_back.state) && has_earlier_forward(forwards, index) {
            return None;
        }
        matches!(forwards[index].stage, ForwardStage::Written | ForwardStage::Accepted)
            .then_some((id, index as u32))
    });
    let Some((id, attempt)) = open_forward else {
        book.counters.call_backs_unknown += 1;
        return CallBackResult::Accepted;
    };
    if call_back.state == "started"
        && let Some(forward) = book.forward(id, attempt)
    {
        forward.started_at.get_or_insert(scheduler.clock.now());
    }
    drop(book);
    // An unreadable load report is ignored, so that the flow still gets its result.
    let report = call_back.load.as_ref().and_then(|load| load.as_object()).map(|load| {
        let mut report = LoadReport::default();
        let values = load.iter().filter_map(|(name, value)| Some((name, value.as_f64()?)));
        values.for_each(|(name, value)| {
            scheduler.settings().network.record_load_value(&mut report, name, value)
        });
        report
    });
    match &*call_back.state {
        "started" => route::handle_event(scheduler, Event::JobProgress(id, attempt, JobProgress::Started)),
        "running" => route::handle_event(
            scheduler,
            Event::JobProgress(id, attempt, JobProgress::Fraction(call_back.share.unwrap_or(0.0))),
        ),
        "done" => {
            answer_flow(scheduler, id, Answer::Served(Bytes::from(call_back.result.unwrap_or_default())));
            forward_ended(scheduler, id, attempt, Outcome::Served, report);
        }
        "returned" => forward_ended(scheduler, id, attempt, Outcome::Full, report),
        "lost" => forward_ended(scheduler, id, attempt, Outcome::Reset, report),
        _ => forward_ended(scheduler, id, attempt, Outcome::Error, report),
    }
    CallBackResult::Accepted
}

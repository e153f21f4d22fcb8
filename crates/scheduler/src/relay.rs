//! Relay: what targets say of a forward goes to the module, and answers go to whoever fed the flow.

use super::book::{Answer, Stage};
use super::shares::Holding;
use super::{Scheduler, route};
use bytes::Bytes;
use loomlb_policy::{AttemptResult, Event, JobProgress, LoadReport, Outcome, RequestId};
use serde::Deserialize;
use std::borrow::Cow;
use std::rc::Rc;

/// Gives a flow its final answer; false if it has had one.
pub fn answer(s: &Rc<Scheduler>, id: RequestId, answer: Answer) -> bool {
    let mut book = s.book.borrow_mut();
    let Some(reply) = book.settle(id) else { return false };
    let said = match answer {
        Answer::Served(_) => "served",
        Answer::Refused(_) => "refused",
        Answer::Failed => "failed",
    };
    tracing::debug!(flow = id.0, answer = said, "answered");
    match answer {
        Answer::Served(_) => book.counters.served += 1,
        Answer::Refused(_) => book.counters.refused += 1,
        Answer::Failed => book.counters.failed += 1,
    }
    settle(s, book.tidy(id));
    // If the client has hung up in this very moment, nobody listens any more.
    let _ = reply.send(answer);
    true
}

/// A flow is over: its shares are charged what it took.
fn settle(s: &Scheduler, over: Option<(Holding, f64)>) {
    if let Some((holding, seconds)) = over {
        s.shares.settle(s.clock.now(), holding, seconds);
    }
}

/// The client of a flow has gone.
pub fn gone(s: &Rc<Scheduler>, id: RequestId) {
    let mut book = s.book.borrow_mut();
    if book.settle(id).is_some() {
        book.counters.gone += 1;
        settle(s, book.tidy(id));
        drop(book);
        route::feed(s, Event::RequestAbandoned(id));
    }
}

/// The deadline of a flow has come: it is answered even if the module says nothing.
pub fn overdue(s: &Rc<Scheduler>, id: RequestId) {
    if answer(s, id, Answer::Failed) {
        s.book.borrow_mut().counters.overdue += 1;
        route::feed(s, Event::RequestAbandoned(id));
    }
}

/// A forward has ended; what ends it a second time is passed over.
pub fn ended(s: &Rc<Scheduler>, id: RequestId, n: u32, outcome: Outcome, report: Option<LoadReport>) {
    let mut book = s.book.borrow_mut();
    let Some(forward) = book.forward(id, n).filter(|f| f.stage != Stage::Ended) else { return };
    (forward.stage, forward.never_ran) = (Stage::Ended, outcome.never_ran());
    let now = s.clock.now();
    let latency = now.saturating_sub(forward.opened);
    // A job that its target never started has taken nothing; where starts are not told, all of its time counts.
    let started = if s.epoch().settings.job_starts_reported { forward.started } else { Some(forward.opened) };
    let ran = started.filter(|_| !outcome.never_ran()).map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e9);
    tracing::debug!(flow = id.0, target = &*forward.host, attempt = n, outcome = ?outcome, latency_us = latency / 1000, "ended");
    let closed = book.flow(id).is_none_or(|f| {
        f.ran += ran;
        f.reply.is_none()
    });
    book.counters.outcome(outcome);
    settle(s, book.tidy(id));
    drop(book);
    route::feed(
        s,
        Event::AttemptEnded {
            id,
            attempt: n,
            result: AttemptResult { outcome, latency, request_finished: closed, load_report: report },
        },
    );
}

#[derive(Deserialize)]
struct CallBack<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    from: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    share: Option<f64>,
    result: Option<String>,
    load: Option<serde_json::Value>,
}

/// What a call-back was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Malformed.
    Malformed,
    /// Of a flow that is here.
    Noted,
    /// Of no flow that is here.
    Stranger,
}

/// Takes in a call-back. It may be early, late, repeated, or of a forward given up: only the last forward of
/// that flow to that target counts, and only while it is out.
pub fn call_back(s: &Rc<Scheduler>, body: &[u8]) -> Heard {
    let Ok(said) = serde_json::from_slice::<CallBack>(body) else { return Heard::Malformed };
    if !["started", "running", "done", "failed", "returned", "lost"].contains(&&*said.state) {
        return Heard::Malformed;
    }
    let mut book = s.book.borrow_mut();
    book.counters.call_backs += 1;
    let Some(id) = book.find(said.id.as_bytes()) else { return Heard::Stranger };
    let found = Some(id).and_then(|id| {
        let forwards = &book.flow(id)?.forwards;
        let n = forwards.iter().rposition(|f| *f.host == *said.from)?;
        matches!(forwards[n].stage, Stage::Written | Stage::Taken).then_some((id, n as u32))
    });
    let Some((id, n)) = found else {
        book.counters.call_backs_unknown += 1;
        return Heard::Noted;
    };
    if said.state == "started"
        && let Some(forward) = book.forward(id, n)
    {
        forward.started.get_or_insert(s.clock.now());
    }
    drop(book);
    // A report that cannot be read must not cost the flow its result.
    let report = said.load.as_ref().and_then(|load| load.as_object()).map(|load| {
        let mut report = LoadReport::default();
        let values = load.iter().filter_map(|(name, value)| Some((name, value.as_f64()?)));
        values.for_each(|(name, value)| s.epoch().terms.record_load_value(&mut report, name, value));
        report
    });
    match &*said.state {
        "started" => route::feed(s, Event::JobProgress(id, n, JobProgress::Started)),
        "running" => {
            route::feed(s, Event::JobProgress(id, n, JobProgress::Fraction(said.share.unwrap_or(0.0))))
        }
        "done" => {
            answer(s, id, Answer::Served(Bytes::from(said.result.unwrap_or_default())));
            ended(s, id, n, Outcome::Served, report);
        }
        "returned" => ended(s, id, n, Outcome::Full, report),
        "lost" => ended(s, id, n, Outcome::Reset, report),
        _ => ended(s, id, n, Outcome::Error, report),
    }
    Heard::Noted
}

//! Checks the platform's invariants against the events that really occurred.
//!
//! Hosts report events (a request was accepted, a worker received an attempt, a job started, a response was sent) to
//! the [`InvariantChecker`], which records violations with the history of the request. It does not know the reasons
//! for a scheduler's decisions.

use crate::scenario::{Idempotency, Scenario};
use loomlb_policy::Nanos;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt;

/// Violations that are recorded with their history; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 16;
/// Ended requests that are kept, so that a second response is reported with the history of the request.
const MAX_ENDED_REQUESTS: usize = 8192;
/// Time after a client has left within which attempts for its request may still be sent.
const CLIENT_LEFT_GRACE: Nanos = 100_000_000;
/// Later attempts in a scenario that are not yet reported as violations.
const MAX_SENDS_AFTER_CLIENT_LEFT: u64 = 2;
/// Time after a client has left within which the first attempt for its request may still be sent. The scenario fails
/// if more than a quarter of the requests that were left before their first attempt are sent later.
const WAITING_SEND_GRACE: Nanos = 300_000_000;

/// An invariant of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// An accepted request gets exactly one response.
    AnsweredOnce,
    /// The response is sent before the client times out.
    InTime,
    /// A request of a class that must not run twice runs at most once.
    AtMostOnce,
    /// Repeats of a deduplicated request stay within the group of workers and the deduplication window of the first
    /// attempt.
    KeyedRepeat,
    /// A request has no two attempts in flight where hedging is not permitted.
    SecondCopy,
    /// A request is only refused if no attempt may have run, because a refusal tells the client that a retry is
    /// safe.
    HonestRefusal,
    /// Nothing is sent to a draining or removed worker after the grace period.
    Drain,
    /// Schedulers that know when a cold worker was started don't overload it.
    ColdWorker,
    /// The result in a response was produced by a worker for this request.
    MadeByWorker,
    /// A scheduler that shuts down responds to all accepted requests first.
    NothingLostAtEnd,
    /// Nothing is sent for a client that has left.
    ClientGone,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 11] = [
        Invariant::AnsweredOnce,
        Invariant::InTime,
        Invariant::AtMostOnce,
        Invariant::KeyedRepeat,
        Invariant::SecondCopy,
        Invariant::HonestRefusal,
        Invariant::Drain,
        Invariant::ColdWorker,
        Invariant::MadeByWorker,
        Invariant::NothingLostAtEnd,
        Invariant::ClientGone,
    ];
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// When it was detected, in nanoseconds since the start of the scenario.
    pub at: Nanos,
    /// The id of the try; 0 if the violation concerns no single request.
    pub request: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The events of the request in order.
    #[serde(rename = "story")]
    pub history: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:?} at {:.6} s, request {:x}: {}",
            self.invariant,
            self.at as f64 / 1e9,
            self.request,
            self.description
        )?;
        self.history.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Served, with this result.
    Served(String),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

/// How an attempt ended, as far as its scheduler can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It certainly did not run.
    NeverRan,
    /// It ran or may have run.
    MayHaveRun,
}

/// How the process of a scheduler ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerExit {
    /// It was killed. No more responses are expected.
    Killed,
    /// It exited. All requests without a response are lost.
    Exited,
    /// It was asked to shut down at this time and killed after a timeout. Requests that it accepted after a
    /// notice period are lost.
    ShutdownTimedOut(Nanos),
}

/// Requests that arrive later than this after a shutdown request must get a response before the kill.
const SHUTDOWN_NOTICE: Nanos = 700_000_000;

#[derive(Clone, Debug)]
enum RequestEvent {
    Accepted { scheduler: usize },
    Received { worker: usize, cell: usize, job: u64 },
    Started { worker: usize },
    AttemptEnded { worker: usize, ended: AttemptEnd },
    ResponseSent { kind: &'static str },
    ConnectionBroken { scheduler: usize },
    ClientLeft,
}

impl fmt::Display for RequestEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestEvent::Accepted { scheduler } => write!(f, "accepted by scheduler {scheduler}"),
            RequestEvent::Received { worker, cell, job } => {
                write!(f, "received by worker {worker} of cell {cell} as job {job}")
            }
            RequestEvent::Started { worker } => write!(f, "started at worker {worker}"),
            RequestEvent::AttemptEnded { worker, ended: AttemptEnd::NeverRan } => {
                write!(f, "ended at worker {worker}, never ran")
            }
            RequestEvent::AttemptEnded { worker, ended: AttemptEnd::MayHaveRun } => {
                write!(f, "ended at worker {worker}, may have run")
            }
            RequestEvent::ResponseSent { kind } => write!(f, "answered: {kind}"),
            RequestEvent::ConnectionBroken { scheduler } => {
                write!(f, "the connection to scheduler {scheduler} closed without an answer")
            }
            RequestEvent::ClientLeft => write!(f, "the client left"),
        }
    }
}

#[derive(Clone, Debug)]
struct Attempt {
    worker: usize,
    cell: usize,
    at: Nanos,
    job: u64,
    ended: Option<AttemptEnd>,
    started: bool,
}

#[derive(Clone, Debug, Default)]
struct RequestRecord {
    class: usize,
    scheduler: usize,
    deadline: Nanos,
    accepted: bool,
    answered: bool,
    /// No response is expected, because the client has left or the scheduler was killed.
    excused: bool,
    /// When the client left without a response.
    left_at: Option<Nanos>,
    attempts: Vec<Attempt>,
    results: Vec<u64>,
    events: Vec<(Nanos, RequestEvent)>,
}

impl RequestRecord {
    fn format_history(&self) -> Vec<String> {
        self.events.iter().map(|(at, event)| format!("{:>12.6} s  {event}", *at as f64 / 1e9)).collect()
    }
    fn is_finished(&self) -> bool {
        (self.answered || self.excused) && self.attempts.iter().all(|a| a.ended.is_some())
    }
}

/// Numbers of events that were reported to the checker.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CheckerCounts {
    /// Requests accepted by schedulers.
    pub taken: u64,
    /// Final responses.
    pub answered: u64,
    /// Responses with a result.
    pub served: u64,
    /// Responses that refused the request.
    pub refused: u64,
    /// Responses that reported a failure.
    pub failed: u64,
    /// Attempts that reached a worker.
    pub attempts: u64,
    /// Jobs that started.
    pub started: u64,
    /// Requests to which no response was expected, because the client left or the scheduler was killed.
    #[serde(rename = "void")]
    pub excused: u64,
}

/// Checks the invariants during a scenario.
#[derive(Debug)]
pub struct InvariantChecker {
    repeat_policies: Vec<(Idempotency, Nanos)>,
    answer_grace: Nanos,
    drain_grace: Nanos,
    hedging_allowed: bool,
    slack: Nanos,
    /// Attempts that were sent for clients that had left.
    sent_after_client_left: u64,
    /// Requests whose clients left before the first attempt, and those of them that were sent afterwards.
    left_before_first_attempt: (u64, u64),
    open: FxHashMap<u64, RequestRecord>,
    ended_order: VecDeque<u64>,
    ended: FxHashMap<u64, RequestRecord>,
    violated: FxHashSet<(Invariant, u64)>,
    /// The first violations, with the history of their requests.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: u64,
    /// Numbers of reported events.
    pub counts: CheckerCounts,
}

impl InvariantChecker {
    /// Creates a checker for a scenario. `slack` is added to all time limits, in nanoseconds; it is 0 in virtual
    /// time.
    pub fn new(scenario: &Scenario, slack: Nanos) -> Self {
        let ms = |x: f64| (x * 1e6) as Nanos;
        InvariantChecker {
            repeat_policies: scenario.classes.iter().map(|c| (c.effect, ms(c.window_ms))).collect(),
            answer_grace: ms(scenario.terms.answer_grace_ms) + slack,
            drain_grace: ms(scenario.terms.drain_grace_ms) + slack,
            hedging_allowed: scenario.terms.second_copies,
            slack,
            sent_after_client_left: 0,
            left_before_first_attempt: (0, 0),
            open: FxHashMap::default(),
            ended_order: VecDeque::new(),
            ended: FxHashMap::default(),
            violated: FxHashSet::default(),
            violations: Vec::new(),
            violation_count: 0,
            counts: CheckerCounts::default(),
        }
    }

    fn record_violation(&mut self, invariant: Invariant, at: Nanos, request: u64, description: String) {
        // Each invariant is reported once per request, since further violations usually follow from the first.
        if request != 0 && !self.violated.insert((invariant, request)) {
            return;
        }
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            let record = self.open.get(&request).or_else(|| self.ended.get(&request));
            let history = record.map(RequestRecord::format_history).unwrap_or_default();
            self.violations.push(Violation { invariant, at, request, description, history });
        }
    }

    fn append_event(&mut self, request: u64, at: Nanos, event: RequestEvent) -> &mut RequestRecord {
        if let Some(record) = self.ended.remove(&request) {
            // An ended request is reopened by any further event.
            self.open.insert(request, record);
        }
        let record = self.open.entry(request).or_default();
        record.events.push((at, event));
        record
    }

    /// Returns the idempotency and the deduplication window of a request's class, also for an ended request.
    fn repeat_policy(&self, request: u64) -> (Idempotency, Nanos) {
        let record = self.open.get(&request).or_else(|| self.ended.get(&request));
        record
            .and_then(|s| self.repeat_policies.get(s.class))
            .copied()
            .unwrap_or((Idempotency::Idempotent, 0))
    }

    fn archive_if_finished(&mut self, request: u64) {
        if self.open.get(&request).is_some_and(RequestRecord::is_finished)
            && let Some(record) = self.open.remove(&request)
        {
            self.ended.insert(request, record);
            self.ended_order.push_back(request);
            if self.ended_order.len() > MAX_ENDED_REQUESTS
                && let Some(old) = self.ended_order.pop_front()
            {
                self.ended.remove(&old);
            }
        }
    }

    /// Reports that a scheduler has accepted a request whose client waits until `deadline`.
    pub fn request_accepted(
        &mut self,
        at: Nanos,
        request: u64,
        scheduler: usize,
        class: usize,
        deadline: Nanos,
    ) {
        self.counts.taken += 1;
        let record = self.append_event(request, at, RequestEvent::Accepted { scheduler });
        (record.accepted, record.class, record.scheduler, record.deadline) =
            (true, class, scheduler, deadline);
    }

    /// Reports that a worker has received an attempt. `drain_known_since` is when the scheduler learned that the worker drains or
    /// was removed; `sent` is when it sent the first byte.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_received(
        &mut self,
        at: Nanos,
        sent: Nanos,
        request: u64,
        worker: usize,
        cell: usize,
        job: u64,
        drain_known_since: Option<Nanos>,
    ) {
        self.counts.attempts += 1;
        let (hedging_allowed, slack) = (self.hedging_allowed, self.slack);
        let (repeat_policy, window) = self.repeat_policy(request);
        let record = self.append_event(request, at, RequestEvent::Received { worker, cell, job });
        let sent_after_leaving = record.left_at.and_then(|left| sent.checked_sub(left + slack));
        let is_first_attempt = record.attempts.is_empty();
        let in_flight = record.attempts.iter().any(|a| a.ended.is_none());
        let first = record.attempts.iter().find(|a| a.ended != Some(AttemptEnd::NeverRan)).cloned();
        record.attempts.push(Attempt { worker, cell, at: sent, job, ended: None, started: false });
        if let Some(first) = first {
            match repeat_policy {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => self.record_violation(
                    Invariant::AtMostOnce,
                    at,
                    request,
                    format!(
                        "sent again to worker {worker}, although worker {} may have run it",
                        first.worker
                    ),
                ),
                e if e.is_deduplicated() && cell != first.cell => self.record_violation(
                    Invariant::KeyedRepeat,
                    at,
                    request,
                    format!("repeated in cell {cell}, first sent to cell {}", first.cell),
                ),
                e if e.is_deduplicated() && sent > first.at + window => {
                    self.record_violation(
                        Invariant::KeyedRepeat,
                        at,
                        request,
                        "repeated after its deduplication window".into(),
                    );
                }
                Idempotency::DeduplicatedInCell | Idempotency::DeduplicatedInZone => {}
            }
        }
        if let Some(sent_after_leaving) = sent_after_leaving.filter(|time| *time > CLIENT_LEFT_GRACE) {
            self.sent_after_client_left += 1;
            self.left_before_first_attempt.1 +=
                u64::from(is_first_attempt && sent_after_leaving >= WAITING_SEND_GRACE);
            if self.sent_after_client_left > MAX_SENDS_AFTER_CLIENT_LEFT {
                let description = format!(
                    "sent to worker {worker} {} ms after its client left",
                    sent_after_leaving / 1_000_000
                );
                self.record_violation(Invariant::ClientGone, at, request, description);
            }
        }
        if in_flight && !hedging_allowed {
            self.record_violation(
                Invariant::SecondCopy,
                at,
                request,
                "a second attempt was sent while another one was in flight".into(),
            );
        }
        if let Some(known_since) = drain_known_since
            && sent > known_since + self.drain_grace
        {
            let late = (sent - known_since) / 1_000_000;
            self.record_violation(
                Invariant::Drain,
                at,
                request,
                format!("sent to worker {worker} {late} ms after its scheduler learned of the drain"),
            );
        }
    }

    /// Reports that a worker has started a job. From now on the job may have had its effect.
    pub fn job_started(&mut self, at: Nanos, request: u64, worker: usize, job: u64) {
        self.counts.started += 1;
        let (repeat_policy, _) = self.repeat_policy(request);
        let record = self.append_event(request, at, RequestEvent::Started { worker });
        if let Some(a) = record.attempts.iter_mut().find(|a| a.job == job) {
            a.started = true;
        }
        if repeat_policy == Idempotency::AtMostOnce
            && record.attempts.iter().filter(|a| a.started).count() > 1
        {
            self.record_violation(Invariant::AtMostOnce, at, request, "ran twice".into());
        }
        self.archive_if_finished(request);
    }

    /// Reports the end of an attempt.
    pub fn attempt_ended(&mut self, at: Nanos, request: u64, job: u64, ended: AttemptEnd) {
        if !self.open.contains_key(&request) {
            return;
        }
        let record = self.append_event(request, at, RequestEvent::AttemptEnded { worker: usize::MAX, ended });
        if let Some(a) = record.attempts.iter_mut().find(|a| a.job == job) {
            a.ended.get_or_insert(ended);
            let worker = a.worker;
            if let Some((_, RequestEvent::AttemptEnded { worker: w, .. })) = record.events.last_mut() {
                *w = worker;
            }
        }
        self.archive_if_finished(request);
    }

    /// Reports that a worker has produced a result for a request.
    pub fn result_produced(&mut self, request: u64, result: &str) {
        if let Some(record) = self.open.get_mut(&request).or_else(|| self.ended.get_mut(&request)) {
            record.results.push(fingerprint(result));
        }
    }

    /// Reports a final response to a client.
    pub fn response_sent(&mut self, at: Nanos, request: u64, answered: FinalResponse) {
        self.counts.answered += 1;
        let kind = match answered {
            FinalResponse::Served(_) => "served",
            FinalResponse::Refused => "refused",
            FinalResponse::Failed => "failed",
        };
        let grace = self.answer_grace;
        let (repeat_policy, _) = self.repeat_policy(request);
        let record = self.append_event(request, at, RequestEvent::ResponseSent { kind });
        let (already_answered, accepted) = (std::mem::replace(&mut record.answered, true), record.accepted);
        let late = accepted && at > record.deadline.saturating_add(grace);
        let late_ms = at.saturating_sub(record.deadline) / 1_000_000;
        let may_have_run = record.attempts.iter().any(|a| a.ended != Some(AttemptEnd::NeverRan));
        let unknown_result =
            matches!(&answered, FinalResponse::Served(r) if !record.results.contains(&fingerprint(r)));
        match answered {
            FinalResponse::Served(_) => self.counts.served += 1,
            FinalResponse::Refused => self.counts.refused += 1,
            FinalResponse::Failed => self.counts.failed += 1,
        }
        if already_answered || !accepted {
            let description =
                if already_answered { "answered twice" } else { "answered, but never accepted" };
            self.record_violation(Invariant::AnsweredOnce, at, request, description.into());
        }
        if late {
            self.record_violation(
                Invariant::InTime,
                at,
                request,
                format!("answered {late_ms} ms after its client timed out"),
            );
        }
        if unknown_result {
            self.record_violation(
                Invariant::MadeByWorker,
                at,
                request,
                "served with a result that no worker made for it".into(),
            );
        }
        if answered == FinalResponse::Refused && may_have_run && repeat_policy != Idempotency::Idempotent {
            self.record_violation(
                Invariant::HonestRefusal,
                at,
                request,
                "refused, although an attempt may have run".into(),
            );
        }
        self.archive_if_finished(request);
    }

    /// Tracks the attempts of a request that no client of the scenario has made; no response is expected.
    pub fn track_unchecked_request(&mut self, request: u64, class: usize) {
        let record = self.open.entry(request).or_default();
        (record.class, record.excused) = (class, true);
    }

    /// Reports that a client's connection closed without a response. If the scheduler is running, the request is
    /// reported as lost when the scenario ends.
    pub fn connection_broken(&mut self, at: Nanos, request: u64, scheduler: usize) {
        self.append_event(request, at, RequestEvent::ConnectionBroken { scheduler });
    }

    /// Reports that a request never reached the scheduler, because the scheduler closed an idle connection at the
    /// same time and no other connection could be opened.
    pub fn request_not_accepted(&mut self, at: Nanos, request: u64) {
        self.counts.excused += 1;
        self.append_event(request, at, RequestEvent::ClientLeft).excused = true;
        self.archive_if_finished(request);
    }

    /// Reports that a client has left without waiting for the response.
    pub fn client_left(&mut self, at: Nanos, request: u64) {
        if self.open.get(&request).is_some_and(|s| !s.answered) {
            self.counts.excused += 1;
            let record = self.append_event(request, at, RequestEvent::ClientLeft);
            (record.excused, record.left_at) = (true, Some(at));
            let waiting = record.attempts.is_empty();
            self.left_before_first_attempt.0 += u64::from(waiting);
            self.archive_if_finished(request);
        }
    }

    /// Reports the end of a scheduler's process.
    pub fn scheduler_ended(&mut self, at: Nanos, scheduler: usize, exit: SchedulerExit) {
        let is_pending =
            |s: &RequestRecord| s.scheduler == scheduler && s.accepted && !s.answered && !s.excused;
        let mut is_pending: Vec<(u64, Nanos)> = self
            .open
            .iter()
            .filter(|(_, s)| is_pending(s))
            .map(|(r, s)| (*r, s.events.first().map_or(0, |f| f.0)))
            .collect();
        is_pending.sort_unstable();
        for (request, taken) in is_pending {
            let lost = match exit {
                SchedulerExit::Killed => false,
                SchedulerExit::Exited => true,
                SchedulerExit::ShutdownTimedOut(asked) => taken > asked + SHUTDOWN_NOTICE,
            };
            if lost {
                let description = format!("scheduler {scheduler} ended without answering it");
                self.record_violation(Invariant::NothingLostAtEnd, at, request, description);
            }
            self.counts.excused += 1;
            if let Some(record) = self.open.get_mut(&request) {
                record.excused = true;
            }
            self.archive_if_finished(request);
        }
    }

    /// Reports that a cold worker has failed from overload.
    pub fn worker_overloaded(&mut self, at: Nanos, worker: usize, overload: &crate::worker::Overload) {
        if overload.informed_share >= 2.0 / 3.0 {
            let description = format!(
                "worker {worker} failed from overload at {:.0} % of its capacity: received {:.2} s of work in {} jobs (largest {:.2} s), \
                 limit {:.2} s, {:.0} % of it from schedulers that knew of its start",
                overload.capacity_share * 100.0,
                overload.received_work / 1e9,
                overload.job_count,
                overload.largest_job / 1e9,
                overload.limit / 1e9,
                overload.informed_share * 100.0
            );
            self.record_violation(Invariant::ColdWorker, at, 0, description);
        }
    }

    /// Returns the number of requests that still expect a response.
    pub fn pending_responses(&self) -> usize {
        self.open.values().filter(|s| s.accepted && !s.answered && !s.excused).count()
    }

    /// Ends the scenario. Requests that still expect a response are violations.
    pub fn finish(&mut self, at: Nanos) {
        let (waited, sent) = self.left_before_first_attempt;
        if sent * 4 > waited {
            let description = format!(
                "{sent} of {waited} requests whose clients left before the first attempt were still sent"
            );
            self.record_violation(Invariant::ClientGone, at, 0, description);
        }
        let is_pending = |s: &RequestRecord| s.accepted && !s.answered && !s.excused;
        let mut lost: Vec<u64> = self.open.iter().filter(|(_, s)| is_pending(s)).map(|(r, _)| *r).collect();
        lost.sort_unstable();
        for request in lost {
            self.record_violation(Invariant::AnsweredOnce, at, request, "never answered".into());
        }
    }
}

fn fingerprint(result: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(result.as_bytes());
    hasher.finish()
}

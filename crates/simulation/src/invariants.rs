//! The invariants: description must never go wrong, checked on description really happened.
//!
//! Both hosts and every later test use this one piece. It is told facts (a request was taken, a worker received an
//! attempt, a job started, an answer went out) and reports violations, each with the whole record of its request. It
//! knows nothing of why a scheduler did description it did.

use crate::scenario::{Effect, Scenario};
use loomlb_policy::Nanos;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt;

/// Breaches whose stories are kept; further ones are counted.
const MAX_RECORDED_VIOLATIONS: usize = 16;
/// Ended requests that are remembered, so that a second answer still finds the record of the first.
const MAX_ENDED_REQUESTS: usize = 8192;
/// An attempt that begins later than this after its client has gone is for nobody; so many of them may be chance.
const CLIENT_LEFT_GRACE: Nanos = 100_000_000;
const MAX_SENDS_AFTER_CLIENT_LEFT: u64 = 2;
/// A request that waited for its first attempt when its client went is not sent this long after that; over a quarter of
/// those that waited fail the scenario.
const WAITING_SEND_GRACE: Nanos = 300_000_000;

/// A invariant of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A taken request is answered once, and not twice.
    AnsweredOnce,
    /// It is answered before its client gives up.
    InTime,
    /// A class that must never run twice does not.
    AtMostOnce,
    /// Repeats of a keyed request stay within the cell and the window of the first.
    KeyedRepeat,
    /// Two attempts are out at once where the site forbids it.
    SecondCopy,
    /// A refusal says that a new try is harmless, and must be right.
    HonestRefusal,
    /// Nothing new goes to a draining or gone worker after the grace.
    Drain,
    /// A cold worker is not pushed over by schedulers that knew of its start.
    ColdWorker,
    /// A request is served with description a worker results for it.
    MadeByWorker,
    /// What was taken is answered before a scheduler that was asked to end has gone.
    NothingLostAtEnd,
    /// Nothing is sent for a client that has gone.
    ClientGone,
}

impl Invariant {
    /// All of them.
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

/// A breach of a invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// When, in nanoseconds of the scenario.
    pub at: Nanos,
    /// The request (one try of it); 0 where it concerns none.
    pub request: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// All that is known of the request, in order.
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

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Served, with this result.
    Served(String),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

/// How an attempt ended, as its scheduler could know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It is proved that it never ran.
    NeverRan,
    /// It has run, or may have.
    MayHaveRun,
}

/// How a scheduler came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerExit {
    /// Killed outright: it owes nothing any more.
    Killed,
    /// It ended by itself: it has lost whatever it took and did not answer.
    Exited,
    /// Asked to end at this time, and killed since it took too long: it has lost description came after the notice.
    ShutdownTimedOut(Nanos),
}

/// What comes to a scheduler later than this after it was asked to end must be answered before its kill.
const SHUTDOWN_NOTICE: Nanos = 700_000_000;

#[derive(Clone, Debug)]
enum Fact {
    Accepted { scheduler: usize },
    Received { worker: usize, cell: usize, job: u64 },
    Started { worker: usize },
    AttemptEnded { worker: usize, ended: AttemptEnd },
    ResponseSent { kind: &'static str },
    ConnectionBroken { scheduler: usize },
    ClientLeft,
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fact::Accepted { scheduler } => write!(f, "taken by scheduler {scheduler}"),
            Fact::Received { worker, cell, job } => {
                write!(f, "received by worker {worker} of cell {cell} as job {job}")
            }
            Fact::Started { worker } => write!(f, "started at worker {worker}"),
            Fact::AttemptEnded { worker, ended: AttemptEnd::NeverRan } => {
                write!(f, "ended at worker {worker}, and never ran")
            }
            Fact::AttemptEnded { worker, ended: AttemptEnd::MayHaveRun } => {
                write!(f, "ended at worker {worker}, may have run")
            }
            Fact::ResponseSent { kind } => write!(f, "answered: {kind}"),
            Fact::ConnectionBroken { scheduler } => {
                write!(f, "its connection to scheduler {scheduler} ended without an answer")
            }
            Fact::ClientLeft => write!(f, "its client left"),
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
    taken: bool,
    answered: bool,
    /// Nothing is is_pending any more: its client has left, or its scheduler was killed.
    excused: bool,
    /// When its client left before its answer.
    left: Option<Nanos>,
    attempts: Vec<Attempt>,
    results: Vec<u64>,
    facts: Vec<(Nanos, Fact)>,
}

impl RequestRecord {
    fn format_history(&self) -> Vec<String> {
        self.facts.iter().map(|(at, fact)| format!("{:>12.6} s  {fact}", *at as f64 / 1e9)).collect()
    }
    fn is_finished(&self) -> bool {
        (self.answered || self.excused) && self.attempts.iter().all(|a| a.ended.is_some())
    }
}

/// Counts of description the invariants saw.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CheckerCounts {
    /// Requests that schedulers took.
    pub taken: u64,
    /// Answers.
    pub answered: u64,
    /// Answers that served.
    pub served: u64,
    /// Answers that refused.
    pub refused: u64,
    /// Answers that failed.
    pub failed: u64,
    /// Attempts that reached a worker.
    pub attempts: u64,
    /// Jobs that started.
    pub started: u64,
    /// Requests whose client left, or whose scheduler was killed.
    #[serde(rename = "void")]
    pub excused: u64,
}

/// The invariants of a scenario.
#[derive(Debug)]
pub struct InvariantChecker {
    effects: Vec<(Effect, Nanos)>,
    answer_grace: Nanos,
    drain_grace: Nanos,
    hedging_allowed: bool,
    slack: Nanos,
    /// Attempts begun for clients that had gone.
    sent_after_client_left: u64,
    /// Requests that waited for their first attempt when their client went, and those of them that were sent all the same.
    left_before_first_attempt: (u64, u64),
    open: FxHashMap<u64, RequestRecord>,
    ended_order: VecDeque<u64>,
    ended: FxHashMap<u64, RequestRecord>,
    violated: FxHashSet<(Invariant, u64)>,
    /// Breaches, the first ones with their stories.
    pub violations: Vec<Violation>,
    /// How many there were in all.
    pub violation_count: u64,
    /// What it saw.
    pub counts: CheckerCounts,
}

impl InvariantChecker {
    /// For a scenario. `slack` is description the host adds to every time limit, in nanoseconds: 0 in virtual time.
    pub fn new(scenario: &Scenario, slack: Nanos) -> Self {
        let ms = |x: f64| (x * 1e6) as Nanos;
        InvariantChecker {
            effects: scenario.classes.iter().map(|c| (c.effect, ms(c.window_ms))).collect(),
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
        // One breach of a invariant for each request: description follows from it would only hide the others.
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

    fn append_fact(&mut self, request: u64, at: Nanos, fact: Fact) -> &mut RequestRecord {
        if let Some(record) = self.ended.remove(&request) {
            // Something still happens to it: it is open again until that is over.
            self.open.insert(request, record);
        }
        let record = self.open.entry(request).or_default();
        record.facts.push((at, fact));
        record
    }

    /// What a request's class permits, and the window of its key; also once the request has ended.
    fn repeat_policy(&self, request: u64) -> (Effect, Nanos) {
        let record = self.open.get(&request).or_else(|| self.ended.get(&request));
        record.and_then(|s| self.effects.get(s.class)).copied().unwrap_or((Effect::Safe, 0))
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

    /// A scheduler has taken a request of a class, whose client waits until `deadline`.
    pub fn request_accepted(
        &mut self,
        at: Nanos,
        request: u64,
        scheduler: usize,
        class: usize,
        deadline: Nanos,
    ) {
        self.counts.taken += 1;
        let record = self.append_fact(request, at, Fact::Accepted { scheduler });
        (record.taken, record.class, record.scheduler, record.deadline) = (true, class, scheduler, deadline);
    }

    /// A worker has received an attempt. `told` is when its scheduler was told that the worker drains or is gone;
    /// `sent` is when the first byte left.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_received(
        &mut self,
        at: Nanos,
        sent: Nanos,
        request: u64,
        worker: usize,
        cell: usize,
        job: u64,
        told: Option<Nanos>,
    ) {
        self.counts.attempts += 1;
        let (hedging_allowed, slack) = (self.hedging_allowed, self.slack);
        let (repeat_policy, window) = self.repeat_policy(request);
        let record = self.append_fact(request, at, Fact::Received { worker, cell, job });
        let after = record.left.and_then(|left| sent.checked_sub(left + slack));
        let is_first_attempt = record.attempts.is_empty();
        let open = record.attempts.iter().any(|a| a.ended.is_none());
        let first = record.attempts.iter().find(|a| a.ended != Some(AttemptEnd::NeverRan)).cloned();
        record.attempts.push(Attempt { worker, cell, at: sent, job, ended: None, started: false });
        if let Some(first) = first {
            match repeat_policy {
                Effect::Safe => {}
                Effect::Unsafe => self.record_violation(
                    Invariant::AtMostOnce,
                    at,
                    request,
                    format!("sent again, to worker {worker}, though worker {} may have run it", first.worker),
                ),
                e if e.keyed() && cell != first.cell => self.record_violation(
                    Invariant::KeyedRepeat,
                    at,
                    request,
                    format!("repeated in cell {cell}, first sent to cell {}", first.cell),
                ),
                e if e.keyed() && sent > first.at + window => {
                    self.record_violation(
                        Invariant::KeyedRepeat,
                        at,
                        request,
                        "repeated after the window of its key".into(),
                    );
                }
                Effect::Keyed | Effect::KeyedByZone => {}
            }
        }
        if let Some(after) = after.filter(|after| *after > CLIENT_LEFT_GRACE) {
            self.sent_after_client_left += 1;
            self.left_before_first_attempt.1 += u64::from(is_first_attempt && after >= WAITING_SEND_GRACE);
            if self.sent_after_client_left > MAX_SENDS_AFTER_CLIENT_LEFT {
                let description =
                    format!("sent to worker {worker} {} ms after its client had gone", after / 1_000_000);
                self.record_violation(Invariant::ClientGone, at, request, description);
            }
        }
        if open && !hedging_allowed {
            self.record_violation(
                Invariant::SecondCopy,
                at,
                request,
                "a second copy while the first is out".into(),
            );
        }
        if let Some(told) = told
            && sent > told + self.drain_grace
        {
            let late = (sent - told) / 1_000_000;
            self.record_violation(
                Invariant::Drain,
                at,
                request,
                format!("sent to worker {worker} {late} ms after its drain was told"),
            );
        }
    }

    /// A worker has started a job: from now on its effect may have happened.
    pub fn job_started(&mut self, at: Nanos, request: u64, worker: usize, job: u64) {
        self.counts.started += 1;
        let (repeat_policy, _) = self.repeat_policy(request);
        let record = self.append_fact(request, at, Fact::Started { worker });
        if let Some(a) = record.attempts.iter_mut().find(|a| a.job == job) {
            a.started = true;
        }
        if repeat_policy == Effect::Unsafe && record.attempts.iter().filter(|a| a.started).count() > 1 {
            self.record_violation(Invariant::AtMostOnce, at, request, "ran twice".into());
        }
        self.archive_if_finished(request);
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, at: Nanos, request: u64, job: u64, ended: AttemptEnd) {
        if !self.open.contains_key(&request) {
            return;
        }
        let record = self.append_fact(request, at, Fact::AttemptEnded { worker: usize::MAX, ended });
        if let Some(a) = record.attempts.iter_mut().find(|a| a.job == job) {
            a.ended.get_or_insert(ended);
            let worker = a.worker;
            if let Some((_, Fact::AttemptEnded { worker: w, .. })) = record.facts.last_mut() {
                *w = worker;
            }
        }
        self.archive_if_finished(request);
    }

    /// A worker has results a result for a request.
    pub fn result_produced(&mut self, request: u64, result: &str) {
        if let Some(record) = self.open.get_mut(&request).or_else(|| self.ended.get_mut(&request)) {
            record.results.push(fingerprint(result));
        }
    }

    /// A client has its answer.
    pub fn response_sent(&mut self, at: Nanos, request: u64, answered: FinalResponse) {
        self.counts.answered += 1;
        let kind = match answered {
            FinalResponse::Served(_) => "served",
            FinalResponse::Refused => "refused",
            FinalResponse::Failed => "failed",
        };
        let grace = self.answer_grace;
        let (repeat_policy, _) = self.repeat_policy(request);
        let record = self.append_fact(request, at, Fact::ResponseSent { kind });
        let (twice, taken) = (std::mem::replace(&mut record.answered, true), record.taken);
        let late = taken && at > record.deadline.saturating_add(grace);
        let over = at.saturating_sub(record.deadline) / 1_000_000;
        let may_have_run = record.attempts.iter().any(|a| a.ended != Some(AttemptEnd::NeverRan));
        let unknown_result =
            matches!(&answered, FinalResponse::Served(r) if !record.results.contains(&fingerprint(r)));
        match answered {
            FinalResponse::Served(_) => self.counts.served += 1,
            FinalResponse::Refused => self.counts.refused += 1,
            FinalResponse::Failed => self.counts.failed += 1,
        }
        if twice || !taken {
            let description = if twice { "answered twice" } else { "answered, but never taken" };
            self.record_violation(Invariant::AnsweredOnce, at, request, description.into());
        }
        if late {
            self.record_violation(
                Invariant::InTime,
                at,
                request,
                format!("answered {over} ms after its client gave up"),
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
        if answered == FinalResponse::Refused && may_have_run && repeat_policy != Effect::Safe {
            self.record_violation(
                Invariant::HonestRefusal,
                at,
                request,
                "refused as harmless, though it may have run".into(),
            );
        }
        self.archive_if_finished(request);
    }

    /// A request that is none of the scenario's clients': its attempts are followed, and no answer is is_pending.
    pub fn track_unchecked_request(&mut self, request: u64, class: usize) {
        let record = self.open.entry(request).or_default();
        (record.class, record.excused) = (class, true);
    }

    /// A client's connection ended without an answer. A scheduler that was killed owes none; one that runs has lost
    /// the request, and that shows at the end of the scenario.
    pub fn connection_broken(&mut self, at: Nanos, request: u64, scheduler: usize) {
        self.append_fact(request, at, Fact::ConnectionBroken { scheduler });
    }

    /// A kept connection was closed while a request crossed that on its way, and there was no second one: it was
    /// never taken.
    pub fn request_not_accepted(&mut self, at: Nanos, request: u64) {
        self.counts.excused += 1;
        self.append_fact(request, at, Fact::ClientLeft).excused = true;
        self.archive_if_finished(request);
    }

    /// A client has left before its answer: nothing is is_pending any more.
    pub fn client_left(&mut self, at: Nanos, request: u64) {
        if self.open.get(&request).is_some_and(|s| !s.answered) {
            self.counts.excused += 1;
            let record = self.append_fact(request, at, Fact::ClientLeft);
            (record.excused, record.left) = (true, Some(at));
            let waiting = record.attempts.is_empty();
            self.left_before_first_attempt.0 += u64::from(waiting);
            self.archive_if_finished(request);
        }
    }

    /// A scheduler has ended.
    pub fn scheduler_ended(&mut self, at: Nanos, scheduler: usize, exit: SchedulerExit) {
        let is_pending = |s: &RequestRecord| s.scheduler == scheduler && s.taken && !s.answered && !s.excused;
        let mut is_pending: Vec<(u64, Nanos)> = self
            .open
            .iter()
            .filter(|(_, s)| is_pending(s))
            .map(|(r, s)| (*r, s.facts.first().map_or(0, |f| f.0)))
            .collect();
        is_pending.sort_unstable();
        for (request, taken) in is_pending {
            let lost = match exit {
                SchedulerExit::Killed => false,
                SchedulerExit::Exited => true,
                SchedulerExit::ShutdownTimedOut(asked) => taken > asked + SHUTDOWN_NOTICE,
            };
            if lost {
                let description = format!("scheduler {scheduler} ended and had not answered it");
                self.record_violation(Invariant::NothingLostAtEnd, at, request, description);
            }
            self.counts.excused += 1;
            if let Some(record) = self.open.get_mut(&request) {
                record.excused = true;
            }
            self.archive_if_finished(request);
        }
    }

    /// A cold worker has fallen over.
    pub fn worker_overloaded(&mut self, at: Nanos, worker: usize, overload: &crate::worker::Overload) {
        if overload.informed_share >= 2.0 / 3.0 {
            let description = format!(
                "worker {worker} fell over at {:.0} % of its capacity: sent {:.2} s of work in {} jobs (the largest {:.2}), \
                 able to bear {:.2}, {:.0} % of it by schedulers that knew",
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

    /// Requests that are is_pending an answer.
    pub fn pending_responses(&self) -> usize {
        self.open.values().filter(|s| s.taken && !s.answered && !s.excused).count()
    }

    /// The scenario is over: description is not answered now never will be.
    pub fn finish(&mut self, at: Nanos) {
        let (waited, sent) = self.left_before_first_attempt;
        if sent * 4 > waited {
            let description =
                format!("{sent} of {waited} requests whose clients went while they waited were sent on");
            self.record_violation(Invariant::ClientGone, at, 0, description);
        }
        let is_pending = |s: &RequestRecord| s.taken && !s.answered && !s.excused;
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

//! The referee: what must never go wrong, checked on what really happened.
//!
//! Both hosts and every later test use this one piece. It is told facts (a request was taken, a worker received an
//! attempt, a job started, an answer went out) and reports breaches, each with the whole story of its request. It
//! knows nothing of why a scheduler did what it did.

use crate::scenario::{Effect, Scenario};
use loomlb_policy::Nanos;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::collections::VecDeque;
use std::fmt;

/// Breaches whose stories are kept; further ones are counted.
const KEPT: usize = 16;
/// Ended requests that are remembered, so that a second answer still finds the story of the first.
const RECENT: usize = 8192;
/// An attempt that begins later than this after its client has gone is for nobody; so many of them may be chance.
const GONE: Nanos = 100_000_000;
const GONE_BY_CHANCE: u64 = 2;
/// A request that waited for its first attempt when its client went is not sent this long after that; over a quarter of
/// those that waited fail the scenario.
const GONE_WAITING: Nanos = 300_000_000;

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
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
    /// A request is served with what a worker made for it.
    MadeByWorker,
    /// What was taken is answered before a scheduler that was asked to end has gone.
    NothingLostAtEnd,
    /// Nothing is sent for a client that has gone.
    ClientGone,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 11] = [
        Rule::AnsweredOnce,
        Rule::InTime,
        Rule::AtMostOnce,
        Rule::KeyedRepeat,
        Rule::SecondCopy,
        Rule::HonestRefusal,
        Rule::Drain,
        Rule::ColdWorker,
        Rule::MadeByWorker,
        Rule::NothingLostAtEnd,
        Rule::ClientGone,
    ];
}

/// A breach of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// When, in nanoseconds of the scenario.
    pub at: Nanos,
    /// The request (one try of it); 0 where it concerns none.
    pub request: u64,
    /// What happened.
    pub what: String,
    /// All that is known of the request, in order.
    pub story: Vec<String>,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:?} at {:.6} s, request {:x}: {}",
            self.rule,
            self.at as f64 / 1e9,
            self.request,
            self.what
        )?;
        self.story.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// Served, with this result.
    Served(String),
    /// Refused.
    Refused,
    /// Failed.
    Failed,
}

/// How an attempt ended, as its scheduler could know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It is proved that it never ran.
    NeverRan,
    /// It has run, or may have.
    MayHaveRun,
}

/// How a scheduler came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Killed outright: it owes nothing any more.
    Killed,
    /// It ended by itself: it has lost whatever it took and did not answer.
    ByItself,
    /// Asked to end at this time, and killed since it took too long: it has lost what came after the notice.
    Overran(Nanos),
}

/// What comes to a scheduler later than this after it was asked to end must be answered before its kill.
const NOTICE: Nanos = 700_000_000;

#[derive(Clone, Debug)]
enum Fact {
    Taken { scheduler: usize },
    Received { worker: usize, cell: usize, job: u64 },
    Started { worker: usize },
    Ended { worker: usize, ended: Ended },
    Answered { kind: &'static str },
    Broke { scheduler: usize },
    ClientLeft,
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fact::Taken { scheduler } => write!(f, "taken by scheduler {scheduler}"),
            Fact::Received { worker, cell, job } => {
                write!(f, "received by worker {worker} of cell {cell} as job {job}")
            }
            Fact::Started { worker } => write!(f, "started at worker {worker}"),
            Fact::Ended { worker, ended: Ended::NeverRan } => {
                write!(f, "ended at worker {worker}, and never ran")
            }
            Fact::Ended { worker, ended: Ended::MayHaveRun } => {
                write!(f, "ended at worker {worker}, may have run")
            }
            Fact::Answered { kind } => write!(f, "answered: {kind}"),
            Fact::Broke { scheduler } => {
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
    ended: Option<Ended>,
    started: bool,
}

#[derive(Clone, Debug, Default)]
struct Story {
    class: usize,
    scheduler: usize,
    deadline: Nanos,
    taken: bool,
    answered: bool,
    /// Nothing is owed any more: its client has left, or its scheduler was killed.
    void: bool,
    /// When its client left before its answer.
    left: Option<Nanos>,
    attempts: Vec<Attempt>,
    made: Vec<u64>,
    facts: Vec<(Nanos, Fact)>,
}

impl Story {
    fn lines(&self) -> Vec<String> {
        self.facts.iter().map(|(at, fact)| format!("{:>12.6} s  {fact}", *at as f64 / 1e9)).collect()
    }
    fn settled(&self) -> bool {
        (self.answered || self.void) && self.attempts.iter().all(|a| a.ended.is_some())
    }
}

/// Counts of what the referee saw.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Seen {
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
    pub void: u64,
}

/// The referee of a scenario.
#[derive(Debug)]
pub struct Referee {
    effects: Vec<(Effect, Nanos)>,
    answer_grace: Nanos,
    drain_grace: Nanos,
    second_copies: bool,
    slack: Nanos,
    /// Attempts begun for clients that had gone.
    for_gone: u64,
    /// Requests that waited for their first attempt when their client went, and those of them that were sent all the same.
    left_waiting: (u64, u64),
    open: FxHashMap<u64, Story>,
    recent: VecDeque<u64>,
    ended: FxHashMap<u64, Story>,
    breached: FxHashSet<(Rule, u64)>,
    /// Breaches, the first ones with their stories.
    pub breaches: Vec<Breach>,
    /// How many there were in all.
    pub count: u64,
    /// What it saw.
    pub seen: Seen,
}

impl Referee {
    /// For a scenario. `slack` is what the host adds to every time limit, in nanoseconds: 0 in virtual time.
    pub fn new(scenario: &Scenario, slack: Nanos) -> Self {
        let ms = |x: f64| (x * 1e6) as Nanos;
        Referee {
            effects: scenario.classes.iter().map(|c| (c.effect, ms(c.window_ms))).collect(),
            answer_grace: ms(scenario.terms.answer_grace_ms) + slack,
            drain_grace: ms(scenario.terms.drain_grace_ms) + slack,
            second_copies: scenario.terms.second_copies,
            slack,
            for_gone: 0,
            left_waiting: (0, 0),
            open: FxHashMap::default(),
            recent: VecDeque::new(),
            ended: FxHashMap::default(),
            breached: FxHashSet::default(),
            breaches: Vec::new(),
            count: 0,
            seen: Seen::default(),
        }
    }

    fn breach(&mut self, rule: Rule, at: Nanos, request: u64, what: String) {
        // One breach of a rule for each request: what follows from it would only hide the others.
        if request != 0 && !self.breached.insert((rule, request)) {
            return;
        }
        self.count += 1;
        if self.breaches.len() < KEPT {
            let story = self.open.get(&request).or_else(|| self.ended.get(&request));
            let story = story.map(Story::lines).unwrap_or_default();
            self.breaches.push(Breach { rule, at, request, what, story });
        }
    }

    fn fact(&mut self, request: u64, at: Nanos, fact: Fact) -> &mut Story {
        if let Some(story) = self.ended.remove(&request) {
            // Something still happens to it: it is open again until that is over.
            self.open.insert(request, story);
        }
        let story = self.open.entry(request).or_default();
        story.facts.push((at, fact));
        story
    }

    /// What a request's class permits, and the window of its key; also once the request has ended.
    fn effect(&self, request: u64) -> (Effect, Nanos) {
        let story = self.open.get(&request).or_else(|| self.ended.get(&request));
        story.and_then(|s| self.effects.get(s.class)).copied().unwrap_or((Effect::Safe, 0))
    }

    fn tidy(&mut self, request: u64) {
        if self.open.get(&request).is_some_and(Story::settled)
            && let Some(story) = self.open.remove(&request)
        {
            self.ended.insert(request, story);
            self.recent.push_back(request);
            if self.recent.len() > RECENT
                && let Some(old) = self.recent.pop_front()
            {
                self.ended.remove(&old);
            }
        }
    }

    /// A scheduler has taken a request of a class, whose client waits until `deadline`.
    pub fn taken(&mut self, at: Nanos, request: u64, scheduler: usize, class: usize, deadline: Nanos) {
        self.seen.taken += 1;
        let story = self.fact(request, at, Fact::Taken { scheduler });
        (story.taken, story.class, story.scheduler, story.deadline) = (true, class, scheduler, deadline);
    }

    /// A worker has received an attempt. `told` is when its scheduler was told that the worker drains or is gone;
    /// `sent` is when the first byte left.
    #[allow(clippy::too_many_arguments)]
    pub fn received(
        &mut self,
        at: Nanos,
        sent: Nanos,
        request: u64,
        worker: usize,
        cell: usize,
        job: u64,
        told: Option<Nanos>,
    ) {
        self.seen.attempts += 1;
        let (copies, slack) = (self.second_copies, self.slack);
        let (effect, window) = self.effect(request);
        let story = self.fact(request, at, Fact::Received { worker, cell, job });
        let after = story.left.and_then(|left| sent.checked_sub(left + slack));
        let first_of_all = story.attempts.is_empty();
        let open = story.attempts.iter().any(|a| a.ended.is_none());
        let first = story.attempts.iter().find(|a| a.ended != Some(Ended::NeverRan)).cloned();
        story.attempts.push(Attempt { worker, cell, at: sent, job, ended: None, started: false });
        if let Some(first) = first {
            match effect {
                Effect::Safe => {}
                Effect::Unsafe => self.breach(
                    Rule::AtMostOnce,
                    at,
                    request,
                    format!("sent again, to worker {worker}, though worker {} may have run it", first.worker),
                ),
                e if e.keyed() && cell != first.cell => self.breach(
                    Rule::KeyedRepeat,
                    at,
                    request,
                    format!("repeated in cell {cell}, first sent to cell {}", first.cell),
                ),
                e if e.keyed() && sent > first.at + window => {
                    self.breach(
                        Rule::KeyedRepeat,
                        at,
                        request,
                        "repeated after the window of its key".into(),
                    );
                }
                Effect::Keyed | Effect::KeyedByZone => {}
            }
        }
        if let Some(after) = after.filter(|after| *after > GONE) {
            self.for_gone += 1;
            self.left_waiting.1 += u64::from(first_of_all && after >= GONE_WAITING);
            if self.for_gone > GONE_BY_CHANCE {
                let what =
                    format!("sent to worker {worker} {} ms after its client had gone", after / 1_000_000);
                self.breach(Rule::ClientGone, at, request, what);
            }
        }
        if open && !copies {
            self.breach(Rule::SecondCopy, at, request, "a second copy while the first is out".into());
        }
        if let Some(told) = told
            && sent > told + self.drain_grace
        {
            let late = (sent - told) / 1_000_000;
            self.breach(
                Rule::Drain,
                at,
                request,
                format!("sent to worker {worker} {late} ms after its drain was told"),
            );
        }
    }

    /// A worker has started a job: from now on its effect may have happened.
    pub fn started(&mut self, at: Nanos, request: u64, worker: usize, job: u64) {
        self.seen.started += 1;
        let (effect, _) = self.effect(request);
        let story = self.fact(request, at, Fact::Started { worker });
        if let Some(a) = story.attempts.iter_mut().find(|a| a.job == job) {
            a.started = true;
        }
        if effect == Effect::Unsafe && story.attempts.iter().filter(|a| a.started).count() > 1 {
            self.breach(Rule::AtMostOnce, at, request, "ran twice".into());
        }
        self.tidy(request);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, at: Nanos, request: u64, job: u64, ended: Ended) {
        if !self.open.contains_key(&request) {
            return;
        }
        let story = self.fact(request, at, Fact::Ended { worker: usize::MAX, ended });
        if let Some(a) = story.attempts.iter_mut().find(|a| a.job == job) {
            a.ended.get_or_insert(ended);
            let worker = a.worker;
            if let Some((_, Fact::Ended { worker: w, .. })) = story.facts.last_mut() {
                *w = worker;
            }
        }
        self.tidy(request);
    }

    /// A worker has made a result for a request.
    pub fn made(&mut self, request: u64, result: &str) {
        if let Some(story) = self.open.get_mut(&request).or_else(|| self.ended.get_mut(&request)) {
            story.made.push(fingerprint(result));
        }
    }

    /// A client has its answer.
    pub fn answered(&mut self, at: Nanos, request: u64, answered: Answered) {
        self.seen.answered += 1;
        let kind = match answered {
            Answered::Served(_) => "served",
            Answered::Refused => "refused",
            Answered::Failed => "failed",
        };
        let grace = self.answer_grace;
        let (effect, _) = self.effect(request);
        let story = self.fact(request, at, Fact::Answered { kind });
        let (twice, taken) = (std::mem::replace(&mut story.answered, true), story.taken);
        let late = taken && at > story.deadline.saturating_add(grace);
        let over = at.saturating_sub(story.deadline) / 1_000_000;
        let tied = story.attempts.iter().any(|a| a.ended != Some(Ended::NeverRan));
        let unmade = matches!(&answered, Answered::Served(r) if !story.made.contains(&fingerprint(r)));
        match answered {
            Answered::Served(_) => self.seen.served += 1,
            Answered::Refused => self.seen.refused += 1,
            Answered::Failed => self.seen.failed += 1,
        }
        if twice || !taken {
            let what = if twice { "answered twice" } else { "answered, but never taken" };
            self.breach(Rule::AnsweredOnce, at, request, what.into());
        }
        if late {
            self.breach(Rule::InTime, at, request, format!("answered {over} ms after its client gave up"));
        }
        if unmade {
            self.breach(
                Rule::MadeByWorker,
                at,
                request,
                "served with a result that no worker made for it".into(),
            );
        }
        if answered == Answered::Refused && tied && effect != Effect::Safe {
            self.breach(
                Rule::HonestRefusal,
                at,
                request,
                "refused as harmless, though it may have run".into(),
            );
        }
        self.tidy(request);
    }

    /// A request that is none of the scenario's clients': its attempts are followed, and no answer is owed.
    pub fn guest(&mut self, request: u64, class: usize) {
        let story = self.open.entry(request).or_default();
        (story.class, story.void) = (class, true);
    }

    /// A client's connection ended without an answer. A scheduler that was killed owes none; one that runs has lost
    /// the request, and that shows at the end of the scenario.
    pub fn unread(&mut self, at: Nanos, request: u64, scheduler: usize) {
        self.fact(request, at, Fact::Broke { scheduler });
    }

    /// A kept connection was closed while a request crossed that on its way, and there was no second one: it was
    /// never taken.
    pub fn crossed(&mut self, at: Nanos, request: u64) {
        self.seen.void += 1;
        self.fact(request, at, Fact::ClientLeft).void = true;
        self.tidy(request);
    }

    /// A client has left before its answer: nothing is owed any more.
    pub fn left(&mut self, at: Nanos, request: u64) {
        if self.open.get(&request).is_some_and(|s| !s.answered) {
            self.seen.void += 1;
            let story = self.fact(request, at, Fact::ClientLeft);
            (story.void, story.left) = (true, Some(at));
            let waiting = story.attempts.is_empty();
            self.left_waiting.0 += u64::from(waiting);
            self.tidy(request);
        }
    }

    /// A scheduler has ended.
    pub fn scheduler_ended(&mut self, at: Nanos, scheduler: usize, end: End) {
        let owed = |s: &Story| s.scheduler == scheduler && s.taken && !s.answered && !s.void;
        let mut owed: Vec<(u64, Nanos)> = self
            .open
            .iter()
            .filter(|(_, s)| owed(s))
            .map(|(r, s)| (*r, s.facts.first().map_or(0, |f| f.0)))
            .collect();
        owed.sort_unstable();
        for (request, taken) in owed {
            let lost = match end {
                End::Killed => false,
                End::ByItself => true,
                End::Overran(asked) => taken > asked + NOTICE,
            };
            if lost {
                let what = format!("scheduler {scheduler} ended and had not answered it");
                self.breach(Rule::NothingLostAtEnd, at, request, what);
            }
            self.seen.void += 1;
            if let Some(story) = self.open.get_mut(&request) {
                story.void = true;
            }
            self.tidy(request);
        }
    }

    /// A cold worker has fallen over.
    pub fn fell_over(&mut self, at: Nanos, worker: usize, push: &crate::worker::Push) {
        if push.informed >= 2.0 / 3.0 {
            let what = format!(
                "worker {worker} fell over at {:.0} % of its capacity: sent {:.2} s of work in {} jobs (the largest {:.2}), \
                 able to bear {:.2}, {:.0} % of it by schedulers that knew",
                push.warmth * 100.0,
                push.sum / 1e9,
                push.jobs,
                push.largest / 1e9,
                push.limit / 1e9,
                push.informed * 100.0
            );
            self.breach(Rule::ColdWorker, at, 0, what);
        }
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.open.values().filter(|s| s.taken && !s.answered && !s.void).count()
    }

    /// The scenario is over: what is not answered now never will be.
    pub fn finish(&mut self, at: Nanos) {
        let (waited, sent) = self.left_waiting;
        if sent * 4 > waited {
            let what =
                format!("{sent} of {waited} requests whose clients went while they waited were sent on");
            self.breach(Rule::ClientGone, at, 0, what);
        }
        let owed = |s: &Story| s.taken && !s.answered && !s.void;
        let mut lost: Vec<u64> = self.open.iter().filter(|(_, s)| owed(s)).map(|(r, _)| *r).collect();
        lost.sort_unstable();
        for request in lost {
            self.breach(Rule::AnsweredOnce, at, request, "never answered".into());
        }
    }
}

fn fingerprint(result: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(result.as_bytes());
    hasher.finish()
}

//! Textbook policies, to compare the decision module with. They keep the rules that a day can break (repeats,
//! drains, refusals), choose by their one idea, and learn nothing else.

use loomlb_policy::{
    Action, AttemptResult, Class, DedupScope, Event, Idempotency, ListKind, Nanos, Outcome, Request,
    RequestId, Settings, Worker, WorkerId, WorkerState, ZoneId,
};
use loomlb_simulation::simulate::Decider;
use rustc_hash::FxHashMap;

/// Random draws for a usable worker, before the fleet is scanned for one.
const DRAWS: usize = 16;

/// The idea by which a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idea {
    /// Any worker.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest attempts of ours.
    LeastInFlight,
    /// The better of two at random.
    TwoChoices,
}

impl Idea {
    /// All of them, with their names.
    pub const ALL: [(&'static str, Idea); 4] = [
        ("random", Idea::Random),
        ("round-robin", Idea::RoundRobin),
        ("least-in-flight", Idea::LeastInFlight),
        ("two-choices", Idea::TwoChoices),
    ];
}

#[derive(Debug)]
struct Out {
    worker: WorkerId,
    cell: u64,
    zone: ZoneId,
    sent: Nanos,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Job {
    request: Request,
    deadline: Nanos,
    attempts: Vec<Out>,
}

/// A scheduler that decides by one idea.
#[derive(Debug)]
pub struct Baseline {
    idea: Idea,
    set: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    load: FxHashMap<WorkerId, u32>,
    jobs: FxHashMap<RequestId, Job>,
    turn: usize,
    /// Baselines know a cold worker when they see one, and leave it alone until it is warm.
    now: Nanos,
}

impl Baseline {
    /// One with these settings.
    pub fn new(idea: Idea, set: Settings, seed: u64) -> Self {
        Baseline {
            idea,
            set,
            rng: fastrand::Rng::with_seed(seed),
            workers: Vec::new(),
            load: FxHashMap::default(),
            jobs: FxHashMap::default(),
            turn: 0,
            now: 0,
        }
    }

    fn class(&self, job: &Job) -> &Class {
        &self.set.classes[job.request.class.0]
    }

    /// Whether an attempt that may have run allows one at this worker.
    fn allows(&self, job: &Job, worker: &Worker) -> bool {
        let tied = job.attempts.iter().find(|a| a.outcome.is_none_or(|o| !o.never_ran()));
        let Some(first) = tied else { return true };
        let class = self.class(job);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => false,
            Idempotency::Deduplicated(group) => {
                let near = match group {
                    DedupScope::All => true,
                    DedupScope::Zone => worker.zone == first.zone,
                    DedupScope::Cell => worker.cell.0 == first.cell,
                };
                near && self.now + 4 * self.set.tick < first.sent + class.dedup_window
            }
        }
    }

    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let last = job.deadline.saturating_sub(2 * self.set.tick);
        let spent = job.attempts.len() as u32 >= self.set.limits.max_attempts.max(1);
        let cold =
            |w: &Worker| w.started_at != 0 && self.now < w.started_at + self.set.obligations.warm_up_time;
        let tried = |w: &Worker| job.attempts.iter().any(|a| a.worker == w.id);
        let usable = |w: &&Worker| !cold(w) && !tried(w) && self.allows(job, w);
        if spent || self.now >= last {
            return self.end(id, out);
        }
        let load = |w: &Worker| self.load.get(&w.id).copied().unwrap_or(0);
        let n = self.workers.len();
        let mut rng = self.rng.clone();
        // A few draws find a usable worker in nearly any fleet; only where they do not is it scanned.
        let mut draw = || {
            let drawn = (0..DRAWS.min(n)).map(|_| &self.workers[rng.usize(..n)]).find(|w| usable(w));
            drawn.or_else(|| self.workers.iter().find(|w| usable(w)))
        };
        let chosen = match self.idea {
            Idea::Random => draw(),
            Idea::RoundRobin => (0..n).map(|i| &self.workers[(self.turn + i) % n]).find(|w| usable(w)),
            Idea::TwoChoices => draw().zip(draw()).map(|(a, b)| if load(b) < load(a) { b } else { a }),
            Idea::LeastInFlight => {
                let least = self.workers.iter().filter(|w| usable(w)).map(load).min();
                let best: Vec<&Worker> =
                    self.workers.iter().filter(|w| usable(w) && Some(load(w)) == least).collect();
                best.get(rng.usize(..best.len().max(1))).copied()
            }
        };
        let Some(chosen) = chosen else { return self.end(id, out) };
        let (worker, cell, zone) = (chosen.id, chosen.cell.0, chosen.zone);
        (self.rng, self.turn) = (rng, self.turn + 1);
        let timeout = last - self.now;
        *self.load.entry(worker).or_default() += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempts.push(Out { worker, cell, zone, sent: self.now, outcome: None });
        }
        out.push(Action::Send { id, worker, timeout });
    }

    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&id) else { return };
        let tied = job.attempts.iter().any(|a| a.outcome.is_none_or(|o| !o.never_ran()));
        let free = !tied
            || matches!(
                self.class(&job).idempotency,
                Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All)
            );
        let retry_after = self.set.limits.max_retry_after.min(200_000_000);
        out.push(if free { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ended: AttemptResult, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize) else { return };
        a.outcome = Some(ended.outcome);
        if let Some(load) = self.load.get_mut(&a.worker) {
            *load = load.saturating_sub(1);
        }
        if ended.request_finished || ended.outcome == Outcome::Served {
            self.jobs.remove(&id);
        } else {
            self.place(id, out);
        }
    }
}

impl Decider for Baseline {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList { kind, entries } => {
                if kind != ListKind::Partial {
                    self.workers.clear();
                }
                for entry in entries {
                    self.workers.retain(|w| w.id != entry.id);
                    if entry.state == WorkerState::Ready {
                        self.workers.push(entry);
                    }
                }
                self.workers.sort_by_key(|w| w.id);
            }
            Event::Request(request) => {
                let (id, deadline) = (request.id, now + request.remaining);
                self.jobs.insert(id, Job { request, deadline, attempts: Vec::new() });
                self.place(id, out);
            }
            Event::RequestAbandoned(id) => {
                if let Some(job) = self.jobs.get(&id) {
                    let open = job.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
                    out.extend(open.map(|(n, _)| Action::Cancel(id, n as u32)));
                }
                // Its attempts still end, and count against their workers until then.
            }
            Event::AttemptEnded { id, attempt, result: ended } => {
                let gone = ended.outcome == Outcome::Cancelled;
                if gone && let Some(job) = self.jobs.remove(&id) {
                    for a in job.attempts.iter().filter(|a| a.outcome.is_none()) {
                        if let Some(load) = self.load.get_mut(&a.worker) {
                            *load = load.saturating_sub(1);
                        }
                    }
                } else {
                    self.ended(id, attempt, ended, out);
                }
            }
            _ => {}
        }
    }
}

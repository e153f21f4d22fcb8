//! One worker: cores, slots, a bounded queue, warmth and pauses, as a machine that is told the time.
//!
//! A job takes its slots for as long as it runs. Jobs that run share the cores evenly, so one rate holds for all of
//! them; it changes only at moments the machine knows, and between two of them the service is a product.

use loomlb_policy::{Nanos, QueueOrder};
use std::collections::VecDeque;

/// How often the rate of a cold or overfull worker is brought up to date.
const STEP: Nanos = 100_000_000;
/// Work of less than this (in nanoseconds at speed 1) counts as done.
const EPSILON: f64 = 2.0;

/// What a worker is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Slots; more of them than cores share the cores.
    pub slots: u32,
    /// Jobs that may wait.
    pub queue: usize,
    /// Speed of a core; a yardstick core has 1.
    pub speed: f64,
    /// How it serves its queue.
    pub order: QueueOrder,
    /// Efficiency lost for each request a core held beyond `thrash_at`.
    pub thrash: f64,
    /// Requests a core from which efficiency falls.
    pub thrash_at: f64,
    /// The part of its capacity that it starts with.
    pub cold_from: f64,
    /// How long it takes to warm up, in nanoseconds.
    pub cold: Nanos,
    /// Time between notes of progress, in nanoseconds; 0 for none.
    pub progress: Nanos,
    /// A cancel stops a running job as well.
    pub cancel_stops_running: bool,
    /// Connections it holds at most.
    pub connections: usize,
    /// It falls over when sent more than this multiple of its present capacity,
    pub fall_multiple: f64,
    /// for this long, in nanoseconds.
    pub fall: Nanos,
}

/// A job at a worker, by the number that the world gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: u64,
    /// Slots that it takes.
    pub slots: u32,
    /// Its work, in nanoseconds of a yardstick core.
    pub work: f64,
    /// Jobs of a higher priority are started first, where the queue is served by priority.
    pub priority: i32,
}

/// What a worker says of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// It has started.
    Started(u64),
    /// This share of it is done.
    Progress(u64, f64),
    /// It is done.
    Done(u64),
}

/// What pushed a cold worker over. Work is in nanoseconds of a yardstick core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Push {
    /// The part that came from schedulers which knew of its start.
    pub informed: f64,
    /// The work sent within the window,
    pub sum: f64,
    /// what it could bear,
    pub limit: f64,
    /// in so many jobs,
    pub jobs: usize,
    /// the largest of this size.
    pub largest: f64,
    /// The part of its capacity that it had.
    pub warmth: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    left: f64,
    note_at: Nanos,
}

/// A worker's process.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is made of.
    pub spec: Spec,
    at: Nanos,
    started: Nanos,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    paused_until: Nanos,
    /// Work owed to handshakes and probes: it takes one core until it is done.
    overhead: f64,
    /// Work received within the last `fall` while it is cold: time, work, and whether the sender knew.
    received: VecDeque<(Nanos, f64, bool)>,
    /// Work done for jobs: all of it, that of jobs that ended, and that of jobs that were dropped.
    pub delivered: f64,
    /// See `delivered`.
    pub finished: f64,
    /// See `delivered`.
    pub wasted: f64,
}

impl Worker {
    /// A process that started at `started`; 0 for long ago.
    pub fn new(spec: Spec, now: Nanos, started: Nanos) -> Self {
        Worker {
            spec,
            at: now,
            started,
            running: Vec::new(),
            waiting: VecDeque::new(),
            paused_until: 0,
            overhead: 0.0,
            received: VecDeque::new(),
            delivered: 0.0,
            finished: 0.0,
            wasted: 0.0,
        }
    }

    /// Slots that are taken.
    pub fn used(&self) -> u32 {
        self.running.iter().map(|r| r.job.slots).sum()
    }
    /// Jobs that it holds.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }
    /// The part of its capacity that it has now.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.spec.cold {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * age as f64 / self.spec.cold as f64
    }
    /// Work done for running jobs that have not ended.
    pub fn partial(&self) -> f64 {
        self.running.iter().map(|r| r.job.work - r.left).sum()
    }

    /// Nanoseconds of work done for each running job in a nanosecond.
    fn rate(&self) -> f64 {
        if self.at < self.paused_until || self.running.is_empty() {
            return 0.0;
        }
        let cores = self.spec.cores - if self.overhead > 0.0 { 1.0 } else { 0.0 };
        let share = (cores.max(0.25) / f64::from(self.used().max(1))).min(1.0);
        let crowd = (self.held() as f64 / self.spec.cores - self.spec.thrash_at).max(0.0);
        self.spec.speed * self.warmth(self.at) * share / (1.0 + self.spec.thrash * crowd)
    }

    fn overhead_rate(&self) -> f64 {
        if self.at < self.paused_until { 0.0 } else { self.spec.speed * self.warmth(self.at) }
    }

    /// The next moment at which something happens of itself.
    pub fn next(&self) -> Option<Nanos> {
        if self.running.is_empty() && self.waiting.is_empty() && self.overhead <= 0.0 {
            return None;
        }
        if self.at < self.paused_until {
            return Some(self.paused_until);
        }
        let in_ = |work: f64, rate: f64| self.at + (work.max(0.0) / rate.max(1e-9)).ceil().max(1.0) as Nanos;
        let rate = self.rate();
        let ends = self.running.iter().map(|r| in_(r.left, rate).min(r.note_at));
        let changes = self.warmth(self.at) < 1.0 && !self.running.is_empty();
        let step = changes.then_some(self.at + STEP);
        let over = (self.overhead > 0.0).then(|| in_(self.overhead, self.overhead_rate()));
        ends.chain(step).chain(over).min()
    }

    /// Brings it up to now, and adds what it has to say in the order of time.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<(Nanos, Said)>) {
        while self.at < now {
            let to = self.next().map_or(now, |t| t.min(now)).max(self.at + 1);
            let (rate, over) = (self.rate(), self.overhead_rate());
            let span = (to - self.at) as f64;
            for r in &mut self.running {
                let done = (rate * span).min(r.left);
                r.left -= done;
                self.delivered += done;
            }
            self.overhead = (self.overhead - over * span).max(0.0);
            self.at = to;
            self.settle(out);
        }
        self.start_waiting(out);
    }

    fn settle(&mut self, out: &mut Vec<(Nanos, Said)>) {
        let (at, progress) = (self.at, self.spec.progress);
        let mut ended = false;
        let finished = &mut self.finished;
        self.running.retain_mut(|r| {
            if r.left <= EPSILON {
                // What is left is a rounding error; it counts as done, so that the sums agree.
                *finished += r.job.work - r.left;
                out.push((at, Said::Done(r.job.id)));
                ended = true;
                return false;
            }
            if at >= r.note_at {
                r.note_at = at + progress;
                out.push((at, Said::Progress(r.job.id, 1.0 - r.left / r.job.work)));
            }
            true
        });
        if ended {
            self.start_waiting(out);
        }
    }

    fn start_waiting(&mut self, out: &mut Vec<(Nanos, Said)>) {
        if self.at < self.paused_until {
            return;
        }
        while !self.waiting.is_empty() {
            let free = self.spec.slots.saturating_sub(self.used());
            let fits = |j: &Job| j.slots <= free;
            let next = match self.spec.order {
                QueueOrder::Fifo => Some(0),
                QueueOrder::Backfill => self.waiting.iter().position(fits),
                // The first of the highest priority.
                QueueOrder::Priority => {
                    let top = self.waiting.iter().map(|j| j.priority).max();
                    self.waiting.iter().position(|j| Some(j.priority) == top)
                }
            };
            let Some(job) = next.filter(|&i| fits(&self.waiting[i])).and_then(|i| self.waiting.remove(i))
            else {
                return;
            };
            out.push((self.at, Said::Started(job.id)));
            let note_at = if self.spec.progress == 0 { Nanos::MAX } else { self.at + self.spec.progress };
            self.running.push(Running { left: job.work, job, note_at });
        }
    }

    /// Takes a job, or turns it away: no room, or more slots than it has. Bring it up to now first.
    pub fn offer(&mut self, job: Job, out: &mut Vec<(Nanos, Said)>) -> bool {
        let fits_now = self.waiting.is_empty() && job.slots <= self.spec.slots.saturating_sub(self.used());
        if job.slots > self.spec.slots || (!fits_now && self.waiting.len() >= self.spec.queue) {
            return false;
        }
        self.waiting.push_back(job);
        self.start_waiting(out);
        true
    }

    /// Work that serves no job: a handshake or a probe.
    pub fn burden(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Counts work that reaches a cold worker; what it was sent, if it falls over from this.
    pub fn received(&mut self, now: Nanos, work: f64, informed: bool) -> Option<Push> {
        let warmth = self.warmth(now);
        if warmth >= 1.0 || self.spec.fall_multiple <= 0.0 {
            self.received.clear();
            return None;
        }
        self.received.push_back((now, work, informed));
        while self.received.front().is_some_and(|r| r.0 + self.spec.fall < now) {
            self.received.pop_front();
        }
        let sum: f64 = self.received.iter().map(|r| r.1).sum();
        let capacity = self.spec.cores * self.spec.speed * warmth;
        let limit = self.spec.fall_multiple * capacity * self.spec.fall as f64;
        // One job is the slack for chance: the largest may be in the window or just outside it.
        let largest = self.received.iter().map(|r| r.1).fold(0.0, f64::max);
        if sum - largest <= limit {
            return None;
        }
        let known: f64 = self.received.iter().filter(|r| r.2).map(|r| r.1).sum();
        Some(Push { informed: known / sum, sum, limit, jobs: self.received.len(), largest, warmth })
    }

    /// Drops a job if it waits, or if it runs and running jobs stop; whether it was dropped.
    pub fn cancel(&mut self, id: u64) -> bool {
        if let Some(i) = self.waiting.iter().position(|j| j.id == id) {
            self.waiting.remove(i);
            return true;
        }
        if !self.spec.cancel_stops_running {
            return false;
        }
        let Some(i) = self.running.iter().position(|r| r.job.id == id) else { return false };
        let gone = self.running.remove(i);
        self.wasted += gone.job.work - gone.left;
        true
    }

    /// Hands back what waits, as it does when it drains.
    pub fn hand_back(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|j| j.id).collect()
    }

    /// Stands still until then.
    pub fn pause(&mut self, until: Nanos) {
        self.paused_until = self.paused_until.max(until);
    }

    /// The process ends; the jobs that it held, running ones first.
    pub fn stop(&mut self) -> Vec<u64> {
        self.wasted += self.partial();
        let running: Vec<u64> = self.running.drain(..).map(|r| r.job.id).collect();
        self.overhead = 0.0;
        self.received.clear();
        running.into_iter().chain(self.waiting.drain(..).map(|j| j.id)).collect()
    }

    /// A new process starts cold.
    pub fn start(&mut self, now: Nanos) {
        (self.at, self.started, self.paused_until) = (now.max(self.at), now.max(1), 0);
    }
}

//! One worker: cores, slots, a bounded queue, capacity_share and pauses, as a machine that is told the time.
//!
//! A job takes its slots for as long as it runs. Jobs that run share the cores evenly, so one rate holds for all of
//! them; it changes only at moments the machine knows, and between two of them the service is a product.

use loomlb_policy::{Nanos, QueueOrder};
use std::collections::VecDeque;

/// How often the rate of a cold or overfull worker is brought up to date.
const RATE_UPDATE_INTERVAL: Nanos = 100_000_000;
/// Work of less than this (in nanoseconds at speed 1) counts as done.
const WORK_TOLERANCE: f64 = 2.0;

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
    pub initial_capacity_share: f64,
    /// How long it takes to warm up, in nanoseconds.
    pub warm_up_time: Nanos,
    /// Time between notes of progress, in nanoseconds; 0 for none.
    pub progress_interval: Nanos,
    /// A cancel stops a running job as well.
    pub cancel_stops_running: bool,
    /// Connections it holds at most.
    pub connections: usize,
    /// It falls overhead when sent more than this multiple of its present capacity,
    pub overload_factor: f64,
    /// for this long, in nanoseconds.
    pub overload_window: Nanos,
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
pub enum JobEvent {
    /// It has started.
    Started(u64),
    /// This share of it is done.
    Progress(u64, f64),
    /// It is done.
    Done(u64),
}

/// What pushed a cold worker overhead. Work is in nanoseconds of a yardstick core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// The part that came from schedulers which knew of its start.
    pub informed_share: f64,
    /// The work sent within the window,
    pub received_work: f64,
    /// what it could bear,
    pub limit: f64,
    /// in so many jobs,
    pub job_count: usize,
    /// the largest of this size.
    pub largest_job: f64,
    /// The part of its capacity that it had.
    pub capacity_share: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    remaining_work: f64,
    next_progress_at: Nanos,
}

/// A worker's process.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it is made of.
    pub spec: Spec,
    updated_at: Nanos,
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
            updated_at: now,
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
    pub fn used_slots(&self) -> u32 {
        self.running.iter().map(|r| r.job.slots).sum()
    }
    /// Jobs that it holds.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
    /// Jobs that wait.
    pub fn queue_length(&self) -> usize {
        self.waiting.len()
    }
    /// The part of its capacity that it has now.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.spec.warm_up_time {
            return 1.0;
        }
        self.spec.initial_capacity_share
            + (1.0 - self.spec.initial_capacity_share) * age as f64 / self.spec.warm_up_time as f64
    }
    /// Work done for running jobs that have not ended.
    pub fn unfinished_work(&self) -> f64 {
        self.running.iter().map(|r| r.job.work - r.remaining_work).sum()
    }

    /// Nanoseconds of work done for each running job in a nanosecond.
    fn rate(&self) -> f64 {
        if self.updated_at < self.paused_until || self.running.is_empty() {
            return 0.0;
        }
        let cores = self.spec.cores - if self.overhead > 0.0 { 1.0 } else { 0.0 };
        let share = (cores.max(0.25) / f64::from(self.used_slots().max(1))).min(1.0);
        let excess_jobs = (self.job_count() as f64 / self.spec.cores - self.spec.thrash_at).max(0.0);
        self.spec.speed * self.capacity_share(self.updated_at) * share
            / (1.0 + self.spec.thrash * excess_jobs)
    }

    fn overhead_rate(&self) -> f64 {
        if self.updated_at < self.paused_until {
            0.0
        } else {
            self.spec.speed * self.capacity_share(self.updated_at)
        }
    }

    /// The next moment at which something happens of itself.
    pub fn next_event_time(&self) -> Option<Nanos> {
        if self.running.is_empty() && self.waiting.is_empty() && self.overhead <= 0.0 {
            return None;
        }
        if self.updated_at < self.paused_until {
            return Some(self.paused_until);
        }
        let after = |work: f64, rate: f64| {
            self.updated_at + (work.max(0.0) / rate.max(1e-9)).ceil().max(1.0) as Nanos
        };
        let rate = self.rate();
        let job_ends = self.running.iter().map(|r| after(r.remaining_work, rate).min(r.next_progress_at));
        let rate_changes = self.capacity_share(self.updated_at) < 1.0 && !self.running.is_empty();
        let rate_update = rate_changes.then_some(self.updated_at + RATE_UPDATE_INTERVAL);
        let overhead_end = (self.overhead > 0.0).then(|| after(self.overhead, self.overhead_rate()));
        job_ends.chain(rate_update).chain(overhead_end).min()
    }

    /// Brings it up to now, and adds what it has to say in the order of time.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<(Nanos, JobEvent)>) {
        while self.updated_at < now {
            let to = self.next_event_time().map_or(now, |t| t.min(now)).max(self.updated_at + 1);
            let (rate, overhead_rate) = (self.rate(), self.overhead_rate());
            let span = (to - self.updated_at) as f64;
            for r in &mut self.running {
                let done = (rate * span).min(r.remaining_work);
                r.remaining_work -= done;
                self.delivered += done;
            }
            self.overhead = (self.overhead - overhead_rate * span).max(0.0);
            self.updated_at = to;
            self.finish_jobs(out);
        }
        self.start_waiting(out);
    }

    fn finish_jobs(&mut self, out: &mut Vec<(Nanos, JobEvent)>) {
        let (at, progress) = (self.updated_at, self.spec.progress_interval);
        let mut ended = false;
        let finished = &mut self.finished;
        self.running.retain_mut(|r| {
            if r.remaining_work <= WORK_TOLERANCE {
                // What is left is a rounding error; it counts as done, so that the sums agree.
                *finished += r.job.work - r.remaining_work;
                out.push((at, JobEvent::Done(r.job.id)));
                ended = true;
                return false;
            }
            if at >= r.next_progress_at {
                r.next_progress_at = at + progress;
                out.push((at, JobEvent::Progress(r.job.id, 1.0 - r.remaining_work / r.job.work)));
            }
            true
        });
        if ended {
            self.start_waiting(out);
        }
    }

    fn start_waiting(&mut self, out: &mut Vec<(Nanos, JobEvent)>) {
        if self.updated_at < self.paused_until {
            return;
        }
        while !self.waiting.is_empty() {
            let free = self.spec.slots.saturating_sub(self.used_slots());
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
            out.push((self.updated_at, JobEvent::Started(job.id)));
            let next_progress_at = if self.spec.progress_interval == 0 {
                Nanos::MAX
            } else {
                self.updated_at + self.spec.progress_interval
            };
            self.running.push(Running { remaining_work: job.work, job, next_progress_at });
        }
    }

    /// Takes a job, or turns it away: no room, or more slots than it has. Bring it up to now first.
    pub fn offer(&mut self, job: Job, out: &mut Vec<(Nanos, JobEvent)>) -> bool {
        let fits_now =
            self.waiting.is_empty() && job.slots <= self.spec.slots.saturating_sub(self.used_slots());
        if job.slots > self.spec.slots || (!fits_now && self.waiting.len() >= self.spec.queue) {
            return false;
        }
        self.waiting.push_back(job);
        self.start_waiting(out);
        true
    }

    /// Work that serves no job: a handshake or a probe.
    pub fn add_overhead(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Counts work that reaches a cold worker; what it was sent, if it falls overhead from this.
    pub fn record_received_work(&mut self, now: Nanos, work: f64, informed: bool) -> Option<Overload> {
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 || self.spec.overload_factor <= 0.0 {
            self.received.clear();
            return None;
        }
        self.received.push_back((now, work, informed));
        while self.received.front().is_some_and(|r| r.0 + self.spec.overload_window < now) {
            self.received.pop_front();
        }
        let sum: f64 = self.received.iter().map(|r| r.1).sum();
        let capacity = self.spec.cores * self.spec.speed * capacity_share;
        let limit = self.spec.overload_factor * capacity * self.spec.overload_window as f64;
        // One job is the slack for chance: the largest may be in the window or just outside it.
        let largest = self.received.iter().map(|r| r.1).fold(0.0, f64::max);
        if sum - largest <= limit {
            return None;
        }
        let informed_work: f64 = self.received.iter().filter(|r| r.2).map(|r| r.1).sum();
        Some(Overload {
            informed_share: informed_work / sum,
            received_work: sum,
            limit,
            job_count: self.received.len(),
            largest_job: largest,
            capacity_share,
        })
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
        let cancelled = self.running.remove(i);
        self.wasted += cancelled.job.work - cancelled.remaining_work;
        true
    }

    /// Hands back what waits, as it does when it drains.
    pub fn take_queued(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|j| j.id).collect()
    }

    /// Stands still until then.
    pub fn pause(&mut self, until: Nanos) {
        self.paused_until = self.paused_until.max(until);
    }

    /// The process ends; the jobs that it held, running ones first.
    pub fn stop(&mut self) -> Vec<u64> {
        self.wasted += self.unfinished_work();
        let running: Vec<u64> = self.running.drain(..).map(|r| r.job.id).collect();
        self.overhead = 0.0;
        self.received.clear();
        running.into_iter().chain(self.waiting.drain(..).map(|j| j.id)).collect()
    }

    /// A new process starts cold.
    pub fn start(&mut self, now: Nanos) {
        (self.updated_at, self.started, self.paused_until) = (now.max(self.updated_at), now.max(1), 0);
    }
}

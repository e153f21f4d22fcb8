//! A worker: cores, slots, a bounded queue, warm-up and pauses.
//!
//! A job takes its slots while it runs. Running jobs share the cores evenly, so all of them run at the same rate.
//! The rate is constant between two events, so the work done between them is the rate times the elapsed time.

use loomlb_policy::{Nanos, QueueOrder};
use std::collections::VecDeque;

/// Time between updates of the rate of a worker whose capacity is changing.
const RATE_UPDATE_INTERVAL: Nanos = 100_000_000;
/// Remaining work below which a job counts as done, in nanoseconds of a reference core.
const WORK_TOLERANCE: f64 = 2.0;

/// The properties of a worker.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Slots; if there are more slots than cores, running jobs share the cores.
    pub slots: u32,
    /// Jobs that may be queued.
    pub queue: usize,
    /// Speed of a core, relative to a reference core.
    pub speed: f64,
    /// The order in which the queue is served.
    pub order: QueueOrder,
    /// Efficiency lost per request per core beyond `thrash_at`.
    pub thrash: f64,
    /// Requests per core above which efficiency falls.
    pub thrash_at: f64,
    /// Fraction of its capacity that it has when it starts.
    pub initial_capacity_share: f64,
    /// Time until it has its full capacity, in nanoseconds.
    pub warm_up_time: Nanos,
    /// Time between progress reports of a job, in nanoseconds; 0 for none.
    pub progress_interval: Nanos,
    /// Whether cancelling stops running jobs as well as queued ones.
    pub cancel_stops_running: bool,
    /// Connections that it accepts.
    pub connections: usize,
    /// A cold worker fails if it is sent more than this multiple of its current capacity over `overload_window`.
    pub overload_factor: f64,
    /// Time over which the work sent to a cold worker is averaged, in nanoseconds.
    pub overload_window: Nanos,
}

/// A job at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The id.
    pub id: u64,
    /// Slots that it takes.
    pub slots: u32,
    /// Work in nanoseconds of a reference core.
    pub work: f64,
    /// Priority, where the queue is ordered by priority; higher ones start first.
    pub priority: i32,
}

/// An event of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobEvent {
    /// The job has started.
    Started(u64),
    /// This fraction of the job is done.
    Progress(u64, f64),
    /// The job is done.
    Done(u64),
}

/// The overload that made a cold worker fail. Work is in nanoseconds of a reference core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Fraction of the work that was sent by schedulers that knew of the start of the worker.
    pub informed_share: f64,
    /// Work received within the window.
    pub received_work: f64,
    /// Work that the worker can take within the window.
    pub limit: f64,
    /// Jobs received within the window.
    pub job_count: usize,
    /// Work of the largest of these jobs.
    pub largest_job: f64,
    /// Fraction of its capacity that the worker had.
    pub capacity_share: f64,
}

#[derive(Clone, Debug)]
struct Running {
    job: Job,
    remaining_work: f64,
    next_progress_at: Nanos,
}

/// The process of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The properties.
    pub spec: Spec,
    updated_at: Nanos,
    started: Nanos,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    paused_until: Nanos,
    /// Work of handshakes and probes; it takes one core until it is done.
    overhead: f64,
    /// Work received within the last `overload_window` while the worker is cold: time, work, and whether the sender
    /// knew of the start.
    received: VecDeque<(Nanos, f64, bool)>,
    /// Work done for all jobs, for jobs that completed, and for jobs that were cancelled or lost.
    pub delivered: f64,
    /// See `delivered`.
    pub finished: f64,
    /// See `delivered`.
    pub wasted: f64,
}

impl Worker {
    /// Creates a process that was started at `started`; 0 for long ago.
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

    /// Returns the number of slots in use.
    pub fn used_slots(&self) -> u32 {
        self.running.iter().map(|r| r.job.slots).sum()
    }
    /// Returns the number of running and queued jobs.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
    /// Returns the number of queued jobs.
    pub fn queue_length(&self) -> usize {
        self.waiting.len()
    }
    /// Returns the fraction of its capacity that the worker has at `now`.
    pub fn capacity_share(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= self.spec.warm_up_time {
            return 1.0;
        }
        self.spec.initial_capacity_share
            + (1.0 - self.spec.initial_capacity_share) * age as f64 / self.spec.warm_up_time as f64
    }
    /// Returns the work done for running jobs.
    pub fn unfinished_work(&self) -> f64 {
        self.running.iter().map(|r| r.job.work - r.remaining_work).sum()
    }

    /// Returns the work that each running job gets per nanosecond.
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

    /// Returns the time of the next event, if there is one without further calls.
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

    /// Advances the worker to `now` and appends the events of its jobs in the order of time.
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
                // The remaining work is a rounding error and counts as done, so that the sums agree.
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
                // The first job of the highest priority.
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

    /// Accepts a job, unless the queue is full or the job has more slots than the worker. The worker must have been
    /// advanced to the current time.
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

    /// Adds work that belongs to no job: a handshake or a probe.
    pub fn add_overhead(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Records work that arrives at a cold worker, and returns the overload if the worker fails from it.
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
        // The largest job is not counted, since whether it falls into the window may be chance.
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

    /// Cancels a queued job, or a running one if the worker can stop running jobs. Returns whether the job was
    /// removed.
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

    /// Removes all queued jobs from a draining worker and returns their ids.
    pub fn take_queued(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|j| j.id).collect()
    }

    /// Pauses the worker until a time.
    pub fn pause(&mut self, until: Nanos) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Ends the process and returns the ids of its jobs, running ones first.
    pub fn stop(&mut self) -> Vec<u64> {
        self.wasted += self.unfinished_work();
        let running: Vec<u64> = self.running.drain(..).map(|r| r.job.id).collect();
        self.overhead = 0.0;
        self.received.clear();
        running.into_iter().chain(self.waiting.drain(..).map(|j| j.id)).collect()
    }

    /// Starts a new, cold process.
    pub fn start(&mut self, now: Nanos) {
        (self.updated_at, self.started, self.paused_until) = (now.max(self.updated_at), now.max(1), 0);
    }
}

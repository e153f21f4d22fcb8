//! The state that a dispatcher keeps of workers, peers, requests, classes and tenants.

use crate::api::*;
use crate::cold_start;
use crate::completion_estimator::CompletionEstimator;
use crate::decay::{DecayingValue, decay_factor, lower_median};
use crate::group_assignment::{AssignableWorker, GroupLayout};
use crate::message::SlotUsage;
use serde::{Deserialize, Serialize};

/// Seconds over which the request rate of a tenant is averaged, and for which its tokens accumulate.
const TENANT_WINDOW_S: f64 = 5.0;

/// Assumed running time of a class before its first job has ended, as a fraction of its client timeout.
const INITIAL_RUN_TIME_SHARE: f64 = 0.0625;
/// Weight of the assumed running time in jobs, where an estimate that is too low does harm. It counts the
/// less the more jobs have ended.
const ASSUMED_JOBS: f64 = 2.0;
/// Weight of a further job in the mean running time of its class, at least.
const MIN_JOB_WEIGHT: f64 = 0.03;

/// The group that a worker prefers in a layout with this number of groups.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreferredGroup {
    pub(crate) group_count: usize,
    pub(crate) group: usize,
}

/// The state of a worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerRecord {
    pub(crate) entry: Worker,
    pub(crate) listed: bool,
    /// Whether it is assigned to the group of this dispatcher.
    pub(crate) in_own_group: bool,
    /// The group that it is assigned to.
    pub(crate) group: usize,
    /// The group that it prefers, once it has been computed.
    pub(crate) preferred_group: Option<PreferredGroup>,
    /// Own attempts in flight.
    pub(crate) attempts: u32,
    /// The highest number of `attempts` since idle connections were closed.
    pub(crate) peak_attempts: u32,
    /// Slots taken by own attempts in flight.
    pub(crate) own_slots: f64,
    /// Decaying mean of `own_slots` as of `mean_updated_at`: what a delayed load report includes.
    pub(crate) mean_own_slots: f64,
    pub(crate) mean_updated_at: Nanos,
    /// Slots taken by other dispatchers according to load reports, and when the last report came.
    pub(crate) others_slots: f64,
    pub(crate) reported_at: Nanos,
    /// The last usage that each peer of the group has announced.
    pub(crate) peer_usage: Vec<PeerUsage>,
    /// Slots of the worker, once load reports have shown them.
    pub(crate) slots: Option<f64>,
    pub(crate) failures: DecayingValue,
    pub(crate) estimator: CompletionEstimator,
    /// When it last responded, or got an own attempt while it had none.
    pub(crate) last_response_at: Nanos,
    /// When the last own attempt was sent.
    pub(crate) last_sent_at: Nanos,
    pub(crate) full_until: Nanos,
    /// Cold start credit as of `cold_updated_at`; jobs may be sent while it is not negative.
    pub(crate) cold_credit: f64,
    pub(crate) cold_updated_at: Nanos,
    /// Random fraction of a job's charge that delays the first send, so that dispatchers are out of step.
    pub(crate) cold_phase: f64,
}

impl WorkerRecord {
    /// Returns the worker for its assignment to a group. Its preferred group is cached while the number of
    /// groups stays.
    pub(crate) fn assignable(
        &mut self,
        obligations: &Obligations,
        now: Nanos,
        layout: GroupLayout,
    ) -> AssignableWorker {
        let id = self.entry.id.0;
        let cold = cold_start::warmth(obligations, self.entry.started_at, now) < 1.0;
        let preferred_group = match self.preferred_group {
            Some(preferred) if preferred.group_count == layout.group_count => preferred.group,
            _ => layout.preferred_group(id),
        };
        self.preferred_group =
            Some(PreferredGroup { group_count: layout.group_count, group: preferred_group });
        AssignableWorker { id, cold, preferred_group }
    }
    /// Resets the state that doesn't survive a restart of the worker's process. Also called for a new worker.
    pub(crate) fn record_restart(&mut self, now: Nanos, cold_phase: f64) {
        (self.others_slots, self.failures, self.full_until) = (0.0, DecayingValue::default(), 0);
        self.peer_usage.clear();
        self.estimator.record_restart();
        (self.cold_credit, self.cold_updated_at, self.cold_phase) = (0.0, now, cold_phase);
    }
    /// Updates the mean of the own slots, which decays with this time constant.
    pub(crate) fn update_mean_own_slots(&mut self, now: Nanos, time_constant: f64) {
        let kept = decay_factor(now.saturating_sub(self.mean_updated_at), time_constant);
        self.mean_own_slots = self.mean_own_slots * kept + self.own_slots * (1.0 - kept);
        self.mean_updated_at = now;
    }
    /// Records that an own attempt with this number of slots is sent.
    pub(crate) fn record_sent(&mut self, now: Nanos, time_constant: f64, slots: f64) {
        self.update_mean_own_slots(now, time_constant);
        if self.attempts == 0 {
            self.last_response_at = now;
        }
        self.attempts += 1;
        self.peak_attempts = self.peak_attempts.max(self.attempts);
        (self.own_slots, self.last_sent_at) = (self.own_slots + slots, now);
    }
    /// Returns how long own attempts have been in flight without any response. A worker that accepts jobs and
    /// never answers has no failures until its attempts time out.
    pub(crate) fn silent_for(&self, now: Nanos) -> f64 {
        if self.attempts == 0 { 0.0 } else { now.saturating_sub(self.last_response_at) as f64 }
    }

    /// Returns the slots taken by others according to load reports. The value approaches `mean` with this
    /// time constant as the last report gets older.
    pub(crate) fn others_slots_at(&self, now: Nanos, mean: f64, time_constant: f64) -> f64 {
        if self.others_slots == mean {
            return mean;
        }
        mean + (self.others_slots - mean) * decay_factor(now.saturating_sub(self.reported_at), time_constant)
    }

    /// Records a load report: the size of the worker and, unless all sends are known from peers, the slots
    /// taken by others. Returns the fraction of its slots that they take. `job_slots` are the slots of a mean
    /// job and of the largest one.
    pub(crate) fn record_report(
        &mut self,
        now: Nanos,
        report: &LoadReport,
        settings: &Settings,
        job_slots: (f64, f64),
        kind_slots: Option<&mut f64>,
        all_sends_known: bool,
    ) -> Option<f64> {
        let free = report.free_slots.filter(|_| settings.free_slots_reported);
        if let Some(free) = free.filter(|&f| f > 0.5) {
            self.learn_slots(kind_slots, free, report.in_flight, job_slots.1);
        }
        let taken = report.in_flight.map(|jobs| jobs * job_slots.0.max(1.0));
        let not_free =
            |worker: &WorkerRecord| Some((worker.slots? - free?).max(0.0) + report.queued.unwrap_or(0.0));
        let taken = taken.or_else(|| not_free(self)).filter(|_| !all_sends_known)?;
        let others = self.record_taken_slots(now, taken, settings.load_reporting == LoadReporting::OnProbe);
        Some(others / self.slots.unwrap_or(others + 1.0).max(1.0))
    }

    /// Records the slots taken by all dispatchers and returns those of the others by this report alone. A
    /// fresh report includes the own attempts in flight now, a delayed one those of a while ago.
    pub(crate) fn record_taken_slots(&mut self, now: Nanos, taken: f64, fresh: bool) -> f64 {
        let others = (taken - if fresh { self.own_slots } else { self.mean_own_slots }).max(0.0);
        self.others_slots +=
            (others - self.others_slots) * if fresh || self.reported_at == 0 { 1.0 } else { 0.4 };
        self.reported_at = now;
        others
    }

    /// Learns the slots of the worker and of its kind from its free slots and, if reported, the jobs in
    /// flight. Slots may be free while jobs are queued behind a larger one: the jobs in flight count as
    /// running only if the largest job would fit. Otherwise a full worker would look larger the longer its
    /// queue is.
    pub(crate) fn learn_slots(
        &mut self,
        kind_slots: Option<&mut f64>,
        free: f64,
        in_flight: Option<f64>,
        max_job_slots: f64,
    ) {
        let no_queue = free >= max_job_slots || in_flight.is_some_and(|jobs| jobs <= 1.0);
        let jobs = in_flight.unwrap_or(self.own_slots).max(0.0);
        let slots = free + if no_queue { jobs } else { jobs.min(1.0) };
        for s in [Some(self.slots.get_or_insert(slots)), kind_slots].into_iter().flatten() {
            // Without a count of jobs in flight, those of others hide slots, so the estimate falls slowly.
            let weight = match *s {
                0.0 => 1.0,
                s if slots > s => 0.3,
                _ if !no_queue => 0.0,
                _ if in_flight.is_some() => 0.03,
                _ => 0.002,
            };
            *s += (slots - *s) * weight;
        }
    }

    /// Records the usage announced by a peer, unless a later message has arrived before. Messages count as
    /// reordered only within `reorder_window`, as sequence numbers wrap around.
    pub(crate) fn record_peer_usage(
        &mut self,
        peer: PeerId,
        usage: SlotUsage,
        now: Nanos,
        reorder_window: Nanos,
    ) {
        let mut slots = DecayingValue::default();
        slots.set(now, usage.slots.into());
        let latest = PeerUsage { peer, sequence: usage.sequence, slots, received_at: now };
        match self.peer_usage.iter_mut().find(|u| u.peer == peer) {
            Some(known)
                if usage.sequence.wrapping_sub(known.sequence) > u16::MAX / 2
                    && now < known.received_at + reorder_window => {}
            Some(known) => *known = latest,
            None => self.peer_usage.push(latest),
        }
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(&mut self, now: Nanos, time_constant: f64) {
        self.failures.set(now, self.failures.value_at(now, time_constant) + 1.0);
    }
}

/// The slots that a peer has announced to take at a worker.
#[derive(Clone, Debug)]
pub(crate) struct PeerUsage {
    pub(crate) peer: PeerId,
    pub(crate) sequence: u16,
    pub(crate) slots: DecayingValue,
    pub(crate) received_at: Nanos,
}

/// The state of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneId,
    last_message_at: Nanos,
    mean_interval: f64,
    silence_reported: bool,
}

impl Peer {
    pub(crate) fn new(zone: ZoneId, now: Nanos) -> Peer {
        Peer { zone, last_message_at: now, mean_interval: 5e8, silence_reported: false }
    }

    /// Records a message of the peer.
    pub(crate) fn record_message(&mut self, now: Nanos) {
        self.mean_interval += (now.saturating_sub(self.last_message_at) as f64 - self.mean_interval) * 0.1;
        (self.last_message_at, self.silence_reported) = (now, false);
    }

    /// Whether the peer has been silent for so long, compared with its usual intervals, that it has likely
    /// ended. Returns true only once for each silence.
    pub(crate) fn falls_silent(&mut self, now: Nanos) -> bool {
        let silent = now.saturating_sub(self.last_message_at) as f64 > 1e9 + 8.0 * self.mean_interval;
        silent && !std::mem::replace(&mut self.silence_reported, true)
    }
}

/// An attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent_at: Nanos,
    pub(crate) started_at: Option<Nanos>,
    pub(crate) outcome: Option<Outcome>,
}

/// A request with its attempts.
#[derive(Debug, Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    /// Attempts at most, by the settings at its arrival.
    pub(crate) max_attempts: u32,
    /// No attempt is sent before this time: to wait for probes, or after workers were full.
    pub(crate) not_before: Nanos,
    /// When its latency objective ends.
    pub(crate) objective_at: Nanos,
    /// Expected work, in nanoseconds on a standard core.
    pub(crate) work: f64,
    /// Latest start with which a mean job of the class ends within the objective.
    pub(crate) latest_start: Nanos,
    pub(crate) in_share: bool,
    pub(crate) answered: bool,
    /// Whether workers have been probed for it.
    pub(crate) probed: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Job {
    /// Returns the number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    /// Returns the attempts that may have run.
    pub(crate) fn possibly_run_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }
}

/// Estimates for a class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClassEstimate {
    /// Mean running time of a job, without queueing.
    #[serde(rename = "run")]
    pub(crate) mean_run_time: f64,
    /// Whether a job has ended.
    #[serde(rename = "seen")]
    pub(crate) any_ended: bool,
    /// Jobs in the mean; 0 in a snapshot of a version without this field.
    #[serde(default, rename = "count")]
    pub(crate) job_count: u32,
    /// Assumed running time before the first job has ended.
    #[serde(default, rename = "most")]
    pub(crate) assumed_run_time: f64,
    /// The longest time to wait that a client has given; a shorter one indicates a later try.
    #[serde(rename = "longest")]
    pub(crate) max_remaining: Nanos,
}

impl ClassEstimate {
    /// The estimate before any job has ended, from the settings of the class.
    pub(crate) fn new(class: &Class) -> ClassEstimate {
        let run_time = (class.latency_objective as f64).max(1e6);
        ClassEstimate {
            mean_run_time: run_time,
            any_ended: false,
            job_count: 0,
            assumed_run_time: run_time.max(class.client_timeout as f64 * INITIAL_RUN_TIME_SHARE),
            max_remaining: 0,
        }
    }
    /// Returns the number of jobs in the mean. A snapshot without the count is assumed to contain many.
    fn jobs(&self) -> u32 {
        if self.any_ended && self.job_count == 0 { u32::MAX } else { self.job_count }
    }
    /// Records the running time of a job: the arithmetic mean for the first jobs, then an exponential one.
    pub(crate) fn record_run_time(&mut self, run_time: f64) {
        (self.job_count, self.any_ended) = (self.jobs().saturating_add(1), true);
        self.mean_run_time +=
            (run_time - self.mean_run_time) * (1.0 / f64::from(self.job_count)).max(MIN_JOB_WEIGHT);
    }
    /// Returns the factor by which the mean is increased where a low estimate does harm: many dispatchers
    /// that have seen no job, or a single short one, would together overload a cold worker.
    pub(crate) fn caution_factor(&self) -> f64 {
        let jobs = f64::from(self.jobs());
        let assumed_weight = ASSUMED_JOBS / (1.0 + jobs);
        (self.assumed_run_time * assumed_weight / self.mean_run_time.max(1.0) + jobs)
            / (assumed_weight + jobs)
    }
}

/// A tenant's request rate at this dispatcher, and the token bucket of its share.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TenantUsage {
    #[serde(rename = "used")]
    pub(crate) request_rate: DecayingValue,
    #[serde(rename = "level")]
    tokens: f64,
    #[serde(rename = "at")]
    refilled_at: Nanos,
}

impl TenantUsage {
    /// Takes a token for a request and returns whether there was one. The bucket is filled at `tokens_per_s`
    /// and holds those of `window_s` seconds and a few more. The request rate becomes `request_rate`.
    pub(crate) fn take_token(
        &mut self,
        now: Nanos,
        window_s: f64,
        tokens_per_s: f64,
        request_rate: f64,
    ) -> bool {
        self.request_rate.set(now, request_rate);
        let tokens = self.tokens + tokens_per_s * now.saturating_sub(self.refilled_at) as f64 / 1e9;
        let tokens = tokens.min(5.0 + window_s * tokens_per_s);
        self.tokens = if tokens >= 1.0 { tokens - 1.0 } else { tokens };
        self.refilled_at = now;
        tokens >= 1.0
    }
}

/// Takes a token for a request and returns whether its tenant is within its share at this dispatcher. The
/// share is an equal part of the quota, or the part that the median tenant uses here if that is higher:
/// traffic is uneven, and a busy dispatcher would otherwise count tenants as over their share that are within
/// their quota.
pub(crate) fn take_from_share(
    tenants: &mut [TenantUsage],
    settings: &Settings,
    tenant: Option<TenantId>,
    is_retry: bool,
    now: Nanos,
) -> bool {
    let Some(t) = tenant.map(|t| t.0).filter(|&t| t < tenants.len()) else { return true };
    let quota = |t: usize| settings.tenants[t].quota_per_s.max(1e-9);
    let rate = |t: usize| tenants[t].request_rate.value_at(now, TENANT_WINDOW_S * 1e9);
    let used_parts = (0..tenants.len()).map(|t| rate(t) / quota(t)).collect();
    let part = lower_median(used_parts).max(1.0 / f64::from(settings.dispatcher_count.max(1)));
    let (tokens_per_s, own_rate) = (part * quota(t), rate(t));
    tenants[t].take_token(
        now,
        TENANT_WINDOW_S,
        tokens_per_s,
        if is_retry { own_rate } else { own_rate + 1.0 / TENANT_WINDOW_S },
    )
}

/// A random number generator with the seed of the dispatcher.
#[derive(Debug)]
pub(crate) struct Random(pub(crate) fastrand::Rng);

impl Default for Random {
    fn default() -> Self {
        Random(fastrand::Rng::with_seed(0))
    }
}

/// Selects the candidate with the highest score above 0; among equal scores each is equally likely.
#[derive(Debug, Default)]
pub(crate) struct BestCandidate {
    score: f64,
    pub(crate) worker: Option<usize>,
    tied: f64,
}

impl BestCandidate {
    /// Adds a candidate.
    pub(crate) fn offer(&mut self, worker: usize, score: f64, rng: &mut Random) {
        if score > self.score {
            (self.score, self.worker, self.tied) = (score, Some(worker), 1.0);
        } else if score == self.score {
            self.tied += 1.0;
            if rng.0.f64() * self.tied < 1.0 {
                self.worker = Some(worker);
            }
        }
    }
}

/// The workers to which a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RetryScope {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Never,
}

impl RetryScope {
    /// Whether the scope contains a worker.
    pub(crate) fn allows(self, worker: &Worker) -> bool {
        match self {
            RetryScope::Anywhere => true,
            RetryScope::Zone(zone) => worker.zone == zone,
            RetryScope::Cell(cell) => worker.cell == cell,
            RetryScope::Never => false,
        }
    }
}

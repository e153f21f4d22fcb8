//! The decisions of a dispatcher. The interface, that is settings, events and actions, is in `src/api.rs`.
//!
//! [`Dispatcher::handle`] turns events into actions. `pick_worker` chooses the worker for a request: the
//! highest q of the class's random neural network (`src/network.rs`) divided by what counts against the
//! worker, among those that `is_usable` permits. The state of workers, requests and classes is in
//! `src/state.rs`.

mod learned_state;

use crate::api::*;
use crate::cold_start;
use crate::decay::{DecayingValue, update_mean};
use crate::group_assignment::{AssignableWorker, GroupLayout, rendezvous_weight};
use crate::group_traffic::GroupTraffic;
use crate::message::{Message, SlotUsage};
pub use crate::network::Network;
use crate::state::{
    Attempt, BestCandidate, ClassEstimate, Job, Peer, Random, RetryScope, TenantUsage, WorkerRecord,
    take_from_share,
};
pub use learned_state::LearnedState;
use rustc_hash::FxHashMap;

/// Fraction of requests that are sent to a random usable worker.
const EXPLORATION_RATE: f64 = 0.1;
/// A worker with own attempts counts as silent after this many mean running times without a response.
const SILENCE_RUN_TIMES: f64 = 4.0;
/// Time constant with which failures of a worker and waits in a zone decay.
const FAILURE_DECAY_NS: f64 = 7e9;
/// The goal G of a failed attempt, in mean running times.
const FAILED_GOAL_RUN_TIMES: f64 = 4.0;
/// Weight of the cost of crossing zones, relative to the worth of the request, in running times.
const CROSS_ZONE_RUN_TIMES: f64 = 8.0;
/// Workers that an affinity key is bound to at first.
const AFFINITY_WORKERS: f64 = 1.5;
/// Fraction of its slack during which a job is bound to the workers of its key; they widen to all workers.
const AFFINITY_SLACK_SHARE: f64 = 0.3;
/// Weight of slots missing at a worker, in mean running times. A late answer has no worth, so workers with
/// free slots come first. Jobs that find none wait at the dispatcher, where they can still go to any worker.
const MISSING_SLOTS_RUN_TIMES: f64 = 4.0;
/// After this time without a send or a response a job is sent even if recent waits were long.
const RETRY_AFTER_QUIET_NS: Nanos = 1_000_000_000;
/// Fraction of a worker's failures that remains after a served job, as a worker that fails most jobs serves
/// some.
const FAILURES_KEPT_AFTER_SUCCESS: f64 = 0.7;
/// Time constant with which usage announced by peers decays, as a later message may be lost. Jobs can run for
/// many seconds, and a worker that they occupy must not look free.
const PEER_USAGE_DECAY_NS: f64 = 60e9;
/// A message that was overtaken by a later one arrives within this time of it.
const REORDER_WINDOW_NS: Nanos = 10_000_000_000;
/// Expected additional wait for each own job queued at a worker, in mean running times.
const QUEUED_JOB_RUN_TIMES: f64 = 0.5;
/// Fraction of the latency objective that is kept free as a margin, as others send to the same worker.
const OBJECTIVE_MARGIN: f64 = 0.7;
/// Fraction of a worker's slots that a request without worth leaves free.
const RESERVED_SLOT_SHARE: f64 = 0.2;

/// Longest delay before a failed request for the worker list is repeated. What it would have brought counts
/// as known soon after.
const MAX_LIST_RETRY_DELAY_NS: f64 = 1e9;

/// Timer token: request the worker list.
const LIST_TIMER: u64 = 1;
/// Dispatchers in a group. Every send is announced to the group that its worker is assigned to.
const GROUP_SIZE: usize = 12;
/// Timer token: try to send the waiting requests, periodically.
const WAITING_TIMER: u64 = 2;
/// Timer token: try to send the waiting requests, once probes have been answered.
const PROBE_TIMER: u64 = 3;
/// Probes before a send at most.
const MAX_PROBES: f64 = 3.0;
/// Fraction of the worth of the mean request that may be spent on probes.
const PROBE_BUDGET: f64 = 0.015;

/// The decision module of one dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: Random,
    now: Nanos,
    /// The network and the estimate of each class.
    networks: Vec<Network>,
    class_estimates: Vec<ClassEstimate>,
    /// Workers by index; an index is used again once its worker has been removed.
    workers: Vec<WorkerRecord>,
    worker_indexes: FxHashMap<WorkerId, usize>,
    free_indexes: Vec<usize>,
    /// Mean slots of a worker of each kind; 0 if unknown.
    kind_slots: Vec<f64>,
    /// Open requests.
    jobs: FxHashMap<RequestId, Job>,
    /// Requests that wait for a worker.
    waiting: Vec<RequestId>,
    waiting_timer_set: bool,
    peers: std::collections::BTreeMap<PeerId, Peer>,
    /// The other members of the own group, and of each group.
    own_group: Vec<PeerId>,
    groups: Vec<Vec<PeerId>>,
    /// `in_own_group` of each worker, in contiguous memory as each pick reads all of them.
    in_own_group: Vec<bool>,
    groups_outdated: bool,
    /// Sequence number of the last usage message.
    sequence: u16,
    /// When the first worker list was received.
    first_list_at: Nanos,
    tenant_usage: Vec<TenantUsage>,
    list_received: bool,
    /// Failures since the last list that was received.
    failed_list_requests: u32,
    /// Mean running time of all jobs.
    mean_run_time: f64,
    /// Mean wait for a start in each zone.
    zone_waits: Vec<DecayingValue>,
    mean_worth: f64,
    /// Additional running time of a job whose data must be fetched.
    fetch_time: f64,
    /// Mean running time per unit of work for each kind; 0 if unknown.
    kind_run_time_per_work: Vec<f64>,
    /// Mean and highest number of slots that a request takes.
    mean_slots: f64,
    max_slots: f64,
    mean_worth_density: f64,
    /// Fraction of a worker's slots taken by other dispatchers, averaged over all workers.
    others_slot_share: f64,
    /// Estimated fraction of jobs that find no room at workers outside the own group.
    outside_wait_rate: f64,
    group_traffic: GroupTraffic,
}

impl Dispatcher {
    /// Returns a dispatcher that has not received a worker list yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher {
            rng: Random(fastrand::Rng::with_seed(seed)),
            networks: vec![Network::default(); settings.classes.len()],
            class_estimates: settings.classes.iter().map(ClassEstimate::new).collect(),
            kind_slots: vec![0.0; settings.kind_count],
            kind_run_time_per_work: vec![0.0; settings.kind_count],
            tenant_usage: vec![TenantUsage::default(); settings.tenants.len()],
            zone_waits: vec![DecayingValue::default(); settings.zone_count],
            settings,
            ..Dispatcher::default()
        }
    }

    /// Handles an event that happens at `now` and appends the resulting actions to `out`. Events of the same
    /// time are handled in their order.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList { kind, entries } => self.update_worker_list(kind, entries, out),
            Event::ListRequestFailed => self.retry_list_request(out),
            Event::SettingsChanged(settings, origins) => self.apply_settings(*settings, &origins),
            Event::Request(request) => self.accept_request(request, out),
            Event::RequestAbandoned(id) => {
                // Cancelling its attempts frees their slots for other requests.
                self.cancel_attempts(id, out);
                self.close_request(id);
            }
            Event::JobProgress(id, attempt, progress) => self.record_progress(id, attempt, progress),
            Event::ResponseStarted(id, _) => self.close_request(id),
            Event::AttemptEnded { id, attempt, result } => self.finish_attempt(id, attempt, result, out),
            Event::ProbeEnded { worker, result } => {
                let Some(&w) = self.worker_indexes.get(&worker) else { return };
                match result.load_report {
                    Some(report) => self.record_report(w, &report),
                    None if result.outcome != Outcome::Served => {
                        self.workers[w].record_failure(now, FAILURE_DECAY_NS)
                    }
                    None => {}
                }
            }
            Event::TimerFired(LIST_TIMER) => out.push(Action::WatchList),
            Event::TimerFired(PROBE_TIMER) => self.serve_waiting_requests(out),
            Event::TimerFired(WAITING_TIMER) => {
                self.waiting_timer_set = false;
                self.serve_waiting_requests(out);
            }
            Event::TimerFired(_) => {}
            Event::PeerMessage(from, bytes) => Message::decode(&bytes)
                .into_iter()
                .for_each(|message| self.handle_peer_message(from, message, out)),
        }
    }

    // ---- worker list

    fn update_worker_list(&mut self, kind: ListKind, entries: Vec<Worker>, out: &mut Vec<Action>) {
        if kind != ListKind::Partial {
            let named: rustc_hash::FxHashSet<WorkerId> = entries.iter().map(|e| e.id).collect();
            for w in 0..self.workers.len() {
                if self.workers[w].listed && !named.contains(&self.workers[w].entry.id) {
                    self.remove_worker(w);
                }
            }
        }
        for entry in entries {
            self.update_worker(entry);
        }
        if kind != ListKind::Persisted {
            self.failed_list_requests = 0;
        }
        self.groups_outdated = true;
        let first = !std::mem::replace(&mut self.list_received, true);
        if first && self.settings.limits.peer_messages {
            self.first_list_at = self.now;
            // In a single zone all dispatchers are peers. Their hellos need not arrive, as many are lost when
            // many dispatchers start at once.
            let all = (0..self.settings.dispatcher_count).filter(|_| self.settings.zone_count <= 1);
            self.peers.extend(all.map(|p| (PeerId(p), Peer::new(self.settings.own_zone, self.now))));
            out.push(Action::SendToPeers(Recipient::All, Message::Hello(self.settings.own_zone).encode()));
        }
        if first && self.settings.list_needs_watch {
            // The list service has a fixed capacity: the more dispatchers there are, which may all start at
            // once, the longer their first requests are spread. The persisted list is used until then.
            let spread = 0.5 - 0.5 / f64::from(self.settings.dispatcher_count.max(1));
            let after = self.rng.0.f64() * spread * self.settings.obligations.list_request_interval as f64;
            out.push(Action::SetTimer { after: after as Nanos, token: LIST_TIMER });
        }
        self.serve_waiting_requests(out);
    }

    fn update_worker(&mut self, entry: Worker) {
        let known = self.worker_indexes.get(&entry.id).copied();
        if entry.state != WorkerState::Ready {
            // A draining worker gets no new attempts, although it accepts them during its grace period.
            return known.into_iter().for_each(|w| self.remove_worker(w));
        }
        let w = known.unwrap_or_else(|| {
            let w = self.free_indexes.pop().unwrap_or_else(|| {
                self.workers.push(WorkerRecord::default());
                self.workers.len() - 1
            });
            self.workers[w] = WorkerRecord { entry: entry.clone(), ..WorkerRecord::default() };
            self.worker_indexes.insert(entry.id, w);
            w
        });
        let first = known.is_none() || !self.workers[w].listed;
        if first || self.workers[w].entry.started_at != entry.started_at {
            let cold_phase = self.rng.0.f64();
            self.workers[w].record_restart(self.now, cold_phase);
        }
        let kind = entry.kind;
        self.workers[w].entry = entry;
        if !std::mem::replace(&mut self.workers[w].listed, true) {
            for (network, class) in self.networks.iter_mut().zip(&self.settings.classes) {
                if class.kind.is_none_or(|k| k == kind) {
                    network.join(w, kind);
                }
            }
        }
    }

    fn remove_worker(&mut self, w: usize) {
        if std::mem::replace(&mut self.workers[w].listed, false) {
            for network in &mut self.networks {
                network.leave(w);
            }
        }
        self.free_index(w);
    }

    /// Frees the index of a removed worker once it has no own attempts.
    fn free_index(&mut self, w: usize) {
        let WorkerRecord { entry, listed, attempts, .. } = &self.workers[w];
        if !listed && *attempts == 0 && self.worker_indexes.remove(&entry.id).is_some() {
            self.free_indexes.push(w);
        }
    }

    // ---- peers

    /// Divides the dispatchers of a zone into groups and assigns each group an equal part of the zone's
    /// workers. Dispatchers prefer the workers of their group, and announce every send and end at a worker to
    /// its group. So the members of a group know all attempts at its workers, with few messages.
    fn update_groups(&mut self) {
        if !std::mem::take(&mut self.groups_outdated) || self.peers.is_empty() {
            return;
        }
        self.peers.insert(self.settings.own_id, Peer::new(self.settings.own_zone, self.now));
        let zone_peers = self.peers.iter().filter(|p| p.1.zone == self.settings.own_zone);
        let zone_peers: Vec<PeerId> = zone_peers.map(|p| *p.0).collect();
        let mut zone_workers: Vec<usize> = (0..self.workers.len()).collect();
        zone_workers
            .retain(|&w| self.workers[w].listed && self.workers[w].entry.zone == self.settings.own_zone);
        // Fewer, larger groups if there were less than four workers for each.
        let layout = GroupLayout::new(
            zone_peers.len(),
            zone_peers.len().div_ceil(GROUP_SIZE).min(zone_workers.len().div_ceil(4)).max(1),
        );
        let own_group =
            layout.group_of(zone_peers.iter().position(|p| *p == self.settings.own_id).unwrap_or(0));
        let members =
            |g| layout.members(g).map(|i| zone_peers[i]).filter(|p| *p != self.settings.own_id).collect();
        self.groups = (0..layout.group_count).map(members).collect();
        self.own_group = self.groups[own_group].clone();
        zone_workers.sort_by_cached_key(|&w| self.workers[w].entry.id);
        let (obligations, now) = (&self.settings.obligations, self.now);
        let assignable: Vec<AssignableWorker> =
            zone_workers.iter().map(|&w| self.workers[w].assignable(obligations, now, layout)).collect();
        self.workers.iter_mut().for_each(|worker| (worker.in_own_group, worker.group) = (false, own_group));
        self.in_own_group = vec![false; self.workers.len()];
        for (&w, group) in zone_workers.iter().zip(layout.assign(&assignable)) {
            (self.workers[w].in_own_group, self.workers[w].group) = (group == own_group, group);
            self.in_own_group[w] = group == own_group;
        }
    }

    /// Announces the slots taken at a worker to the group that the worker is assigned to.
    fn announce_usage(&mut self, w: usize, failed: bool, out: &mut Vec<Action>) {
        self.sequence = self.sequence.wrapping_add(1);
        let worker = &self.workers[w];
        if worker.in_own_group {
            self.group_traffic.record_sent(self.now);
        }
        let usage = SlotUsage {
            worker: worker.entry.id,
            slots: worker.own_slots as u8,
            sequence: self.sequence,
            failed,
        };
        let bytes = Message::SlotUsage(usage).encode();
        let group = self.groups.get(worker.group).unwrap_or(&self.own_group);
        out.extend(group.iter().map(|&p| Action::SendToPeers(Recipient::One(p), bytes.clone())));
    }

    fn handle_peer_message(&mut self, from: PeerId, message: Message, out: &mut Vec<Action>) {
        self.peers.get_mut(&from).into_iter().for_each(|p| p.record_message(self.now));
        let zone = match message {
            Message::SlotUsage(usage) => return self.record_peer_usage(from, usage),
            Message::Hello(zone) | Message::HelloReply(zone, _) => zone,
        };
        let is_new = self.peers.insert(from, Peer::new(zone, self.now)).is_none();
        self.groups_outdated |= is_new;
        if let Message::HelloReply(_, slots_by_kind) = message {
            // A full worker never shows its slots, so a new dispatcher adopts those that its peers have
            // learned.
            let unknown = self.kind_slots.iter_mut().zip(slots_by_kind).filter(|(own, _)| **own == 0.0);
            return unknown.for_each(|(own, slots)| *own = f64::from(slots) / 8.0);
        }
        // The peer has restarted, so what its old process had announced no longer applies.
        self.workers.iter_mut().for_each(|worker| worker.peer_usage.retain(|u| u.peer != from));
        // A peer that starts later than this dispatcher has missed its hello.
        if is_new || self.now > self.first_list_at + 100_000_000 {
            let slots_by_kind = self.kind_slots.iter().map(|s| (s * 8.0) as u8).collect();
            out.push(Action::SendToPeers(
                Recipient::One(from),
                Message::HelloReply(self.settings.own_zone, slots_by_kind).encode(),
            ));
        }
    }

    fn record_peer_usage(&mut self, peer: PeerId, usage: SlotUsage) {
        let Some(&w) = self.worker_indexes.get(&usage.worker) else { return };
        let worker = &mut self.workers[w];
        if usage.failed {
            worker.record_failure(self.now, FAILURE_DECAY_NS);
        }
        worker.record_peer_usage(peer, usage, self.now, REORDER_WINDOW_NS);
        self.group_traffic.record_received(self.now);
    }

    /// Drops the usage announced by peers that have fallen silent: they have likely ended, and their jobs
    /// with them.
    fn drop_usage_of_silent_peers(&mut self) {
        let now = self.now;
        for id in self.peers.iter_mut().filter_map(|(id, p)| p.falls_silent(now).then_some(id)) {
            self.workers.iter_mut().for_each(|worker| worker.peer_usage.retain(|u| u.peer != *id));
        }
    }

    fn retry_list_request(&mut self, out: &mut Vec<Action>) {
        // Backs off while requests fail, but stays well within the required interval.
        self.failed_list_requests = (self.failed_list_requests + 1).min(4);
        let max_delay = (self.settings.obligations.list_request_interval as f64 * 0.4
            / f64::from(16 >> self.failed_list_requests))
        .min(MAX_LIST_RETRY_DELAY_NS);
        let after = max_delay * (0.5 + 0.5 * self.rng.0.f64());
        out.push(Action::SetTimer { after: after as Nanos, token: LIST_TIMER });
    }

    // ---- requests

    fn accept_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        request.slots = request.slots.max(1.0);
        let Some(class) = self.settings.classes.get(request.class.0) else {
            return out.push(Action::Refuse { id, retry_after: 0 });
        };
        let estimate = &mut self.class_estimates[request.class.0];
        estimate.max_remaining = estimate.max_remaining.max(request.remaining);
        // The objective counts from the client's first try; a shorter remaining time shows how long ago that
        // was.
        let waited = estimate.max_remaining - request.remaining;
        // Most jobs are shorter than the mean; a hint is more accurate, but not exact.
        let work = request.expected_work.map_or(estimate.mean_run_time * 0.3, |e| e as f64 * 0.6);
        let slack = class.latency_objective as f64 * 0.7 + (class.objective_stretch - 1.0) * work;
        let latest_start = (self.now + slack.max(0.0) as Nanos).saturating_sub(waited);
        let work = request.expected_work.map_or(estimate.mean_run_time, |e| e as f64);
        let objective_at = (self.now + class.latency_objective + (class.objective_stretch * work) as Nanos)
            .saturating_sub(waited);
        let take_token = |s: &mut Self| {
            take_from_share(&mut s.tenant_usage, &s.settings, request.tenant, request.is_retry, s.now)
        };
        let in_share = request.in_share.unwrap_or_else(|| take_token(self));
        let worth = self.worth(request.class.0);
        update_mean(&mut self.mean_worth, worth, 0.01);
        let job = Job {
            arrived_at: self.now,
            max_attempts: self.settings.limits.max_attempts,
            deadline: self
                .now
                .saturating_add(request.answer_within.unwrap_or(u64::MAX).min(request.remaining)),
            latest_start,
            objective_at,
            work,
            in_share,
            request,
            ..Job::default()
        };
        let worth_density = self.worth_density(&job);
        update_mean(&mut self.mean_worth_density, worth_density, 0.01);
        update_mean(&mut self.mean_slots, job.request.slots, 0.02);
        self.max_slots = self.max_slots.max(job.request.slots);
        // If no capacity is known, requests are refused rather than queued once waits are long, or all
        // answers would be late in overload. Only sent jobs show that waits have become short again, so one
        // is sent after a quiet time.
        let max_wait = self.mean_run_time + slack * worth_density / self.mean_worth_density.max(1e-9);
        let recently_active = || {
            self.workers.iter().any(|worker| {
                self.now < worker.last_sent_at.max(worker.last_response_at) + RETRY_AFTER_QUIET_NS
            })
        };
        let refuse = self.capacity_unknown()
            && recently_active()
            && self.zone_wait(self.settings.own_zone.0) > max_wait;
        self.jobs.insert(id, job);
        if refuse {
            self.end_request(id, out);
        } else if !self.waiting.is_empty() || !self.try_send(id, out) {
            self.waiting.push(id);
            self.serve_waiting_requests(out);
        }
    }

    /// Returns the latest end of an attempt that still leaves time to answer.
    fn attempts_end_by(&self, job: &Job) -> Nanos {
        job.deadline.saturating_sub(2 * self.settings.tick)
    }

    /// Tries to send a request. Returns false if it must wait; true also if it has been ended instead.
    fn try_send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let attempts_end_by = self.attempts_end_by(job);
        if job.answered || job.attempts_in_flight() > 0 {
            return true;
        }
        let exhausted = job.attempts.len() as u32 >= job.max_attempts.max(1);
        if self.now >= attempts_end_by || exhausted || self.retry_scope(job) == RetryScope::Never {
            self.end_request(id, out);
            return true;
        }
        if self.now < job.not_before || !job.probed && self.probe_workers(id, out) {
            return false;
        }
        self.pick_worker(id).is_some_and(|w| self.send(id, w, out))
    }

    /// Returns how many workers are probed before a send on average, as permitted by the cost of a probe.
    /// Where job starts are reported, few probes suffice to learn the size of workers and which have room
    /// again.
    fn probes_per_send(&self) -> f64 {
        let enabled = f64::from(u8::from(
            self.settings.load_reporting == LoadReporting::OnProbe && self.settings.limits.probing,
        ));
        let budget = if self.queues_known_by_starts() { PROBE_BUDGET / 5.0 } else { PROBE_BUDGET };
        (budget / self.settings.costs.probe.max(1e-9)).min(MAX_PROBES) * enabled
    }

    /// Probes some workers of the zone before a request is sent, as a dispatcher with little traffic knows
    /// little about their load. Returns true if the request has to wait for the answers.
    fn probe_workers(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let probes = self.probes_per_send();
        let probes = if probes > 0.0 { (probes + self.rng.0.f64()) as usize } else { 0 };
        let Some(job) = self.jobs.get_mut(&id).filter(|_| probes > 0) else { return false };
        let class = job.request.class.0;
        let wait = (self.settings.classes[class].latency_objective / 100).max(self.settings.tick);
        (job.probed, job.not_before) = (true, self.now + wait);
        let zone_workers = self.networks[class].neurons.iter().map(|n| &self.workers[n.worker].entry);
        let mut zone_workers: Vec<_> =
            zone_workers.filter(|e| e.zone == self.settings.own_zone).map(|e| e.id).collect();
        for _ in 0..probes.min(zone_workers.len()) {
            out.push(Action::Probe(zone_workers.swap_remove(self.rng.0.usize(..zone_workers.len()))));
        }
        out.push(Action::SetTimer { after: wait, token: PROBE_TIMER });
        true
    }

    fn send(&mut self, id: RequestId, w: usize, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return true };
        let worker = &mut self.workers[w];
        let (zone, cell) = (worker.entry.zone, worker.entry.cell);
        worker.record_sent(self.now, self.mean_run_time, job.request.slots);
        job.attempts.push(Attempt {
            worker: w,
            zone,
            cell,
            sent_at: self.now,
            started_at: None,
            outcome: None,
        });
        let work =
            job.work / cold_start::warmth(&self.settings.obligations, worker.entry.started_at, self.now);
        worker.estimator.record_sent(
            id,
            job.attempts.len() as u32 - 1,
            self.now,
            work,
            job.request.affinity_key,
        );
        let timeout = job.deadline.saturating_sub(2 * self.settings.tick).saturating_sub(self.now).max(1);
        let worker_id = worker.entry.id;
        let (class, slots) = (job.request.class.0, job.request.slots);
        if let Some((charge, credit)) = self.cold_start_charge(w, class, slots) {
            let worker = &mut self.workers[w];
            (worker.cold_credit, worker.cold_updated_at, worker.cold_phase) =
                (credit - charge, self.now, 0.0);
        }
        out.push(Action::Send { id, worker: worker_id, timeout });
        self.announce_usage(w, false, out);
        true
    }

    /// Ends a request that gets no further attempt: refuses it if a retry is safe, otherwise fails it.
    fn end_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else { return };
        let idempotency = self.settings.classes[job.request.class.0].idempotency;
        let retry_is_safe =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All));
        let retry_is_safe = retry_is_safe || job.possibly_run_attempts().next().is_none();
        let retry_after = if retry_is_safe { self.retry_after(id) } else { 0 };
        out.push(if retry_is_safe { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.close_request(id);
    }

    /// Returns how long a refused client should wait: the time in which the waiting requests and its own get
    /// a slot, given the mean running time. It is spread by the request id, so that clients don't return at
    /// once.
    fn retry_after(&self, id: RequestId) -> Nanos {
        let max_retry_after = self.settings.limits.max_retry_after;
        let slots: f64 = self
            .workers
            .iter()
            .filter(|worker| worker.listed)
            .filter_map(|worker| self.worker_slots(worker))
            .sum();
        let waiting_slots = (1.0 + self.waiting.len() as f64) * self.mean_slots.max(1.0);
        let wait = self.mean_run_time * waiting_slots / slots.max(1.0) * (0.5 + rendezvous_weight(id.0, 0));
        (wait as Nanos).max(self.settings.tick).min(max_retry_after)
    }

    /// Cancels the attempts of a request in flight, where attempts can be cancelled.
    fn cancel_attempts(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let in_flight = job.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        out.extend(in_flight.map(|(i, _)| Action::Cancel(id, i as u32)));
    }

    /// Marks a request as answered and removes it once it has no attempts in flight.
    fn close_request(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        if job.attempts_in_flight() == 0 {
            self.jobs.remove(&id);
        }
    }

    /// Tries to send the waiting requests, those with the highest worth density first. A request that can no
    /// longer start in time is refused before its objective ends, as it would take the slots of one that can.
    fn serve_waiting_requests(&mut self, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let rank =
            |id: &RequestId| self.jobs.get(id).map(|j| (self.worth_density(j).to_bits(), j.arrived_at));
        waiting.sort_by_cached_key(|id| std::cmp::Reverse(rank(id)));
        // The fewest slots for which no worker was found, by class.
        let mut blocked_slots = vec![f64::MAX; self.settings.classes.len()];
        for id in waiting {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else { continue };
            let (class, slots) = (job.request.class.0, job.request.slots);
            let may_have_run = job.possibly_run_attempts().next().is_some();
            let late = self.now >= job.latest_start || self.now >= self.attempts_end_by(job);
            if !may_have_run && !late && slots >= blocked_slots[class] && self.affinity_range(job) >= 1.0 {
                self.waiting.push(id);
            } else if !self.try_send(id, out) {
                let delayed = self.now < self.jobs[&id].not_before;
                if late {
                    self.end_request(id, out);
                } else {
                    if !may_have_run && !delayed && self.affinity_range(&self.jobs[&id]) >= 1.0 {
                        blocked_slots[class] = blocked_slots[class].min(slots);
                    }
                    self.waiting.push(id);
                }
            }
        }
        if !self.waiting.is_empty() && !std::mem::replace(&mut self.waiting_timer_set, true) {
            let min_objective = self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0);
            out.push(Action::SetTimer {
                after: (min_objective / 16).max(self.settings.tick),
                token: WAITING_TIMER,
            });
        }
    }

    /// Returns the worth of serving a request per second of slot time.
    fn worth_density(&self, job: &Job) -> f64 {
        let c = job.request.class.0;
        let class = &self.settings.classes[c];
        let share_factor = if job.in_share { 1.0 } else { self.settings.over_share_worth };
        let work =
            if self.settings.worth_by_work { 1.0 } else { self.class_estimates[c].mean_run_time / 1e9 };
        class.worth * share_factor / (work * job.request.slots).max(1e-6)
    }

    // ---- choice of a worker

    /// Returns the usable worker with the highest q divided by what counts against it: its load and queue,
    /// failures and the cost of crossing zones. Returns `None` if the request should wait.
    fn pick_worker(&mut self, id: RequestId) -> Option<usize> {
        self.update_groups();
        self.drop_usage_of_silent_peers();
        let congested =
            self.capacity_unknown() && self.zone_wait(self.settings.own_zone.0) > self.mean_run_time;
        // Dispatchers without contact to each other would all fill the same queues, so each keeps to its own
        // share.
        let job = self.jobs.get(&id)?;
        let may_have_run = job.possibly_run_attempts().next().is_some();
        let isolated = self.is_isolated() && !may_have_run;
        if isolated && !self.fits_own_share(job.request.slots) {
            return None;
        }
        let in_group = if self.own_group.is_empty() || congested { None } else { self.pick_best(id, true) };
        // The load of workers outside the group is known late, and all dispatchers would choose the same
        // ones. A job waits for its group first; then it leaves it as often as recent jobs have found room
        // outside.
        let job = self.jobs.get(&id)?;
        if self.now == job.arrived_at {
            // A full own group suggests that other workers may be full as well.
            let sample = if in_group.is_none() { 0.5 } else { 0.0 };
            self.outside_wait_rate += (sample - self.outside_wait_rate) * 0.1;
        }
        let can_wait = self.now < job.arrived_at + job.latest_start.saturating_sub(job.arrived_at) / 2;
        let stays_in_group =
            can_wait || rendezvous_weight(id.0, 0) > (1.0 - self.outside_wait_rate).powi(2).max(0.02);
        let grouped = self.settings.load_reporting == LoadReporting::Inline && !self.own_group.is_empty();
        if in_group.is_none() && (isolated || grouped && !may_have_run && stays_in_group) {
            return None;
        }
        in_group.or_else(|| self.pick_best(id, false))
    }

    fn pick_best(&mut self, id: RequestId, own_group_only: bool) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        let c = job.request.class.0;
        self.networks[c].solve();
        let run_time = self.class_estimates[c].mean_run_time;
        let cross_zone_load =
            CROSS_ZONE_RUN_TIMES * self.settings.costs.cross_zone * self.mean_worth / self.worth(c).max(1e-9);
        // A request of little worth may fill only a part of the slots.
        let usable_share = 1.0
            - RESERVED_SLOT_SHARE
                * (1.0 - self.worth_density(job) / self.mean_worth_density.max(1e-9)).max(0.0);
        let affinity_range = self.affinity_range(job);
        let exploring = affinity_range >= 1.0 && self.rng.0.f64() < EXPLORATION_RATE;
        // The range always includes the worker with the highest affinity. With few workers it might contain
        // none, and the job would wait while all are idle.
        let usable = self.networks[c]
            .neurons
            .iter()
            .filter(|n| affinity_range < 1.0 && self.is_usable(job, n.worker, own_group_only));
        let max_affinity = usable.map(|n| self.affinity(job, n.worker)).fold(0.0, f64::max);
        let affinity_range =
            if affinity_range < 1.0 { affinity_range.max(1.0 - max_affinity) } else { affinity_range };
        let (mut best, mut explored) = (BestCandidate::default(), BestCandidate::default());
        for n in self.networks[c].neurons.iter() {
            let w = n.worker;
            if own_group_only && self.in_own_group.get(w) != Some(&true) {
                continue;
            }
            let worker = &self.workers[w];
            if 1.0 - self.affinity(job, w) > affinity_range || !self.is_usable(job, w, own_group_only) {
                continue;
            }
            let Some(mut load) = self.load_in_run_times(worker, run_time, job.request.slots, usable_share)
            else {
                continue;
            };
            // Where workers report no slots, the waits in their zone count instead. Otherwise a zone with too
            // few workers for its clients would stay full while others have room.
            if self.worker_slots(worker).is_none() {
                load += (self.zone_wait(worker.entry.zone.0) - self.mean_run_time).max(0.0) / run_time;
            }
            if self.queues_known_by_starts() {
                load += worker.estimator.expected_wait(self.now) / run_time;
            }
            let silence = worker.silent_for(self.now) / (SILENCE_RUN_TIMES * self.mean_run_time).max(1.0);
            let failures = worker.failures.value_at(self.now, FAILURE_DECAY_NS) + silence * silence;
            let crosses_zone = worker.entry.zone != self.settings.own_zone;
            if crosses_zone {
                load += cross_zone_load;
            }
            // Squared, so that a single failure counts little and several outweigh the load of the other
            // workers.
            let score = n.q / ((1.0 + load) * (1.0 + 3.0 * failures * failures));
            best.offer(w, score, &mut self.rng);
            if exploring && failures < 0.1 && !(crosses_zone && self.settings.costs.cross_zone > 0.0) {
                explored.offer(w, 1.0, &mut self.rng);
            }
        }
        explored.worker.or(best.worker)
    }

    /// Whether a worker may get the job, regardless of its free slots.
    fn is_usable(&self, job: &Job, w: usize, own_group_only: bool) -> bool {
        let worker = &self.workers[w];
        // A job whose repeats are dropped within a scope may go to the worker where its connection broke:
        // that one drops a repeat as well as any other.
        let may_repeat =
            |a: &Attempt| a.outcome == Some(Outcome::Reset) && self.retry_scope(job) != RetryScope::Anywhere;
        (worker.in_own_group || !own_group_only)
            && worker.full_until <= self.now
            && self.retry_scope(job).allows(&worker.entry)
            && job.attempts.iter().all(|a| a.worker != w || may_repeat(a))
            && self.ends_in_time(job, worker)
            && self
                .cold_start_charge(w, job.request.class.0, job.request.slots)
                .is_none_or(|(_, credit)| credit >= 0.0)
    }

    /// Returns the affinity of a job to a worker, from 0 to 1; 1 without an affinity key.
    fn affinity(&self, job: &Job, w: usize) -> f64 {
        job.request.affinity_key.map_or(1.0, |k| rendezvous_weight(k.0, self.workers[w].entry.id.0))
    }

    /// Returns the fraction of workers, by affinity, that a job may go to. It starts with about one worker,
    /// which likely has the data of the key cached, and widens to all of them. Workers that serve few keys
    /// keep their data for longer.
    fn affinity_range(&self, job: &Job) -> f64 {
        let bound_time = job.latest_start.saturating_sub(job.arrived_at) as f64 * AFFINITY_SLACK_SHARE;
        let left = 1.0 - self.now.saturating_sub(job.arrived_at) as f64 / bound_time.max(1.0);
        let workers = self.networks[job.request.class.0].neurons.len() as f64;
        if job.request.affinity_key.is_none() || left <= 0.0 {
            1.0
        } else {
            (AFFINITY_WORKERS / workers.max(AFFINITY_WORKERS)).powf(left)
        }
    }

    /// Returns the load of a worker in running times of the class, or `None` if it has no room for the job.
    fn load_in_run_times(
        &self,
        worker: &WorkerRecord,
        run_time: f64,
        job_slots: f64,
        usable_share: f64,
    ) -> Option<f64> {
        let Some(mut slots) = self.worker_slots(worker) else {
            return Some(worker.own_slots + self.others_slots(worker));
        };
        slots *= self.warmth(&worker.entry, self.now);
        let taken = worker.own_slots + self.others_slots(worker);
        // A large job seldom finds all its slots free. Where queues are served in order it may wait at the
        // worker for the rest of them; where smaller jobs overtake it, it would wait too long.
        let required_free =
            if self.settings.queue_order == QueueOrder::Backfill { job_slots.min(slots) } else { 1.0 };
        // For an isolated dispatcher the load of others is a guess from old reports: it affects the rank, but
        // only the own share limits what is sent.
        let counted = if self.is_isolated() { worker.own_slots } else { taken };
        if counted + required_free > usable_share * slots && taken > 0.0 {
            return None;
        }
        let missing = (taken + job_slots - slots).max(0.0);
        Some(
            taken / slots * 0.5
                + MISSING_SLOTS_RUN_TIMES * missing / slots * (self.mean_run_time / run_time).max(1.0),
        )
    }

    /// Whether a job sent to a worker now will likely end within its objective. This is known only from
    /// reported starts and hints of the work; otherwise a worker with room counts as fast enough. A job that
    /// may have run needs no margin, as few workers are left for it and it can't be refused.
    fn ends_in_time(&self, job: &Job, worker: &WorkerRecord) -> bool {
        if !self.queues_known_by_starts() || job.request.expected_work.is_none() {
            return true;
        }
        let margin = if job.possibly_run_attempts().next().is_some() { 0.0 } else { OBJECTIVE_MARGIN };
        let margin = margin * self.settings.classes[job.request.class.0].latency_objective as f64;
        let work = job.work / self.warmth(&worker.entry, self.now);
        let kind_mean = self.kind_run_time_per_work.get(worker.entry.kind.0).copied().unwrap_or(0.0);
        let end = worker.estimator.expected_end(
            self.now,
            work,
            kind_mean,
            job.request.affinity_key,
            self.fetch_time,
            self.mean_run_time * QUEUED_JOB_RUN_TIMES,
        );
        end + margin < job.objective_at as f64
    }

    /// Whether no slots of any worker are known and none are reported inline.
    fn capacity_unknown(&self) -> bool {
        self.settings.load_reporting != LoadReporting::Inline && self.kind_slots.iter().all(|&s| s == 0.0)
    }

    /// Whether queues are estimated from reported job starts, as load is not reported inline.
    fn queues_known_by_starts(&self) -> bool {
        self.settings.job_starts_reported && self.settings.load_reporting != LoadReporting::Inline
    }

    fn zone_wait(&self, zone: usize) -> f64 {
        self.zone_waits.get(zone).map_or(0.0, |w| w.value_at(self.now, FAILURE_DECAY_NS))
    }

    fn record_zone_wait(&mut self, zone: ZoneId, wait: f64) {
        let mean = self.zone_wait(zone.0) * 0.95 + wait * 0.05;
        self.zone_waits.get_mut(zone.0).into_iter().for_each(|w| w.set(self.now, mean));
    }

    /// Whether the other members of the group are silent: they are unreachable, or have ended.
    fn is_isolated(&self) -> bool {
        !self.own_group.is_empty() && self.group_traffic.is_silent(self.now)
    }

    /// Whether a job fits into this dispatcher's own share of the slots of its group.
    fn fits_own_share(&self, job_slots: f64) -> bool {
        let group_workers = self.workers.iter().filter(|worker| worker.in_own_group && worker.listed);
        let slots = |worker| self.worker_slots(worker).unwrap_or(1.0) * self.warmth(&worker.entry, self.now);
        let (own, all) = group_workers
            .fold((0.0, 0.0), |(own, all), worker| (own + worker.own_slots, all + slots(worker)));
        own + job_slots / 2.0 <= self.group_traffic.own_slots(self.now, all)
    }

    /// Whether all attempts at the workers are sent here or announced by peers, so that load reports, which
    /// are late and noisy, add nothing.
    fn all_sends_known(&self) -> bool {
        !self.is_isolated()
            && self.settings.load_reporting != LoadReporting::OnProbe
            && self.own_group.len() + 1 >= self.settings.dispatcher_count as usize
    }

    /// Returns the slots that others take at a worker, by announcements of peers or by load reports. A report
    /// becomes outdated within a few running times, and a worker that looks full and gets no jobs sends no
    /// new one. The estimate therefore approaches the mean of all workers, below full.
    fn others_slots(&self, worker: &WorkerRecord) -> f64 {
        let announced: f64 =
            worker.peer_usage.iter().map(|u| u.slots.value_at(self.now, PEER_USAGE_DECAY_NS)).sum();
        if self.all_sends_known() || worker.in_own_group && !self.own_group.is_empty() && !self.is_isolated()
        {
            return announced;
        }
        let slots = self.worker_slots(worker).unwrap_or(0.0) * self.warmth(&worker.entry, self.now);
        let first_class_run_time =
            self.class_estimates.first().map_or(0.0, |estimate| estimate.mean_run_time);
        let run_time = if self.mean_run_time > 0.0 { self.mean_run_time } else { first_class_run_time };
        worker
            .others_slots_at(self.now, self.others_slot_share.min(0.8) * slots, 4.0 * run_time)
            .max(announced)
    }

    fn worker_slots(&self, worker: &WorkerRecord) -> Option<f64> {
        let kind_slots = self.kind_slots.get(worker.entry.kind.0).copied().filter(|&s| s > 0.0);
        worker.slots.or(kind_slots)
    }

    fn warmth(&self, entry: &Worker, at: Nanos) -> f64 {
        cold_start::warmth(&self.settings.obligations, entry.started_at, at)
    }

    /// Returns the charge for a job at a cold worker and the credit there, or `None` if the worker is warm.
    /// In each overload window all dispatchers together must stay below factor x capacity x window, while
    /// each knows only its own sends: each gets an equal part of the rate, with a random phase.
    fn cold_start_charge(&self, w: usize, class: usize, job_slots: f64) -> Option<(f64, f64)> {
        let worker = &self.workers[w];
        let warmth = self.warmth(&worker.entry, self.now);
        if warmth >= 1.0 {
            return None;
        }
        let slots = self.worker_slots(worker).unwrap_or(1.0).max(1.0);
        let warmth_at_last_send = self.warmth(&worker.entry, worker.cold_updated_at);
        let budget =
            cold_start::ColdStartBudget::new(&self.settings.obligations, slots, warmth_at_last_send, warmth);
        let charge = budget.charge(self.class_estimates[class].mean_run_time * job_slots.max(1.0))
            * self.class_estimates[class].caution_factor();
        let Some(sharers) = cold_start::budget_sharers(&self.settings, worker.entry.id, GROUP_SIZE) else {
            return Some((charge, f64::NEG_INFINITY));
        };
        let earned = self.now.saturating_sub(worker.cold_updated_at) as f64 * budget.rate / sharers as f64;
        Some((charge, (worker.cold_credit + earned - worker.cold_phase * charge).min(0.0)))
    }

    /// Returns the workers to which a request may be sent again, given what its attempts may have done.
    fn retry_scope(&self, job: &Job) -> RetryScope {
        let class = &self.settings.classes[job.request.class.0];
        let Some(first) = job.possibly_run_attempts().next() else { return RetryScope::Anywhere };
        match class.idempotency {
            Idempotency::Idempotent => RetryScope::Anywhere,
            Idempotency::AtMostOnce => RetryScope::Never,
            // A repeat must arrive within the window; some ticks are reserved for its transmission.
            Idempotency::Deduplicated(_)
                if self.now + 4 * self.settings.tick >= first.sent_at + class.dedup_window =>
            {
                RetryScope::Never
            }
            Idempotency::Deduplicated(DedupScope::All) => RetryScope::Anywhere,
            Idempotency::Deduplicated(DedupScope::Zone) => RetryScope::Zone(first.zone),
            Idempotency::Deduplicated(DedupScope::Cell) => RetryScope::Cell(first.cell),
        }
    }

    fn worth(&self, class: usize) -> f64 {
        self.settings.classes[class].worth
            * if self.settings.worth_by_work { self.class_estimates[class].mean_run_time } else { 1.0 }
    }

    // ---- responses of workers

    fn record_progress(&mut self, id: RequestId, attempt: u32, progress: JobProgress) {
        let job = self.jobs.get_mut(&id);
        let Some(a) = job.and_then(|j| j.attempts.get_mut(attempt as usize)) else { return };
        self.workers[a.worker].last_response_at = self.now;
        if progress == JobProgress::Started && a.started_at.is_none() {
            self.workers[a.worker].estimator.record_started(id, attempt, self.now);
            a.started_at = Some(self.now);
            let (zone, wait) = (a.zone, self.now.saturating_sub(a.sent_at));
            if !self.workers[a.worker].in_own_group {
                self.outside_wait_rate += (f64::from(u8::from(wait as f64 > self.mean_run_time / 8.0))
                    - self.outside_wait_rate)
                    * 0.3;
            }
            self.record_zone_wait(zone, wait as f64);
        }
    }

    fn record_report(&mut self, w: usize, report: &LoadReport) {
        let (all_sends_known, job_slots) = (self.all_sends_known(), (self.mean_slots, self.max_slots));
        let kind_slots = self.kind_slots.get_mut(self.workers[w].entry.kind.0);
        let others_share = self.workers[w].record_report(
            self.now,
            &report.valid_values(),
            &self.settings,
            job_slots,
            kind_slots,
            all_sends_known,
        );
        others_share
            .into_iter()
            .for_each(|share| self.others_slot_share += (share - self.others_slot_share) * 0.02);
    }

    fn finish_attempt(&mut self, id: RequestId, attempt: u32, result: AttemptResult, out: &mut Vec<Action>) {
        let capacity_unknown = self.capacity_unknown();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(result.outcome);
        let (w, started_at, sent_at, zone) = (a.worker, a.started_at, a.sent_at, a.zone);
        let full_count = job.attempts.iter().filter(|a| a.outcome == Some(Outcome::Full)).count() as Nanos;
        let (class, slots) = (job.request.class.0, job.request.slots);
        let worker = &mut self.workers[w];
        worker.update_mean_own_slots(self.now, self.mean_run_time);
        let silent = worker.silent_for(self.now) > SILENCE_RUN_TIMES * self.mean_run_time;
        worker.attempts = worker.attempts.saturating_sub(1);
        worker.own_slots = (worker.own_slots - slots).max(0.0);
        job.answered |= result.request_finished;
        let fetch_time =
            worker.estimator.record_ended(id, attempt, self.now, result.outcome == Outcome::Served);
        self.fetch_time += (fetch_time.unwrap_or(self.fetch_time) - self.fetch_time) * 0.1;
        let kind_mean = self.kind_run_time_per_work.get_mut(worker.entry.kind.0);
        kind_mean
            .into_iter()
            .for_each(|mean| update_mean(mean, worker.estimator.run_time_per_work(self.now, *mean), 0.1));
        let estimate = &mut self.class_estimates[class];
        match result.outcome {
            Outcome::Served => {
                worker.last_response_at = self.now;
                let waited = started_at.map_or(0, |s| s.saturating_sub(sent_at));
                let run_time = result.latency.saturating_sub(waited).max(1) as f64;
                estimate.record_run_time(run_time);
                update_mean(&mut self.mean_run_time, run_time, 0.02);
                worker.failures.set(
                    self.now,
                    worker.failures.value_at(self.now, FAILURE_DECAY_NS) * FAILURES_KEPT_AFTER_SUCCESS,
                );
                self.networks[class].learn(w, result.latency as f64);
            }
            // Cancelled attempts are the only failures that a silent worker shows.
            Outcome::Cancelled if silent => worker.record_failure(self.now, FAILURE_DECAY_NS),
            Outcome::Cancelled | Outcome::NotSent => {}
            // The worker responds; whether it serves requests well is not known.
            Outcome::Rejected => worker.last_response_at = self.now,
            Outcome::Full => {
                let full_count = if capacity_unknown { full_count } else { 0 };
                job.not_before =
                    self.now + (self.rng.0.f64() * self.mean_run_time / 8.0) as Nanos * full_count;
                worker.full_until = self.now + (self.mean_run_time / 4.0) as Nanos;
                self.networks[class].learn(w, FAILED_GOAL_RUN_TIMES * estimate.mean_run_time);
            }
            Outcome::Error | Outcome::Timeout | Outcome::NoConnection | Outcome::Reset => {
                worker.record_failure(self.now, FAILURE_DECAY_NS);
                self.networks[class].learn(w, FAILED_GOAL_RUN_TIMES * estimate.mean_run_time);
            }
        }
        if worker.attempts == 0
            && self.settings.costs.handshake == 0.0
            && std::mem::take(&mut worker.peak_attempts) > 1
        {
            // Idle connections reduce the capacity of the worker, and new ones cost nothing.
            out.push(Action::CloseIdleConnections(worker.entry.id));
        }
        if result.outcome == Outcome::Full {
            self.record_zone_wait(zone, 2.0 * self.mean_run_time);
        }
        if let Some(report) = result.load_report {
            self.record_report(w, &report);
        }
        let job = &self.jobs[&id];
        if job.answered {
            self.cancel_attempts(id, out);
            self.close_request(id);
        } else if result.outcome == Outcome::Rejected {
            // The request itself is invalid: other workers would reject it as well, which would count against
            // them.
            out.push(Action::Fail(id));
            self.close_request(id);
        } else if job.attempts_in_flight() == 0 && !self.waiting.contains(&id) {
            self.waiting.push(id);
        }
        let failed = matches!(result.outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset);
        self.announce_usage(w, failed, out);
        self.free_index(w);
        self.serve_waiting_requests(out);
    }
}

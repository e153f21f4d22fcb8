//! The world of a scenario: workers, the worker list, load reports and faults.
//!
//! Both hosts drive the same world: they report what reaches a worker ([`World::connect`],
//! [`World::receive_attempt`], [`World::cancel_job`]) and perform the [`HostAction`]s that it returns. The world has
//! no sockets and no clock. It reports the events of its workers to the [`InvariantChecker`], so that both hosts are
//! checked in the same way.

use crate::invariants::{AttemptEnd, InvariantChecker};
use crate::scenario::{FaultKind, Queue, Scenario};
use crate::seed::{RandomStream, RandomStreams};
use crate::worker::{Job, JobEvent, Spec, Worker};
use loomlb_policy::{Nanos, QueueOrder};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Converts milliseconds to nanoseconds.
pub fn ms(x: f64) -> Nanos {
    (x * 1e6) as Nanos
}
/// Converts seconds to nanoseconds.
pub fn secs(x: f64) -> Nanos {
    (x * 1e9) as Nanos
}

/// Time until a worker that stopped responding is removed from the list.
const SILENT_WORKER_REMOVAL_DELAY: Nanos = 10_000_000_000;
/// Time after which the process of a draining worker exits.
const MAX_DRAIN_TIME: Nanos = 8_000_000_000;
/// Time between the exit and the restart of a worker in a rolling restart.
const ROLLING_RESTART_PAUSE: Nanos = 1_000_000_000;
/// Load measurements that a worker stores.
const MAX_STORED_REPORTS: usize = 32;

/// The state of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Health {
    /// May be used.
    Active,
    /// Finishes its jobs and takes no new ones.
    Leaving,
    /// Removed.
    Left,
}

/// An entry of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: usize,
    /// Its state.
    pub health: Health,
    /// Its weight.
    pub weight: f64,
    /// When its process was last started; 0 for long ago.
    pub started_at: Nanos,
}

/// The load that a worker reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerLoad {
    /// Requests at the worker.
    pub in_flight: f64,
    /// Completed requests per second.
    pub rate: f64,
    /// Free slots.
    pub free_slots: f64,
}

/// An attempt that arrives at a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of the try of a client's request.
    pub request: u64,
    /// The scheduler that sent it.
    pub scheduler: usize,
    /// Slots that the job takes.
    pub slots: u32,
    /// Work of the job, in nanoseconds of a reference core.
    pub work: f64,
    /// The class of the request.
    pub class: usize,
    /// The subject of the job, if it has one.
    pub subject: Option<u64>,
    /// When the scheduler sent the first byte.
    pub sent: Nanos,
}

/// The reply of a worker to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptReply {
    /// The job is accepted under this id.
    Accepted(u64),
    /// The job is rejected because the queue is full.
    Full,
    /// The job fails immediately.
    Error,
    /// There is no reply: the worker is unreachable or does not respond, or the connection is stuck.
    NoResponse,
    /// The process is not running.
    ConnectionRefused,
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    /// The connection is open.
    Connected,
    /// The connection is refused.
    Refused,
    /// There is no answer.
    NoResponse,
}

/// A worker's report about a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobUpdate {
    /// The job has started.
    Started,
    /// This fraction of the job is done.
    Progress(f64),
    /// The job is done.
    Done,
    /// The job is returned before it started, because the worker drains.
    Returned,
    /// The process of the worker ended before the job.
    Lost,
}

/// A signal for a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The process is killed.
    Kill,
    /// The process is asked to shut down.
    Term,
    /// Discovery has a new address; the scheduler has to reload its configuration.
    Moved,
}

/// An action that a host has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Deliver a worker's report to a scheduler.
    JobUpdate {
        /// The id of the job.
        job: u64,
        /// The worker.
        worker: usize,
        /// The scheduler that sent the attempt.
        scheduler: usize,
        /// The request.
        request: u64,
        /// The report.
        update: JobUpdate,
        /// The load of the worker, with the end of an attempt.
        report: Option<WorkerLoad>,
    },
    /// Deliver changes of the worker list to a scheduler.
    WorkerList {
        /// The scheduler.
        scheduler: usize,
        /// The version of the list.
        seq: u64,
        /// The changed entries.
        entries: Vec<WorkerEntry>,
    },
    /// Send a signal to a scheduler.
    Signal(usize, Signal),
    /// Reset all connections to a worker.
    ResetConnections(usize),
}

/// Numbers of events in the world, by which the effect of each fault can be checked.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Workers that stopped responding.
    pub vanished: u64,
    /// Workers whose process crashed.
    pub crashed: u64,
    /// Workers that were restarted.
    pub came_back: u64,
    /// Requests that failed immediately because of a fault.
    pub fast_errors: u64,
    /// Pauses of workers.
    pub pauses: u64,
    /// Load reports that were delayed by a fault.
    pub late_reports: u64,
    /// Requests that arrived in a burst.
    pub burst: u64,
    /// Requests whose work was increased by a fault.
    pub heavy: u64,
    /// Workers that were drained.
    pub drained: u64,
    /// Jobs returned by draining workers.
    pub handed_back: u64,
    /// Workers restarted in a rolling restart.
    pub rolled: u64,
    /// Schedulers killed.
    pub killed: u64,
    /// Schedulers asked to shut down.
    pub termed: u64,
    /// Changes of the list that were withheld while discovery was down.
    pub list_held_back: u64,
    /// Requests for the list that were served, and those that timed out in the queue.
    pub list_calls: u64,
    /// See `list_calls`.
    pub list_calls_failed: u64,
    /// Changes of the address of discovery.
    pub moved: u64,
    /// Messages lost in a network partition.
    pub cut: u64,
    /// Messages lost at the border of an isolated zone.
    pub zone_cut: u64,
    /// Messages between schedulers lost while all schedulers were isolated from each other.
    pub peers_cut: u64,
    /// Jobs whose subject had to be fetched because it was not cached.
    pub fetched: u64,
    /// Clients that read their response slowly.
    pub slow_readers: u64,
    /// Attempts sent on a stuck connection.
    pub stuck: u64,
    /// Cold workers that failed from overload.
    pub fell_over: u64,
    /// Attempts that were rejected because the queue was full.
    pub full: u64,
    /// Connections refused because the worker had too many.
    pub connections_refused: u64,
    /// Connections opened.
    pub connections: u64,
    /// Probes.
    pub probes: u64,
    /// Jobs that completed although their attempt had been cancelled.
    pub ran_on: u64,
    /// Repeated requests that were recognized by the workers.
    #[serde(rename = "known_again")]
    pub known_repeats: u64,
}

impl Counters {
    /// Returns the counter of a kind of fault.
    pub fn of(&self, kind: FaultKind) -> u64 {
        match kind {
            FaultKind::Vanish => self.vanished,
            FaultKind::Crash => self.crashed,
            FaultKind::FastErrors => self.fast_errors,
            FaultKind::Pauses => self.pauses,
            FaultKind::ReportLate => self.late_reports,
            FaultKind::Burst => self.burst,
            FaultKind::HeavyTail => self.heavy,
            FaultKind::Drain => self.drained,
            FaultKind::RollingRestart => self.rolled,
            FaultKind::SchedulerKill => self.killed,
            FaultKind::SchedulerTerm => self.termed,
            FaultKind::DiscoveryDown => self.list_held_back,
            FaultKind::DiscoveryMoved => self.moved,
            FaultKind::Partition => self.cut,
            FaultKind::ZoneCut => self.zone_cut,
            FaultKind::PeersCut => self.peers_cut,
            FaultKind::SlowReader => self.slow_readers,
            FaultKind::StuckConnection => self.stuck,
        }
    }
}

#[derive(Debug)]
struct WorkerNode {
    worker: Worker,
    kind: usize,
    cell: usize,
    health: Health,
    started_at: Nanos,
    is_silent: bool,
    /// Whether its process is not running.
    is_down: bool,
    failure_share: f64,
    /// The process crashes when it receives the next request, and restarts at this time.
    crash_on_next_request: Option<Nanos>,
    error_rate: f64,
    connections: usize,
    /// The cached subjects, least recently used first.
    cached_subjects: VecDeque<u64>,
    reports: VecDeque<(Nanos, WorkerLoad)>,
    ended_since_measurement: u64,
    /// The time of its earliest event in the queue, or 0.
    queued_for: Nanos,
}

#[derive(Debug)]
struct AcceptedJob {
    worker: usize,
    scheduler: usize,
    request: u64,
    is_cancelled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    AdvanceWorker(usize),
    MeasureLoad(usize),
    BeginFault(usize),
    RepeatFault(usize),
    EndFault(usize),
    StopDraining(usize),
    Restart(usize),
    NoticeChange(usize),
    SendEntry(usize, usize),
    SendWeights,
}

/// The simulated workers, discovery and faults of a scenario.
#[derive(Debug)]
pub struct World {
    /// The scenario.
    pub scenario: Scenario,
    /// The invariant checker.
    pub invariant_checker: InvariantChecker,
    /// Counts of events.
    pub counters: Counters,
    streams: RandomStreams,
    nodes: Vec<WorkerNode>,
    jobs: FxHashMap<u64, AcceptedJob>,
    last_job: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    last_sequence: u64,
    host_actions: VecDeque<HostAction>,
    job_events: Vec<(Nanos, JobEvent)>,
    /// The requests that each group of workers deduplicates, with the time of the first attempt.
    cells: Vec<FxHashMap<u64, Nanos>>,
    failure_rng: RandomStream,
    discovery_rng: RandomStream,
    report_rng: RandomStream,
    stuck_rng: RandomStream,
    /// The workers, zones or schedulers that each fault affects.
    affected: Vec<Vec<usize>>,
    /// The current list, and the entries that each scheduler has received, with the time of the last change of
    /// state.
    listed: Vec<WorkerEntry>,
    known_entries: Vec<BTreeMap<usize, (WorkerEntry, Nanos)>>,
    withheld_entries: Vec<Vec<WorkerEntry>>,
    seq: u64,
    discovery_outages: usize,
    peer_cuts: usize,
    /// Discovery serves requests for the list one after the other, and is busy until this time.
    list_busy_until: Nanos,
    extra_report_delay: Nanos,
    stuck_share: f64,
    cut_links: FxHashSet<(usize, usize)>,
    /// Zones that are isolated from all others.
    cut_zones: FxHashSet<usize>,
    cut_peers: FxHashSet<usize>,
}

impl World {
    /// Creates the world at the start of a scenario, with all workers warm and listed. `slack` is added to the time
    /// limits of the invariant checker, in nanoseconds.
    pub fn new(scenario: Scenario, seed: u64, slack: Nanos) -> World {
        let streams = RandomStreams::new(seed);
        let (mut kinds, mut build) = (streams.stream("kinds"), streams.stream("workers"));
        let shares: Vec<f64> = scenario.fleet.kinds.iter().map(|k| k.share).collect();
        let nodes: Vec<WorkerNode> = (0..scenario.fleet.workers)
            .map(|i| {
                let kind = kinds.weighted_index(&shares);
                let k = &scenario.fleet.kinds[kind];
                let slots = (k.cores * build.uniform(k.slots_per_core)).round().max(1.0);
                let spec = Spec {
                    cores: k.cores,
                    slots: slots as u32,
                    queue: (k.cores * build.uniform(k.queue_per_core)).round() as usize,
                    speed: build.uniform(k.speed),
                    order: match scenario.fleet.queue {
                        Queue::Fifo => QueueOrder::Fifo,
                        Queue::Backfill => QueueOrder::Backfill,
                        Queue::Priority => QueueOrder::Priority,
                    },
                    thrash: k.thrash,
                    thrash_at: k.thrash_at,
                    initial_capacity_share: k.cold_from,
                    warm_up_time: secs(k.cold_s),
                    progress_interval: ms(scenario.terms.progress_ms),
                    cancel_stops_running: k.cancel_stops_running,
                    connections: (k.cores * k.connections_per_core) as usize,
                    overload_factor: scenario.terms.fall_multiple,
                    overload_window: ms(scenario.terms.fall_ms),
                };
                WorkerNode {
                    worker: Worker::new(spec, 0, 0),
                    kind,
                    cell: i / scenario.fleet.cell_size,
                    health: Health::Active,
                    started_at: 0,
                    is_silent: false,
                    is_down: false,
                    failure_share: 0.0,
                    crash_on_next_request: None,
                    error_rate: k.error_rate,
                    connections: 0,
                    cached_subjects: VecDeque::new(),
                    reports: VecDeque::new(),
                    ended_since_measurement: 0,
                    queued_for: 0,
                }
            })
            .collect();
        let listed: Vec<WorkerEntry> = (0..nodes.len())
            .map(|worker| WorkerEntry {
                worker,
                health: Health::Active,
                weight: nodes[worker].worker.spec.cores,
                started_at: 0,
            })
            .collect();
        let schedulers = scenario.schedulers.count;
        let known: BTreeMap<usize, (WorkerEntry, Nanos)> =
            listed.iter().map(|e| (e.worker, (e.clone(), 0))).collect();
        let mut world = World {
            invariant_checker: InvariantChecker::new(&scenario, slack),
            counters: Counters::default(),
            nodes,
            jobs: FxHashMap::default(),
            last_job: 0,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            host_actions: VecDeque::new(),
            job_events: Vec::new(),
            cells: vec![
                FxHashMap::default();
                scenario.fleet.workers.div_ceil(scenario.fleet.cell_size).max(scenario.fleet.zones)
            ],
            failure_rng: streams.stream("errors"),
            discovery_rng: streams.stream("news"),
            report_rng: streams.stream("reports"),
            stuck_rng: streams.stream("stuck"),
            affected: vec![Vec::new(); scenario.faults.len()],
            listed,
            known_entries: vec![known; schedulers],
            withheld_entries: vec![Vec::new(); schedulers],
            seq: 1,
            discovery_outages: 0,
            peer_cuts: 0,
            list_busy_until: 0,
            extra_report_delay: 0,
            stuck_share: 0.0,
            cut_links: FxHashSet::default(),
            cut_zones: FxHashSet::default(),
            cut_peers: FxHashSet::default(),
            streams,
            scenario,
        };
        world.schedule();
        world
    }

    fn schedule(&mut self) {
        let period = self.scenario.reports.period_ms;
        if self.scenario.reports.on {
            for w in 0..self.nodes.len() {
                let first = ms(period * self.report_rng.next_unit());
                self.push(first, ScheduledEvent::MeasureLoad(w));
            }
        }
        for i in 0..self.scenario.faults.len() {
            self.push(secs(self.scenario.faults[i].at_s), ScheduledEvent::BeginFault(i));
        }
        if self.scenario.discovery.weights_ms > 0.0 {
            self.push(ms(self.scenario.discovery.weights_ms), ScheduledEvent::SendWeights);
        }
    }

    fn push(&mut self, at: Nanos, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at, self.last_sequence, event)));
    }

    /// Returns the random streams of the scenario.
    pub fn streams(&self) -> RandomStreams {
        self.streams
    }
    /// Returns the work that the fleet does per nanosecond when all workers are warm, in nanoseconds of a reference
    /// core.
    pub fn capacity(&self) -> f64 {
        let useful = |s: &Spec| s.cores.min(f64::from(s.slots)) * s.speed;
        self.nodes.iter().map(|s| useful(&s.worker.spec)).sum()
    }
    /// Returns the number of workers.
    pub fn workers(&self) -> usize {
        self.nodes.len()
    }
    /// Returns a worker's process.
    pub fn worker(&self, worker: usize) -> &Worker {
        &self.nodes[worker].worker
    }
    /// Returns the index of a worker's kind of machine.
    pub fn kind(&self, worker: usize) -> usize {
        self.nodes[worker].kind
    }
    /// Returns the cell of a worker.
    pub fn cell(&self, worker: usize) -> usize {
        self.nodes[worker].cell
    }
    /// Returns the name of a worker in the list.
    pub fn worker_name(worker: usize) -> String {
        format!("s-{:08x}", worker + 1)
    }
    /// Returns the version of the list and the entries that a scheduler has received.
    pub fn known_list(&self, scheduler: usize) -> (u64, Vec<WorkerEntry>) {
        (self.seq, self.known_entries[scheduler].values().map(|(e, _)| e.clone()).collect())
    }
    /// Handles a scheduler's request for the list, and returns when it is served, or as an error when it times out
    /// in the queue.
    pub fn request_list(&mut self, at: Nanos) -> Result<Nanos, Nanos> {
        let (call, wait) = (ms(self.scenario.discovery.call_ms), ms(self.scenario.discovery.wait_ms));
        let begins = at.max(self.list_busy_until);
        if begins - at > wait {
            self.counters.list_calls_failed += 1;
            return Err(at + wait);
        }
        self.counters.list_calls += 1;
        self.list_busy_until = begins + call;
        Ok(self.list_busy_until)
    }
    /// Returns whether discovery responds.
    pub fn discovery_up(&self) -> bool {
        self.discovery_outages == 0
    }
    /// Returns whether messages pass between a scheduler and a worker, and counts those that don't.
    pub fn reachable(&mut self, scheduler: usize, worker: usize) -> bool {
        let cut = self.cut_links.contains(&(scheduler, worker));
        self.counters.cut += u64::from(cut);
        !cut && self.zones_meet(scheduler, worker) && !self.nodes[worker].is_silent
    }
    /// Returns whether messages pass between the zones of two machines.
    fn zones_meet(&mut self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        let cut = a != b && (self.cut_zones.contains(&a) || self.cut_zones.contains(&b));
        self.counters.zone_cut += u64::from(cut);
        !cut
    }
    /// Returns the zone of a worker or a scheduler.
    pub fn zone(&self, machine: usize) -> usize {
        machine % self.scenario.fleet.zones.max(1)
    }
    /// Returns the group of workers that deduplicate a class's requests together with a worker: its cell or its
    /// zone.
    fn group(&self, class: usize, w: usize) -> usize {
        let by_zone =
            |c: &crate::scenario::Class| c.effect == crate::scenario::Idempotency::DeduplicatedInZone;
        if self.scenario.classes.get(class).is_some_and(by_zone) { self.zone(w) } else { self.nodes[w].cell }
    }
    /// Returns whether messages pass between two schedulers, and counts those that don't.
    pub fn peers_reachable(&mut self, a: usize, b: usize) -> bool {
        if self.peer_cuts > 0 {
            self.counters.peers_cut += 1;
            return false;
        }
        let cut = self.cut_peers.contains(&a) || self.cut_peers.contains(&b);
        self.counters.cut += u64::from(cut);
        !cut && self.zones_meet(a, b)
    }
    /// Returns whether a worker does not respond.
    pub fn is_silent(&self, worker: usize) -> bool {
        self.nodes[worker].is_silent
    }
    /// Returns whether a worker's process is not running.
    pub fn is_down(&self, worker: usize) -> bool {
        self.nodes[worker].is_down
    }

    // ---- events

    /// Returns the time of the next event; 0 if an action is pending.
    pub fn next_event_time(&self) -> Option<Nanos> {
        if !self.host_actions.is_empty() {
            return Some(0);
        }
        self.queue.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Processes the events up to `now` and returns the next action, or `None` if there are no more.
    pub fn next_action(&mut self, now: Nanos) -> Option<HostAction> {
        loop {
            if let Some(action) = self.host_actions.pop_front() {
                return Some(action);
            }
            let Reverse((at, _, event)) = *self.queue.peek()?;
            if at > now {
                return None;
            }
            self.queue.pop();
            self.process_event(at, event);
        }
    }

    fn process_event(&mut self, at: Nanos, event: ScheduledEvent) {
        match event {
            ScheduledEvent::AdvanceWorker(w) => {
                if self.nodes[w].queued_for == at {
                    self.nodes[w].queued_for = 0;
                }
                self.advance_worker(at, w);
            }
            ScheduledEvent::MeasureLoad(w) => self.measure_load(at, w),
            ScheduledEvent::BeginFault(i) => self.begin_fault(at, i),
            ScheduledEvent::RepeatFault(i) => self.repeat_fault(at, i),
            ScheduledEvent::EndFault(i) => self.end_fault(at, i),
            ScheduledEvent::StopDraining(w) => self.stop_draining_worker(at, w),
            ScheduledEvent::Restart(w) => self.restart_worker(at, w),
            ScheduledEvent::NoticeChange(w) => self.notice_change(at, w),
            ScheduledEvent::SendEntry(s, w) => self.send_entry(at, s, w),
            ScheduledEvent::SendWeights => self.send_weights(at),
        }
    }

    /// Advances a worker to `now` and reports its events.
    fn advance_worker(&mut self, now: Nanos, w: usize) {
        let mut job_events = std::mem::take(&mut self.job_events);
        self.nodes[w].worker.advance(now, &mut job_events);
        self.report_job_events(w, &mut job_events);
        self.job_events = job_events;
        self.schedule_worker(w);
    }

    fn schedule_worker(&mut self, w: usize) {
        let node = &mut self.nodes[w];
        if let Some(next) =
            node.worker.next_event_time().filter(|n| node.queued_for == 0 || *n < node.queued_for)
        {
            node.queued_for = next;
            self.push(next, ScheduledEvent::AdvanceWorker(w));
        }
    }

    fn report_job_events(&mut self, w: usize, job_events: &mut Vec<(Nanos, JobEvent)>) {
        for (at, job_event) in job_events.drain(..) {
            let (job, update) = match job_event {
                JobEvent::Started(job) => (job, JobUpdate::Started),
                JobEvent::Progress(job, x) => (job, JobUpdate::Progress(x)),
                JobEvent::Done(job) => (job, JobUpdate::Done),
            };
            let Some(accepted_job) = self.jobs.get(&job) else { continue };
            let (request, scheduler, is_cancelled) =
                (accepted_job.request, accepted_job.scheduler, accepted_job.is_cancelled);
            match update {
                JobUpdate::Started => self.invariant_checker.job_started(at, request, w, job),
                JobUpdate::Done => {
                    self.nodes[w].ended_since_measurement += 1;
                    self.invariant_checker.result_produced(request, &World::result(w, job));
                    self.invariant_checker.attempt_ended(at, request, job, AttemptEnd::MayHaveRun);
                    self.jobs.remove(&job);
                    self.counters.ran_on += u64::from(is_cancelled);
                }
                _ => {}
            }
            if !is_cancelled {
                let report = (update == JobUpdate::Done).then(|| self.report(at, w)).flatten();
                self.host_actions.push_back(HostAction::JobUpdate {
                    job,
                    worker: w,
                    scheduler,
                    request,
                    update,
                    report,
                });
            }
        }
    }

    /// Returns the result that a worker produces for a job.
    pub fn result(worker: usize, job: u64) -> String {
        format!("made by {} as job {job}", World::worker_name(worker))
    }

    // ---- calls from the host

    /// Opens a connection from a scheduler to a worker.
    pub fn connect(&mut self, now: Nanos, scheduler: usize, w: usize) -> ConnectResult {
        if !self.reachable(scheduler, w) {
            return ConnectResult::NoResponse;
        }
        if self.nodes[w].is_down {
            return ConnectResult::Refused;
        }
        if self.nodes[w].connections >= self.nodes[w].worker.spec.connections {
            self.counters.connections_refused += 1;
            return ConnectResult::Refused;
        }
        self.counters.connections += 1;
        self.nodes[w].connections += 1;
        self.add_overhead(now, w, self.scenario.network.handshake_ms);
        ConnectResult::Connected
    }

    /// Closes a connection to a worker.
    pub fn disconnect(&mut self, w: usize) {
        let node = &mut self.nodes[w];
        node.connections = node.connections.saturating_sub(1);
    }

    fn add_overhead(&mut self, now: Nanos, w: usize, work_ms: f64) {
        self.advance_worker(now, w);
        self.nodes[w].worker.add_overhead(work_ms * 1e6);
        self.schedule_worker(w);
    }

    /// Delivers a probe to a worker and returns the reported load, if the worker responds.
    pub fn probe(&mut self, now: Nanos, scheduler: usize, w: usize) -> Option<WorkerLoad> {
        if !self.reachable(scheduler, w) || self.nodes[w].is_down {
            return None;
        }
        self.counters.probes += 1;
        self.add_overhead(now, w, self.scenario.network.probe_ms);
        Some(self.load(now, w).unwrap_or_default())
    }

    /// Delivers an attempt to a worker.
    pub fn receive_attempt(&mut self, now: Nanos, w: usize, attempt: &Attempt) -> AttemptReply {
        if !self.reachable(attempt.scheduler, w) {
            return AttemptReply::NoResponse;
        }
        if self.nodes[w].is_down {
            return AttemptReply::ConnectionRefused;
        }
        if self.stuck_share > 0.0 && self.stuck_rng.chance(self.stuck_share) {
            self.counters.stuck += 1;
            return AttemptReply::NoResponse;
        }
        self.advance_worker(now, w);
        self.last_job += 1;
        let (job, request) = (self.last_job, attempt.request);
        let known_entry = self.known_entries[attempt.scheduler].get(&w);
        // A scheduler that has no entry for the worker has not been informed of a drain.
        let drain_known_since = known_entry.filter(|(e, _)| e.health != Health::Active).map(|(_, at)| *at);
        let informed = known_entry.is_some_and(|(e, _)| e.started_at == self.nodes[w].started_at);
        let cell = self.group(attempt.class, w);
        self.invariant_checker.attempt_received(now, attempt.sent, request, w, cell, job, drain_known_since);
        if let Some(back) = self.nodes[w].crash_on_next_request.take() {
            self.counters.crashed += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            self.stop_worker(now, w);
            self.push(back.max(now + 1), ScheduledEvent::Restart(w));
            return AttemptReply::ConnectionRefused;
        }
        let is_repeat = self.is_repeat(now, attempt, cell);
        let node = &mut self.nodes[w];
        // The overload limit counts the mean work of the class, since schedulers don't know the work of a single
        // job.
        let mean = self.scenario.classes.get(attempt.class).map_or(attempt.work, |c| c.work_ms * 1e6);
        let load = mean * f64::from(attempt.slots);
        if let Some(overload) = node.worker.record_received_work(now, load, informed) {
            self.invariant_checker.worker_overloaded(now, w, &overload);
            self.counters.fell_over += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            self.stop_worker(now, w);
            return AttemptReply::ConnectionRefused;
        }
        let failure_share = if node.failure_share > 0.0 { node.failure_share } else { node.error_rate };
        if failure_share > 0.0 && self.failure_rng.chance(failure_share) {
            let fast = self.nodes[w].failure_share > 0.0;
            self.counters.fast_errors += u64::from(fast);
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            return AttemptReply::Error;
        }
        let node = &mut self.nodes[w];
        let priority = self.scenario.classes.get(attempt.class).map_or(0, |c| c.priority);
        let slots = attempt.slots.min(node.worker.spec.slots);
        // A repeat that is recognized returns the stored result.
        let mut work = if is_repeat { 1e6 } else { attempt.work };
        if let (Some(keeps), Some(subject), false) = (self.scenario.fleet.keeps, attempt.subject, is_repeat) {
            let at = node.cached_subjects.iter().position(|s| *s == subject);
            if at.and_then(|at| node.cached_subjects.remove(at)).is_none() {
                work += keeps.fetch * mean;
                self.counters.fetched += 1;
            }
            node.cached_subjects.push_back(subject);
            let max_subjects = (keeps.per_slot * f64::from(node.worker.spec.slots)).round() as usize;
            while node.cached_subjects.len() > max_subjects {
                node.cached_subjects.pop_front();
            }
        }
        let mut job_events = std::mem::take(&mut self.job_events);
        let work = Job { id: job, slots, work, priority };
        let taken = node.health == Health::Active && node.worker.offer(work, &mut job_events);
        if taken {
            let accepted_job =
                AcceptedJob { worker: w, scheduler: attempt.scheduler, request, is_cancelled: false };
            self.jobs.insert(job, accepted_job);
        } else {
            self.counters.full += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::NeverRan);
        }
        self.report_job_events(w, &mut job_events);
        self.job_events = job_events;
        self.schedule_worker(w);
        if taken { AttemptReply::Accepted(job) } else { AttemptReply::Full }
    }

    fn is_repeat(&mut self, now: Nanos, attempt: &Attempt, cell: usize) -> bool {
        let Some(class) = self.scenario.classes.get(attempt.class) else { return false };
        if !class.effect.is_deduplicated() {
            return false;
        }
        let window = ms(class.window_ms);
        let known = &mut self.cells[cell];
        if known.len() > 65_536 {
            known.retain(|_, at| *at + window > now);
        }
        let first = *known.entry(attempt.request).or_insert(now);
        let again = first != now && now < first + window;
        self.counters.known_repeats += u64::from(again);
        again
    }

    /// Cancels all jobs of a request at a worker.
    pub fn cancel_request(&mut self, now: Nanos, w: usize, request: u64) {
        let mut jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, o)| o.worker == w && o.request == request)
            .map(|(j, _)| *j)
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().for_each(|job| self.cancel_job(now, job));
    }

    /// Cancels a job.
    pub fn cancel_job(&mut self, now: Nanos, job: u64) {
        let Some(accepted_job) = self.jobs.get(&job) else { return };
        let (w, request, scheduler) = (accepted_job.worker, accepted_job.request, accepted_job.scheduler);
        if !self.reachable(scheduler, w) {
            return;
        }
        self.advance_worker(now, w);
        if !self.jobs.contains_key(&job) {
            return;
        }
        if self.nodes[w].worker.cancel(job) {
            self.jobs.remove(&job);
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
        } else if let Some(accepted_job) = self.jobs.get_mut(&job) {
            accepted_job.is_cancelled = true;
        }
        self.advance_worker(now, w);
    }

    /// Ends the attempts of a scheduler whose process has ended. Their jobs keep running, and their reports go to
    /// the next process of that scheduler.
    pub fn abandon_jobs(&mut self, now: Nanos, scheduler: usize) {
        let mut jobs: Vec<u64> =
            self.jobs.iter().filter(|(_, o)| o.scheduler == scheduler).map(|(j, _)| *j).collect();
        jobs.sort_unstable();
        for job in jobs {
            let Some(accepted_job) = self.jobs.get(&job) else { continue };
            let request = accepted_job.request;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
        }
    }

    // ---- load reports

    fn measure_load(&mut self, at: Nanos, w: usize) {
        let period = ms(self.scenario.reports.period_ms);
        self.advance_worker(at, w);
        let noise = self.scenario.reports.noise;
        let noise_factor = 1.0 + noise * self.report_rng.normal();
        let node = &mut self.nodes[w];
        let spec = &node.worker.spec;
        let report = WorkerLoad {
            in_flight: (node.worker.job_count() as f64 * noise_factor).max(0.0),
            rate: node.ended_since_measurement as f64 / (period as f64 / 1e9) * noise_factor,
            free_slots: f64::from(spec.slots.saturating_sub(node.worker.used_slots())),
        };
        node.ended_since_measurement = 0;
        node.reports.push_back((at, report));
        if node.reports.len() > MAX_STORED_REPORTS {
            node.reports.pop_front();
        }
        self.push(at + period.max(1), ScheduledEvent::MeasureLoad(w));
    }

    /// Returns the load that a worker reports with the end of an attempt.
    pub fn report(&mut self, now: Nanos, w: usize) -> Option<WorkerLoad> {
        if self.scenario.reports.by_probe { None } else { self.load(now, w) }
    }

    /// Returns the most recent measurement that is old enough to be reported.
    fn load(&mut self, now: Nanos, w: usize) -> Option<WorkerLoad> {
        if !self.scenario.reports.on {
            return None;
        }
        self.counters.late_reports += u64::from(self.extra_report_delay > 0);
        let until = now.checked_sub(ms(self.scenario.reports.delay_ms) + self.extra_report_delay)?;
        self.nodes[w].reports.iter().rev().find(|(at, _)| *at <= until).map(|(_, r)| *r)
    }

    // ---- worker list

    /// Schedules the update of a worker's list entry.
    fn schedule_notice(&mut self, at: Nanos, w: usize, after: Option<Nanos>) {
        let notice =
            after.unwrap_or_else(|| ms(self.discovery_rng.uniform(self.scenario.discovery.notice_ms)));
        self.push(at + notice, ScheduledEvent::NoticeChange(w));
    }

    fn notice_change(&mut self, at: Nanos, w: usize) {
        let node = &self.nodes[w];
        let health = if node.is_silent || node.is_down { Health::Left } else { node.health };
        let entry =
            WorkerEntry { worker: w, health, weight: self.listed[w].weight, started_at: node.started_at };
        if self.listed[w] == entry {
            return;
        }
        self.listed[w] = entry;
        for s in 0..self.known_entries.len() {
            let spread = ms(self.scenario.discovery.spread_ms * self.discovery_rng.next_unit());
            self.push(at + spread, ScheduledEvent::SendEntry(s, w));
        }
    }

    fn send_entry(&mut self, at: Nanos, s: usize, w: usize) {
        let entry = self.listed[w].clone();
        if self.discovery_outages > 0 {
            self.counters.list_held_back += 1;
            self.withheld_entries[s].push(entry);
            return;
        }
        self.send_list(at, s, vec![entry]);
    }

    fn send_list(&mut self, at: Nanos, s: usize, entries: Vec<WorkerEntry>) {
        self.seq += 1;
        for e in &entries {
            let since = match self.known_entries[s].get(&e.worker) {
                // A repeated entry does not extend the grace period.
                Some((old, since)) if old.health == e.health && old.started_at == e.started_at => *since,
                _ => at,
            };
            self.known_entries[s].insert(e.worker, (e.clone(), since));
        }
        self.host_actions.push_back(HostAction::WorkerList { scheduler: s, seq: self.seq, entries });
    }

    fn send_weights(&mut self, at: Nanos) {
        self.push(at + ms(self.scenario.discovery.weights_ms), ScheduledEvent::SendWeights);
        for (w, entry) in self.listed.iter_mut().enumerate() {
            let worker = &self.nodes[w].worker;
            entry.weight = worker.spec.cores / (1.0 + worker.job_count() as f64 / worker.spec.cores);
        }
        if self.discovery_outages > 0 {
            return;
        }
        let live: Vec<WorkerEntry> =
            self.listed.iter().filter(|e| e.health == Health::Active).cloned().collect();
        for s in 0..self.known_entries.len() {
            // Only weights are updated; an entry whose change of state is still on its way is left out.
            let known = |e: &&WorkerEntry| {
                self.known_entries[s]
                    .get(&e.worker)
                    .is_some_and(|(t, _)| t.health == e.health && t.started_at == e.started_at)
            };
            let entries: Vec<WorkerEntry> = live.iter().filter(known).cloned().collect();
            self.send_list(at, s, entries);
        }
    }

    // ---- faults

    fn begin_fault(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        let mut rng = self.streams.numbered_stream(t.kind.name(), i as u64);
        let (workers, schedulers) = (self.nodes.len(), self.scenario.schedulers.count);
        let end = at + secs(t.for_s);
        self.affected[i] = match t.kind {
            FaultKind::Vanish
            | FaultKind::Crash
            | FaultKind::FastErrors
            | FaultKind::Pauses
            | FaultKind::Drain
            | FaultKind::Partition => rng.sample_indices(t.part, workers),
            FaultKind::ZoneCut => vec![rng.index_below(self.scenario.fleet.zones)],
            FaultKind::RollingRestart => (0..workers).collect(),
            FaultKind::SchedulerKill | FaultKind::SchedulerTerm => rng.sample_indices(t.part, schedulers),
            _ => Vec::new(),
        };
        let affected = self.affected[i].clone();
        match t.kind {
            FaultKind::Vanish => {
                for w in affected {
                    self.counters.vanished += 1;
                    self.advance_worker(at, w);
                    self.nodes[w].is_silent = true;
                    self.drop_jobs(at, w, false);
                    self.schedule_notice(at, w, Some(SILENT_WORKER_REMOVAL_DELAY));
                    self.push(end, ScheduledEvent::Restart(w));
                }
            }
            FaultKind::Crash => {
                for w in affected {
                    self.nodes[w].crash_on_next_request = Some(end);
                }
            }
            FaultKind::FastErrors => {
                for w in affected {
                    self.nodes[w].failure_share = t.size.unwrap_or(0.6);
                }
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::Pauses | FaultKind::RollingRestart => self.repeat_fault(at, i),
            FaultKind::ReportLate => {
                self.extra_report_delay += secs(t.size.unwrap_or(2.0));
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::Drain => {
                for w in affected {
                    self.drain(at, w);
                    self.push(end.max(at + MAX_DRAIN_TIME + 1), ScheduledEvent::Restart(w));
                }
            }
            FaultKind::SchedulerKill | FaultKind::SchedulerTerm => {
                let kill = t.kind == FaultKind::SchedulerKill;
                let signal = if kill { Signal::Kill } else { Signal::Term };
                for s in affected {
                    self.counters.killed += u64::from(kill);
                    self.counters.termed += u64::from(!kill);
                    self.host_actions.push_back(HostAction::Signal(s, signal));
                }
            }
            FaultKind::DiscoveryDown => {
                self.discovery_outages += 1;
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::DiscoveryMoved => {
                self.counters.moved += 1;
                for s in 0..schedulers {
                    self.host_actions.push_back(HostAction::Signal(s, Signal::Moved));
                }
            }
            FaultKind::Partition => {
                let s = rng.index_below(schedulers);
                self.cut_links.extend(affected.iter().map(|w| (s, *w)));
                if schedulers > 1 {
                    self.cut_peers.insert(s);
                }
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::ZoneCut => {
                self.cut_zones.extend(affected);
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::PeersCut => {
                self.peer_cuts += 1;
                self.push(end, ScheduledEvent::EndFault(i));
            }
            FaultKind::StuckConnection => {
                self.stuck_share = t.part;
                self.push(end, ScheduledEvent::EndFault(i));
            }
            // These faults affect the clients; see `Arrivals`.
            FaultKind::Burst | FaultKind::HeavyTail | FaultKind::SlowReader => {}
        }
    }

    fn repeat_fault(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        match t.kind {
            FaultKind::Pauses => {
                let until = at + ms(t.size.unwrap_or(90.0));
                for w in self.affected[i].clone() {
                    self.advance_worker(at, w);
                    self.nodes[w].worker.pause(until);
                    self.counters.pauses += 1;
                    self.push(until, ScheduledEvent::AdvanceWorker(w));
                }
                if at + secs(t.every_s) < secs(t.at_s + t.for_s) {
                    self.push(at + secs(t.every_s), ScheduledEvent::RepeatFault(i));
                }
            }
            FaultKind::RollingRestart => {
                if let Some(w) = self.affected[i].pop() {
                    self.counters.rolled += 1;
                    self.drain(at, w);
                    self.push(at + MAX_DRAIN_TIME + ROLLING_RESTART_PAUSE, ScheduledEvent::Restart(w));
                    self.push(at + secs(t.every_s), ScheduledEvent::RepeatFault(i));
                }
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        match t.kind {
            FaultKind::FastErrors => {
                for w in self.affected[i].clone() {
                    self.nodes[w].failure_share = 0.0;
                }
            }
            FaultKind::ReportLate => {
                self.extra_report_delay = self.extra_report_delay.saturating_sub(secs(t.size.unwrap_or(2.0)))
            }
            FaultKind::DiscoveryDown => {
                self.discovery_outages = self.discovery_outages.saturating_sub(1);
                if self.discovery_outages == 0 {
                    for s in 0..self.withheld_entries.len() {
                        let entries = std::mem::take(&mut self.withheld_entries[s]);
                        if !entries.is_empty() {
                            self.send_list(at, s, entries);
                        }
                    }
                }
            }
            FaultKind::Partition => {
                let affected: FxHashSet<usize> = self.affected[i].iter().copied().collect();
                self.cut_links.retain(|(_, w)| !affected.contains(w));
                self.cut_peers.clear();
            }
            FaultKind::ZoneCut => self.cut_zones.clear(),
            FaultKind::PeersCut => self.peer_cuts = self.peer_cuts.saturating_sub(1),
            FaultKind::StuckConnection => self.stuck_share = 0.0,
            _ => {}
        }
    }

    fn drain(&mut self, at: Nanos, w: usize) {
        if self.nodes[w].health != Health::Active || self.nodes[w].is_silent {
            return;
        }
        self.counters.drained += 1;
        self.advance_worker(at, w);
        self.nodes[w].health = Health::Leaving;
        for job in self.nodes[w].worker.take_queued() {
            let Some(accepted_job) = self.jobs.remove(&job) else { continue };
            self.counters.handed_back += 1;
            self.invariant_checker.attempt_ended(at, accepted_job.request, job, AttemptEnd::NeverRan);
            if !accepted_job.is_cancelled {
                let report = self.report(at, w);
                let (scheduler, request) = (accepted_job.scheduler, accepted_job.request);
                let update = JobUpdate::Returned;
                self.host_actions.push_back(HostAction::JobUpdate {
                    job,
                    worker: w,
                    scheduler,
                    request,
                    update,
                    report,
                });
            }
        }
        self.schedule_notice(at, w, None);
        self.push(at + MAX_DRAIN_TIME, ScheduledEvent::StopDraining(w));
    }

    /// Ends the process of a draining worker; its remaining jobs are lost.
    fn stop_draining_worker(&mut self, at: Nanos, w: usize) {
        if self.nodes[w].health == Health::Leaving && !self.nodes[w].is_down {
            self.advance_worker(at, w);
            self.nodes[w].health = Health::Left;
            self.stop_worker(at, w);
        }
    }

    /// Ends a worker's process and resets its connections.
    fn stop_worker(&mut self, at: Nanos, w: usize) {
        self.nodes[w].is_down = true;
        self.drop_jobs(at, w, true);
        self.host_actions.push_back(HostAction::ResetConnections(w));
        self.schedule_notice(at, w, None);
    }

    fn drop_jobs(&mut self, at: Nanos, w: usize, notify: bool) {
        for job in self.nodes[w].worker.stop() {
            let Some(accepted_job) = self.jobs.remove(&job) else { continue };
            self.invariant_checker.attempt_ended(at, accepted_job.request, job, AttemptEnd::MayHaveRun);
            if notify && !accepted_job.is_cancelled {
                let (scheduler, request) = (accepted_job.scheduler, accepted_job.request);
                let update = JobUpdate::Lost;
                self.host_actions.push_back(HostAction::JobUpdate {
                    job,
                    worker: w,
                    scheduler,
                    request,
                    update,
                    report: None,
                });
            }
        }
        self.nodes[w].connections = 0;
    }

    /// Starts a new, cold process of a worker.
    fn restart_worker(&mut self, at: Nanos, w: usize) {
        let node = &mut self.nodes[w];
        if !node.is_silent && !node.is_down {
            return;
        }
        self.counters.came_back += 1;
        (node.is_silent, node.is_down, node.health, node.started_at) = (false, false, Health::Active, at);
        node.reports.clear();
        node.worker.start(at);
        self.host_actions.push_back(HostAction::ResetConnections(w));
        self.schedule_notice(at, w, None);
    }
}

//! Runs a scenario in virtual time, with any number of schedulers in one process. Results are reproducible from the
//! seed.
//!
//! Schedulers handle their events once per tick. They don't interact within a tick and can run on several threads;
//! their actions are performed in the order of the schedulers' numbers. So the digest over all events and actions
//! does not depend on the number of threads.

use crate::clients::{self, Arrivals, Outcome as TryOutcome, Request};
use crate::figures::{Collector, Figures, RequestOutcome};
use crate::invariants::{CheckerCounts, FinalResponse, SchedulerExit, Violation};
use crate::scenario::Scenario;
use crate::seed::RandomStream;
use crate::settings;
use crate::world::{
    Attempt, AttemptReply, ConnectResult, Counters, HostAction, JobUpdate, Signal, World, ms,
};
use loomlb_policy::raw_settings::{SettingNames, affinity_key};
use loomlb_policy::{
    Action, AttemptResult, ClassId, Dispatcher, Event, JobProgress, ListKind, LoadReport, Nanos, Outcome,
    PeerId, Recipient, Request as PolicyRequest, RequestId, Settings, TenantId,
};
use loomlb_quota::{Quota, QuotaRequest, ShareStatus, Ticket, Verdict};
use rayon::prelude::*;
use rustc_hash::FxHashMap;
use serde::Serialize;
use slab::Slab;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time for which clients still send to a scheduler that was asked to shut down.
const SHUTDOWN_VISIBLE_TIME: Nanos = 300_000_000;
/// Time after which a scheduler that was asked to shut down is killed, in addition to the longest deadline.
const SHUTDOWN_KILL_MARGIN: Nanos = 700_000_000;
/// The longest deadline counts as this at most.
const MAX_SHUTDOWN_WAIT: Nanos = 3_000_000_000;
/// Time after the last arrival at which a scenario ends at the latest.
const MAX_TIME_AFTER_ARRIVALS: Nanos = 120_000_000_000;
/// Schedulers run on one thread if there are fewer events than this in a tick.
const MIN_EVENTS_FOR_THREADS: usize = 16;

/// Makes the decisions of a scheduler: the decision module, or a baseline for comparison.
pub trait Decider: Send {
    /// Handles an event and appends the resulting actions; see [`Dispatcher::handle`].
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Decider for Dispatcher {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, out);
    }
}

/// Creates the decider of a scheduler from its settings and a seed.
pub type DeciderFactory<'a> = dyn Fn(Settings, u64) -> Box<dyn Decider> + Sync + 'a;

/// Creates a dispatcher of the decision module.
pub fn new_dispatcher(settings: Settings, seed: u64) -> Box<dyn Decider> {
    Box::new(Dispatcher::new(settings, seed))
}

/// The result of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct SimulationResult {
    /// The figures.
    pub figures: Figures,
    /// The events that were reported to the invariant checker.
    pub seen: CheckerCounts,
    /// Number of violations.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// The first violations, with the history of their requests.
    #[serde(rename = "first")]
    pub first_violations: Vec<Violation>,
    /// Counts of events in the world.
    pub counters: Counters,
    /// The configured rate of requests per second.
    pub rate: f64,
    /// Events handled by schedulers, and the actions that they returned.
    pub events: u64,
    /// See `events`.
    pub actions: u64,
    /// Work done by workers, in seconds of a reference core, and the fraction of it that was wasted.
    pub work_s: f64,
    /// See `work_s`.
    pub wasted: f64,
    /// Duration until all requests had ended, in seconds.
    pub length_s: f64,
    /// A digest over all events and actions with their times.
    pub digest: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A client makes its next request.
    NextRequest,
    /// A client sends a try.
    SendTry(u64),
    /// A try arrives at a scheduler.
    ReceiveRequest(u64, usize, u32),
    /// Schedulers handle their events.
    RunSchedulers,
    Timer(usize, u32, u64),
    /// An attempt arrives at its worker.
    DeliverAttempt(usize, u32, u64, u32),
    /// A scheduler learns that an attempt has ended.
    AttemptEnded(usize, u32, u64, u32, u8),
    AttemptTimeout(usize, u32, u64, u32),
    /// A cancellation arrives at a worker.
    CancelJob(u64),
    /// A worker's report arrives at a scheduler; the last value is its index in `job_updates`.
    JobUpdate(usize, u32, usize),
    Datagram(usize, u32, usize),
    ProbeEnded(usize, u32, usize, bool),
    /// A response arrives at its client.
    Response(u64, usize),
    /// A client stops waiting.
    ClientTimeout(u64),
    StartScheduler(usize),
    CheckShutdown(usize, u32),
    KillScheduler(usize, u32),
    ListReply(usize, u32),
    /// A request for the list has failed.
    ListRequestFailed(usize, u32),
}

#[derive(Debug)]
struct Forward {
    /// When the worker reported the start of the job.
    started: Option<Nanos>,
    worker: usize,
    sent: Nanos,
    job: Option<u64>,
    ended: bool,
    /// Whether there is a connection over which the attempt can reach the worker.
    connected: bool,
}

#[derive(Debug)]
struct Flow {
    class: usize,
    slots: u32,
    work: f64,
    deadline: Nanos,
    answered: bool,
    forwards: Vec<Forward>,
    /// The tenant's quota that it holds, and the seconds that its jobs ran.
    quota_ticket: Option<Ticket>,
    run_time_s: f64,
}

struct SchedulerNode {
    decider: Box<dyn Decider>,
    /// Nested quotas, if the scenario has them, and the mean running time of each class's jobs in seconds.
    quota: Option<Quota>,
    mean_job_s: Vec<f64>,
    names: SettingNames,
    is_running: bool,
    /// The front proxy sends requests until this time, although the process may have ended.
    visible_until: Nanos,
    shutdown_started: Option<Nanos>,
    incarnation: u32,
    inbox: Vec<Event>,
    outbox: Vec<Action>,
    /// Requests by id.
    flows: FxHashMap<u64, Flow>,
    idle_connections: FxHashMap<usize, Vec<Nanos>>,
}

#[derive(Debug)]
struct ClientState {
    request: Request,
    tries: u32,
    /// The scheduler of the current try.
    scheduler: Option<usize>,
    /// When the client stops waiting.
    leaves_at: Nanos,
    answered: bool,
}

/// A worker's report in transit: request, job, update, and the worker's load.
type JobUpdateInTransit = (u64, u64, JobUpdate, Option<LoadReport>);

struct VirtualHost<'a> {
    world: World,
    make_decider: &'a DeciderFactory<'a>,
    thread_pool: Option<rayon::ThreadPool>,
    arrivals: Arrivals,
    next_arrival: Option<Request>,
    nodes: Vec<SchedulerNode>,
    clients: FxHashMap<u64, ClientState>,
    queue: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    last_sequence: u64,
    next_tick: Option<Nanos>,
    now: Nanos,
    job_updates: Slab<JobUpdateInTransit>,
    datagrams: Slab<(usize, Vec<u8>)>,
    collector: Collector,
    delay_rng: RandomStream,
    front_rng: RandomStream,
    retry_rng: RandomStream,
    restart_rng: RandomStream,
    digest: blake3::Hasher,
    events: u64,
    actions: u64,
    arrivals_finished: bool,
}

/// Runs a scenario in virtual time with the decision module, on `threads` threads (0 for one).
pub fn run(scenario: &Scenario, seed: u64, threads: usize) -> SimulationResult {
    run_with(scenario, seed, threads, &new_dispatcher)
}

/// Runs a scenario in virtual time with the given deciders.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    threads: usize,
    make_decider: &DeciderFactory,
) -> SimulationResult {
    let world = World::new(scenario.clone(), seed, 0);
    let streams = world.streams();
    let arrivals = Arrivals::new(scenario, &streams, world.capacity());
    let threads = if scenario.schedulers.count > 1 { threads } else { 0 };
    let thread_pool =
        (threads > 1).then(|| rayon::ThreadPoolBuilder::new().num_threads(threads).build().ok()).flatten();
    let mut host = VirtualHost {
        make_decider,
        thread_pool,
        arrivals,
        next_arrival: None,
        nodes: Vec::new(),
        clients: FxHashMap::default(),
        queue: BinaryHeap::new(),
        last_sequence: 0,
        next_tick: None,
        now: 0,
        job_updates: Slab::new(),
        datagrams: Slab::new(),
        collector: Collector::new(scenario),
        delay_rng: streams.stream("delays"),
        front_rng: streams.stream("front"),
        retry_rng: streams.stream("retries"),
        restart_rng: streams.stream("restarts"),
        digest: blake3::Hasher::new(),
        events: 0,
        actions: 0,
        arrivals_finished: false,
        world,
    };
    for s in 0..scenario.schedulers.count {
        let node = host.new_scheduler(s);
        host.nodes.push(node);
        host.send_list(s, ListKind::Persisted);
    }
    host.push(0, ScheduledEvent::NextRequest);
    host.run_events(scenario);
    let world = &mut host.world;
    world.invariant_checker.finish(host.now);
    let workers = (0..world.workers()).map(|w| world.worker(w));
    let (delivered, wasted) = workers.fold((0.0, 0.0), |s, w| (s.0 + w.delivered, s.1 + w.wasted));
    let mut counters = world.counters.clone();
    (counters.burst, counters.heavy, counters.slow_readers) =
        (host.arrivals.burst_requests, host.arrivals.heavy_requests, host.arrivals.slow_readers);
    SimulationResult {
        figures: host.collector.figures(),
        seen: world.invariant_checker.counts,
        violations: world.invariant_checker.violation_count,
        first_violations: world.invariant_checker.violations.clone(),
        counters,
        rate: host.arrivals.rate(),
        events: host.events,
        actions: host.actions,
        work_s: delivered / 1e9,
        wasted: if delivered > 0.0 { wasted / delivered } else { 0.0 },
        length_s: host.now as f64 / 1e9,
        digest: host.digest.finalize().to_hex()[..32].to_string(),
    }
}

impl VirtualHost<'_> {
    fn push(&mut self, at: Nanos, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at.max(self.now), self.last_sequence, event)));
    }

    fn digest_values(&mut self, tag: u8, values: &[u64]) {
        self.digest.update(&[tag]);
        self.digest.update(&self.now.to_le_bytes());
        values.iter().for_each(|v| {
            self.digest.update(&v.to_le_bytes());
        });
    }

    fn delay(&mut self, mean_ms: f64) -> Nanos {
        ms(mean_ms * self.delay_rng.log_normal(self.world.scenario.network.jitter)).max(1)
    }
    /// Draws the one-way delay between a scheduler and a worker.
    fn link_delay(&mut self, s: usize, w: usize) -> Nanos {
        let network = &self.world.scenario.network;
        let near = self.world.zone(s) == self.world.zone(w);
        self.delay(if near { network.one_way_ms } else { network.cross_ms })
    }
    /// Draws the one-way delay between a scheduler and discovery.
    fn discovery_delay(&mut self) -> Nanos {
        self.delay(self.world.scenario.network.one_way_ms)
    }

    fn run_events(&mut self, scenario: &Scenario) {
        let end = crate::world::secs(scenario.seconds) + MAX_TIME_AFTER_ARRIVALS;
        loop {
            let own_next = self.queue.peek().map(|Reverse((at, _, _))| *at);
            let world_next = self.world.next_event_time();
            let Some(at) = [own_next, world_next].into_iter().flatten().min() else { return };
            if at > end
                || (self.arrivals_finished
                    && self.clients.is_empty()
                    && self.world.invariant_checker.pending_responses() == 0)
            {
                return;
            }
            self.now = self.now.max(at);
            while let Some(action) = self.world.next_action(self.now) {
                self.perform_host_action(action);
            }
            while let Some(Reverse((at, _, _))) = self.queue.peek() {
                if *at > self.now {
                    break;
                }
                let Some(Reverse((_, _, event))) = self.queue.pop() else { break };
                self.process_event(event);
                while let Some(action) = self.world.next_action(self.now) {
                    self.perform_host_action(action);
                }
            }
        }
    }

    // ---- schedulers

    fn new_scheduler(&mut self, s: usize) -> SchedulerNode {
        let (settings, names) =
            settings::dispatcher_settings(&self.world.scenario, s, self.arrivals.tenant_rates());
        let part = 1.0 / self.world.scenario.schedulers.count as f64;
        let quota =
            self.world.scenario.quota.clone().and_then(|spec| Quota::new(spec.scaled(part), self.now).ok());
        SchedulerNode {
            decider: (self.make_decider)(settings, self.restart_rng.next_u64()),
            quota,
            mean_job_s: self.world.scenario.classes.iter().map(|c| c.aim_ms / 1e3).collect(),
            names,
            is_running: true,
            visible_until: Nanos::MAX,
            shutdown_started: None,
            incarnation: 0,
            inbox: Vec::new(),
            outbox: Vec::new(),
            flows: FxHashMap::default(),
            idle_connections: FxHashMap::default(),
        }
    }

    /// Sends a scheduler the complete list, as of the changes that it has received.
    fn send_list(&mut self, s: usize, kind: ListKind) {
        let (_, entries) = self.world.known_list(s);
        let names = &self.nodes[s].names;
        let mut entries: Vec<_> =
            entries.iter().map(|e| settings::listed_worker(&self.world, names, e)).collect();
        entries.retain(|e| e.state != loomlb_policy::WorkerState::Removed);
        self.enqueue_event(s, Event::WorkerList { kind, entries });
    }

    fn enqueue_event(&mut self, s: usize, event: Event) {
        if !self.nodes[s].is_running {
            return;
        }
        self.nodes[s].inbox.push(event);
        if self.next_tick.is_none() {
            let tick = ms(self.world.scenario.tick_ms).max(1);
            let at = (self.now / tick + 1) * tick;
            self.next_tick = Some(at);
            self.push(at, ScheduledEvent::RunSchedulers);
        }
    }

    fn run_schedulers(&mut self) {
        self.next_tick = None;
        let now = self.now;
        let events: usize = self.nodes.iter().map(|n| n.inbox.len()).sum();
        for s in 0..self.nodes.len() {
            let inbox = std::mem::take(&mut self.nodes[s].inbox);
            self.events += inbox.len() as u64;
            inbox.iter().for_each(|event| self.digest_event(s, event));
            self.nodes[s].inbox = inbox;
        }
        let decide = |node: &mut SchedulerNode| {
            let (decider, out) = (&mut node.decider, &mut node.outbox);
            node.inbox.drain(..).for_each(|event| decider.handle(now, event, out));
        };
        match self.thread_pool.as_ref().filter(|_| events >= MIN_EVENTS_FOR_THREADS) {
            Some(pool) => pool.install(|| self.nodes.par_iter_mut().with_max_len(1).for_each(decide)),
            None => self.nodes.iter_mut().for_each(decide),
        }
        for s in 0..self.nodes.len() {
            let mut outbox = std::mem::take(&mut self.nodes[s].outbox);
            self.actions += outbox.len() as u64;
            outbox.drain(..).for_each(|action| self.perform_action(s, action));
            self.nodes[s].outbox = outbox;
        }
    }

    fn digest_event(&mut self, s: usize, event: &Event) {
        let s = s as u64;
        match event {
            Event::WorkerList { entries, .. } => {
                self.digest_values(1, &[s, entries.len() as u64]);
                entries.iter().for_each(|e| {
                    self.digest_values(2, &[e.id.0, e.state as u64, e.weight.to_bits(), e.started_at])
                });
            }
            Event::ListRequestFailed => self.digest_values(3, &[s]),
            Event::Request(r) => self.digest_values(4, &[s, r.id.0, r.class.0 as u64, r.remaining]),
            Event::RequestAbandoned(id) => self.digest_values(5, &[s, id.0]),
            Event::JobProgress(id, n, _) => self.digest_values(6, &[s, id.0, u64::from(*n)]),
            Event::ResponseStarted(id, n) => self.digest_values(7, &[s, id.0, u64::from(*n)]),
            Event::AttemptEnded { id, attempt, result: ended } => {
                self.digest_values(8, &[s, id.0, u64::from(*attempt), ended.outcome as u64, ended.latency]);
            }
            Event::ProbeEnded { worker, result: ended } => {
                self.digest_values(9, &[s, worker.0, ended.outcome as u64])
            }
            Event::TimerFired(token) => self.digest_values(10, &[s, *token]),
            Event::PeerMessage(from, bytes) => {
                self.digest_values(11, &[s, u64::from(from.0), bytes.len() as u64])
            }
            // Settings don't change in a simulation.
            Event::SettingsChanged(..) => self.digest_values(12, &[s]),
        }
    }

    fn perform_action(&mut self, s: usize, action: Action) {
        let scheduler = s as u64;
        let incarnation = self.nodes[s].incarnation;
        match action {
            Action::Send { id, worker, timeout } => {
                self.digest_values(32, &[scheduler, id.0, worker.0, timeout]);
                self.send_attempt(s, id.0, worker.0 as usize - 1, timeout);
            }
            Action::Refuse { id, retry_after } => {
                self.digest_values(33, &[scheduler, id.0, retry_after]);
                let retry_after = retry_after.min(ms(self.world.scenario.terms.max_retry_after_ms));
                self.respond(s, id.0, FinalResponse::Refused, TryOutcome::Refused(retry_after));
            }
            Action::Fail(id) => {
                self.digest_values(34, &[scheduler, id.0]);
                self.respond(s, id.0, FinalResponse::Failed, TryOutcome::Failed);
            }
            Action::Cancel(id, n) => {
                self.digest_values(35, &[scheduler, id.0, u64::from(n)]);
                self.cancel_attempt(s, id.0, n, Outcome::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.digest_values(36, &[scheduler, after, token]);
                self.push(self.now + after.max(1), ScheduledEvent::Timer(s, incarnation, token));
            }
            Action::Probe(worker) => {
                self.digest_values(37, &[scheduler, worker.0]);
                let w = worker.0 as usize - 1;
                let back = self.link_delay(s, w) + self.link_delay(s, w);
                let up = !self.world.is_silent(worker.0 as usize - 1);
                let after = if up { back } else { ms(self.world.scenario.network.dial_ms) };
                self.push(
                    self.now + after,
                    ScheduledEvent::ProbeEnded(s, incarnation, worker.0 as usize - 1, up),
                );
            }
            Action::CloseIdleConnections(worker) => {
                self.digest_values(38, &[scheduler, worker.0]);
                let w = worker.0 as usize - 1;
                for _ in self.nodes[s].idle_connections.remove(&w).unwrap_or_default() {
                    self.world.disconnect(w);
                }
            }
            Action::WatchList => {
                self.digest_values(39, &[scheduler]);
                let (there, back) = (self.discovery_delay(), self.discovery_delay());
                match self.world.request_list(self.now + there) {
                    Ok(done) => self.push(done + back, ScheduledEvent::ListReply(s, incarnation)),
                    Err(failed) => {
                        self.push(failed + back, ScheduledEvent::ListRequestFailed(s, incarnation))
                    }
                }
            }
            Action::SendToPeers(to, bytes) => {
                self.digest_values(40, &[scheduler, bytes.len() as u64]);
                let to: Vec<usize> = match to {
                    Recipient::One(peer) => vec![peer.0 as usize],
                    Recipient::All => (0..self.nodes.len()).filter(|p| *p != s).collect(),
                };
                let known = self.nodes.len();
                to.into_iter().filter(|p| *p < known).for_each(|peer| self.send_datagram(s, peer, &bytes));
            }
        }
    }

    fn send_datagram(&mut self, s: usize, peer: usize, bytes: &[u8]) {
        let lost = self.delay_rng.chance(self.world.scenario.network.peer_loss);
        let after = ms(self.delay_rng.uniform(self.world.scenario.network.peer_ms));
        if lost || !self.world.peers_reachable(s, peer) {
            return;
        }
        let at = self.datagrams.insert((s, bytes.to_vec()));
        let incarnation = self.nodes[peer].incarnation;
        self.push(self.now + after, ScheduledEvent::Datagram(peer, incarnation, at));
    }

    /// Sends an attempt.
    fn send_attempt(&mut self, s: usize, id: u64, w: usize, timeout: Nanos) {
        let (now, incarnation) = (self.now, self.nodes[s].incarnation);
        let max_attempts = self.world.scenario.terms.max_attempts as usize;
        let Some(flow) = self.nodes[s].flows.get_mut(&id) else { return };
        let n = flow.forwards.len() as u32;
        let not_allowed = flow.answered || flow.forwards.len() >= max_attempts;
        let until = if timeout == 0 { flow.deadline } else { flow.deadline.min(now.saturating_add(timeout)) };
        flow.forwards.push(Forward {
            started: None,
            worker: w,
            sent: now,
            job: None,
            ended: false,
            connected: false,
        });
        if not_allowed || w >= self.world.workers() {
            return self.end_attempt(s, id, n, Outcome::NotSent, None);
        }
        self.push(until, ScheduledEvent::AttemptTimeout(s, incarnation, id, n));
        let max_idle = crate::world::secs(self.world.scenario.network.idle_s) * 3 / 4;
        let idle = self.nodes[s].idle_connections.get_mut(&w).and_then(|p| {
            let last = p.pop();
            last.filter(|since| *since + max_idle > now).map(|_| true).or(last.map(|_| false))
        });
        if idle == Some(true) {
            if let Some(f) = self.forward_mut(s, id, n) {
                f.connected = true;
            }
            let delay = self.link_delay(s, w);
            return self.push(now + delay, ScheduledEvent::DeliverAttempt(s, incarnation, id, n));
        }
        if idle == Some(false) {
            let old = self.nodes[s].idle_connections.remove(&w).map_or(0, |p| p.len()) + 1;
            (0..old).for_each(|_| self.world.disconnect(w));
        }
        let delay = self.link_delay(s, w) + self.link_delay(s, w) + self.link_delay(s, w);
        match self.world.connect(now, s, w) {
            ConnectResult::Connected => {
                if let Some(f) = self.forward_mut(s, id, n) {
                    f.connected = true;
                }
                self.push(now + delay, ScheduledEvent::DeliverAttempt(s, incarnation, id, n));
            }
            ConnectResult::Refused => self.push(
                now + delay,
                ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome_code(Outcome::NoConnection)),
            ),
            ConnectResult::NoResponse => {
                let dial = ms(self.world.scenario.network.dial_ms);
                self.push(
                    now + dial,
                    ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome_code(Outcome::NoConnection)),
                );
            }
        }
    }

    fn forward_mut(&mut self, s: usize, id: u64, n: u32) -> Option<&mut Forward> {
        self.nodes[s].flows.get_mut(&id)?.forwards.get_mut(n as usize)
    }

    /// Delivers an attempt to its worker.
    fn deliver_attempt(&mut self, s: usize, incarnation: u32, id: u64, n: u32) {
        let Some(flow) = self.nodes[s].flows.get(&id) else { return };
        let Some(f) = flow.forwards.get(n as usize) else { return };
        let (w, sent) = (f.worker, f.sent);
        if f.ended {
            // The attempt was cancelled on its way, and its connection was closed.
            return self.world.disconnect(w);
        }
        let (slots, work, class) = (flow.slots, flow.work, flow.class);
        let subject = self.clients.get(&(id >> 4)).and_then(|c| c.request.subject);
        let attempt = Attempt { request: id, scheduler: s, slots, work, class, subject, sent };
        let reply = self.world.receive_attempt(self.now, w, &attempt);
        let delay = self.link_delay(s, w);
        match reply {
            AttemptReply::Accepted(job) => {
                if let Some(f) = self.forward_mut(s, id, n) {
                    f.job = Some(job);
                }
                let (now, node) = (self.now, &mut self.nodes[s]);
                node.idle_connections.entry(w).or_default().push(now);
            }
            AttemptReply::Full => {
                self.nodes[s].idle_connections.entry(w).or_default().push(self.now);
                self.push(
                    self.now + delay,
                    ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome_code(Outcome::Full)),
                );
            }
            AttemptReply::Error => {
                self.nodes[s].idle_connections.entry(w).or_default().push(self.now);
                self.push(
                    self.now + delay + ms(2.0),
                    ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome_code(Outcome::Error)),
                );
            }
            AttemptReply::ConnectionRefused => self.push(
                self.now + delay,
                ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome_code(Outcome::Reset)),
            ),
            AttemptReply::NoResponse => {}
        }
    }

    /// Ends an attempt at its scheduler.
    fn end_attempt(&mut self, s: usize, id: u64, n: u32, outcome: Outcome, report: Option<LoadReport>) {
        let now = self.now;
        let Some(flow) = self.nodes[s].flows.get_mut(&id) else { return };
        let answered = flow.answered;
        let Some(f) = flow.forwards.get_mut(n as usize).filter(|f| !f.ended) else { return };
        f.ended = true;
        let latency = now.saturating_sub(f.sent);
        let started = f.started.filter(|_| !outcome.never_ran());
        flow.run_time_s += started.map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e9);
        self.enqueue_event(
            s,
            Event::AttemptEnded {
                id: RequestId(id),
                attempt: n,
                result: AttemptResult { outcome, latency, request_finished: answered, load_report: report },
            },
        );
        self.remove_if_finished(s, id);
    }

    fn remove_if_finished(&mut self, s: usize, id: u64) {
        let over = |f: &Flow| f.answered && f.forwards.iter().all(|x| x.ended);
        if !self.nodes[s].flows.get(&id).is_some_and(over) {
            return;
        }
        let (now, node) = (self.now, &mut self.nodes[s]);
        let Some(flow) = node.flows.remove(&id) else { return };
        if let (Some(quota), Some(ticket)) = (&mut node.quota, flow.quota_ticket) {
            if flow.run_time_s > 0.0 {
                node.mean_job_s[flow.class] += (flow.run_time_s - node.mean_job_s[flow.class]) * 0.05;
            }
            quota.complete(now, ticket, flow.run_time_s * f64::from(flow.slots));
        }
    }

    fn cancel_attempt(&mut self, s: usize, id: u64, n: u32, why: Outcome) {
        let Some(w) = self.forward_mut(s, id, n).filter(|f| !f.ended).map(|f| f.worker) else { return };
        let delay = self.link_delay(s, w);
        let Some(f) = self.forward_mut(s, id, n) else { return };
        let outcome = match (f.connected, why) {
            (false, Outcome::Timeout) => Outcome::NoConnection,
            (false, _) => Outcome::NotSent,
            _ => why,
        };
        if let Some(job) = f.job {
            self.push(self.now + delay, ScheduledEvent::CancelJob(job));
        }
        self.end_attempt(s, id, n, outcome, None);
    }

    /// Sends a final response to a client.
    fn respond(&mut self, s: usize, id: u64, answered: FinalResponse, outcome: TryOutcome) {
        let Some(flow) = self.nodes[s].flows.get_mut(&id).filter(|f| !f.answered) else { return };
        flow.answered = true;
        self.world.invariant_checker.response_sent(self.now, id, answered);
        let delay = self.delay(self.world.scenario.network.client_ms);
        let code = match outcome {
            TryOutcome::Served => 0,
            TryOutcome::Failed => 1,
            TryOutcome::Unreachable => 2,
            TryOutcome::Refused(after) => 3 + after as usize,
        };
        let slow = self.clients.get(&(id >> 4)).map_or(0, |c| c.request.read_delay);
        self.push(self.now + delay + slow, ScheduledEvent::Response(id, code));
        self.remove_if_finished(s, id);
    }

    // ---- events

    fn process_event(&mut self, event: ScheduledEvent) {
        let now = self.now;
        let is_current_run = |host: &Self, s: usize, incarnation: u32| {
            host.nodes[s].is_running && host.nodes[s].incarnation == incarnation
        };
        match event {
            ScheduledEvent::NextRequest => self.next_request(),
            ScheduledEvent::SendTry(number) => self.send_try(number),
            ScheduledEvent::ReceiveRequest(id, s, incarnation) => self.receive_request(id, s, incarnation),
            ScheduledEvent::RunSchedulers => self.run_schedulers(),
            ScheduledEvent::Timer(s, incarnation, token) if is_current_run(self, s, incarnation) => {
                self.enqueue_event(s, Event::TimerFired(token))
            }
            ScheduledEvent::DeliverAttempt(s, incarnation, id, n) if is_current_run(self, s, incarnation) => {
                self.deliver_attempt(s, incarnation, id, n)
            }
            ScheduledEvent::AttemptEnded(s, incarnation, id, n, outcome)
                if is_current_run(self, s, incarnation) =>
            {
                let outcome = OUTCOMES[outcome as usize];
                let w = self.forward_mut(s, id, n).map(|f| f.worker);
                let report = w.filter(|_| matches!(outcome, Outcome::Full | Outcome::Error));
                let report = report.and_then(|w| self.world.report(now, w)).map(load_report);
                self.end_attempt(s, id, n, outcome, report);
            }
            ScheduledEvent::AttemptTimeout(s, incarnation, id, n) if is_current_run(self, s, incarnation) => {
                self.cancel_attempt(s, id, n, Outcome::Timeout)
            }
            ScheduledEvent::CancelJob(job) => self.world.cancel_job(now, job),
            ScheduledEvent::JobUpdate(s, incarnation, at) => {
                let Some((id, job, update, report)) = self.job_updates.try_remove(at) else { return };
                if is_current_run(self, s, incarnation) {
                    self.receive_job_update(s, id, job, update, report);
                }
            }
            ScheduledEvent::Datagram(s, incarnation, at) => {
                let Some((from, bytes)) = self.datagrams.try_remove(at) else { return };
                if is_current_run(self, s, incarnation) {
                    self.enqueue_event(s, Event::PeerMessage(PeerId(from as u32), bytes));
                }
            }
            ScheduledEvent::ProbeEnded(s, incarnation, w, up) if is_current_run(self, s, incarnation) => {
                let report = if up { self.world.probe(now, s, w) } else { None };
                let outcome = if report.is_some() { Outcome::Served } else { Outcome::NoConnection };
                let ended = AttemptResult {
                    outcome,
                    latency: 0,
                    request_finished: false,
                    load_report: report.map(load_report),
                };
                self.enqueue_event(
                    s,
                    Event::ProbeEnded { worker: loomlb_policy::WorkerId(w as u64 + 1), result: ended },
                );
            }
            ScheduledEvent::Response(id, code) => self.receive_response(id, code),
            ScheduledEvent::ClientTimeout(id) => self.handle_client_timeout(id),
            ScheduledEvent::StartScheduler(s) => self.start_scheduler(s),
            ScheduledEvent::CheckShutdown(s, incarnation) if is_current_run(self, s, incarnation) => {
                if self.nodes[s].flows.values().all(|f| f.answered) {
                    self.stop_scheduler(s, SchedulerExit::Exited);
                } else {
                    self.push(now + 5_000_000, ScheduledEvent::CheckShutdown(s, incarnation));
                }
            }
            ScheduledEvent::KillScheduler(s, incarnation) if is_current_run(self, s, incarnation) => {
                let asked = self.nodes[s].shutdown_started.unwrap_or(now);
                self.stop_scheduler(s, SchedulerExit::ShutdownTimedOut(asked));
            }
            ScheduledEvent::ListReply(s, incarnation) if is_current_run(self, s, incarnation) => {
                if !self.world.discovery_up() {
                    return self.enqueue_event(s, Event::ListRequestFailed);
                }
                self.send_list(s, ListKind::Complete);
            }
            ScheduledEvent::ListRequestFailed(s, incarnation) if is_current_run(self, s, incarnation) => {
                self.enqueue_event(s, Event::ListRequestFailed)
            }
            // Events for an earlier process of a scheduler are dropped.
            _ => {}
        }
    }

    fn perform_host_action(&mut self, action: HostAction) {
        match action {
            HostAction::JobUpdate { job, worker, scheduler: s, request, update, report } => {
                if !self.world.reachable(s, worker) {
                    return;
                }
                let at = self.job_updates.insert((request, job, update, report.map(load_report)));
                let (delay, incarnation) = (self.link_delay(s, worker), self.nodes[s].incarnation);
                self.push(self.now + delay, ScheduledEvent::JobUpdate(s, incarnation, at));
            }
            HostAction::WorkerList { scheduler: s, entries, .. } => {
                let names = &self.nodes[s].names;
                let entries =
                    entries.iter().map(|e| settings::listed_worker(&self.world, names, e)).collect();
                self.enqueue_event(s, Event::WorkerList { kind: ListKind::Partial, entries });
            }
            HostAction::Signal(s, Signal::Kill) => self.stop_scheduler(s, SchedulerExit::Killed),
            HostAction::Signal(s, Signal::Term) => {
                if self.nodes[s].is_running && self.nodes[s].shutdown_started.is_none() {
                    let (now, incarnation) = (self.now, self.nodes[s].incarnation);
                    self.nodes[s].shutdown_started = Some(now);
                    self.nodes[s].visible_until = now + SHUTDOWN_VISIBLE_TIME;
                    self.push(
                        now + SHUTDOWN_VISIBLE_TIME + ms(10.0),
                        ScheduledEvent::CheckShutdown(s, incarnation),
                    );
                    self.push(self.shutdown_deadline(now), ScheduledEvent::KillScheduler(s, incarnation));
                }
            }
            // Discovery has no address in virtual time. The scheduler receives the complete list, as it would after
            // a reload.
            HostAction::Signal(s, Signal::Moved) => {
                let incarnation = self.nodes[s].incarnation;
                self.push(self.now + ms(5.0), ScheduledEvent::ListReply(s, incarnation));
            }
            HostAction::ResetConnections(w) => {
                for node in &mut self.nodes {
                    node.idle_connections.remove(&w);
                }
            }
        }
    }

    fn shutdown_deadline(&self, asked: Nanos) -> Nanos {
        let longest = self.world.scenario.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        asked + SHUTDOWN_KILL_MARGIN + ms(longest).min(MAX_SHUTDOWN_WAIT)
    }

    /// Handles a worker's report. A report for an attempt that has ended, or of an earlier process, is ignored.
    fn receive_job_update(
        &mut self,
        s: usize,
        id: u64,
        job: u64,
        update: JobUpdate,
        report: Option<LoadReport>,
    ) {
        let out = |f: &Flow| f.forwards.iter().position(|x| x.job == Some(job) && !x.ended);
        let Some(n) = self.nodes[s].flows.get(&id).and_then(out) else { return };
        let n = n as u32;
        match update {
            JobUpdate::Started => {
                let now = self.now;
                if let Some(f) = self.forward_mut(s, id, n) {
                    f.started = Some(now);
                }
                self.enqueue_event(s, Event::JobProgress(RequestId(id), n, JobProgress::Started));
            }
            JobUpdate::Progress(x) => {
                self.enqueue_event(s, Event::JobProgress(RequestId(id), n, JobProgress::Fraction(x)))
            }
            JobUpdate::Done => {
                let w = self.forward_mut(s, id, n).map_or(0, |f| f.worker);
                self.respond(s, id, FinalResponse::Served(World::result(w, job)), TryOutcome::Served);
                self.end_attempt(s, id, n, Outcome::Served, report);
            }
            JobUpdate::Returned => self.end_attempt(s, id, n, Outcome::Full, report),
            JobUpdate::Lost => self.end_attempt(s, id, n, Outcome::Reset, report),
        }
    }

    /// Ends the process of a scheduler, whether it was killed or has shut down.
    fn stop_scheduler(&mut self, s: usize, exit: SchedulerExit) {
        if !self.nodes[s].is_running {
            return;
        }
        let now = self.now;
        let notice = ms(self.front_rng.uniform(self.world.scenario.schedulers.notice_ms));
        let node = &mut self.nodes[s];
        node.is_running = false;
        node.incarnation += 1;
        node.inbox.clear();
        node.visible_until = node.visible_until.min(now + notice);
        let mut flows: Vec<u64> = node.flows.iter().filter(|(_, f)| !f.answered).map(|(id, _)| *id).collect();
        flows.sort_unstable();
        node.flows.clear();
        let pools = std::mem::take(&mut node.idle_connections);
        pools.into_iter().for_each(|(w, idle)| idle.iter().for_each(|_| self.world.disconnect(w)));
        self.world.invariant_checker.scheduler_ended(now, s, exit);
        self.world.abandon_jobs(now, s);
        for id in flows {
            let delay = self.delay(self.world.scenario.network.client_ms);
            self.push(now + delay, ScheduledEvent::Response(id, 2));
        }
        let restart = ms(self.world.scenario.schedulers.restart_ms);
        self.push(now + restart, ScheduledEvent::StartScheduler(s));
    }

    fn start_scheduler(&mut self, s: usize) {
        let incarnation = self.nodes[s].incarnation;
        self.nodes[s] = SchedulerNode { incarnation, ..self.new_scheduler(s) };
        self.send_list(s, ListKind::Persisted);
    }

    // ---- clients

    fn next_request(&mut self) {
        if let Some(request) = self.next_arrival.take() {
            let number = request.number;
            let leaves_at = request.sent_at + request.client_timeout;
            self.clients.insert(
                number,
                ClientState { request, tries: 0, scheduler: None, leaves_at, answered: false },
            );
            self.send_try(number);
        }
        let scenario = &self.world.scenario;
        match self.arrivals.next(scenario) {
            Some(request) => {
                let at = request.sent_at;
                self.next_arrival = Some(request);
                self.push(at, ScheduledEvent::NextRequest);
            }
            None => self.arrivals_finished = true,
        }
    }

    fn send_try(&mut self, number: u64) {
        let now = self.now;
        // The front proxy also picks schedulers whose end it has not noticed yet.
        let visible: Vec<usize> =
            (0..self.nodes.len()).filter(|s| now < self.nodes[*s].visible_until).collect();
        let delay = self.delay(self.world.scenario.network.client_ms);
        let chosen = visible.get(self.front_rng.index_below(visible.len())).copied();
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.tries += 1;
        (client.scheduler, client.answered) = (chosen, false);
        let id = number << 4 | u64::from(client.tries);
        let leaves_at = client.leaves_at;
        match chosen {
            Some(s) => {
                let incarnation = self.nodes[s].incarnation;
                self.push(now + delay, ScheduledEvent::ReceiveRequest(id, s, incarnation));
                if is_first_try(id) {
                    self.push(leaves_at, ScheduledEvent::ClientTimeout(id));
                }
            }
            None => self.push(now + delay, ScheduledEvent::Response(id, 2)),
        }
    }

    fn receive_request(&mut self, id: u64, s: usize, incarnation: u32) {
        let now = self.now;
        if !self.nodes[s].is_running || self.nodes[s].incarnation != incarnation {
            let delay = self.delay(self.world.scenario.network.client_ms);
            return self.push(now + delay, ScheduledEvent::Response(id, 2));
        }
        let Some(client) = self.clients.get(&(id >> 4)) else { return };
        let r = &client.request;
        let class_end = r.sent_at + ms(self.world.scenario.classes[r.class].deadline_ms);
        let by = self.nodes[s]
            .shutdown_started
            .map_or(class_end, |at| class_end.min(self.shutdown_deadline(at) - 200_000_000));
        // A scheduler that shuts down has to respond earlier; this is not the client's timeout.
        let (remaining, within) = (class_end.saturating_sub(now), by.saturating_sub(now));
        let (class, tenant, slots, work, subject) = (r.class, r.tenant, r.slots, r.work, r.subject);
        let expected = r.hint;
        self.world.invariant_checker.request_accepted(now, id, s, class, by);
        let (mut quota_ticket, mut in_share) = (None, None);
        let mean = self.nodes[s].mean_job_s[class];
        if let Some(quota) = &mut self.nodes[s].quota {
            let tenant = tenant.map_or("", |t| self.world.scenario.tenants[t].name.as_str());
            let size = f64::from(slots.max(1));
            let ask = QuotaRequest { slots: size, work: mean * size, retry: false, jitter_seed: id };
            match quota.admit(now, tenant, &ask) {
                Verdict::Admitted(ticket, standing) => {
                    (quota_ticket, in_share) = (Some(ticket), Some(standing != ShareStatus::Over));
                }
                Verdict::Unknown => in_share = Some(false),
                Verdict::Refused(refusal) => {
                    self.world.invariant_checker.response_sent(now, id, FinalResponse::Refused);
                    let after = refusal.retry_after.min(ms(self.world.scenario.terms.max_retry_after_ms));
                    let delay = self.delay(self.world.scenario.network.client_ms);
                    return self.push(now + delay, ScheduledEvent::Response(id, 3 + after as usize));
                }
            }
        }
        let policy_request = PolicyRequest {
            in_share,
            id: RequestId(id),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            affinity_key: subject.map(|s| affinity_key(&format!("s{s}"))),
            slots: f64::from(slots),
            remaining,
            answer_within: Some(within),
            expected_work: expected,
            ..PolicyRequest::default()
        };
        self.nodes[s].flows.insert(
            id,
            Flow {
                class,
                slots,
                work,
                deadline: by,
                answered: false,
                forwards: Vec::new(),
                quota_ticket,
                run_time_s: 0.0,
            },
        );
        self.enqueue_event(s, Event::Request(policy_request));
    }

    fn receive_response(&mut self, id: u64, code: usize) {
        let outcome = match code {
            0 => TryOutcome::Served,
            1 => TryOutcome::Failed,
            2 => TryOutcome::Unreachable,
            after => TryOutcome::Refused(after as Nanos - 3),
        };
        let (number, now) = (id >> 4, self.now);
        let Some(client) =
            self.clients.get_mut(&number).filter(|c| u64::from(c.tries) == id & 15 && !c.answered)
        else {
            return;
        };
        client.answered = true;
        let (class, tries, leaves_at) = (client.request.class, client.tries, client.leaves_at);
        let delay = clients::retry_delay(&self.world.scenario, &mut self.retry_rng, class, tries, outcome);
        match delay.filter(|wait| now + wait < leaves_at) {
            Some(wait) => self.push(now + wait, ScheduledEvent::SendTry(number)),
            None => {
                let end = match outcome {
                    TryOutcome::Served => RequestOutcome::Served,
                    TryOutcome::Refused(_) => RequestOutcome::Refused,
                    TryOutcome::Failed => RequestOutcome::Failed,
                    TryOutcome::Unreachable => RequestOutcome::Unreachable,
                };
                self.finish_request(number, end);
            }
        }
    }

    fn finish_request(&mut self, number: u64, end: RequestOutcome) {
        if let Some(client) = self.clients.remove(&number) {
            self.collector.record(&self.world.scenario, &client.request, self.now, client.tries, end);
        }
    }

    /// Ends the wait of a client.
    fn handle_client_timeout(&mut self, id: u64) {
        let (number, now) = (id >> 4, self.now);
        let Some(client) = self.clients.get(&number) else { return };
        let (id, answered, scheduler) =
            (number << 4 | u64::from(client.tries), client.answered, client.scheduler);
        let early =
            client.request.client_timeout < ms(self.world.scenario.classes[client.request.class].deadline_ms);
        let grace = ms(self.world.scenario.terms.answer_grace_ms);
        if !early && now < client.leaves_at + grace && !answered {
            // A response may still be on its way; the invariant checker decides whether it is late.
            return self.push(client.leaves_at + grace, ScheduledEvent::ClientTimeout(id));
        }
        if !answered && early {
            self.world.invariant_checker.client_left(now, id);
            if let Some(s) = scheduler.filter(|s| self.nodes[*s].flows.get(&id).is_some_and(|f| !f.answered))
            {
                if let Some(flow) = self.nodes[s].flows.get_mut(&id) {
                    flow.answered = true;
                }
                self.enqueue_event(s, Event::RequestAbandoned(RequestId(id)));
                self.remove_if_finished(s, id);
            }
        }
        self.finish_request(number, if early { RequestOutcome::ClientLeft } else { RequestOutcome::Failed });
    }
}

fn is_first_try(id: u64) -> bool {
    id & 15 == 1
}

fn load_report(load: crate::world::WorkerLoad) -> LoadReport {
    LoadReport { in_flight: Some(load.in_flight), free_slots: Some(load.free_slots), ..LoadReport::default() }
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::NoConnection, Outcome::Full, Outcome::Error, Outcome::Reset, Outcome::Timeout];

fn outcome_code(outcome: Outcome) -> u8 {
    OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0) as u8
}

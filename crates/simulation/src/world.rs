//! The world: workers, their list, their reports, and what goes wrong, as one machine that is told the time.
//!
//! Both hosts drive the same world. They tell it what reaches a worker ([`World::connect`], [`World::arrive`],
//! [`World::give_up`]) and carry out what it wants done ([`Deed`]): a word of a worker to a scheduler, news of the
//! list, a signal for a scheduler. It keeps no socket and reads no clock, and the invariants hangs on it, so that both
//! hosts are judged by the same facts.

use crate::invariants::{AttemptEnd, InvariantChecker};
use crate::scenario::{FaultKind, Queue, Scenario};
use crate::seed::{Stream, Streams};
use crate::worker::{Job, Said, Spec, Worker};
use loomlb_policy::{Nanos, QueueOrder};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Nanoseconds of this many milliseconds.
pub fn ms(x: f64) -> Nanos {
    (x * 1e6) as Nanos
}
/// Nanoseconds of this many seconds.
pub fn secs(x: f64) -> Nanos {
    (x * 1e9) as Nanos
}

/// A silent machine is taken off the list after this time: the list knows processes, not machines.
const SILENT_NOTICE: Nanos = 10_000_000_000;
/// A worker that drains leaves after this time at the latest.
const LEAVES: Nanos = 8_000_000_000;
/// From a worker's leaving to its next start in a rolling restart.
const PAUSE: Nanos = 1_000_000_000;
/// Reports that a worker remembers; the oldest is told where all are younger than the delay.
const REPORTS: usize = 32;

/// State of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Health {
    /// May be used.
    Active,
    /// Completes its work.
    Leaving,
    /// Removed.
    Left,
}

/// One entry of the list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The worker.
    pub worker: usize,
    /// Its state.
    pub health: Health,
    /// Its weight.
    pub weight: f64,
    /// When its process started last; 0 for long ago.
    pub born: Nanos,
}

/// A worker's load as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests it holds.
    pub held: f64,
    /// Requests a second.
    pub rate: f64,
    /// Free slots.
    pub free: f64,
}

/// An attempt that reaches a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request (one try of a client).
    pub request: u64,
    /// Its scheduler.
    pub scheduler: usize,
    /// Slots of its job.
    pub slots: u32,
    /// Its work, in nanoseconds of a yardstick core.
    pub work: f64,
    /// Its class.
    pub class: usize,
    /// What it is about.
    pub subject: Option<u64>,
    /// When its first byte left the scheduler.
    pub sent: Nanos,
}

/// What a worker does with an attempt that reaches it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// Takes it, under this number.
    Taken(u64),
    /// Turns it away unseen.
    Full,
    /// Fails it at once.
    Error,
    /// Says nothing: the machine is silent or cut off, or the connection is stuck, and it never saw it.
    Silent,
    /// Its process is not there.
    Refused,
}

/// What comes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    /// It is up.
    Up,
    /// It is refused.
    Refused,
    /// Nothing comes back.
    Nothing,
}

/// What a worker has to say of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// It has started.
    Started,
    /// This share of it is done.
    Progress(f64),
    /// It is done.
    Done,
    /// Handed back unstarted.
    Returned,
    /// Its process died.
    Lost,
}

/// What happens to a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Killed outright.
    Kill,
    /// Asked to end.
    Term,
    /// Its configuration names another address of discovery, and it is told so.
    Moved,
}

/// What a host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// A worker has a word for a scheduler.
    Word {
        /// The job's number.
        job: u64,
        /// The worker.
        worker: usize,
        /// The scheduler that sent the attempt.
        scheduler: usize,
        /// The request.
        request: u64,
        /// What it says.
        word: Word,
        /// Its load, with the end of an attempt.
        report: Option<Report>,
    },
    /// News of the list for a scheduler.
    List {
        /// Which one.
        scheduler: usize,
        /// The version.
        seq: u64,
        /// What has changed.
        entries: Vec<Entry>,
    },
    /// Something for a scheduler.
    Signal(usize, Signal),
    /// A worker's process has gone, or its machine has come back: its old connections are reset.
    Reset(usize),
}

/// What the faults did, by the model's own count.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Workers that went silent.
    pub vanished: u64,
    /// Workers whose process died.
    pub crashed: u64,
    /// Workers that came back cold.
    pub came_back: u64,
    /// Requests failed fast.
    pub fast_errors: u64,
    /// Pauses.
    pub pauses: u64,
    /// Reports told later than usual.
    pub late_reports: u64,
    /// Requests that arrived in a burst.
    pub burst: u64,
    /// Requests of unusual work.
    pub heavy: u64,
    /// Workers that drained.
    pub drained: u64,
    /// Jobs handed back by draining workers.
    pub handed_back: u64,
    /// Workers restarted in a rolling restart.
    pub rolled: u64,
    /// Schedulers killed.
    pub killed: u64,
    /// Schedulers asked to end.
    pub termed: u64,
    /// News that discovery held back while it was down.
    pub list_held_back: u64,
    /// Calls for the list that discovery handled, and those that waited too long for their turn.
    pub list_calls: u64,
    /// See `list_calls`.
    pub list_calls_failed: u64,
    /// Moves of discovery.
    pub moved: u64,
    /// Messages lost in a partition.
    pub cut: u64,
    /// Messages lost at the border of a zone that is cut off.
    pub zone_cut: u64,
    /// Messages between schedulers lost while none hears another.
    pub peers_cut: u64,
    /// Jobs whose subject's data had to be fetched.
    pub fetched: u64,
    /// Clients that read slowly.
    pub slow_readers: u64,
    /// Attempts written to a connection that nobody reads.
    pub stuck: u64,
    /// Cold workers that fell over.
    pub fell_over: u64,
    /// Requests turned away.
    pub full: u64,
    /// Connections refused for want of room.
    pub connections_refused: u64,
    /// Connections opened.
    pub connections: u64,
    /// Probes.
    pub probes: u64,
    /// Jobs that ran on after their attempt was given up.
    pub ran_on: u64,
    /// Repeats that a cell knew again.
    pub known_again: u64,
}

impl Counters {
    /// The counter that a kind of fault moves.
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
struct Station {
    worker: Worker,
    kind: usize,
    cell: usize,
    health: Health,
    born: Nanos,
    silent: bool,
    /// It serves nothing: gone, or fallen over.
    down: bool,
    failing: f64,
    /// Its process dies with the next request that it receives, and comes back then.
    doomed: Option<Nanos>,
    error_rate: f64,
    connections: usize,
    /// The subjects that it served last, the oldest first.
    kept: VecDeque<u64>,
    reports: VecDeque<(Nanos, Report)>,
    ended: u64,
    /// The time of its earliest entry in the queue of events.
    queued: Nanos,
}

#[derive(Debug)]
struct Out {
    worker: usize,
    scheduler: usize,
    request: u64,
    given_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Worker(usize),
    Measure(usize),
    Begin(usize),
    Stroke(usize),
    End(usize),
    Leave(usize),
    Return(usize),
    Notice(usize),
    Tell(usize, usize),
    Weights,
}

/// The world of a scenario.
#[derive(Debug)]
pub struct World {
    /// The scenario.
    pub scenario: Scenario,
    /// The invariant_checker.
    pub invariant_checker: InvariantChecker,
    /// What the faults did.
    pub counters: Counters,
    streams: Streams,
    stations: Vec<Station>,
    jobs: FxHashMap<u64, Out>,
    last_job: u64,
    queue: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    pushed: u64,
    deeds: VecDeque<Deed>,
    said: Vec<(Nanos, Said)>,
    /// The keys that each cell knows: request and when it was first received.
    cells: Vec<FxHashMap<u64, Nanos>>,
    rng: Stream,
    news_rng: Stream,
    report_rng: Stream,
    stuck_rng: Stream,
    /// What each fault chose.
    chosen: Vec<Vec<usize>>,
    /// What is listed now, and what each scheduler has been told.
    listed: Vec<Entry>,
    told: Vec<BTreeMap<usize, (Entry, Nanos)>>,
    waiting_news: Vec<Vec<Entry>>,
    seq: u64,
    discovery_down: usize,
    peers_down: usize,
    /// Discovery is busy with the calls of all schedulers until then.
    list_busy: Nanos,
    late: Nanos,
    stuck: f64,
    cut: FxHashSet<(usize, usize)>,
    /// Zones that are cut off from all others.
    cut_zones: FxHashSet<usize>,
    cut_peers: FxHashSet<usize>,
}

impl World {
    /// The world at the start of a scenario: all workers are warm and listed. `slack` is what the host adds to every
    /// limit of the invariants, in nanoseconds.
    pub fn new(scenario: Scenario, seed: u64, slack: Nanos) -> World {
        let streams = Streams::new(seed);
        let (mut kinds, mut build) = (streams.named("kinds"), streams.named("workers"));
        let shares: Vec<f64> = scenario.fleet.kinds.iter().map(|k| k.share).collect();
        let stations: Vec<Station> = (0..scenario.fleet.workers)
            .map(|i| {
                let kind = kinds.pick(&shares);
                let k = &scenario.fleet.kinds[kind];
                let slots = (k.cores * build.within(k.slots_per_core)).round().max(1.0);
                let spec = Spec {
                    cores: k.cores,
                    slots: slots as u32,
                    queue: (k.cores * build.within(k.queue_per_core)).round() as usize,
                    speed: build.within(k.speed),
                    order: match scenario.fleet.queue {
                        Queue::Fifo => QueueOrder::Fifo,
                        Queue::Backfill => QueueOrder::Backfill,
                        Queue::Priority => QueueOrder::Priority,
                    },
                    thrash: k.thrash,
                    thrash_at: k.thrash_at,
                    cold_from: k.cold_from,
                    cold: secs(k.cold_s),
                    progress: ms(scenario.terms.progress_ms),
                    cancel_stops_running: k.cancel_stops_running,
                    connections: (k.cores * k.connections_per_core) as usize,
                    fall_multiple: scenario.terms.fall_multiple,
                    fall: ms(scenario.terms.fall_ms),
                };
                Station {
                    worker: Worker::new(spec, 0, 0),
                    kind,
                    cell: i / scenario.fleet.cell_size,
                    health: Health::Active,
                    born: 0,
                    silent: false,
                    down: false,
                    failing: 0.0,
                    doomed: None,
                    error_rate: k.error_rate,
                    connections: 0,
                    kept: VecDeque::new(),
                    reports: VecDeque::new(),
                    ended: 0,
                    queued: 0,
                }
            })
            .collect();
        let listed: Vec<Entry> = (0..stations.len())
            .map(|worker| Entry {
                worker,
                health: Health::Active,
                weight: stations[worker].worker.spec.cores,
                born: 0,
            })
            .collect();
        let schedulers = scenario.schedulers.count;
        let known: BTreeMap<usize, (Entry, Nanos)> =
            listed.iter().map(|e| (e.worker, (e.clone(), 0))).collect();
        let mut world = World {
            invariant_checker: InvariantChecker::new(&scenario, slack),
            counters: Counters::default(),
            stations,
            jobs: FxHashMap::default(),
            last_job: 0,
            queue: BinaryHeap::new(),
            pushed: 0,
            deeds: VecDeque::new(),
            said: Vec::new(),
            cells: vec![
                FxHashMap::default();
                scenario.fleet.workers.div_ceil(scenario.fleet.cell_size).max(scenario.fleet.zones)
            ],
            rng: streams.named("errors"),
            news_rng: streams.named("news"),
            report_rng: streams.named("reports"),
            stuck_rng: streams.named("stuck"),
            chosen: vec![Vec::new(); scenario.faults.len()],
            listed,
            told: vec![known; schedulers],
            waiting_news: vec![Vec::new(); schedulers],
            seq: 1,
            discovery_down: 0,
            peers_down: 0,
            list_busy: 0,
            late: 0,
            stuck: 0.0,
            cut: FxHashSet::default(),
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
            for w in 0..self.stations.len() {
                let first = ms(period * self.report_rng.unit());
                self.push(first, Due::Measure(w));
            }
        }
        for i in 0..self.scenario.faults.len() {
            self.push(secs(self.scenario.faults[i].at_s), Due::Begin(i));
        }
        if self.scenario.discovery.weights_ms > 0.0 {
            self.push(ms(self.scenario.discovery.weights_ms), Due::Weights);
        }
    }

    fn push(&mut self, at: Nanos, due: Due) {
        self.pushed += 1;
        self.queue.push(Reverse((at, self.pushed, due)));
    }

    /// The streams of the scenario.
    pub fn streams(&self) -> Streams {
        self.streams
    }
    /// Work that the fleet does in a nanosecond when all are warm, in nanoseconds of a yardstick core.
    pub fn capacity(&self) -> f64 {
        let useful = |s: &Spec| s.cores.min(f64::from(s.slots)) * s.speed;
        self.stations.iter().map(|s| useful(&s.worker.spec)).sum()
    }
    /// Number of workers.
    pub fn workers(&self) -> usize {
        self.stations.len()
    }
    /// A worker's process.
    pub fn worker(&self, worker: usize) -> &Worker {
        &self.stations[worker].worker
    }
    /// The kind of a worker, by its place in the scenario.
    pub fn kind(&self, worker: usize) -> usize {
        self.stations[worker].kind
    }
    /// The cell of a worker.
    pub fn cell(&self, worker: usize) -> usize {
        self.stations[worker].cell
    }
    /// The platform's name of a worker.
    pub fn name(worker: usize) -> String {
        format!("s-{:08x}", worker + 1)
    }
    /// What a scheduler has been told of the list, and the version.
    pub fn told(&self, scheduler: usize) -> (u64, Vec<Entry>) {
        (self.seq, self.told[scheduler].values().map(|(e, _)| e.clone()).collect())
    }
    /// A scheduler's call for the list has reached discovery, which handles one after the other: when it is done, or when
    /// it fails because its turn would come too late.
    pub fn list_call(&mut self, at: Nanos) -> Result<Nanos, Nanos> {
        let (call, wait) = (ms(self.scenario.discovery.call_ms), ms(self.scenario.discovery.wait_ms));
        let begins = at.max(self.list_busy);
        if begins - at > wait {
            self.counters.list_calls_failed += 1;
            return Err(at + wait);
        }
        self.counters.list_calls += 1;
        self.list_busy = begins + call;
        Ok(self.list_busy)
    }
    /// Whether discovery answers.
    pub fn discovery_up(&self) -> bool {
        self.discovery_down == 0
    }
    /// Whether words get through between a scheduler and a worker.
    pub fn reachable(&mut self, scheduler: usize, worker: usize) -> bool {
        let cut = self.cut.contains(&(scheduler, worker));
        self.counters.cut += u64::from(cut);
        !cut && self.zones_meet(scheduler, worker) && !self.stations[worker].silent
    }
    /// Whether messages get through between the zones of two machines, by their numbers.
    fn zones_meet(&mut self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        let cut = a != b && (self.cut_zones.contains(&a) || self.cut_zones.contains(&b));
        self.counters.zone_cut += u64::from(cut);
        !cut
    }
    /// The zone of a worker or a scheduler by its number.
    pub fn zone(&self, machine: usize) -> usize {
        machine % self.scenario.fleet.zones.max(1)
    }
    /// The workers that drop repeats of a class's requests beside one: the number of its cell, or of its zone.
    fn group(&self, class: usize, w: usize) -> usize {
        let by_zone = |c: &crate::scenario::Class| c.effect == crate::scenario::Effect::KeyedByZone;
        if self.scenario.classes.get(class).is_some_and(by_zone) {
            self.zone(w)
        } else {
            self.stations[w].cell
        }
    }
    /// Whether words get through between two schedulers.
    pub fn peers_reachable(&mut self, a: usize, b: usize) -> bool {
        if self.peers_down > 0 {
            self.counters.peers_cut += 1;
            return false;
        }
        let cut = self.cut_peers.contains(&a) || self.cut_peers.contains(&b);
        self.counters.cut += u64::from(cut);
        !cut && self.zones_meet(a, b)
    }
    /// Whether a worker's machine answers nothing.
    pub fn silent(&self, worker: usize) -> bool {
        self.stations[worker].silent
    }
    /// Whether a worker's process is not there.
    pub fn down(&self, worker: usize) -> bool {
        self.stations[worker].down
    }

    // ---- time

    /// The next moment at which something happens of itself.
    pub fn next(&self) -> Option<Nanos> {
        if !self.deeds.is_empty() {
            return Some(0);
        }
        self.queue.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Takes the next deed that is due by now; none once all is done up to now.
    pub fn turn(&mut self, now: Nanos) -> Option<Deed> {
        loop {
            if let Some(deed) = self.deeds.pop_front() {
                return Some(deed);
            }
            let Reverse((at, _, due)) = *self.queue.peek()?;
            if at > now {
                return None;
            }
            self.queue.pop();
            self.due(at, due);
        }
    }

    fn due(&mut self, at: Nanos, due: Due) {
        match due {
            Due::Worker(w) => {
                if self.stations[w].queued == at {
                    self.stations[w].queued = 0;
                }
                self.bring_up(at, w);
            }
            Due::Measure(w) => self.measure(at, w),
            Due::Begin(i) => self.begin(at, i),
            Due::Stroke(i) => self.stroke(at, i),
            Due::End(i) => self.end(at, i),
            Due::Leave(w) => self.leave(at, w),
            Due::Return(w) => self.come_back(at, w),
            Due::Notice(w) => self.notice(at, w),
            Due::Tell(s, w) => self.tell(at, s, w),
            Due::Weights => self.weights(at),
        }
    }

    /// Brings a worker up to now and passes on what it says.
    fn bring_up(&mut self, now: Nanos, w: usize) {
        let mut said = std::mem::take(&mut self.said);
        self.stations[w].worker.advance(now, &mut said);
        self.pass_on(w, &mut said);
        self.said = said;
        self.enqueue(w);
    }

    fn enqueue(&mut self, w: usize) {
        let station = &mut self.stations[w];
        if let Some(next) = station.worker.next().filter(|n| station.queued == 0 || *n < station.queued) {
            station.queued = next;
            self.push(next, Due::Worker(w));
        }
    }

    fn pass_on(&mut self, w: usize, said: &mut Vec<(Nanos, Said)>) {
        for (at, said) in said.drain(..) {
            let (job, word) = match said {
                Said::Started(job) => (job, Word::Started),
                Said::Progress(job, x) => (job, Word::Progress(x)),
                Said::Done(job) => (job, Word::Done),
            };
            let Some(out) = self.jobs.get(&job) else { continue };
            let (request, scheduler, given_up) = (out.request, out.scheduler, out.given_up);
            match word {
                Word::Started => self.invariant_checker.job_started(at, request, w, job),
                Word::Done => {
                    self.stations[w].ended += 1;
                    self.invariant_checker.result_produced(request, &World::result(w, job));
                    self.invariant_checker.attempt_ended(at, request, job, AttemptEnd::MayHaveRun);
                    self.jobs.remove(&job);
                    self.counters.ran_on += u64::from(given_up);
                }
                _ => {}
            }
            if !given_up {
                let report = (word == Word::Done).then(|| self.report(at, w)).flatten();
                self.deeds.push_back(Deed::Word { job, worker: w, scheduler, request, word, report });
            }
        }
    }

    /// The result that a worker makes for a job.
    pub fn result(worker: usize, job: u64) -> String {
        format!("made by {} as job {job}", World::name(worker))
    }

    // ---- what reaches a worker

    /// A scheduler opens a connection to a worker.
    pub fn connect(&mut self, now: Nanos, scheduler: usize, w: usize) -> Dial {
        if !self.reachable(scheduler, w) {
            return Dial::Nothing;
        }
        if self.stations[w].down {
            return Dial::Refused;
        }
        if self.stations[w].connections >= self.stations[w].worker.spec.connections {
            self.counters.connections_refused += 1;
            return Dial::Refused;
        }
        self.counters.connections += 1;
        self.stations[w].connections += 1;
        self.burden(now, w, self.scenario.network.handshake_ms);
        Dial::Up
    }

    /// A connection to a worker is closed.
    pub fn disconnect(&mut self, w: usize) {
        let station = &mut self.stations[w];
        station.connections = station.connections.saturating_sub(1);
    }

    fn burden(&mut self, now: Nanos, w: usize, work_ms: f64) {
        self.bring_up(now, w);
        self.stations[w].worker.burden(work_ms * 1e6);
        self.enqueue(w);
    }

    /// A probe reaches a worker; its load, if it answers.
    pub fn probe(&mut self, now: Nanos, scheduler: usize, w: usize) -> Option<Report> {
        if !self.reachable(scheduler, w) || self.stations[w].down {
            return None;
        }
        self.counters.probes += 1;
        self.burden(now, w, self.scenario.network.probe_ms);
        Some(self.load(now, w).unwrap_or_default())
    }

    /// An attempt reaches a worker in full.
    pub fn arrive(&mut self, now: Nanos, w: usize, attempt: &Attempt) -> Reply {
        if !self.reachable(attempt.scheduler, w) {
            return Reply::Silent;
        }
        if self.stations[w].down {
            return Reply::Refused;
        }
        if self.stuck > 0.0 && self.stuck_rng.chance(self.stuck) {
            self.counters.stuck += 1;
            return Reply::Silent;
        }
        self.bring_up(now, w);
        self.last_job += 1;
        let (job, request) = (self.last_job, attempt.request);
        let told = self.told[attempt.scheduler].get(&w);
        // One that has never been named, or has been taken off, counts as told of its going.
        let drained = told.filter(|(e, _)| e.health != Health::Active).map(|(_, at)| *at);
        let informed = told.is_some_and(|(e, _)| e.born == self.stations[w].born);
        let cell = self.group(attempt.class, w);
        self.invariant_checker.attempt_received(now, attempt.sent, request, w, cell, job, drained);
        if let Some(back) = self.stations[w].doomed.take() {
            self.counters.crashed += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            self.stop(now, w);
            self.push(back.max(now + 1), Due::Return(w));
            return Reply::Refused;
        }
        let known_again = self.known_again(now, attempt, cell);
        let station = &mut self.stations[w];
        // A cold worker is judged by the mean work of what it is sent: nobody is told what a job really costs, and a
        // rule that a single job of ten times its mean can break is none that a scheduler could keep.
        let mean = self.scenario.classes.get(attempt.class).map_or(attempt.work, |c| c.work_ms * 1e6);
        let load = mean * f64::from(attempt.slots);
        if let Some(push) = station.worker.received(now, load, informed) {
            self.invariant_checker.worker_overloaded(now, w, &push);
            self.counters.fell_over += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            self.stop(now, w);
            return Reply::Refused;
        }
        let failing = if station.failing > 0.0 { station.failing } else { station.error_rate };
        if failing > 0.0 && self.rng.chance(failing) {
            let fast = self.stations[w].failing > 0.0;
            self.counters.fast_errors += u64::from(fast);
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
            return Reply::Error;
        }
        let station = &mut self.stations[w];
        let priority = self.scenario.classes.get(attempt.class).map_or(0, |c| c.priority);
        let slots = attempt.slots.min(station.worker.spec.slots);
        // A repeat that its cell knows again costs little: the first run's result is handed out.
        let mut work = if known_again { 1e6 } else { attempt.work };
        if let (Some(keeps), Some(subject), false) = (self.scenario.fleet.keeps, attempt.subject, known_again)
        {
            let at = station.kept.iter().position(|s| *s == subject);
            if at.and_then(|at| station.kept.remove(at)).is_none() {
                work += keeps.fetch * mean;
                self.counters.fetched += 1;
            }
            station.kept.push_back(subject);
            let most = (keeps.per_slot * f64::from(station.worker.spec.slots)).round() as usize;
            while station.kept.len() > most {
                station.kept.pop_front();
            }
        }
        let mut said = std::mem::take(&mut self.said);
        let work = Job { id: job, slots, work, priority };
        let taken = station.health == Health::Active && station.worker.offer(work, &mut said);
        if taken {
            let out = Out { worker: w, scheduler: attempt.scheduler, request, given_up: false };
            self.jobs.insert(job, out);
        } else {
            self.counters.full += 1;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::NeverRan);
        }
        self.pass_on(w, &mut said);
        self.said = said;
        self.enqueue(w);
        if taken { Reply::Taken(job) } else { Reply::Full }
    }

    fn known_again(&mut self, now: Nanos, attempt: &Attempt, cell: usize) -> bool {
        let Some(class) = self.scenario.classes.get(attempt.class) else { return false };
        if !class.effect.keyed() {
            return false;
        }
        let window = ms(class.window_ms);
        let known = &mut self.cells[cell];
        if known.len() > 65_536 {
            known.retain(|_, at| *at + window > now);
        }
        let first = *known.entry(attempt.request).or_insert(now);
        let again = first != now && now < first + window;
        self.counters.known_again += u64::from(again);
        again
    }

    /// A scheduler gives up a request at a worker.
    pub fn give_up_request(&mut self, now: Nanos, w: usize, request: u64) {
        let mut jobs: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, o)| o.worker == w && o.request == request)
            .map(|(j, _)| *j)
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().for_each(|job| self.give_up(now, job));
    }

    /// A scheduler gives a job up.
    pub fn give_up(&mut self, now: Nanos, job: u64) {
        let Some(out) = self.jobs.get(&job) else { return };
        let (w, request, scheduler) = (out.worker, out.request, out.scheduler);
        if !self.reachable(scheduler, w) {
            return;
        }
        self.bring_up(now, w);
        if !self.jobs.contains_key(&job) {
            return;
        }
        if self.stations[w].worker.cancel(job) {
            self.jobs.remove(&job);
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
        } else if let Some(out) = self.jobs.get_mut(&job) {
            out.given_up = true;
        }
        self.bring_up(now, w);
    }

    /// A scheduler has ended: nobody waits for its jobs any more. They run on, and their words reach whatever runs
    /// under its name next.
    pub fn forget_scheduler(&mut self, now: Nanos, scheduler: usize) {
        let mut jobs: Vec<u64> =
            self.jobs.iter().filter(|(_, o)| o.scheduler == scheduler).map(|(j, _)| *j).collect();
        jobs.sort_unstable();
        for job in jobs {
            let Some(out) = self.jobs.get(&job) else { continue };
            let request = out.request;
            self.invariant_checker.attempt_ended(now, request, job, AttemptEnd::MayHaveRun);
        }
    }

    // ---- reports

    fn measure(&mut self, at: Nanos, w: usize) {
        let period = ms(self.scenario.reports.period_ms);
        self.bring_up(at, w);
        let noise = self.scenario.reports.noise;
        let wobble = 1.0 + noise * self.report_rng.normal();
        let station = &mut self.stations[w];
        let spec = &station.worker.spec;
        let report = Report {
            held: (station.worker.held() as f64 * wobble).max(0.0),
            rate: station.ended as f64 / (period as f64 / 1e9) * wobble,
            free: f64::from(spec.slots.saturating_sub(station.worker.used())),
        };
        station.ended = 0;
        station.reports.push_back((at, report));
        if station.reports.len() > REPORTS {
            station.reports.pop_front();
        }
        self.push(at + period.max(1), Due::Measure(w));
    }

    /// The load that a worker reports now with the end of an attempt.
    pub fn report(&mut self, now: Nanos, w: usize) -> Option<Report> {
        if self.scenario.reports.by_probe { None } else { self.load(now, w) }
    }

    /// The load that a worker knows of itself now, as late as it tells it.
    fn load(&mut self, now: Nanos, w: usize) -> Option<Report> {
        if !self.scenario.reports.on {
            return None;
        }
        self.counters.late_reports += u64::from(self.late > 0);
        let until = now.checked_sub(ms(self.scenario.reports.delay_ms) + self.late)?;
        self.stations[w].reports.iter().rev().find(|(at, _)| *at <= until).map(|(_, r)| *r)
    }

    // ---- the list

    /// A worker's state has changed; the list notices later.
    fn changed(&mut self, at: Nanos, w: usize, after: Option<Nanos>) {
        let notice = after.unwrap_or_else(|| ms(self.news_rng.within(self.scenario.discovery.notice_ms)));
        self.push(at + notice, Due::Notice(w));
    }

    fn notice(&mut self, at: Nanos, w: usize) {
        let station = &self.stations[w];
        let health = if station.silent || station.down { Health::Left } else { station.health };
        let entry = Entry { worker: w, health, weight: self.listed[w].weight, born: station.born };
        if self.listed[w] == entry {
            return;
        }
        self.listed[w] = entry;
        for s in 0..self.told.len() {
            let spread = ms(self.scenario.discovery.spread_ms * self.news_rng.unit());
            self.push(at + spread, Due::Tell(s, w));
        }
    }

    fn tell(&mut self, at: Nanos, s: usize, w: usize) {
        let entry = self.listed[w].clone();
        if self.discovery_down > 0 {
            self.counters.list_held_back += 1;
            self.waiting_news[s].push(entry);
            return;
        }
        self.told_now(at, s, vec![entry]);
    }

    fn told_now(&mut self, at: Nanos, s: usize, entries: Vec<Entry>) {
        self.seq += 1;
        for e in &entries {
            let since = match self.told[s].get(&e.worker) {
                // It is told once; hearing it again does not begin the grace anew.
                Some((old, since)) if old.health == e.health && old.born == e.born => *since,
                _ => at,
            };
            self.told[s].insert(e.worker, (e.clone(), since));
        }
        self.deeds.push_back(Deed::List { scheduler: s, seq: self.seq, entries });
    }

    fn weights(&mut self, at: Nanos) {
        self.push(at + ms(self.scenario.discovery.weights_ms), Due::Weights);
        for (w, entry) in self.listed.iter_mut().enumerate() {
            let worker = &self.stations[w].worker;
            entry.weight = worker.spec.cores / (1.0 + worker.held() as f64 / worker.spec.cores);
        }
        if self.discovery_down > 0 {
            return;
        }
        let live: Vec<Entry> = self.listed.iter().filter(|e| e.health == Health::Active).cloned().collect();
        for s in 0..self.told.len() {
            // Only the weight is news: what each was told of states stays as it was told.
            let known = |e: &&Entry| {
                self.told[s].get(&e.worker).is_some_and(|(t, _)| t.health == e.health && t.born == e.born)
            };
            let entries: Vec<Entry> = live.iter().filter(known).cloned().collect();
            self.told_now(at, s, entries);
        }
    }

    // ---- faults

    fn begin(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        let mut rng = self.streams.numbered(t.kind.name(), i as u64);
        let (workers, schedulers) = (self.stations.len(), self.scenario.schedulers.count);
        let end = at + secs(t.for_s);
        self.chosen[i] = match t.kind {
            FaultKind::Vanish
            | FaultKind::Crash
            | FaultKind::FastErrors
            | FaultKind::Pauses
            | FaultKind::Drain
            | FaultKind::Partition => rng.some(t.part, workers),
            FaultKind::ZoneCut => vec![rng.below(self.scenario.fleet.zones)],
            FaultKind::RollingRestart => (0..workers).collect(),
            FaultKind::SchedulerKill | FaultKind::SchedulerTerm => rng.some(t.part, schedulers),
            _ => Vec::new(),
        };
        let chosen = self.chosen[i].clone();
        match t.kind {
            FaultKind::Vanish => {
                for w in chosen {
                    self.counters.vanished += 1;
                    self.bring_up(at, w);
                    self.stations[w].silent = true;
                    self.drop_jobs(at, w, false);
                    self.changed(at, w, Some(SILENT_NOTICE));
                    self.push(end, Due::Return(w));
                }
            }
            FaultKind::Crash => {
                for w in chosen {
                    self.stations[w].doomed = Some(end);
                }
            }
            FaultKind::FastErrors => {
                for w in chosen {
                    self.stations[w].failing = t.size.unwrap_or(0.6);
                }
                self.push(end, Due::End(i));
            }
            FaultKind::Pauses | FaultKind::RollingRestart => self.stroke(at, i),
            FaultKind::ReportLate => {
                self.late += secs(t.size.unwrap_or(2.0));
                self.push(end, Due::End(i));
            }
            FaultKind::Drain => {
                for w in chosen {
                    self.drain(at, w);
                    self.push(end.max(at + LEAVES + 1), Due::Return(w));
                }
            }
            FaultKind::SchedulerKill | FaultKind::SchedulerTerm => {
                let kill = t.kind == FaultKind::SchedulerKill;
                let signal = if kill { Signal::Kill } else { Signal::Term };
                for s in chosen {
                    self.counters.killed += u64::from(kill);
                    self.counters.termed += u64::from(!kill);
                    self.deeds.push_back(Deed::Signal(s, signal));
                }
            }
            FaultKind::DiscoveryDown => {
                self.discovery_down += 1;
                self.push(end, Due::End(i));
            }
            FaultKind::DiscoveryMoved => {
                self.counters.moved += 1;
                for s in 0..schedulers {
                    self.deeds.push_back(Deed::Signal(s, Signal::Moved));
                }
            }
            FaultKind::Partition => {
                let s = rng.below(schedulers);
                self.cut.extend(chosen.iter().map(|w| (s, *w)));
                if schedulers > 1 {
                    self.cut_peers.insert(s);
                }
                self.push(end, Due::End(i));
            }
            FaultKind::ZoneCut => {
                self.cut_zones.extend(chosen);
                self.push(end, Due::End(i));
            }
            FaultKind::PeersCut => {
                self.peers_down += 1;
                self.push(end, Due::End(i));
            }
            FaultKind::StuckConnection => {
                self.stuck = t.part;
                self.push(end, Due::End(i));
            }
            // The arrivals know of these.
            FaultKind::Burst | FaultKind::HeavyTail | FaultKind::SlowReader => {}
        }
    }

    fn stroke(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        match t.kind {
            FaultKind::Pauses => {
                let until = at + ms(t.size.unwrap_or(90.0));
                for w in self.chosen[i].clone() {
                    self.bring_up(at, w);
                    self.stations[w].worker.pause(until);
                    self.counters.pauses += 1;
                    self.push(until, Due::Worker(w));
                }
                if at + secs(t.every_s) < secs(t.at_s + t.for_s) {
                    self.push(at + secs(t.every_s), Due::Stroke(i));
                }
            }
            FaultKind::RollingRestart => {
                if let Some(w) = self.chosen[i].pop() {
                    self.counters.rolled += 1;
                    self.drain(at, w);
                    self.push(at + LEAVES + PAUSE, Due::Return(w));
                    self.push(at + secs(t.every_s), Due::Stroke(i));
                }
            }
            _ => {}
        }
    }

    fn end(&mut self, at: Nanos, i: usize) {
        let t = self.scenario.faults[i].clone();
        match t.kind {
            FaultKind::FastErrors => {
                for w in self.chosen[i].clone() {
                    self.stations[w].failing = 0.0;
                }
            }
            FaultKind::ReportLate => self.late = self.late.saturating_sub(secs(t.size.unwrap_or(2.0))),
            FaultKind::DiscoveryDown => {
                self.discovery_down = self.discovery_down.saturating_sub(1);
                if self.discovery_down == 0 {
                    for s in 0..self.waiting_news.len() {
                        let entries = std::mem::take(&mut self.waiting_news[s]);
                        if !entries.is_empty() {
                            self.told_now(at, s, entries);
                        }
                    }
                }
            }
            FaultKind::Partition => {
                let chosen: FxHashSet<usize> = self.chosen[i].iter().copied().collect();
                self.cut.retain(|(_, w)| !chosen.contains(w));
                self.cut_peers.clear();
            }
            FaultKind::ZoneCut => self.cut_zones.clear(),
            FaultKind::PeersCut => self.peers_down = self.peers_down.saturating_sub(1),
            FaultKind::StuckConnection => self.stuck = 0.0,
            _ => {}
        }
    }

    fn drain(&mut self, at: Nanos, w: usize) {
        if self.stations[w].health != Health::Active || self.stations[w].silent {
            return;
        }
        self.counters.drained += 1;
        self.bring_up(at, w);
        self.stations[w].health = Health::Leaving;
        for job in self.stations[w].worker.hand_back() {
            let Some(out) = self.jobs.remove(&job) else { continue };
            self.counters.handed_back += 1;
            self.invariant_checker.attempt_ended(at, out.request, job, AttemptEnd::NeverRan);
            if !out.given_up {
                let report = self.report(at, w);
                let (scheduler, request) = (out.scheduler, out.request);
                let word = Word::Returned;
                self.deeds.push_back(Deed::Word { job, worker: w, scheduler, request, word, report });
            }
        }
        self.changed(at, w, None);
        self.push(at + LEAVES, Due::Leave(w));
    }

    /// A draining worker's process ends; what still runs there is lost.
    fn leave(&mut self, at: Nanos, w: usize) {
        if self.stations[w].health == Health::Leaving && !self.stations[w].down {
            self.bring_up(at, w);
            self.stations[w].health = Health::Left;
            self.stop(at, w);
        }
    }

    /// A process ends, and its machine says so.
    fn stop(&mut self, at: Nanos, w: usize) {
        self.stations[w].down = true;
        self.drop_jobs(at, w, true);
        self.deeds.push_back(Deed::Reset(w));
        self.changed(at, w, None);
    }

    fn drop_jobs(&mut self, at: Nanos, w: usize, said: bool) {
        for job in self.stations[w].worker.stop() {
            let Some(out) = self.jobs.remove(&job) else { continue };
            self.invariant_checker.attempt_ended(at, out.request, job, AttemptEnd::MayHaveRun);
            if said && !out.given_up {
                let (scheduler, request) = (out.scheduler, out.request);
                let word = Word::Lost;
                self.deeds.push_back(Deed::Word { job, worker: w, scheduler, request, word, report: None });
            }
        }
        self.stations[w].connections = 0;
    }

    /// A worker's process starts anew, cold and empty.
    fn come_back(&mut self, at: Nanos, w: usize) {
        let station = &mut self.stations[w];
        if !station.silent && !station.down {
            return;
        }
        self.counters.came_back += 1;
        (station.silent, station.down, station.health, station.born) = (false, false, Health::Active, at);
        station.reports.clear();
        station.worker.start(at);
        self.deeds.push_back(Deed::Reset(w));
        self.changed(at, w, None);
    }
}

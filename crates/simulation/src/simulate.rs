//! The host in virtual time: any number of schedulers in one process, and the same result for the same seed.
//!
//! Schedulers act once a tick on all that has come in. Within a tick they know nothing of each other, so they may
//! decide on several threads; what they want done is carried out in the order of their numbers, and the digest over
//! every event and action is the same for any number of threads.

use crate::clients::{self, Arrivals, Outcome as Try, Request};
use crate::day::Day;
use crate::figures::{Collector, Figures, Final};
use crate::referee::{Answered, Breach, End, Seen};
use crate::seed::Stream;
use crate::settings;
use crate::world::{Attempt, Counters, Deed, Dial, Reply, Signal, Word, World, ms};
use loomlb_policy::raw_settings::{SettingNames, affinity_key};
use loomlb_policy::{
    Action, AttemptResult, ClassId, Dispatcher, Event, JobProgress, ListKind, LoadReport, Nanos, Outcome,
    PeerId, Recipient, Request as Asked, RequestId, Settings, TenantId,
};
use loomlb_quota::{Quota, QuotaRequest, ShareStatus, Ticket, Verdict};
use rayon::prelude::*;
use rustc_hash::FxHashMap;
use serde::Serialize;
use slab::Slab;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Clients still reach a scheduler for so long after it was asked to end.
const TERM_NOTICE: Nanos = 300_000_000;
/// A scheduler that was asked to end is killed after this time and the longest deadline.
const TERM_KILL: Nanos = 700_000_000;
/// Of that deadline no more than this counts.
const TERM_LONGEST: Nanos = 3_000_000_000;
/// After the last arrival a day runs on for so long at most.
const TAIL: Nanos = 120_000_000_000;
/// Fewer events than this in a tick are not worth the threads.
const WORTH_THREADS: usize = 16;

/// Whoever decides: the decision module, or a baseline to compare it with.
pub trait Decider: Send {
    /// Takes in one event and adds what is to be done; see [`Dispatcher::handle`].
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
}

impl Decider for Dispatcher {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, out);
    }
}

/// Makes the decider of a scheduler from its settings and a seed.
pub type Maker<'a> = dyn Fn(Settings, u64) -> Box<dyn Decider> + Sync + 'a;

/// The decision module.
pub fn module(settings: Settings, seed: u64) -> Box<dyn Decider> {
    Box::new(Dispatcher::new(settings, seed))
}

/// What a day came to.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// The figures.
    pub figures: Figures,
    /// What the referee saw.
    pub seen: Seen,
    /// Breaches in all.
    pub breaches: u64,
    /// The first of them, with their stories.
    pub first: Vec<Breach>,
    /// What the troubles did.
    pub counters: Counters,
    /// Requests a second that were aimed at.
    pub rate: f64,
    /// Events told to schedulers, and actions of theirs.
    pub events: u64,
    /// See `events`.
    pub actions: u64,
    /// Work done by workers, in seconds of a yardstick core, and the part of it that served no answer.
    pub work_s: f64,
    /// See `work_s`.
    pub wasted: f64,
    /// Length of the day until all was over, in seconds.
    pub length_s: f64,
    /// A digest over every event and action with its time.
    pub digest: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// The next request is made.
    Next,
    /// A try leaves its client.
    Try(u64),
    /// A try reaches its scheduler.
    Reach(u64, usize, u32),
    /// Schedulers act.
    Tick,
    Timer(usize, u32, u64),
    /// An attempt reaches its worker, after a new connection or not.
    Arrive(usize, u32, u64, u32),
    /// An attempt has ended, as its scheduler hears.
    End(usize, u32, u64, u32, u8),
    Timeout(usize, u32, u64, u32),
    /// A give-up reaches its worker.
    GiveUp(u64),
    /// A word of a worker reaches a scheduler: its place in the store of words.
    Word(usize, u32, usize),
    Datagram(usize, u32, usize),
    Probed(usize, u32, usize, bool),
    /// An answer reaches its client.
    Answer(u64, usize),
    /// A client leaves.
    Leave(u64),
    Start(usize),
    Ending(usize, u32),
    Kill(usize, u32),
    List(usize, u32),
    /// A call for the list has failed.
    NoList(usize, u32),
}

#[derive(Debug)]
struct Forward {
    /// When its worker told that the job started.
    started: Option<Nanos>,
    worker: usize,
    sent: Nanos,
    job: Option<u64>,
    ended: bool,
    /// It is through to its worker, or on the way there over a connection that is up.
    up: bool,
}

#[derive(Debug)]
struct Flow {
    class: usize,
    slots: u32,
    work: f64,
    deadline: Nanos,
    answered: bool,
    forwards: Vec<Forward>,
    /// What it holds of its tenant's shares, and the seconds that its jobs ran.
    holding: Option<Ticket>,
    ran: f64,
}

struct Node {
    decider: Box<dyn Decider>,
    /// Nested quotas, where the day has them, and the mean seconds of each class's jobs.
    quota: Option<Quota>,
    mean: Vec<f64>,
    names: SettingNames,
    up: bool,
    /// Seen by the front until then, though it is down.
    seen_until: Nanos,
    ending: Option<Nanos>,
    run: u32,
    inbox: Vec<Event>,
    outbox: Vec<Action>,
    /// Sorted by the scheduler's own numbers.
    flows: FxHashMap<u64, Flow>,
    pool: FxHashMap<usize, Vec<Nanos>>,
}

#[derive(Debug)]
struct Client {
    request: Request,
    tries: u32,
    /// The scheduler of the try under way.
    at: Option<usize>,
    /// The time by which it leaves.
    leaves: Nanos,
    answered: bool,
}

/// A word on its way: request, job, what is said, and the worker's load.
type Said = (u64, u64, Word, Option<LoadReport>);

struct Host<'a> {
    world: World,
    make: &'a Maker<'a>,
    pool: Option<rayon::ThreadPool>,
    arrivals: Arrivals,
    upcoming: Option<Request>,
    nodes: Vec<Node>,
    clients: FxHashMap<u64, Client>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    pushed: u64,
    ticking: Option<Nanos>,
    now: Nanos,
    words: Slab<Said>,
    datagrams: Slab<(usize, Vec<u8>)>,
    collector: Collector,
    delays: Stream,
    front: Stream,
    habits: Stream,
    restarts: Stream,
    digest: blake3::Hasher,
    events: u64,
    actions: u64,
    drawn: bool,
}

/// Plays a day in virtual time with the decision module; on so many threads, 0 for one.
pub fn run(day: &Day, seed: u64, threads: usize) -> Played {
    run_with(day, seed, threads, &module)
}

/// Plays a day in virtual time with deciders of any make.
pub fn run_with(day: &Day, seed: u64, threads: usize, make: &Maker) -> Played {
    let world = World::new(day.clone(), seed, 0);
    let streams = world.streams();
    let arrivals = Arrivals::new(day, &streams, world.capacity());
    let threads = if day.schedulers.count > 1 { threads } else { 0 };
    let pool =
        (threads > 1).then(|| rayon::ThreadPoolBuilder::new().num_threads(threads).build().ok()).flatten();
    let mut host = Host {
        make,
        pool,
        arrivals,
        upcoming: None,
        nodes: Vec::new(),
        clients: FxHashMap::default(),
        queue: BinaryHeap::new(),
        pushed: 0,
        ticking: None,
        now: 0,
        words: Slab::new(),
        datagrams: Slab::new(),
        collector: Collector::new(day),
        delays: streams.named("delays"),
        front: streams.named("front"),
        habits: streams.named("retries"),
        restarts: streams.named("restarts"),
        digest: blake3::Hasher::new(),
        events: 0,
        actions: 0,
        drawn: false,
        world,
    };
    for s in 0..day.schedulers.count {
        let node = host.fresh(s);
        host.nodes.push(node);
        host.tell_list(s, ListKind::Persisted);
    }
    host.push(0, Due::Next);
    host.play(day);
    let world = &mut host.world;
    world.referee.finish(host.now);
    let workers = (0..world.workers()).map(|w| world.worker(w));
    let (delivered, wasted) = workers.fold((0.0, 0.0), |s, w| (s.0 + w.delivered, s.1 + w.wasted));
    let mut counters = world.counters.clone();
    (counters.burst, counters.heavy, counters.slow_readers) =
        (host.arrivals.burst, host.arrivals.heavy, host.arrivals.slow);
    Played {
        figures: host.collector.figures(),
        seen: world.referee.seen,
        breaches: world.referee.count,
        first: world.referee.breaches.clone(),
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

impl Host<'_> {
    fn push(&mut self, at: Nanos, due: Due) {
        self.pushed += 1;
        self.queue.push(Reverse((at.max(self.now), self.pushed, due)));
    }

    fn mark(&mut self, tag: u8, values: &[u64]) {
        self.digest.update(&[tag]);
        self.digest.update(&self.now.to_le_bytes());
        values.iter().for_each(|v| {
            self.digest.update(&v.to_le_bytes());
        });
    }

    fn delay(&mut self, mean_ms: f64) -> Nanos {
        ms(mean_ms * self.delays.log_normal(self.world.day.network.jitter)).max(1)
    }
    /// One way between a scheduler and a worker.
    fn way(&mut self, s: usize, w: usize) -> Nanos {
        let network = &self.world.day.network;
        let near = self.world.zone(s) == self.world.zone(w);
        self.delay(if near { network.one_way_ms } else { network.cross_ms })
    }
    /// One way to discovery, which is near to all.
    fn way_to_list(&mut self) -> Nanos {
        self.delay(self.world.day.network.one_way_ms)
    }

    fn play(&mut self, day: &Day) {
        let end = crate::world::secs(day.seconds) + TAIL;
        loop {
            let mine = self.queue.peek().map(|Reverse((at, _, _))| *at);
            let theirs = self.world.next();
            let Some(at) = [mine, theirs].into_iter().flatten().min() else { return };
            if at > end || (self.drawn && self.clients.is_empty() && self.world.referee.owed() == 0) {
                return;
            }
            self.now = self.now.max(at);
            while let Some(deed) = self.world.turn(self.now) {
                self.deed(deed);
            }
            while let Some(Reverse((at, _, _))) = self.queue.peek() {
                if *at > self.now {
                    break;
                }
                let Some(Reverse((_, _, due))) = self.queue.pop() else { break };
                self.due(due);
                while let Some(deed) = self.world.turn(self.now) {
                    self.deed(deed);
                }
            }
        }
    }

    // ---- schedulers

    fn fresh(&mut self, s: usize) -> Node {
        let (settings, names) = settings::settings(&self.world.day, s, self.arrivals.tenant_rates());
        let part = 1.0 / self.world.day.schedulers.count as f64;
        let quota =
            self.world.day.quota.clone().and_then(|spec| Quota::new(spec.scaled(part), self.now).ok());
        Node {
            decider: (self.make)(settings, self.restarts.bits()),
            quota,
            mean: self.world.day.classes.iter().map(|c| c.aim_ms / 1e3).collect(),
            names,
            up: true,
            seen_until: Nanos::MAX,
            ending: None,
            run: 0,
            inbox: Vec::new(),
            outbox: Vec::new(),
            flows: FxHashMap::default(),
            pool: FxHashMap::default(),
        }
    }

    /// Tells a scheduler of the whole list as it was last told.
    fn tell_list(&mut self, s: usize, kind: ListKind) {
        let (_, entries) = self.world.told(s);
        let names = &self.nodes[s].names;
        let mut entries: Vec<_> = entries.iter().map(|e| settings::worker(&self.world, names, e)).collect();
        entries.retain(|e| e.state != loomlb_policy::WorkerState::Removed);
        self.feed(s, Event::WorkerList { kind, entries });
    }

    fn feed(&mut self, s: usize, event: Event) {
        if !self.nodes[s].up {
            return;
        }
        self.nodes[s].inbox.push(event);
        if self.ticking.is_none() {
            let tick = ms(self.world.day.tick_ms).max(1);
            let at = (self.now / tick + 1) * tick;
            self.ticking = Some(at);
            self.push(at, Due::Tick);
        }
    }

    fn tick(&mut self) {
        self.ticking = None;
        let now = self.now;
        let events: usize = self.nodes.iter().map(|n| n.inbox.len()).sum();
        for s in 0..self.nodes.len() {
            let inbox = std::mem::take(&mut self.nodes[s].inbox);
            self.events += inbox.len() as u64;
            inbox.iter().for_each(|event| self.mark_event(s, event));
            self.nodes[s].inbox = inbox;
        }
        let decide = |node: &mut Node| {
            let (decider, out) = (&mut node.decider, &mut node.outbox);
            node.inbox.drain(..).for_each(|event| decider.handle(now, event, out));
        };
        match self.pool.as_ref().filter(|_| events >= WORTH_THREADS) {
            Some(pool) => pool.install(|| self.nodes.par_iter_mut().with_max_len(1).for_each(decide)),
            None => self.nodes.iter_mut().for_each(decide),
        }
        for s in 0..self.nodes.len() {
            let mut outbox = std::mem::take(&mut self.nodes[s].outbox);
            self.actions += outbox.len() as u64;
            outbox.drain(..).for_each(|action| self.act(s, action));
            self.nodes[s].outbox = outbox;
        }
    }

    fn mark_event(&mut self, s: usize, event: &Event) {
        let s = s as u64;
        match event {
            Event::WorkerList { entries, .. } => {
                self.mark(1, &[s, entries.len() as u64]);
                entries
                    .iter()
                    .for_each(|e| self.mark(2, &[e.id.0, e.state as u64, e.weight.to_bits(), e.started_at]));
            }
            Event::ListRequestFailed => self.mark(3, &[s]),
            Event::Request(r) => self.mark(4, &[s, r.id.0, r.class.0 as u64, r.remaining]),
            Event::RequestAbandoned(id) => self.mark(5, &[s, id.0]),
            Event::JobProgress(id, n, _) => self.mark(6, &[s, id.0, u64::from(*n)]),
            Event::ResponseStarted(id, n) => self.mark(7, &[s, id.0, u64::from(*n)]),
            Event::AttemptEnded { id, attempt, result: ended } => {
                self.mark(8, &[s, id.0, u64::from(*attempt), ended.outcome as u64, ended.latency]);
            }
            Event::ProbeEnded { worker, result: ended } => self.mark(9, &[s, worker.0, ended.outcome as u64]),
            Event::TimerFired(token) => self.mark(10, &[s, *token]),
            Event::PeerMessage(from, bytes) => self.mark(11, &[s, u64::from(from.0), bytes.len() as u64]),
            // The model plays no reload.
            Event::SettingsChanged(..) => self.mark(12, &[s]),
        }
    }

    fn act(&mut self, s: usize, action: Action) {
        let me = s as u64;
        let run = self.nodes[s].run;
        match action {
            Action::Send { id, worker, timeout } => {
                self.mark(32, &[me, id.0, worker.0, timeout]);
                self.forward(s, id.0, worker.0 as usize - 1, timeout);
            }
            Action::Refuse { id, retry_after } => {
                self.mark(33, &[me, id.0, retry_after]);
                let retry_after = retry_after.min(ms(self.world.day.terms.max_retry_after_ms));
                self.answer(s, id.0, Answered::Refused, Try::Refused(retry_after));
            }
            Action::Fail(id) => {
                self.mark(34, &[me, id.0]);
                self.answer(s, id.0, Answered::Failed, Try::Failed);
            }
            Action::Cancel(id, n) => {
                self.mark(35, &[me, id.0, u64::from(n)]);
                self.give_up(s, id.0, n, Outcome::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.mark(36, &[me, after, token]);
                self.push(self.now + after.max(1), Due::Timer(s, run, token));
            }
            Action::Probe(worker) => {
                self.mark(37, &[me, worker.0]);
                let w = worker.0 as usize - 1;
                let back = self.way(s, w) + self.way(s, w);
                let up = !self.world.silent(worker.0 as usize - 1);
                let after = if up { back } else { ms(self.world.day.network.dial_ms) };
                self.push(self.now + after, Due::Probed(s, run, worker.0 as usize - 1, up));
            }
            Action::CloseIdleConnections(worker) => {
                self.mark(38, &[me, worker.0]);
                let w = worker.0 as usize - 1;
                for _ in self.nodes[s].pool.remove(&w).unwrap_or_default() {
                    self.world.disconnect(w);
                }
            }
            Action::WatchList => {
                self.mark(39, &[me]);
                let (there, back) = (self.way_to_list(), self.way_to_list());
                match self.world.list_call(self.now + there) {
                    Ok(done) => self.push(done + back, Due::List(s, run)),
                    Err(failed) => self.push(failed + back, Due::NoList(s, run)),
                }
            }
            Action::SendToPeers(to, bytes) => {
                self.mark(40, &[me, bytes.len() as u64]);
                let to: Vec<usize> = match to {
                    Recipient::One(peer) => vec![peer.0 as usize],
                    Recipient::All => (0..self.nodes.len()).filter(|p| *p != s).collect(),
                };
                let known = self.nodes.len();
                to.into_iter().filter(|p| *p < known).for_each(|peer| self.tell(s, peer, &bytes));
            }
        }
    }

    fn tell(&mut self, s: usize, peer: usize, bytes: &[u8]) {
        let lost = self.delays.chance(self.world.day.network.peer_loss);
        let after = ms(self.delays.within(self.world.day.network.peer_ms));
        if lost || !self.world.peers_reachable(s, peer) {
            return;
        }
        let at = self.datagrams.insert((s, bytes.to_vec()));
        let run = self.nodes[peer].run;
        self.push(self.now + after, Due::Datagram(peer, run, at));
    }

    /// One send of a decider.
    fn forward(&mut self, s: usize, id: u64, w: usize, timeout: Nanos) {
        let (now, run) = (self.now, self.nodes[s].run);
        let most = self.world.day.terms.max_attempts as usize;
        let Some(flow) = self.nodes[s].flows.get_mut(&id) else { return };
        let n = flow.forwards.len() as u32;
        let barred = flow.answered || flow.forwards.len() >= most;
        let until = if timeout == 0 { flow.deadline } else { flow.deadline.min(now.saturating_add(timeout)) };
        flow.forwards.push(Forward {
            started: None,
            worker: w,
            sent: now,
            job: None,
            ended: false,
            up: false,
        });
        if barred || w >= self.world.workers() {
            return self.end(s, id, n, Outcome::NotSent, None);
        }
        self.push(until, Due::Timeout(s, run, id, n));
        let keep = crate::world::secs(self.world.day.network.idle_s) * 3 / 4;
        let idle = self.nodes[s].pool.get_mut(&w).and_then(|p| {
            let last = p.pop();
            last.filter(|since| *since + keep > now).map(|_| true).or(last.map(|_| false))
        });
        if idle == Some(true) {
            if let Some(f) = self.forward_of(s, id, n) {
                f.up = true;
            }
            let way = self.way(s, w);
            return self.push(now + way, Due::Arrive(s, run, id, n));
        }
        if idle == Some(false) {
            let old = self.nodes[s].pool.remove(&w).map_or(0, |p| p.len()) + 1;
            (0..old).for_each(|_| self.world.disconnect(w));
        }
        let way = self.way(s, w) + self.way(s, w) + self.way(s, w);
        match self.world.connect(now, s, w) {
            Dial::Up => {
                if let Some(f) = self.forward_of(s, id, n) {
                    f.up = true;
                }
                self.push(now + way, Due::Arrive(s, run, id, n));
            }
            Dial::Refused => self.push(now + way, Due::End(s, run, id, n, code(Outcome::NoConnection))),
            Dial::Nothing => {
                let dial = ms(self.world.day.network.dial_ms);
                self.push(now + dial, Due::End(s, run, id, n, code(Outcome::NoConnection)));
            }
        }
    }

    fn forward_of(&mut self, s: usize, id: u64, n: u32) -> Option<&mut Forward> {
        self.nodes[s].flows.get_mut(&id)?.forwards.get_mut(n as usize)
    }

    /// An attempt reaches its worker.
    fn arrive(&mut self, s: usize, run: u32, id: u64, n: u32) {
        let Some(flow) = self.nodes[s].flows.get(&id) else { return };
        let Some(f) = flow.forwards.get(n as usize) else { return };
        let (w, sent) = (f.worker, f.sent);
        if f.ended {
            // Given up on the way: its connection was closed before the last byte.
            return self.world.disconnect(w);
        }
        let (slots, work, class) = (flow.slots, flow.work, flow.class);
        let subject = self.clients.get(&(id >> 4)).and_then(|c| c.request.subject);
        let attempt = Attempt { request: id, scheduler: s, slots, work, class, subject, sent };
        let reply = self.world.arrive(self.now, w, &attempt);
        let way = self.way(s, w);
        match reply {
            Reply::Taken(job) => {
                if let Some(f) = self.forward_of(s, id, n) {
                    f.job = Some(job);
                }
                let (now, node) = (self.now, &mut self.nodes[s]);
                node.pool.entry(w).or_default().push(now);
            }
            Reply::Full => {
                self.nodes[s].pool.entry(w).or_default().push(self.now);
                self.push(self.now + way, Due::End(s, run, id, n, code(Outcome::Full)));
            }
            Reply::Error => {
                self.nodes[s].pool.entry(w).or_default().push(self.now);
                self.push(self.now + way + ms(2.0), Due::End(s, run, id, n, code(Outcome::Error)));
            }
            Reply::Refused => self.push(self.now + way, Due::End(s, run, id, n, code(Outcome::Reset))),
            Reply::Silent => {}
        }
    }

    /// An attempt has ended, as its scheduler hears.
    fn end(&mut self, s: usize, id: u64, n: u32, outcome: Outcome, report: Option<LoadReport>) {
        let now = self.now;
        let Some(flow) = self.nodes[s].flows.get_mut(&id) else { return };
        let answered = flow.answered;
        let Some(f) = flow.forwards.get_mut(n as usize).filter(|f| !f.ended) else { return };
        f.ended = true;
        let latency = now.saturating_sub(f.sent);
        let started = f.started.filter(|_| !outcome.never_ran());
        flow.ran += started.map_or(0.0, |at| now.saturating_sub(at) as f64 / 1e9);
        self.feed(
            s,
            Event::AttemptEnded {
                id: RequestId(id),
                attempt: n,
                result: AttemptResult { outcome, latency, request_finished: answered, load_report: report },
            },
        );
        self.tidy(s, id);
    }

    fn tidy(&mut self, s: usize, id: u64) {
        let over = |f: &Flow| f.answered && f.forwards.iter().all(|x| x.ended);
        if !self.nodes[s].flows.get(&id).is_some_and(over) {
            return;
        }
        let (now, node) = (self.now, &mut self.nodes[s]);
        let Some(flow) = node.flows.remove(&id) else { return };
        if let (Some(quota), Some(ticket)) = (&mut node.quota, flow.holding) {
            if flow.ran > 0.0 {
                node.mean[flow.class] += (flow.ran - node.mean[flow.class]) * 0.05;
            }
            quota.complete(now, ticket, flow.ran * f64::from(flow.slots));
        }
    }

    fn give_up(&mut self, s: usize, id: u64, n: u32, why: Outcome) {
        let Some(w) = self.forward_of(s, id, n).filter(|f| !f.ended).map(|f| f.worker) else { return };
        let way = self.way(s, w);
        let Some(f) = self.forward_of(s, id, n) else { return };
        let outcome = match (f.up, why) {
            (false, Outcome::Timeout) => Outcome::NoConnection,
            (false, _) => Outcome::NotSent,
            _ => why,
        };
        if let Some(job) = f.job {
            self.push(self.now + way, Due::GiveUp(job));
        }
        self.end(s, id, n, outcome, None);
    }

    /// A scheduler gives a request its final answer.
    fn answer(&mut self, s: usize, id: u64, answered: Answered, said: Try) {
        let Some(flow) = self.nodes[s].flows.get_mut(&id).filter(|f| !f.answered) else { return };
        flow.answered = true;
        self.world.referee.answered(self.now, id, answered);
        let way = self.delay(self.world.day.network.client_ms);
        let code = match said {
            Try::Served => 0,
            Try::Failed => 1,
            Try::Unreachable => 2,
            Try::Refused(after) => 3 + after as usize,
        };
        let slow = self.clients.get(&(id >> 4)).map_or(0, |c| c.request.slow);
        self.push(self.now + way + slow, Due::Answer(id, code));
        self.tidy(s, id);
    }

    // ---- what falls due

    fn due(&mut self, due: Due) {
        let now = self.now;
        let lives = |host: &Self, s: usize, run: u32| host.nodes[s].up && host.nodes[s].run == run;
        match due {
            Due::Next => self.next_request(),
            Due::Try(number) => self.try_now(number),
            Due::Reach(id, s, run) => self.reach(id, s, run),
            Due::Tick => self.tick(),
            Due::Timer(s, run, token) if lives(self, s, run) => self.feed(s, Event::TimerFired(token)),
            Due::Arrive(s, run, id, n) if lives(self, s, run) => self.arrive(s, run, id, n),
            Due::End(s, run, id, n, outcome) if lives(self, s, run) => {
                let outcome = OUTCOMES[outcome as usize];
                let w = self.forward_of(s, id, n).map(|f| f.worker);
                let report = w.filter(|_| matches!(outcome, Outcome::Full | Outcome::Error));
                let report = report.and_then(|w| self.world.report(now, w)).map(told);
                self.end(s, id, n, outcome, report);
            }
            Due::Timeout(s, run, id, n) if lives(self, s, run) => self.give_up(s, id, n, Outcome::Timeout),
            Due::GiveUp(job) => self.world.give_up(now, job),
            Due::Word(s, run, at) => {
                let Some((id, job, word, report)) = self.words.try_remove(at) else { return };
                if lives(self, s, run) {
                    self.word(s, id, job, word, report);
                }
            }
            Due::Datagram(s, run, at) => {
                let Some((from, bytes)) = self.datagrams.try_remove(at) else { return };
                if lives(self, s, run) {
                    self.feed(s, Event::PeerMessage(PeerId(from as u32), bytes));
                }
            }
            Due::Probed(s, run, w, up) if lives(self, s, run) => {
                let report = if up { self.world.probe(now, s, w) } else { None };
                let outcome = if report.is_some() { Outcome::Served } else { Outcome::NoConnection };
                let ended = AttemptResult {
                    outcome,
                    latency: 0,
                    request_finished: false,
                    load_report: report.map(told),
                };
                self.feed(
                    s,
                    Event::ProbeEnded { worker: loomlb_policy::WorkerId(w as u64 + 1), result: ended },
                );
            }
            Due::Answer(id, code) => self.answered(id, code),
            Due::Leave(id) => self.leave(id),
            Due::Start(s) => self.start(s),
            Due::Ending(s, run) if lives(self, s, run) => {
                if self.nodes[s].flows.values().all(|f| f.answered) {
                    self.stop(s, End::ByItself);
                } else {
                    self.push(now + 5_000_000, Due::Ending(s, run));
                }
            }
            Due::Kill(s, run) if lives(self, s, run) => {
                let asked = self.nodes[s].ending.unwrap_or(now);
                self.stop(s, End::Overran(asked));
            }
            Due::List(s, run) if lives(self, s, run) => {
                if !self.world.discovery_up() {
                    return self.feed(s, Event::ListRequestFailed);
                }
                self.tell_list(s, ListKind::Complete);
            }
            Due::NoList(s, run) if lives(self, s, run) => self.feed(s, Event::ListRequestFailed),
            // Of a run that is over.
            _ => {}
        }
    }

    fn deed(&mut self, deed: Deed) {
        match deed {
            Deed::Word { job, worker, scheduler: s, request, word, report } => {
                if !self.world.reachable(s, worker) {
                    return;
                }
                let at = self.words.insert((request, job, word, report.map(told)));
                let (way, run) = (self.way(s, worker), self.nodes[s].run);
                self.push(self.now + way, Due::Word(s, run, at));
            }
            Deed::List { scheduler: s, entries, .. } => {
                let names = &self.nodes[s].names;
                let entries = entries.iter().map(|e| settings::worker(&self.world, names, e)).collect();
                self.feed(s, Event::WorkerList { kind: ListKind::Partial, entries });
            }
            Deed::Signal(s, Signal::Kill) => self.stop(s, End::Killed),
            Deed::Signal(s, Signal::Term) => {
                if self.nodes[s].up && self.nodes[s].ending.is_none() {
                    let (now, run) = (self.now, self.nodes[s].run);
                    self.nodes[s].ending = Some(now);
                    self.nodes[s].seen_until = now + TERM_NOTICE;
                    self.push(now + TERM_NOTICE + ms(10.0), Due::Ending(s, run));
                    self.push(self.ends_by(now), Due::Kill(s, run));
                }
            }
            // In virtual time discovery has no address: the whole list comes again, as it does after the move.
            Deed::Signal(s, Signal::Moved) => {
                let run = self.nodes[s].run;
                self.push(self.now + ms(5.0), Due::List(s, run));
            }
            Deed::Reset(w) => {
                for node in &mut self.nodes {
                    node.pool.remove(&w);
                }
            }
        }
    }

    fn ends_by(&self, asked: Nanos) -> Nanos {
        let longest = self.world.day.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        asked + TERM_KILL + ms(longest).min(TERM_LONGEST)
    }

    /// A word may be late, or of a job that an earlier run of this scheduler sent: it counts only while its forward
    /// is out.
    fn word(&mut self, s: usize, id: u64, job: u64, word: Word, report: Option<LoadReport>) {
        let out = |f: &Flow| f.forwards.iter().position(|x| x.job == Some(job) && !x.ended);
        let Some(n) = self.nodes[s].flows.get(&id).and_then(out) else { return };
        let n = n as u32;
        match word {
            Word::Started => {
                let now = self.now;
                if let Some(f) = self.forward_of(s, id, n) {
                    f.started = Some(now);
                }
                self.feed(s, Event::JobProgress(RequestId(id), n, JobProgress::Started));
            }
            Word::Progress(x) => self.feed(s, Event::JobProgress(RequestId(id), n, JobProgress::Fraction(x))),
            Word::Done => {
                let w = self.forward_of(s, id, n).map_or(0, |f| f.worker);
                self.answer(s, id, Answered::Served(World::result(w, job)), Try::Served);
                self.end(s, id, n, Outcome::Served, report);
            }
            Word::Returned => self.end(s, id, n, Outcome::Full, report),
            Word::Lost => self.end(s, id, n, Outcome::Reset, report),
        }
    }

    /// A scheduler is gone, outright or after it was asked to end.
    fn stop(&mut self, s: usize, end: End) {
        if !self.nodes[s].up {
            return;
        }
        let now = self.now;
        let notice = ms(self.front.within(self.world.day.schedulers.notice_ms));
        let node = &mut self.nodes[s];
        node.up = false;
        node.run += 1;
        node.inbox.clear();
        node.seen_until = node.seen_until.min(now + notice);
        let mut flows: Vec<u64> = node.flows.iter().filter(|(_, f)| !f.answered).map(|(id, _)| *id).collect();
        flows.sort_unstable();
        node.flows.clear();
        let pools = std::mem::take(&mut node.pool);
        pools.into_iter().for_each(|(w, idle)| idle.iter().for_each(|_| self.world.disconnect(w)));
        self.world.referee.scheduler_ended(now, s, end);
        self.world.forget_scheduler(now, s);
        for id in flows {
            let way = self.delay(self.world.day.network.client_ms);
            self.push(now + way, Due::Answer(id, 2));
        }
        let restart = ms(self.world.day.schedulers.restart_ms);
        self.push(now + restart, Due::Start(s));
    }

    fn start(&mut self, s: usize) {
        let run = self.nodes[s].run;
        self.nodes[s] = Node { run, ..self.fresh(s) };
        self.tell_list(s, ListKind::Persisted);
    }

    // ---- clients

    fn next_request(&mut self) {
        if let Some(request) = self.upcoming.take() {
            let number = request.number;
            let leaves = request.at + request.patience;
            self.clients.insert(number, Client { request, tries: 0, at: None, leaves, answered: false });
            self.try_now(number);
        }
        let day = &self.world.day;
        match self.arrivals.next(day) {
            Some(request) => {
                let at = request.at;
                self.upcoming = Some(request);
                self.push(at, Due::Next);
            }
            None => self.drawn = true,
        }
    }

    fn try_now(&mut self, number: u64) {
        let now = self.now;
        // The front offers what it has not noticed to be dead.
        let seen: Vec<usize> = (0..self.nodes.len()).filter(|s| now < self.nodes[*s].seen_until).collect();
        let way = self.delay(self.world.day.network.client_ms);
        let chosen = seen.get(self.front.below(seen.len())).copied();
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.tries += 1;
        (client.at, client.answered) = (chosen, false);
        let id = number << 4 | u64::from(client.tries);
        let leaves = client.leaves;
        match chosen {
            Some(s) => {
                let run = self.nodes[s].run;
                self.push(now + way, Due::Reach(id, s, run));
                if client_first(id) {
                    self.push(leaves, Due::Leave(id));
                }
            }
            None => self.push(now + way, Due::Answer(id, 2)),
        }
    }

    fn reach(&mut self, id: u64, s: usize, run: u32) {
        let now = self.now;
        if !self.nodes[s].up || self.nodes[s].run != run {
            let way = self.delay(self.world.day.network.client_ms);
            return self.push(now + way, Due::Answer(id, 2));
        }
        let Some(client) = self.clients.get(&(id >> 4)) else { return };
        let r = &client.request;
        let class_end = r.at + ms(self.world.day.classes[r.class].deadline_ms);
        let by = self.nodes[s].ending.map_or(class_end, |at| class_end.min(self.ends_by(at) - 200_000_000));
        // A process that ends answers sooner, which says nothing of its client.
        let (remaining, within) = (class_end.saturating_sub(now), by.saturating_sub(now));
        let (class, tenant, slots, work, subject) = (r.class, r.tenant, r.slots, r.work, r.subject);
        let expected = r.hint;
        self.world.referee.taken(now, id, s, class, by);
        let (mut holding, mut in_share) = (None, None);
        let mean = self.nodes[s].mean[class];
        if let Some(quota) = &mut self.nodes[s].quota {
            let tenant = tenant.map_or("", |t| self.world.day.tenants[t].name.as_str());
            let size = f64::from(slots.max(1));
            let ask = QuotaRequest { slots: size, work: mean * size, retry: false, jitter_seed: id };
            match quota.admit(now, tenant, &ask) {
                Verdict::Admitted(ticket, standing) => {
                    (holding, in_share) = (Some(ticket), Some(standing != ShareStatus::Over));
                }
                Verdict::Unknown => in_share = Some(false),
                Verdict::Refused(refusal) => {
                    self.world.referee.answered(now, id, Answered::Refused);
                    let after = refusal.retry_after.min(ms(self.world.day.terms.max_retry_after_ms));
                    let way = self.delay(self.world.day.network.client_ms);
                    return self.push(now + way, Due::Answer(id, 3 + after as usize));
                }
            }
        }
        let asked = Asked {
            in_share,
            id: RequestId(id),
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            affinity_key: subject.map(|s| affinity_key(&format!("s{s}"))),
            slots: f64::from(slots),
            remaining,
            answer_within: Some(within),
            expected_work: expected,
            ..Asked::default()
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
                holding,
                ran: 0.0,
            },
        );
        self.feed(s, Event::Request(asked));
    }

    fn answered(&mut self, id: u64, code: usize) {
        let said = match code {
            0 => Try::Served,
            1 => Try::Failed,
            2 => Try::Unreachable,
            after => Try::Refused(after as Nanos - 3),
        };
        let (number, now) = (id >> 4, self.now);
        let Some(client) =
            self.clients.get_mut(&number).filter(|c| u64::from(c.tries) == id & 15 && !c.answered)
        else {
            return;
        };
        client.answered = true;
        let (class, tries, leaves) = (client.request.class, client.tries, client.leaves);
        let again = clients::again(&self.world.day, &mut self.habits, class, tries, said);
        match again.filter(|wait| now + wait < leaves) {
            Some(wait) => self.push(now + wait, Due::Try(number)),
            None => {
                let end = match said {
                    Try::Served => Final::Served,
                    Try::Refused(_) => Final::Refused,
                    Try::Failed => Final::Failed,
                    Try::Unreachable => Final::Unreachable,
                };
                self.finish(number, end);
            }
        }
    }

    fn finish(&mut self, number: u64, end: Final) {
        if let Some(client) = self.clients.remove(&number) {
            self.collector.ended(&self.world.day, &client.request, self.now, client.tries, end);
        }
    }

    /// A client's patience is over.
    fn leave(&mut self, id: u64) {
        let (number, now) = (id >> 4, self.now);
        let Some(client) = self.clients.get(&number) else { return };
        let (id, answered, at) = (number << 4 | u64::from(client.tries), client.answered, client.at);
        let early = client.request.patience < ms(self.world.day.classes[client.request.class].deadline_ms);
        let grace = ms(self.world.day.terms.answer_grace_ms);
        if !early && now < client.leaves + grace && !answered {
            // An answer may be a little late on its way: it is waited for, and the referee says whether it was.
            return self.push(client.leaves + grace, Due::Leave(id));
        }
        if !answered && early {
            self.world.referee.left(now, id);
            if let Some(s) = at.filter(|s| self.nodes[*s].flows.get(&id).is_some_and(|f| !f.answered)) {
                if let Some(flow) = self.nodes[s].flows.get_mut(&id) {
                    flow.answered = true;
                }
                self.feed(s, Event::RequestAbandoned(RequestId(id)));
                self.tidy(s, id);
            }
        }
        self.finish(number, if early { Final::Left } else { Final::Failed });
    }
}

fn client_first(id: u64) -> bool {
    id & 15 == 1
}

fn told(r: crate::world::Report) -> LoadReport {
    LoadReport { in_flight: Some(r.held), free_slots: Some(r.free), ..LoadReport::default() }
}

const OUTCOMES: [Outcome; 5] =
    [Outcome::NoConnection, Outcome::Full, Outcome::Error, Outcome::Reset, Outcome::Timeout];

fn code(outcome: Outcome) -> u8 {
    OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0) as u8
}

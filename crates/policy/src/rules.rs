//! Every decision of a dispatcher. The interface, that is settings, events and actions, is in `src/api.rs`.
//!
//! From top to bottom: the constants, and the [`Dispatcher`] that turns events into actions. The random
//! neural network of a class is in `src/network.rs`, what is remembered in `src/state.rs`. Why a worker was
//! picked is told by `Dispatcher::pick`: highest q over what stands in its way, among the workers that
//! `usable` lets pass.

use crate::api::*;
use crate::cold_start;
use crate::decay::{DecayingValue, update_mean};
use crate::group_assignment::{AssignableWorker, GroupLayout, rendezvous_weight};
use crate::message::{Message, SlotUsage};
mod carry;
use crate::group_traffic::GroupTraffic;
pub use crate::network::Network;
use crate::state::{Attempt, Best, Job, Known, Learned, Peer, Random, Repeat, Share, in_share};
pub use carry::LearnedState;
use rustc_hash::FxHashMap;

/// Share of requests sent to a random other worker.
const EXPLORE: f64 = 0.1;
/// A worker with jobs of ours is silent beyond this many mean running times without a word.
const SILENCE: f64 = 4.0;
/// Failures on a worker, and waits met in a zone, are forgotten but for 1/e in this time.
const FORGET: f64 = 7e9;
/// Failed attempts score a G of this many mean running times.
const LONG: f64 = 4.0;
/// What the price of crossing zones weighs, against the worth of the request, in running times.
const CROSS: f64 = 8.0;
/// Workers that a key belongs to.
const HOMES: f64 = 1.5;
/// Part of its slack that a job waits for the workers that its key belongs to, while these widen to all.
const HOME_WAIT: f64 = 0.3;
/// What a wait for slots at a worker weighs, in mean running times: late is worth nothing, so any worker that
/// has the slots free comes first. Jobs that find no slot at all wait here, where they can still choose.
const WAIT: f64 = 4.0;
/// Who has neither sent nor heard anything for this long sends a job though the waits met before were long.
const TRY_AGAIN: Nanos = 1_000_000_000;
/// What a job served leaves of the failures before it. One that fails most jobs serves some all the same.
const FORGIVE: f64 = 0.7;
/// What peers told of a worker is forgotten but for 1/e in this time: a word of theirs may have been lost.
/// Jobs can run for many seconds, and a worker they hold would look free if it were forgotten sooner.
const LOST: f64 = 60e9;
/// A peer's word that is overtaken by a later one comes within this time of it.
const LATE: Nanos = 10_000_000_000;
/// What an own job that has not begun adds to the wait for a worker, in mean running times.
const AHEAD: f64 = 0.5;
/// A job is to end by this part of its class's aim before it is late: others send to the same worker.
const MARGIN: f64 = 0.7;
/// Part of a worker's slots that a request worth nothing leaves free.
const RESERVE: f64 = 0.2;

/// A failed call for the list is made again within this time: what it missed counts as told soon.
const ASK_AGAIN: f64 = 1e9;

/// Tokens of the timers: ask for the list, look at the held requests now and then, or once.
const WATCH: u64 = 1;
/// Dispatchers of a zone that tell each other of every send.
const GROUP: usize = 12;
const HELD: u64 = 2;
const SOON: u64 = 3;
/// Workers asked before a send at most, and the part of the worth of a request that this may cost.
const PROBES: f64 = 3.0;
const PROBE_COST: f64 = 0.015;

/// The decision module of one dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    set: Settings,
    rng: Random,
    now: Nanos,
    nets: Vec<Network>,
    learned: Vec<Learned>,
    workers: Vec<Known>,
    index: FxHashMap<WorkerId, usize>,
    free: Vec<usize>,
    kind_slots: Vec<f64>,
    jobs: FxHashMap<RequestId, Job>,
    held: Vec<RequestId>,
    held_timer: bool,
    peers: std::collections::BTreeMap<PeerId, Peer>,
    group: Vec<PeerId>,
    groups: Vec<Vec<PeerId>>,
    /// `near` of each worker in one stretch of memory: each pick looks at all of them.
    near: Vec<bool>,
    regroup: bool,
    /// Words told to the group so far.
    turn: u16,
    born: Nanos,
    share: Vec<Share>,
    listed_once: bool,
    failed_asks: u32,
    mean_run: f64,
    waits: Vec<DecayingValue>,
    mean_worth: f64,
    /// How much longer a job runs where its subject's data must be fetched, and for a unit of work by kind.
    fetch: f64,
    kind_pace: Vec<f64>,
    /// Slots that a request takes.
    mean_need: f64,
    most_need: f64,
    mean_value: f64,
    /// The part of the slots that others hold, over all workers.
    others_part: f64,
    /// The part of the jobs sent beyond the group of late that found no room there.
    crowded: f64,
    group_traffic: GroupTraffic,
}

impl Dispatcher {
    /// A dispatcher that has just started.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher {
            rng: Random(fastrand::Rng::with_seed(seed)),
            nets: vec![Network::default(); settings.classes.len()],
            learned: settings.classes.iter().map(Learned::new).collect(),
            kind_slots: vec![0.0; settings.kind_count],
            kind_pace: vec![0.0; settings.kind_count],
            share: vec![Share::default(); settings.tenants.len()],
            waits: vec![DecayingValue::default(); settings.zone_count],
            set: settings,
            ..Dispatcher::default()
        }
    }

    /// Takes in one event and adds what is to be done to `out`. Events of one moment come in their order.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList { kind, entries } => self.workers_news(kind, entries, out),
            Event::ListRequestFailed => self.list_failed(out),
            Event::SettingsChanged(settings, starts) => self.retune(*settings, &starts),
            Event::Request(request) => self.request(request, out),
            Event::RequestAbandoned(id) => {
                // Nobody waits for it any more: its slots are for others.
                self.cancel(id, out);
                self.gone(id);
            }
            Event::JobProgress(id, attempt, note) => self.note(id, attempt, note),
            Event::ResponseStarted(id, _) => self.gone(id),
            Event::AttemptEnded { id, attempt, result: ended } => self.outcome(id, attempt, ended, out),
            Event::ProbeEnded { worker, result: ended } => {
                let Some(&w) = self.index.get(&worker) else { return };
                match ended.load_report {
                    Some(report) => self.report(w, &report),
                    None if ended.outcome != Outcome::Served => self.workers[w].failed(now, FORGET),
                    None => {}
                }
            }
            Event::TimerFired(WATCH) => out.push(Action::WatchList),
            Event::TimerFired(SOON) => self.serve_held(out),
            Event::TimerFired(HELD) => {
                self.held_timer = false;
                self.serve_held(out);
            }
            Event::TimerFired(_) => {}
            Event::PeerMessage(from, bytes) => {
                Message::decode(&bytes).into_iter().for_each(|message| self.peer(from, message, out))
            }
        }
    }

    // ---- the list of workers

    fn workers_news(&mut self, kind: ListKind, entries: Vec<Worker>, out: &mut Vec<Action>) {
        if kind != ListKind::Partial {
            let named: rustc_hash::FxHashSet<WorkerId> = entries.iter().map(|e| e.id).collect();
            for w in 0..self.workers.len() {
                if self.workers[w].listed && !named.contains(&self.workers[w].entry.id) {
                    self.unlist(w);
                }
            }
        }
        for entry in entries {
            self.entry(entry);
        }
        if kind != ListKind::Persisted {
            self.failed_asks = 0;
        }
        self.regroup = true;
        let first = !std::mem::replace(&mut self.listed_once, true);
        if first && self.set.limits.peer_messages {
            self.born = self.now;
            // In one zone nobody has to be asked who is near; a start by the dozen would miss many a word.
            let all = (0..self.set.dispatcher_count).filter(|_| self.set.zone_count <= 1);
            self.peers.extend(all.map(|p| (PeerId(p), Peer::new(self.set.own_zone, self.now))));
            out.push(Action::SendToPeers(Recipient::All, Message::Hello(self.set.own_zone).encode()));
        }
        if first && self.set.list_needs_watch {
            // All dispatchers may start at once, and the service of the list has a fixed capacity: the more
            // there are, the more their first calls are spread. Until then the old list serves.
            let spread = 0.5 - 0.5 / f64::from(self.set.dispatcher_count.max(1));
            let after = self.rng.0.f64() * spread * self.set.obligations.list_request_interval as f64;
            out.push(Action::SetTimer { after: after as Nanos, token: WATCH });
        }
        self.serve_held(out);
    }

    fn entry(&mut self, entry: Worker) {
        let known = self.index.get(&entry.id).copied();
        if entry.state != WorkerState::Ready {
            // Nothing new from this moment on: the grace is not ours to use up.
            return known.into_iter().for_each(|w| self.unlist(w));
        }
        let w = known.unwrap_or_else(|| {
            let w = self.free.pop().unwrap_or_else(|| {
                self.workers.push(Known::default());
                self.workers.len() - 1
            });
            self.workers[w] = Known { entry: entry.clone(), ..Known::default() };
            self.index.insert(entry.id, w);
            w
        });
        let first = known.is_none() || !self.workers[w].listed;
        if first || self.workers[w].entry.started_at != entry.started_at {
            // A process that has started anew is cold and holds none of what it held.
            let phase = self.rng.0.f64();
            self.workers[w].restarted(self.now, phase);
        }
        let kind = entry.kind;
        self.workers[w].entry = entry;
        if !std::mem::replace(&mut self.workers[w].listed, true) {
            for (net, class) in self.nets.iter_mut().zip(&self.set.classes) {
                if class.kind.is_none_or(|k| k == kind) {
                    net.join(w, kind);
                }
            }
        }
    }

    fn unlist(&mut self, w: usize) {
        if std::mem::replace(&mut self.workers[w].listed, false) {
            for net in &mut self.nets {
                net.leave(w);
            }
        }
        self.let_go(w);
    }

    /// Frees the place of a worker that has left, once nothing of ours is out there.
    fn let_go(&mut self, w: usize) {
        let Known { entry, listed, attempts, .. } = &self.workers[w];
        if !listed && *attempts == 0 && self.index.remove(&entry.id).is_some() {
            self.free.push(w);
        }
    }

    // ---- peers

    /// Where peers may be told things, the dispatchers of a zone form small groups, and each group looks
    /// first at its part of the zone's workers, an equal part of them now. Whoever sends to a worker tells
    /// its group of that and of the end, so a few know all that is in flight on a few workers, and nobody
    /// else is told.
    fn form_group(&mut self) {
        if !std::mem::take(&mut self.regroup) || self.peers.is_empty() {
            return;
        }
        self.peers.insert(self.set.own_id, Peer::new(self.set.own_zone, self.now));
        let near = self.peers.iter().filter(|p| p.1.zone == self.set.own_zone);
        let near: Vec<PeerId> = near.map(|p| *p.0).collect();
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        order.retain(|&w| self.workers[w].listed && self.workers[w].entry.zone == self.set.own_zone);
        // As many groups as the settings make, or fewer where they would have hardly a worker each.
        let tier =
            GroupLayout::new(near.len(), near.len().div_ceil(GROUP).min(order.len().div_ceil(4)).max(1));
        let mine = tier.group_of(near.iter().position(|p| *p == self.set.own_id).unwrap_or(0));
        let members = |g| tier.members(g).map(|i| near[i]).filter(|p| *p != self.set.own_id).collect();
        self.groups = (0..tier.group_count).map(members).collect();
        self.group = self.groups[mine].clone();
        order.sort_by_cached_key(|&w| self.workers[w].entry.id);
        let (rules, now) = (&self.set.obligations, self.now);
        let dealt: Vec<AssignableWorker> =
            order.iter().map(|&w| self.workers[w].dealt(rules, now, tier)).collect();
        self.workers.iter_mut().for_each(|k| (k.near, k.part) = (false, mine));
        self.near = vec![false; self.workers.len()];
        for (&w, part) in order.iter().zip(tier.assign(&dealt)) {
            (self.workers[w].near, self.workers[w].part) = (part == mine, part);
            self.near[w] = part == mine;
        }
    }

    /// Tells the group that looks first at a worker what is held there now.
    fn tell(&mut self, w: usize, failed: bool, out: &mut Vec<Action>) {
        self.turn = self.turn.wrapping_add(1);
        let known = &self.workers[w];
        if known.near {
            self.group_traffic.record_sent(self.now);
        }
        let holds = SlotUsage { worker: known.entry.id, slots: known.own as u8, sequence: self.turn, failed };
        let bytes = Message::SlotUsage(holds).encode();
        let group = self.groups.get(known.part).unwrap_or(&self.group);
        out.extend(group.iter().map(|&p| Action::SendToPeers(Recipient::One(p), bytes.clone())));
    }

    fn peer(&mut self, from: PeerId, message: Message, out: &mut Vec<Action>) {
        self.peers.get_mut(&from).into_iter().for_each(|p| p.hear(self.now));
        let zone = match message {
            Message::SlotUsage(holds) => return self.told(from, holds),
            Message::Hello(zone) | Message::HelloReply(zone, _) => zone,
        };
        let stranger = self.peers.insert(from, Peer::new(zone, self.now)).is_none();
        self.regroup |= stranger;
        if let Message::HelloReply(_, sizes) = message {
            // How large workers are it has yet to learn, and a full one never shows.
            let own = self.kind_slots.iter_mut().zip(sizes).filter(|(own, _)| **own == 0.0);
            return own.for_each(|(own, size)| *own = f64::from(size) / 8.0);
        }
        // It has started, and whatever it held before is over without a word.
        self.workers.iter_mut().for_each(|k| k.told.retain(|t| t.peer != from));
        // One that starts later than the others has missed their words.
        if stranger || self.now > self.born + 100_000_000 {
            let sizes = self.kind_slots.iter().map(|s| (s * 8.0) as u8).collect();
            out.push(Action::SendToPeers(
                Recipient::One(from),
                Message::HelloReply(self.set.own_zone, sizes).encode(),
            ));
        }
    }

    fn told(&mut self, peer: PeerId, holds: SlotUsage) {
        let Some(&w) = self.index.get(&holds.worker) else { return };
        let known = &mut self.workers[w];
        if holds.failed {
            known.failed(self.now, FORGET);
        }
        known.hear(peer, holds, self.now, LATE);
        self.group_traffic.record_received(self.now);
    }

    /// Forgets what those told that have ended: they are silent beyond measure, and their jobs are over.
    fn forget_silent(&mut self) {
        let now = self.now;
        for id in self.peers.iter_mut().filter_map(|(id, p)| p.falls_silent(now).then_some(id)) {
            self.workers.iter_mut().for_each(|k| k.told.retain(|t| t.peer != *id));
        }
    }

    fn list_failed(&mut self, out: &mut Vec<Action>) {
        // Ask again well inside the time after which we count as told, later and later while calls fail.
        self.failed_asks = (self.failed_asks + 1).min(4);
        let most = (self.set.obligations.list_request_interval as f64 * 0.4
            / f64::from(16 >> self.failed_asks))
        .min(ASK_AGAIN);
        let after = most * (0.5 + 0.5 * self.rng.0.f64());
        out.push(Action::SetTimer { after: after as Nanos, token: WATCH });
    }

    // ---- requests

    fn request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        request.slots = request.slots.max(1.0);
        let Some(class) = self.set.classes.get(request.class.0) else {
            return out.push(Action::Refuse { id, retry_after: 0 });
        };
        let learned = &mut self.learned[request.class.0];
        learned.longest = learned.longest.max(request.remaining);
        // The aim counts from the client's first try; what later tries have left tells how long ago that was.
        let before = learned.longest - request.remaining;
        // Most jobs are shorter than the mean; a hint tells more, though not all.
        let work = request.expected_work.map_or(learned.run * 0.3, |e| e as f64 * 0.6);
        let slack = class.latency_objective as f64 * 0.7 + (class.objective_stretch - 1.0) * work;
        let start_by = (self.now + slack.max(0.0) as Nanos).saturating_sub(before);
        let work = request.expected_work.map_or(learned.run, |e| e as f64);
        let aim_by = (self.now + class.latency_objective + (class.objective_stretch * work) as Nanos)
            .saturating_sub(before);
        let told = |s: &mut Self| in_share(&mut s.share, &s.set, request.tenant, request.is_retry, s.now);
        let in_share = request.in_share.unwrap_or_else(|| told(self));
        let worth = self.worth(request.class.0);
        update_mean(&mut self.mean_worth, worth, 0.01);
        let job = Job {
            arrived: self.now,
            most: self.set.limits.max_attempts,
            deadline: self
                .now
                .saturating_add(request.answer_within.unwrap_or(u64::MAX).min(request.remaining)),
            start_by,
            aim_by,
            work,
            in_share,
            request,
            ..Job::default()
        };
        let value = self.value(&job);
        update_mean(&mut self.mean_value, value, 0.01);
        update_mean(&mut self.mean_need, job.request.slots, 0.02);
        self.most_need = self.most_need.max(job.request.slots);
        // Where no report tells of room nothing is held; in overload queues would grow until all is late.
        // Only jobs that go out tell that a wait is over, so one goes now and then.
        let patience = self.mean_run + slack * value / self.mean_value.max(1e-9);
        let tries = || self.workers.iter().any(|k| self.now < k.sent.max(k.heard) + TRY_AGAIN);
        let refuse = self.blind() && tries() && self.zone_wait(self.set.own_zone.0) > patience;
        self.jobs.insert(id, job);
        if refuse {
            self.end(id, out);
        } else if !self.held.is_empty() || !self.place(id, out) {
            self.held.push(id);
            self.serve_held(out);
        }
    }

    /// The last moment at which an attempt may end and an answer still go out in time.
    fn last_moment(&self, job: &Job) -> Nanos {
        job.deadline.saturating_sub(2 * self.set.tick)
    }

    /// Tries to send a request; false if it must wait (or has been ended).
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        let last = self.last_moment(job);
        if job.answered || job.out() > 0 {
            return true;
        }
        let spent = job.attempts.len() as u32 >= job.most.max(1);
        if self.now >= last || spent || self.repeat(job) == Repeat::Never {
            self.end(id, out);
            return true;
        }
        if self.now < job.not_before || !job.asked && self.ask(id, out) {
            return false;
        }
        self.pick(id).is_some_and(|w| self.send(id, w, out))
    }

    /// How many workers are asked before a send, on average: as many as their price lets. Where start words
    /// tell of queues, a few teach how large workers are and which have room again.
    fn probes(&self) -> f64 {
        let may =
            f64::from(u8::from(self.set.load_reporting == LoadReporting::OnProbe && self.set.limits.probing));
        let cost = if self.by_starts() { PROBE_COST / 5.0 } else { PROBE_COST };
        (cost / self.set.costs.probe.max(1e-9)).min(PROBES) * may
    }

    /// Where load can be asked for, a few workers of the zone are asked before a send: a dispatcher with
    /// little traffic would else know next to nothing. True: the request waits a moment for what they say.
    fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let probes = self.probes();
        let probes = if probes > 0.0 { (probes + self.rng.0.f64()) as usize } else { 0 };
        let Some(job) = self.jobs.get_mut(&id).filter(|_| probes > 0) else { return false };
        let class = job.request.class.0;
        let wait = (self.set.classes[class].latency_objective / 100).max(self.set.tick);
        (job.asked, job.not_before) = (true, self.now + wait);
        let near = self.nets[class].neurons.iter().map(|n| &self.workers[n.worker].entry);
        let mut near: Vec<_> = near.filter(|e| e.zone == self.set.own_zone).map(|e| e.id).collect();
        for _ in 0..probes.min(near.len()) {
            out.push(Action::Probe(near.swap_remove(self.rng.0.usize(..near.len()))));
        }
        out.push(Action::SetTimer { after: wait, token: SOON });
        true
    }

    fn send(&mut self, id: RequestId, w: usize, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return true };
        let known = &mut self.workers[w];
        let (zone, cell) = (known.entry.zone, known.entry.cell);
        known.sends(self.now, self.mean_run, job.request.slots);
        job.attempts.push(Attempt { worker: w, zone, cell, sent: self.now, started: None, outcome: None });
        let work = job.work / cold_start::warmth(&self.set.obligations, known.entry.started_at, self.now);
        known.estimator.record_sent(
            id,
            job.attempts.len() as u32 - 1,
            self.now,
            work,
            job.request.affinity_key,
        );
        let timeout = job.deadline.saturating_sub(2 * self.set.tick).saturating_sub(self.now).max(1);
        let worker = known.entry.id;
        let (class, slots) = (job.request.class.0, job.request.slots);
        if let Some((charge, credit)) = self.cold_cost(w, class, slots) {
            let known = &mut self.workers[w];
            (known.cold_credit, known.cold_at, known.cold_phase) = (credit - charge, self.now, 0.0);
        }
        out.push(Action::Send { id, worker, timeout });
        self.tell(w, false, out);
        true
    }

    /// Ends a request that gets no further attempt: a refusal where it is honest, a failure otherwise.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else { return };
        let idempotency = self.set.classes[job.request.class.0].idempotency;
        let harmless =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All));
        let harmless = harmless || job.may_have_run().next().is_none();
        let retry_after = if harmless { self.come_back(id) } else { 0 };
        out.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.gone(id);
    }

    /// When a refused client had best come back: once those held here and it have found a slot, as fast as
    /// jobs make room by their mean. Spread by its id, so that the refused do not return as one.
    fn come_back(&self, id: RequestId) -> Nanos {
        let most = self.set.limits.max_retry_after;
        let slots: f64 = self.workers.iter().filter(|k| k.listed).filter_map(|k| self.slots(k)).sum();
        let before = (1.0 + self.held.len() as f64) * self.mean_need.max(1.0);
        let wait = self.mean_run * before / slots.max(1.0) * (0.5 + rendezvous_weight(id.0, 0));
        (wait as Nanos).max(self.set.tick).min(most)
    }

    /// Stops what is out for a request, where attempts can be cancelled.
    fn cancel(&self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|_| self.set.limits.cancel) else { return };
        let copies = job.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        out.extend(copies.map(|(i, _)| Action::Cancel(id, i as u32)));
    }

    /// Nothing more is owed to a request; it is forgotten once none of its attempts is out.
    fn gone(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        if job.out() == 0 {
            self.jobs.remove(&id);
        }
    }

    /// Offers the held requests to the workers, the most valuable for its slots first. One that can no longer
    /// start in time is refused before its aim has passed: it would take the place of one that can.
    fn serve_held(&mut self, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        let rank = |id: &RequestId| self.jobs.get(id).map(|j| (self.value(j).to_bits(), j.arrived));
        held.sort_by_cached_key(|id| std::cmp::Reverse(rank(id)));
        let mut blocked = vec![f64::MAX; self.set.classes.len()];
        for id in held {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else { continue };
            let (class, slots) = (job.request.class.0, job.request.slots);
            let tied = job.may_have_run().next().is_some();
            let late = self.now >= job.start_by || self.now >= self.last_moment(job);
            if !tied && !late && slots >= blocked[class] && self.reach(job) >= 1.0 {
                self.held.push(id);
            } else if !self.place(id, out) {
                let resting = self.now < self.jobs[&id].not_before;
                if late {
                    self.end(id, out);
                } else {
                    if !tied && !resting && self.reach(&self.jobs[&id]) >= 1.0 {
                        blocked[class] = blocked[class].min(slots);
                    }
                    self.held.push(id);
                }
            }
        }
        if !self.held.is_empty() && !std::mem::replace(&mut self.held_timer, true) {
            let aim = self.set.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0);
            out.push(Action::SetTimer { after: (aim / 16).max(self.set.tick), token: HELD });
        }
    }

    /// What serving a request earns for the slot time it takes.
    fn value(&self, job: &Job) -> f64 {
        let c = job.request.class.0;
        let class = &self.set.classes[c];
        let share = if job.in_share { 1.0 } else { self.set.over_share_worth };
        let work = if self.set.worth_by_work { 1.0 } else { self.learned[c].run / 1e9 };
        class.worth * share / (work * job.request.slots).max(1e-6)
    }

    // ---- the choice of a worker

    /// The usable worker with the highest q, divided by 1 and what stands in the way there: jobs in
    /// flight for the size of the worker, waiting, failures, and the price of crossing zones. None:
    /// better wait.
    fn pick(&mut self, id: RequestId) -> Option<usize> {
        self.form_group();
        self.forget_silent();
        let congested = self.blind() && self.zone_wait(self.set.own_zone.0) > self.mean_run;
        // Unheard by each other, all would fill the same queues: what parts do not hold is refused early.
        let job = self.jobs.get(&id)?;
        let tied = job.may_have_run().next().is_some();
        let cut_off = self.cut_off() && !tied;
        if cut_off && !self.in_part(job.request.slots) {
            return None;
        }
        let among_group = if self.group.is_empty() || congested { None } else { self.pick_among(id, true) };
        // What is held beyond the group is old news: in a full fleet all would pour jobs there. So a job
        // with patience waits for its group, and goes beyond as often as the last ones there found room.
        let job = self.jobs.get(&id)?;
        if self.now == job.arrived {
            // A full group is half a sign that all are full.
            let full = if among_group.is_none() { 0.5 } else { 0.0 };
            self.crowded += (full - self.crowded) * 0.1;
        }
        let patient = self.now < job.arrived + job.start_by.saturating_sub(job.arrived) / 2;
        let stay = patient || rendezvous_weight(id.0, 0) > (1.0 - self.crowded).powi(2).max(0.02);
        let grouped = self.set.load_reporting == LoadReporting::Inline && !self.group.is_empty();
        if among_group.is_none() && (cut_off || grouped && !tied && stay) {
            return None;
        }
        among_group.or_else(|| self.pick_among(id, false))
    }

    fn pick_among(&mut self, id: RequestId, near: bool) -> Option<usize> {
        let job = self.jobs.get(&id)?;
        let c = job.request.class.0;
        self.nets[c].solve();
        let run = self.learned[c].run;
        let cross = CROSS * self.set.costs.cross_zone * self.mean_worth / self.worth(c).max(1e-9);
        // A request of little worth leaves room to those of more: it may fill only a part of the slots.
        let room = 1.0 - RESERVE * (1.0 - self.value(job) / self.mean_value.max(1e-9)).max(0.0);
        let reach = self.reach(job);
        let exploring = reach >= 1.0 && self.rng.0.f64() < EXPLORE;
        // The first by rank is always in reach: of a few workers none may lean far enough, and the job would
        // wait though all are idle.
        let ranked = self.nets[c].neurons.iter().filter(|n| reach < 1.0 && self.usable(job, n.worker, near));
        let first = ranked.map(|n| self.lean(job, n.worker)).fold(0.0, f64::max);
        let reach = if reach < 1.0 { reach.max(1.0 - first) } else { reach };
        let (mut best, mut explored) = (Best::default(), Best::default());
        for n in self.nets[c].neurons.iter() {
            let w = n.worker;
            if near && self.near.get(w) != Some(&true) {
                continue;
            }
            let known = &self.workers[w];
            if 1.0 - self.lean(job, w) > reach || !self.usable(job, w, near) {
                continue;
            }
            let Some(mut in_way) = self.in_way(known, run, job.request.slots, room) else {
                continue;
            };
            // Where no report tells of queues, the waits met in a zone stand for them: a zone with too few
            // workers for its clients would else be kept full to the last while others have room.
            if self.slots(known).is_none() {
                in_way += (self.zone_wait(known.entry.zone.0) - self.mean_run).max(0.0) / run;
            }
            if self.by_starts() {
                in_way += known.estimator.expected_wait(self.now) / run;
            }
            let silent = known.silent(self.now) / (SILENCE * self.mean_run).max(1.0);
            let failures = known.failures.value_at(self.now, FORGET) + silent * silent;
            let far = known.entry.zone != self.set.own_zone;
            if far {
                in_way += cross;
            }
            // Squared: one failure may be chance, while a row of them outweighs any load at the others.
            let score = n.q / ((1.0 + in_way) * (1.0 + 3.0 * failures * failures));
            best.offer(w, score, &mut self.rng);
            if exploring && failures < 0.1 && !(far && self.set.costs.cross_zone > 0.0) {
                explored.offer(w, 1.0, &mut self.rng);
            }
        }
        explored.at.or(best.at)
    }

    /// Whether a worker may have the job, as far as rules and its state go; room there is another matter.
    fn usable(&self, job: &Job, w: usize, near: bool) -> bool {
        let known = &self.workers[w];
        // Among the few that drop its repeats the one whose connection broke is as good as any.
        let again = |a: &Attempt| a.outcome == Some(Outcome::Reset) && self.repeat(job) != Repeat::Anywhere;
        (known.near || !near)
            && known.full_until <= self.now
            && self.repeat(job).allows(&known.entry)
            && job.attempts.iter().all(|a| a.worker != w || again(a))
            && self.in_time(job, known)
            && self
                .cold_cost(w, job.request.class.0, job.request.slots)
                .is_none_or(|(_, credit)| credit >= 0.0)
    }

    /// How much a job belongs to a worker for its key; all the same without one.
    fn lean(&self, job: &Job, w: usize) -> f64 {
        job.request.affinity_key.map_or(1.0, |k| rendezvous_weight(k.0, self.workers[w].entry.id.0))
    }

    /// The part of the workers that a job may go to for its key: about one of all zones at first, all in the
    /// end. A worker that has a key's data at hand saves fetching it; workers that keep few keep them longer.
    fn reach(&self, job: &Job) -> f64 {
        let slack = job.start_by.saturating_sub(job.arrived) as f64 * HOME_WAIT;
        let left = 1.0 - self.now.saturating_sub(job.arrived) as f64 / slack.max(1.0);
        let all = self.nets[job.request.class.0].neurons.len() as f64;
        if job.request.affinity_key.is_none() || left <= 0.0 {
            1.0
        } else {
            (HOMES / all.max(HOMES)).powf(left)
        }
    }

    /// What stands in the way of a job on a worker, in its own running times. None: no room there.
    fn in_way(&self, known: &Known, run: f64, need: f64, room: f64) -> Option<f64> {
        let Some(mut slots) = self.slots(known) else { return Some(known.own + self.others(known)) };
        slots *= self.warmth(&known.entry, self.now);
        let load = known.own + self.others(known);
        // A large job seldom finds all its slots free. Where a queue is served in order it may wait at
        // the worker for the rest of them; where smaller jobs pass it, it would wait for long.
        let first = if self.set.queue_order == QueueOrder::Backfill { need.min(slots) } else { 1.0 };
        // What others hold that are not heard is a guess by old reports: it ranks, and the part is the bound.
        let held = if self.cut_off() { known.own } else { load };
        if held + first > room * slots && load > 0.0 {
            return None;
        }
        let over = (load + need - slots).max(0.0);
        Some(load / slots * 0.5 + WAIT * over / slots * (self.mean_run / run).max(1.0))
    }

    /// Whether a job sent to a worker now likely ends within its aim there. Only start words and hints tell:
    /// where answers tell of room, or without a hint, a worker with room does. One that may have run has few
    /// workers left, and can't be refused: it needs no margin.
    fn in_time(&self, job: &Job, known: &Known) -> bool {
        if !self.by_starts() || job.request.expected_work.is_none() {
            return true;
        }
        let margin = if job.may_have_run().next().is_some() { 0.0 } else { MARGIN };
        let margin = margin * self.set.classes[job.request.class.0].latency_objective as f64;
        let work = job.work / self.warmth(&known.entry, self.now);
        let like = self.kind_pace.get(known.entry.kind.0).copied().unwrap_or(0.0);
        let end = known.estimator.expected_end(
            self.now,
            work,
            like,
            job.request.affinity_key,
            self.fetch,
            self.mean_run * AHEAD,
        );
        end + margin < job.aim_by as f64
    }

    /// Whether no report has told of any worker's room, and none comes by itself.
    fn blind(&self) -> bool {
        self.set.load_reporting != LoadReporting::Inline && self.kind_slots.iter().all(|&s| s == 0.0)
    }

    /// Whether queues are known by the words of jobs that start, and not by what answers report.
    fn by_starts(&self) -> bool {
        self.set.job_starts_reported && self.set.load_reporting != LoadReporting::Inline
    }

    fn zone_wait(&self, zone: usize) -> f64 {
        self.waits.get(zone).map_or(0.0, |w| w.value_at(self.now, FORGET))
    }

    fn waited(&mut self, zone: ZoneId, wait: f64) {
        let mean = self.zone_wait(zone.0) * 0.95 + wait * 0.05;
        self.waits.get_mut(zone.0).into_iter().for_each(|w| w.set(self.now, mean));
    }

    /// Whether the others of the group cannot be heard, or are not there any more.
    fn cut_off(&self) -> bool {
        !self.group.is_empty() && self.group_traffic.is_silent(self.now)
    }

    /// Whether a job fits into the part of its group's slots that is surely this dispatcher's.
    fn in_part(&self, need: f64) -> bool {
        let near = self.workers.iter().filter(|k| k.near && k.listed);
        let slots = |k| self.slots(k).unwrap_or(1.0) * self.warmth(&k.entry, self.now);
        let (own, all) = near.fold((0.0, 0.0), |(own, all), k| (own + k.own, all + slots(k)));
        own + need / 2.0 <= self.group_traffic.own_slots(self.now, all)
    }

    /// Whether all that is sent to the workers is sent here or told by peers: reports, late and noisy, then
    /// have nothing to add on what is held there.
    fn all_told(&self) -> bool {
        !self.cut_off()
            && self.set.load_reporting != LoadReporting::OnProbe
            && self.group.len() + 1 >= self.set.dispatcher_count as usize
    }

    /// What others hold on a worker, by reports or peers. News age: what others hold turns over in a
    /// job's time, and a worker that looks full and is left alone would send no further report. So it
    /// goes to the mean of all, short of full.
    fn others(&self, known: &Known) -> f64 {
        let told: f64 = known.told.iter().map(|t| t.slots.value_at(self.now, LOST)).sum();
        if self.all_told() || known.near && !self.group.is_empty() && !self.cut_off() {
            return told;
        }
        let slots = self.slots(known).unwrap_or(0.0) * self.warmth(&known.entry, self.now);
        let first = self.learned.first().map_or(0.0, |l| l.run);
        let run = if self.mean_run > 0.0 { self.mean_run } else { first };
        known.others_seen(self.now, self.others_part.min(0.8) * slots, 4.0 * run).max(told)
    }

    fn slots(&self, known: &Known) -> Option<f64> {
        let of_kind = self.kind_slots.get(known.entry.kind.0).copied().filter(|&s| s > 0.0);
        known.slots.or(of_kind)
    }

    fn warmth(&self, entry: &Worker, at: Nanos) -> f64 {
        cold_start::warmth(&self.set.obligations, entry.started_at, at)
    }

    /// What a job is charged on a cold worker, and the credit there. All dispatchers together must stay
    /// below multiple x capacity x window in every window, each knowing its own sends alone: each gets
    /// an equal part of the rate, out of step with the others. None: it is warm.
    fn cold_cost(&self, w: usize, class: usize, slots: f64) -> Option<(f64, f64)> {
        let known = &self.workers[w];
        let warmth = self.warmth(&known.entry, self.now);
        if warmth >= 1.0 {
            return None;
        }
        let capacity = self.slots(known).unwrap_or(1.0).max(1.0);
        let before = self.warmth(&known.entry, known.cold_at);
        let budget = cold_start::ColdStartBudget::new(&self.set.obligations, capacity, before, warmth);
        let charge = budget.charge(self.learned[class].run * slots.max(1.0)) * self.learned[class].caution();
        let Some(sharers) = cold_start::budget_sharers(&self.set, known.entry.id, GROUP) else {
            return Some((charge, f64::NEG_INFINITY));
        };
        let waited = self.now.saturating_sub(known.cold_at) as f64 * budget.rate / sharers as f64;
        Some((charge, (known.cold_credit + waited - known.cold_phase * charge).min(0.0)))
    }

    /// Where a request may go again, by what its attempts may have done.
    fn repeat(&self, job: &Job) -> Repeat {
        let class = &self.set.classes[job.request.class.0];
        let Some(first) = job.may_have_run().next() else { return Repeat::Anywhere };
        match class.idempotency {
            Idempotency::Idempotent => Repeat::Anywhere,
            Idempotency::AtMostOnce => Repeat::Never,
            // The window is counted to the send; a few ticks are kept for the way.
            Idempotency::Deduplicated(_)
                if self.now + 4 * self.set.tick >= first.sent + class.dedup_window =>
            {
                Repeat::Never
            }
            Idempotency::Deduplicated(DedupScope::All) => Repeat::Anywhere,
            Idempotency::Deduplicated(DedupScope::Zone) => Repeat::Zone(first.zone),
            Idempotency::Deduplicated(DedupScope::Cell) => Repeat::Cell(first.cell),
        }
    }

    fn worth(&self, class: usize) -> f64 {
        self.set.classes[class].worth * if self.set.worth_by_work { self.learned[class].run } else { 1.0 }
    }

    // ---- what comes back

    fn note(&mut self, id: RequestId, attempt: u32, note: JobProgress) {
        let job = self.jobs.get_mut(&id);
        let Some(a) = job.and_then(|j| j.attempts.get_mut(attempt as usize)) else { return };
        self.workers[a.worker].heard = self.now;
        if note == JobProgress::Started && a.started.is_none() {
            self.workers[a.worker].estimator.record_started(id, attempt, self.now);
            a.started = Some(self.now);
            let (zone, wait) = (a.zone, self.now.saturating_sub(a.sent));
            if !self.workers[a.worker].near {
                self.crowded += (f64::from(u8::from(wait as f64 > self.mean_run / 8.0)) - self.crowded) * 0.3;
            }
            self.waited(zone, wait as f64);
        }
    }

    fn report(&mut self, w: usize, report: &LoadReport) {
        let (told, need) = (self.all_told(), (self.mean_need, self.most_need));
        let of_kind = self.kind_slots.get_mut(self.workers[w].entry.kind.0);
        let part = self.workers[w].take_in(self.now, &report.valid_values(), &self.set, need, of_kind, told);
        part.into_iter().for_each(|part| self.others_part += (part - self.others_part) * 0.02);
    }

    fn outcome(&mut self, id: RequestId, attempt: u32, ended: AttemptResult, out: &mut Vec<Action>) {
        let blind = self.blind();
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(ended.outcome);
        let (w, started, sent, zone) = (a.worker, a.started, a.sent, a.zone);
        let fulls = job.attempts.iter().filter(|a| a.outcome == Some(Outcome::Full)).count() as Nanos;
        let (class, slots) = (job.request.class.0, job.request.slots);
        let known = &mut self.workers[w];
        known.age(self.now, self.mean_run);
        let silent = known.silent(self.now) > SILENCE * self.mean_run;
        known.attempts = known.attempts.saturating_sub(1);
        known.own = (known.own - slots).max(0.0);
        job.answered |= ended.request_finished;
        let extra = known.estimator.record_ended(id, attempt, self.now, ended.outcome == Outcome::Served);
        self.fetch += (extra.unwrap_or(self.fetch) - self.fetch) * 0.1;
        let pace = self.kind_pace.get_mut(known.entry.kind.0);
        pace.into_iter()
            .for_each(|pace| update_mean(pace, known.estimator.run_time_per_work(self.now, *pace), 0.1));
        let learned = &mut self.learned[class];
        match ended.outcome {
            Outcome::Served => {
                known.heard = self.now;
                let waited = started.map_or(0, |s| s.saturating_sub(sent));
                let run = ended.latency.saturating_sub(waited).max(1) as f64;
                learned.ran(run);
                update_mean(&mut self.mean_run, run, 0.02);
                known.failures.set(self.now, known.failures.value_at(self.now, FORGET) * FORGIVE);
                self.nets[class].learn(w, ended.latency as f64);
            }
            // What has been out there in vain is the only sign that a silent worker gives.
            Outcome::Cancelled if silent => known.failed(self.now, FORGET),
            Outcome::Cancelled | Outcome::NotSent => {}
            // A sign of life, and no word on how the worker does.
            Outcome::Rejected => known.heard = self.now,
            Outcome::Full => {
                let fulls = if blind { fulls } else { 0 };
                job.not_before = self.now + (self.rng.0.f64() * self.mean_run / 8.0) as Nanos * fulls;
                known.full_until = self.now + (self.mean_run / 4.0) as Nanos;
                self.nets[class].learn(w, LONG * learned.run);
            }
            Outcome::Error | Outcome::Timeout | Outcome::NoConnection | Outcome::Reset => {
                known.failed(self.now, FORGET);
                self.nets[class].learn(w, LONG * learned.run);
            }
        }
        if known.attempts == 0 && self.set.costs.handshake == 0.0 && std::mem::take(&mut known.peak) > 1 {
            // Idle connections beyond one crowd the worker's table, and a fuller table takes of its capacity.
            out.push(Action::CloseIdleConnections(known.entry.id));
        }
        if ended.outcome == Outcome::Full {
            self.waited(zone, 2.0 * self.mean_run);
        }
        if let Some(report) = ended.load_report {
            self.report(w, &report);
        }
        let job = &self.jobs[&id];
        if job.answered {
            self.cancel(id, out);
            self.gone(id);
        } else if ended.outcome == Outcome::Rejected {
            // The request's own fault: further workers would only turn it away as well, and look ill for it.
            out.push(Action::Fail(id));
            self.gone(id);
        } else if job.out() == 0 && !self.held.contains(&id) {
            self.held.push(id);
        }
        let failed = matches!(ended.outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset);
        self.tell(w, failed, out);
        self.let_go(w);
        self.serve_held(out);
    }
}

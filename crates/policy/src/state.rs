//! What a dispatcher remembers of workers, requests, classes and tenants. Nothing is decided here.

use crate::api::*;
use crate::cold_start;
use crate::completion_estimator::CompletionEstimator;
use crate::decay::{DecayingValue, decay_factor, lower_median};
use crate::group_assignment::{AssignableWorker, GroupLayout};
use crate::message::SlotUsage;
use serde::{Deserialize, Serialize};

/// Seconds over which a tenant's use is averaged and may run ahead of its share.
const SHARE_SPAN: f64 = 5.0;

/// Part of the time that a class's clients wait which its jobs are taken to run on average, before the first has ended,
const UNSEEN: f64 = 0.0625;
/// and how many jobs this weighs as much as where too low a guess does harm, the less the more have been seen.
const DOUBT: f64 = 2.0;
/// What a further job adds to the mean of its class, at least.
const FURTHER: f64 = 0.03;

/// The group that a worker leans to most, among so many.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Favorite {
    pub(crate) of_groups: usize,
    pub(crate) group: usize,
}

/// What is known of a worker.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub(crate) entry: Worker,
    pub(crate) listed: bool,
    /// It belongs to the part of the zone that this dispatcher's group looks at first.
    pub(crate) near: bool,
    /// The group that it belongs to.
    pub(crate) part: usize,
    /// The group that it leans to most, once it has been dealt to one.
    pub(crate) favorite: Option<Favorite>,
    /// Own attempts out, and the slots that they take.
    pub(crate) attempts: u32,
    /// The most of them at once since idle connections were closed.
    pub(crate) peak: u32,
    pub(crate) own: f64,
    /// Own attempts out on average of late, as of `mean_at`: what a report, already old, has counted.
    pub(crate) own_mean: f64,
    pub(crate) mean_at: Nanos,
    /// What others held there by the reports, and when the last one came.
    pub(crate) others: f64,
    pub(crate) reported: Nanos,
    /// What each peer of the group told that it holds there.
    pub(crate) told: Vec<Told>,
    /// Slots, once reports or notes have shown them.
    pub(crate) slots: Option<f64>,
    pub(crate) failures: DecayingValue,
    /// What its words on starts and ends tell.
    pub(crate) estimator: CompletionEstimator,
    /// When it last gave a sign of life, or got a job while it had none.
    pub(crate) heard: Nanos,
    /// When it last got a job of ours.
    pub(crate) sent: Nanos,
    pub(crate) full_until: Nanos,
    /// Cold budget: what may be sent now if not negative, as of `cold_at`.
    pub(crate) cold_credit: f64,
    pub(crate) cold_at: Nanos,
    pub(crate) cold_phase: f64,
}

impl Known {
    /// As it is dealt out to groups. Its favorite is remembered for as long as there are as many groups.
    pub(crate) fn dealt(&mut self, rules: &Obligations, now: Nanos, tier: GroupLayout) -> AssignableWorker {
        let id = self.entry.id.0;
        let young = cold_start::warmth(rules, self.entry.started_at, now) < 1.0;
        let favorite = match self.favorite {
            Some(favorite) if favorite.of_groups == tier.group_count => favorite.group,
            _ => tier.preferred_group(id),
        };
        self.favorite = Some(Favorite { of_groups: tier.group_count, group: favorite });
        AssignableWorker { id, cold: young, preferred_group: favorite }
    }
    /// Its process has started anew, or it is new: cold, out of step with the others, and holding none of what it held.
    pub(crate) fn restarted(&mut self, now: Nanos, phase: f64) {
        (self.others, self.failures, self.full_until) = (0.0, DecayingValue::default(), 0);
        self.told.clear();
        self.estimator.record_restart();
        (self.cold_credit, self.cold_at, self.cold_phase) = (0.0, now, phase);
    }
    /// Brings the mean of own attempts up to now; it forgets within `span`.
    pub(crate) fn age(&mut self, now: Nanos, span: f64) {
        let keep = decay_factor(now.saturating_sub(self.mean_at), span);
        self.own_mean = self.own_mean * keep + self.own * (1.0 - keep);
        self.mean_at = now;
    }
    /// It gets a job of ours that takes so many slots.
    pub(crate) fn sends(&mut self, now: Nanos, span: f64, slots: f64) {
        self.age(now, span);
        if self.attempts == 0 {
            self.heard = now;
        }
        self.attempts += 1;
        self.peak = self.peak.max(self.attempts);
        (self.own, self.sent) = (self.own + slots, now);
    }
    /// How long jobs of ours have been there without a word. A worker that takes jobs and answers none looks
    /// free to every count, and its attempts end only with their clients' patience.
    pub(crate) fn silent(&self, now: Nanos) -> f64 {
        if self.attempts == 0 { 0.0 } else { now.saturating_sub(self.heard) as f64 }
    }

    /// What others hold there by the reports. These age, and what others hold turns over: it goes to `mean` within `span`.
    pub(crate) fn others_seen(&self, now: Nanos, mean: f64, span: f64) -> f64 {
        if self.others == mean {
            return mean;
        }
        mean + (self.others - mean) * decay_factor(now.saturating_sub(self.reported), span)
    }

    /// Takes in a report: the size of the worker and, unless all is `told`, what others hold there; then the part of its
    /// slots that they do. `need`: the slots of a mean job and of the largest.
    pub(crate) fn take_in(
        &mut self,
        now: Nanos,
        report: &LoadReport,
        set: &Settings,
        need: (f64, f64),
        of_kind: Option<&mut f64>,
        told: bool,
    ) -> Option<f64> {
        let free = report.free_slots.filter(|_| set.free_slots_reported);
        if let Some(free) = free.filter(|&f| f > 0.5) {
            self.learn_size(of_kind, free, report.in_flight, need.1);
        }
        let held = report.in_flight.map(|h| h * need.0.max(1.0));
        let full = |k: &Known| Some((k.slots? - free?).max(0.0) + report.queued.unwrap_or(0.0));
        let held = held.or_else(|| full(self)).filter(|_| !told)?;
        let others = self.others_reported(now, held, set.load_reporting == LoadReporting::OnProbe);
        Some(others / self.slots.unwrap_or(others + 1.0).max(1.0))
    }

    /// Takes in a report of the slots held there. A fresh one counts as it is, and has counted what is out now; an old one
    /// has counted what was out of late. What others hold by this one alone.
    pub(crate) fn others_reported(&mut self, now: Nanos, held: f64, fresh: bool) -> f64 {
        let others = (held - if fresh { self.own } else { self.own_mean }).max(0.0);
        self.others += (others - self.others) * if fresh || self.reported == 0 { 1.0 } else { 0.4 };
        self.reported = now;
        others
    }

    /// Learns how many slots it has, and workers of its kind, from a report of its free ones and of the jobs held.
    /// Slots may be free while jobs wait behind one that needs more: only where the largest seen, `most`, would
    /// fit is all that is held in work. A full worker would else look larger the more wait there.
    pub(crate) fn learn_size(&mut self, of_kind: Option<&mut f64>, free: f64, held: Option<f64>, most: f64) {
        let clear = free >= most || held.is_some_and(|h| h <= 1.0);
        let jobs = held.unwrap_or(self.own).max(0.0);
        let slots = free + if clear { jobs } else { jobs.min(1.0) };
        for s in [Some(self.slots.get_or_insert(slots)), of_kind].into_iter().flatten() {
            // Without a count of what is held there, others' jobs hide slots: the most seen is nearest.
            let part = match *s {
                0.0 => 1.0,
                s if slots > s => 0.3,
                _ if !clear => 0.0,
                _ if held.is_some() => 0.03,
                _ => 0.002,
            };
            *s += (slots - *s) * part;
        }
    }

    /// Takes in what a peer says that it holds here, unless a later word has overtaken it. That comes within `late`: not so
    /// long that the turns could have come round.
    pub(crate) fn hear(&mut self, peer: PeerId, holds: SlotUsage, now: Nanos, late: Nanos) {
        let mut slots = DecayingValue::default();
        slots.set(now, holds.slots.into());
        let word = Told { peer, turn: holds.sequence, slots, at: now };
        match self.told.iter_mut().find(|t| t.peer == peer) {
            Some(last) if holds.sequence.wrapping_sub(last.turn) > u16::MAX / 2 && now < last.at + late => {}
            Some(last) => *last = word,
            None => self.told.push(word),
        }
    }

    pub(crate) fn failed(&mut self, now: Nanos, span: f64) {
        self.failures.set(now, self.failures.value_at(now, span) + 1.0);
    }
}

/// A peer's word on what it holds at a worker.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) peer: PeerId,
    pub(crate) turn: u16,
    pub(crate) slots: DecayingValue,
    pub(crate) at: Nanos,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneId,
    heard: Nanos,
    /// Mean time between its words.
    gap: f64,
    silent: bool,
}

impl Peer {
    pub(crate) fn new(zone: ZoneId, now: Nanos) -> Peer {
        Peer { zone, heard: now, gap: 5e8, silent: false }
    }

    /// It has said something.
    pub(crate) fn hear(&mut self, now: Nanos) {
        self.gap += (now.saturating_sub(self.heard) as f64 - self.gap) * 0.1;
        (self.heard, self.silent) = (now, false);
    }

    /// Whether it has come to be silent for so long, by its own measure, that it has likely ended; true once.
    pub(crate) fn falls_silent(&mut self, now: Nanos) -> bool {
        let silent = now.saturating_sub(self.heard) as f64 > 1e9 + 8.0 * self.gap;
        silent && !std::mem::replace(&mut self.silent, true)
    }
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: Nanos,
    pub(crate) started: Option<Nanos>,
    pub(crate) outcome: Option<Outcome>,
}

#[derive(Debug, Default)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    /// Attempts at most, as the settings had it when the job came.
    pub(crate) most: u32,
    /// Not sent again before: full answers in a row mean that the next is likely full too.
    pub(crate) not_before: Nanos,
    /// When its answer is late, by its own work, and that work in nanoseconds on a standard core.
    pub(crate) aim_by: Nanos,
    pub(crate) work: f64,
    /// Latest start that still ends within the aim, as far as the class's mean job goes.
    pub(crate) start_by: Nanos,
    pub(crate) in_share: bool,
    pub(crate) answered: bool,
    /// Workers have been asked for their load on its account.
    pub(crate) asked: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Job {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }
}

/// What has been learned of a class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Learned {
    /// Mean time of running, without waiting.
    pub(crate) run: f64,
    pub(crate) seen: bool,
    /// Jobs that it is the mean of; 0 once it is handed over by a process that did not count.
    #[serde(default)]
    pub(crate) count: u32,
    /// What it may be, before any was seen.
    #[serde(default)]
    pub(crate) most: f64,
    /// The longest wait that a client granted: a shorter one is a later try.
    pub(crate) longest: Nanos,
}

impl Learned {
    /// Nothing yet, but for what the class's aim lets expect.
    pub(crate) fn new(class: &Class) -> Learned {
        let run = (class.latency_objective as f64).max(1e6);
        Learned {
            run,
            seen: false,
            count: 0,
            most: run.max(class.client_timeout as f64 * UNSEEN),
            longest: 0,
        }
    }
    /// Jobs seen. What a process handed over that did not count them is well known.
    fn jobs(&self) -> u32 {
        if self.seen && self.count == 0 { u32::MAX } else { self.count }
    }
    /// Takes in how long a job has run: a plain mean of the first ones, then one that forgets.
    pub(crate) fn ran(&mut self, run: f64) {
        (self.count, self.seen) = (self.jobs().saturating_add(1), true);
        self.run += (run - self.run) * (1.0 / f64::from(self.count)).max(FURTHER);
    }
    /// How many times its mean a job is taken to run where too little would do harm: many dispatchers that have seen no
    /// job, or one short one each, would together send a cold worker far more than it bears.
    pub(crate) fn caution(&self) -> f64 {
        let seen = f64::from(self.jobs());
        let doubt = DOUBT / (1.0 + seen);
        (self.most * doubt / self.run.max(1.0) + seen) / (doubt + seen)
    }
}

/// A tenant's use of its share here: requests a second, and the bucket that its quota fills.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Share {
    pub(crate) used: DecayingValue,
    level: f64,
    at: Nanos,
}

impl Share {
    /// A request at a moment when `used` a second are counted. The bucket fills by `rate` a second, for `span` seconds at
    /// most and a few requests; whether it held one.
    pub(crate) fn take(&mut self, now: Nanos, span: f64, rate: f64, used: f64) -> bool {
        self.used.set(now, used);
        let level = self.level + rate * now.saturating_sub(self.at) as f64 / 1e9;
        let level = level.min(5.0 + span * rate);
        self.level = if level >= 1.0 { level - 1.0 } else { level };
        self.at = now;
        level >= 1.0
    }
}

/// Whether a tenant is within its share, as far as is seen here: a bucket filled by a part of its quota.
/// That part is an equal one, or what the median tenant uses here if that is more: traffic is uneven over
/// the dispatchers, and a busy one would else count honest tenants as over their share.
pub(crate) fn in_share(
    shares: &mut [Share],
    set: &Settings,
    tenant: Option<TenantId>,
    retry: bool,
    now: Nanos,
) -> bool {
    let Some(t) = tenant.map(|t| t.0).filter(|&t| t < shares.len()) else { return true };
    let quota = |t: usize| set.tenants[t].quota_per_s.max(1e-9);
    let here = |t: usize| shares[t].used.value_at(now, SHARE_SPAN * 1e9);
    let used = (0..shares.len()).map(|t| here(t) / quota(t)).collect();
    let part = lower_median(used).max(1.0 / f64::from(set.dispatcher_count.max(1)));
    let (rate, own) = (part * quota(t), here(t));
    shares[t].take(now, SHARE_SPAN, rate, if retry { own } else { own + 1.0 / SHARE_SPAN })
}

/// Random numbers from the seed of the instance alone.
#[derive(Debug)]
pub(crate) struct Random(pub(crate) fastrand::Rng);

impl Default for Random {
    fn default() -> Self {
        Random(fastrand::Rng::with_seed(0))
    }
}

/// The highest of several scores above 0; a fair one among equals.
#[derive(Debug, Default)]
pub(crate) struct Best {
    score: f64,
    pub(crate) at: Option<usize>,
    equals: f64,
}

impl Best {
    /// One more.
    pub(crate) fn offer(&mut self, at: usize, score: f64, rng: &mut Random) {
        if score > self.score {
            (self.score, self.at, self.equals) = (score, Some(at), 1.0);
        } else if score == self.score {
            self.equals += 1.0;
            if rng.0.f64() * self.equals < 1.0 {
                self.at = Some(at);
            }
        }
    }
}

/// Where a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Repeat {
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
    Never,
}

impl Repeat {
    /// Whether the worker is in the part of the fleet that it names.
    pub(crate) fn allows(self, worker: &Worker) -> bool {
        match self {
            Repeat::Anywhere => true,
            Repeat::Zone(zone) => worker.zone == zone,
            Repeat::Cell(cell) => worker.cell == cell,
            Repeat::Never => false,
        }
    }
}

//! What a dispatcher knows, carried over: to the process that takes its place, and from old settings to new ones.
//! Nothing is decided here.

use super::Dispatcher;
use crate::api::*;
use crate::decay::DecayingValue;
use crate::network::Network;
use crate::state::{Learned, Share, Told};
use serde::{Deserialize, Serialize};

/// What was learned, without requests. Classes, tenants, kinds and zones stand in the order of the settings it was
/// learned under.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    classes: Vec<Option<OfClass>>,
    tenants: Vec<Option<Share>>,
    kinds: Vec<Option<f64>>,
    zones: Vec<Option<DecayingValue>>,
    workers: Vec<OfWorker>,
    turn: u16,
    mean_run: f64,
    mean_worth: f64,
    mean_need: f64,
    most_need: f64,
    mean_value: f64,
    others_part: f64,
    crowded: f64,
}

/// A class's network and figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OfClass {
    learned: Learned,
    plus_all: f64,
    minus_all: f64,
    threshold: Option<f64>,
    /// Worker, plus, minus, q.
    neurons: Vec<(u64, f64, f64, f64)>,
}

/// What is known of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OfWorker {
    id: u64,
    started: Nanos,
    slots: Option<f64>,
    others: f64,
    reported: Nanos,
    failures: DecayingValue,
    full_until: Nanos,
    cold_credit: f64,
    cold_at: Nanos,
    cold_phase: f64,
    /// Peer, turn, slots, since.
    told: Vec<(u32, u16, DecayingValue, Nanos)>,
}

fn arrange<T: Clone>(all: &mut Vec<Option<T>>, from: &[Option<usize>]) {
    *all = from.iter().map(|at| at.and_then(|at| all.get(at).cloned().flatten())).collect();
}

/// For each name of the first list, its place in the second.
fn places(names: &[String], among: &[String]) -> Vec<Option<usize>> {
    names.iter().map(|name| among.iter().position(|other| other == name)).collect()
}

impl LearnedState {
    /// The same in the order of other settings: classes, tenants, kinds and zones are known by their names.
    pub fn remapped(
        mut self,
        old: &crate::raw_settings::SettingNames,
        new: &crate::raw_settings::SettingNames,
    ) -> LearnedState {
        arrange(&mut self.classes, &places(&new.classes, &old.classes));
        arrange(&mut self.tenants, &places(&new.tenants, &old.tenants));
        arrange(&mut self.kinds, &places(&new.kinds, &old.kinds));
        arrange(&mut self.zones, &places(&new.zones, &old.zones));
        self
    }

    /// The same with each worker's start replaced by what `start` makes of its id and that start.
    pub fn with_start_times(mut self, start: impl Fn(WorkerId, Nanos) -> Nanos) -> LearnedState {
        for worker in &mut self.workers {
            worker.started = start(WorkerId(worker.id), worker.started);
        }
        self
    }

    /// The latest time at which any of it is known to have happened; 0 if none is.
    pub fn latest_event(&self) -> Nanos {
        let of_worker = |worker: &OfWorker| {
            let peers = worker.told.iter().map(|told| told.3).max().unwrap_or(0);
            peers.max(worker.reported).max(worker.cold_at)
        };
        self.workers.iter().map(of_worker).max().unwrap_or(0)
    }
}

impl Dispatcher {
    /// All that is worth carrying over.
    pub fn learned_state(&self) -> LearnedState {
        let id = |w: usize| self.workers[w].entry.id.0;
        let of_class = |(net, learned): (&Network, &Learned)| {
            let neurons =
                net.neurons.iter().map(|n| (id(n.worker), n.excitation, n.inhibition, n.q)).collect();
            let (plus_all, minus_all, threshold) =
                (net.shared_excitation, net.shared_inhibition, net.threshold);
            Some(OfClass { learned: learned.clone(), plus_all, minus_all, threshold, neurons })
        };
        let of_worker = |k: &crate::state::Known| OfWorker {
            id: k.entry.id.0,
            started: k.entry.started_at,
            slots: k.slots,
            others: k.others,
            reported: k.reported,
            failures: k.failures,
            full_until: k.full_until,
            cold_credit: k.cold_credit,
            cold_at: k.cold_at,
            cold_phase: k.cold_phase,
            told: k.told.iter().map(|t| (t.peer.0, t.turn, t.slots, t.at)).collect(),
        };
        LearnedState {
            classes: self.nets.iter().zip(&self.learned).map(of_class).collect(),
            tenants: self.share.iter().cloned().map(Some).collect(),
            kinds: self.kind_slots.iter().copied().map(Some).collect(),
            zones: self.waits.iter().copied().map(Some).collect(),
            workers: self.workers.iter().filter(|k| k.listed).map(of_worker).collect(),
            turn: self.turn,
            mean_run: self.mean_run,
            mean_worth: self.mean_worth,
            mean_need: self.mean_need,
            most_need: self.most_need,
            mean_value: self.mean_value,
            others_part: self.others_part,
            crowded: self.crowded,
        }
    }

    /// Takes over what another dispatcher had learned, in the order of this one's settings, for the workers that are
    /// listed here.
    pub fn restore(&mut self, carried: LearnedState) {
        for (c, of_class) in carried.classes.into_iter().enumerate().take(self.nets.len()) {
            let Some(of_class) = of_class else { continue };
            self.learned[c] = of_class.learned;
            let net = &mut self.nets[c];
            (net.shared_excitation, net.shared_inhibition, net.threshold, net.stale) =
                (of_class.plus_all, of_class.minus_all, of_class.threshold, true);
            let by_id: rustc_hash::FxHashMap<u64, (f64, f64, f64)> =
                of_class.neurons.into_iter().map(|(id, plus, minus, q)| (id, (plus, minus, q))).collect();
            for n in net.neurons.iter_mut() {
                if let Some(known) = by_id.get(&self.workers[n.worker].entry.id.0) {
                    (n.excitation, n.inhibition, n.q) = *known;
                }
            }
        }
        let fill = |own: &mut [f64], from: Vec<Option<f64>>| {
            own.iter_mut().zip(from).for_each(|(own, from)| *own = from.unwrap_or(*own));
        };
        fill(&mut self.kind_slots, carried.kinds);
        self.share.iter_mut().zip(carried.tenants).for_each(|(own, from)| *own = from.unwrap_or_default());
        self.waits.iter_mut().zip(carried.zones).for_each(|(own, from)| *own = from.unwrap_or_default());
        for of_worker in carried.workers {
            let Some(&w) = self.index.get(&WorkerId(of_worker.id)) else { continue };
            let known = &mut self.workers[w];
            // One that has started anew since is cold and holds none of what it held.
            if known.entry.started_at != of_worker.started {
                continue;
            }
            (known.slots, known.others, known.reported) =
                (of_worker.slots, of_worker.others, of_worker.reported);
            (known.failures, known.full_until) = (of_worker.failures, of_worker.full_until);
            (known.cold_credit, known.cold_at, known.cold_phase) =
                (of_worker.cold_credit, of_worker.cold_at, of_worker.cold_phase);
            let told = of_worker.told.into_iter();
            known.told =
                told.map(|(peer, turn, slots, at)| Told { peer: PeerId(peer), turn, slots, at }).collect();
        }
        self.turn = carried.turn;
        (self.mean_run, self.mean_worth, self.mean_need) =
            (carried.mean_run, carried.mean_worth, carried.mean_need);
        (self.most_need, self.mean_value) = (carried.most_need, carried.mean_value);
        (self.others_part, self.crowded) = (carried.others_part, carried.crowded);
    }

    /// New settings. A class that is kept keeps all that was learned of it; so does one that has changed, under a
    /// number of its own, while requests of the old one go on by the old one's rules.
    pub(super) fn retune(&mut self, settings: Settings, starts: &[ClassOrigin]) {
        let (nets, learned) = (std::mem::take(&mut self.nets), std::mem::take(&mut self.learned));
        for (c, class) in settings.classes.iter().enumerate() {
            let fresh = || (Network::default(), Learned::new(class));
            let of = |c: usize| Some((nets.get(c)?.clone(), learned.get(c)?.clone()));
            let (mut net, learned) = match starts.get(c) {
                Some(ClassOrigin::LearnedFrom(from)) => of(from.0).unwrap_or_else(fresh),
                Some(ClassOrigin::New) => fresh(),
                _ => of(c).unwrap_or_else(fresh),
            };
            for (w, known) in self.workers.iter().enumerate().filter(|k| k.1.listed) {
                if class.kind.is_none_or(|kind| kind == known.entry.kind) {
                    net.join(w, known.entry.kind);
                } else {
                    net.leave(w);
                }
            }
            self.nets.push(net);
            self.learned.push(learned);
        }
        self.kind_slots.resize(settings.kind_count, 0.0);
        self.share.resize(settings.tenants.len(), Share::default());
        self.waits.resize(settings.zone_count, DecayingValue::default());
        self.set = settings;
        self.regroup = true;
    }
}

//! The learned state of a dispatcher, as it is passed to the next process and kept when the settings change.

use super::Dispatcher;
use crate::api::*;
use crate::decay::DecayingValue;
use crate::network::Network;
use crate::state::{ClassEstimate, PeerUsage, TenantUsage};
use serde::{Deserialize, Serialize};

/// What a dispatcher has learned, without its requests. Classes, tenants, kinds and zones are in the order of
/// its settings; one without learned state is `None`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedState {
    classes: Vec<Option<LearnedClass>>,
    tenants: Vec<Option<TenantUsage>>,
    /// Slots of a worker by kind.
    kinds: Vec<Option<f64>>,
    /// Mean waits by zone.
    zones: Vec<Option<DecayingValue>>,
    workers: Vec<LearnedWorker>,
    #[serde(rename = "turn")]
    sequence: u16,
    #[serde(rename = "mean_run")]
    mean_run_time: f64,
    mean_worth: f64,
    #[serde(rename = "mean_need")]
    mean_slots: f64,
    #[serde(rename = "most_need")]
    max_slots: f64,
    #[serde(rename = "mean_value")]
    mean_worth_density: f64,
    #[serde(rename = "others_part")]
    others_slot_share: f64,
    #[serde(rename = "crowded")]
    outside_wait_rate: f64,
}

/// The estimate and the network of a class.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LearnedClass {
    #[serde(rename = "learned")]
    estimate: ClassEstimate,
    #[serde(rename = "plus_all")]
    shared_excitation: f64,
    #[serde(rename = "minus_all")]
    shared_inhibition: f64,
    threshold: Option<f64>,
    /// Worker, excitation, inhibition, q.
    neurons: Vec<(u64, f64, f64, f64)>,
}

/// The state of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct LearnedWorker {
    id: u64,
    #[serde(rename = "started")]
    started_at: Nanos,
    slots: Option<f64>,
    #[serde(rename = "others")]
    others_slots: f64,
    #[serde(rename = "reported")]
    reported_at: Nanos,
    failures: DecayingValue,
    full_until: Nanos,
    cold_credit: f64,
    #[serde(rename = "cold_at")]
    cold_updated_at: Nanos,
    cold_phase: f64,
    /// Peer, sequence, slots, time of receipt.
    #[serde(rename = "told")]
    peer_usage: Vec<(u32, u16, DecayingValue, Nanos)>,
}

/// Replaces each value by the one at its old index; `None` if there is none.
fn reorder<T: Clone>(values: &mut Vec<Option<T>>, old_indexes: &[Option<usize>]) {
    *values = old_indexes
        .iter()
        .map(|index| index.and_then(|index| values.get(index).cloned().flatten()))
        .collect();
}

/// Returns the index in `old` of each name in `new`.
fn old_indexes(new: &[String], old: &[String]) -> Vec<Option<usize>> {
    new.iter().map(|name| old.iter().position(|other| other == name)).collect()
}

impl LearnedState {
    /// Reorders classes, tenants, kinds and zones by their names, from the order of old settings to that of
    /// new ones.
    pub fn remapped(
        mut self,
        old: &crate::raw_settings::SettingNames,
        new: &crate::raw_settings::SettingNames,
    ) -> LearnedState {
        reorder(&mut self.classes, &old_indexes(&new.classes, &old.classes));
        reorder(&mut self.tenants, &old_indexes(&new.tenants, &old.tenants));
        reorder(&mut self.kinds, &old_indexes(&new.kinds, &old.kinds));
        reorder(&mut self.zones, &old_indexes(&new.zones, &old.zones));
        self
    }

    /// Replaces each worker's start time by the result of `start_time` for its id and that time.
    pub fn with_start_times(mut self, start_time: impl Fn(WorkerId, Nanos) -> Nanos) -> LearnedState {
        for worker in &mut self.workers {
            worker.started_at = start_time(WorkerId(worker.id), worker.started_at);
        }
        self
    }

    /// Returns the time of the latest event that the state reflects; 0 if no time is known.
    pub fn latest_event(&self) -> Nanos {
        let latest_of_worker = |worker: &LearnedWorker| {
            let latest_message = worker.peer_usage.iter().map(|usage| usage.3).max().unwrap_or(0);
            latest_message.max(worker.reported_at).max(worker.cold_updated_at)
        };
        self.workers.iter().map(latest_of_worker).max().unwrap_or(0)
    }
}

impl Dispatcher {
    /// Returns a copy of the learned state.
    pub fn learned_state(&self) -> LearnedState {
        let id = |w: usize| self.workers[w].entry.id.0;
        let learned_class = |(network, estimate): (&Network, &ClassEstimate)| {
            let neurons =
                network.neurons.iter().map(|n| (id(n.worker), n.excitation, n.inhibition, n.q)).collect();
            let (shared_excitation, shared_inhibition, threshold) =
                (network.shared_excitation, network.shared_inhibition, network.threshold);
            Some(LearnedClass {
                estimate: estimate.clone(),
                shared_excitation,
                shared_inhibition,
                threshold,
                neurons,
            })
        };
        let learned_worker = |worker: &crate::state::WorkerRecord| LearnedWorker {
            id: worker.entry.id.0,
            started_at: worker.entry.started_at,
            slots: worker.slots,
            others_slots: worker.others_slots,
            reported_at: worker.reported_at,
            failures: worker.failures,
            full_until: worker.full_until,
            cold_credit: worker.cold_credit,
            cold_updated_at: worker.cold_updated_at,
            cold_phase: worker.cold_phase,
            peer_usage: worker
                .peer_usage
                .iter()
                .map(|u| (u.peer.0, u.sequence, u.slots, u.received_at))
                .collect(),
        };
        LearnedState {
            classes: self.networks.iter().zip(&self.class_estimates).map(learned_class).collect(),
            tenants: self.tenant_usage.iter().cloned().map(Some).collect(),
            kinds: self.kind_slots.iter().copied().map(Some).collect(),
            zones: self.zone_waits.iter().copied().map(Some).collect(),
            workers: self.workers.iter().filter(|worker| worker.listed).map(learned_worker).collect(),
            sequence: self.sequence,
            mean_run_time: self.mean_run_time,
            mean_worth: self.mean_worth,
            mean_slots: self.mean_slots,
            max_slots: self.max_slots,
            mean_worth_density: self.mean_worth_density,
            others_slot_share: self.others_slot_share,
            outside_wait_rate: self.outside_wait_rate,
        }
    }

    /// Restores learned state, which must be in the order of this dispatcher's settings. State of workers
    /// that are not listed here is dropped.
    pub fn restore(&mut self, learned: LearnedState) {
        for (c, learned_class) in learned.classes.into_iter().enumerate().take(self.networks.len()) {
            let Some(learned_class) = learned_class else { continue };
            self.class_estimates[c] = learned_class.estimate;
            let network = &mut self.networks[c];
            (network.shared_excitation, network.shared_inhibition, network.threshold, network.stale) = (
                learned_class.shared_excitation,
                learned_class.shared_inhibition,
                learned_class.threshold,
                true,
            );
            let by_id: rustc_hash::FxHashMap<u64, (f64, f64, f64)> = learned_class
                .neurons
                .into_iter()
                .map(|(id, excitation, inhibition, q)| (id, (excitation, inhibition, q)))
                .collect();
            for n in network.neurons.iter_mut() {
                if let Some(values) = by_id.get(&self.workers[n.worker].entry.id.0) {
                    (n.excitation, n.inhibition, n.q) = *values;
                }
            }
        }
        let restore_values = |own: &mut [f64], learned: Vec<Option<f64>>| {
            own.iter_mut().zip(learned).for_each(|(own, learned)| *own = learned.unwrap_or(*own));
        };
        restore_values(&mut self.kind_slots, learned.kinds);
        self.tenant_usage
            .iter_mut()
            .zip(learned.tenants)
            .for_each(|(own, learned)| *own = learned.unwrap_or_default());
        self.zone_waits
            .iter_mut()
            .zip(learned.zones)
            .for_each(|(own, learned)| *own = learned.unwrap_or_default());
        for learned_worker in learned.workers {
            let Some(&w) = self.worker_indexes.get(&WorkerId(learned_worker.id)) else { continue };
            let worker = &mut self.workers[w];
            // After a restart the worker is cold, and the state of its old process no longer applies.
            if worker.entry.started_at != learned_worker.started_at {
                continue;
            }
            (worker.slots, worker.others_slots, worker.reported_at) =
                (learned_worker.slots, learned_worker.others_slots, learned_worker.reported_at);
            (worker.failures, worker.full_until) = (learned_worker.failures, learned_worker.full_until);
            (worker.cold_credit, worker.cold_updated_at, worker.cold_phase) =
                (learned_worker.cold_credit, learned_worker.cold_updated_at, learned_worker.cold_phase);
            let peer_usage = learned_worker.peer_usage.into_iter();
            worker.peer_usage = peer_usage
                .map(|(peer, sequence, slots, received_at)| PeerUsage {
                    peer: PeerId(peer),
                    sequence,
                    slots,
                    received_at,
                })
                .collect();
        }
        self.sequence = learned.sequence;
        (self.mean_run_time, self.mean_worth, self.mean_slots) =
            (learned.mean_run_time, learned.mean_worth, learned.mean_slots);
        (self.max_slots, self.mean_worth_density) = (learned.max_slots, learned.mean_worth_density);
        (self.others_slot_share, self.outside_wait_rate) =
            (learned.others_slot_share, learned.outside_wait_rate);
    }

    /// Puts new settings in force. Unchanged and changed classes keep their learned state; a class that
    /// changed while requests are open has a new number, and those requests keep the old class.
    pub(super) fn apply_settings(&mut self, settings: Settings, origins: &[ClassOrigin]) {
        let (networks, estimates) =
            (std::mem::take(&mut self.networks), std::mem::take(&mut self.class_estimates));
        for (c, class) in settings.classes.iter().enumerate() {
            let new = || (Network::default(), ClassEstimate::new(class));
            let learned_of = |c: usize| Some((networks.get(c)?.clone(), estimates.get(c)?.clone()));
            let (mut network, estimate) = match origins.get(c) {
                Some(ClassOrigin::LearnedFrom(from)) => learned_of(from.0).unwrap_or_else(new),
                Some(ClassOrigin::New) => new(),
                _ => learned_of(c).unwrap_or_else(new),
            };
            for (w, worker) in self.workers.iter().enumerate().filter(|worker| worker.1.listed) {
                if class.kind.is_none_or(|kind| kind == worker.entry.kind) {
                    network.join(w, worker.entry.kind);
                } else {
                    network.leave(w);
                }
            }
            self.networks.push(network);
            self.class_estimates.push(estimate);
        }
        self.kind_slots.resize(settings.kind_count, 0.0);
        self.tenant_usage.resize(settings.tenants.len(), TenantUsage::default());
        self.zone_waits.resize(settings.zone_count, DecayingValue::default());
        self.settings = settings;
        self.groups_outdated = true;
    }
}

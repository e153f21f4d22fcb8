//! The neurons of a network, and the initial values of a neuron that joins.

use crate::api::KindId;
use rustc_hash::FxHashMap;
use std::ops::{Deref, DerefMut};

/// The weights and the excitation probability of a neuron, or the means over several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NeuronValues {
    pub(crate) excitation: f64,
    pub(crate) inhibition: f64,
    pub(crate) q: f64,
}

/// Values of the first neuron of a network.
const INITIAL_VALUES: NeuronValues = NeuronValues { excitation: 0.5, inhibition: 0.5, q: 0.5 };

/// The neuron of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Neuron {
    pub(crate) worker: usize,
    pub(crate) kind: KindId,
    pub(crate) excitation: f64,
    pub(crate) inhibition: f64,
    pub(crate) q: f64,
}

/// A sum over neurons in their order, on which a floating-point sum depends.
#[derive(Clone, Copy, Debug, Default)]
struct NeuronSum {
    values: NeuronValues,
    count: f64,
}

impl NeuronSum {
    fn add(&mut self, neuron: &Neuron) {
        self.values.excitation += neuron.excitation;
        self.values.inhibition += neuron.inhibition;
        self.values.q += neuron.q;
        self.count += 1.0;
    }

    fn mean(&self) -> NeuronValues {
        let NeuronValues { excitation, inhibition, q } = self.values;
        NeuronValues {
            excitation: excitation / self.count,
            inhibition: inhibition / self.count,
            q: q / self.count,
        }
    }
}

/// The sums over all neurons and over those of each kind.
#[derive(Clone, Debug, Default)]
struct NeuronSums {
    all: NeuronSum,
    by_kind: FxHashMap<KindId, NeuronSum>,
}

impl NeuronSums {
    fn of(neurons: &[Neuron]) -> NeuronSums {
        let mut sums = NeuronSums::default();
        neurons.iter().for_each(|neuron| sums.add(neuron));
        sums
    }

    fn add(&mut self, neuron: &Neuron) {
        self.all.add(neuron);
        self.by_kind.entry(neuron.kind).or_default().add(neuron);
    }
}

/// Neurons in the order in which they joined, except that the last one replaces one that is removed.
///
/// The sums are kept up to date while neurons only join, and dropped at every other change. Computing them
/// anew for each worker of a list that joins would take quadratic time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Neurons {
    neurons: Vec<Neuron>,
    sums: Option<NeuronSums>,
}

impl Neurons {
    /// Adds a neuron with the mean values of its kind, or of all neurons if it is the first of its kind.
    pub(crate) fn join(&mut self, worker: usize, kind: KindId) {
        let sums = self.sums.get_or_insert_with(|| NeuronSums::of(&self.neurons));
        let sum = sums.by_kind.get(&kind).unwrap_or(&sums.all);
        let NeuronValues { excitation, inhibition, q } =
            if sum.count > 0.0 { sum.mean() } else { INITIAL_VALUES };
        let neuron = Neuron { worker, kind, excitation, inhibition, q };
        sums.add(&neuron);
        self.neurons.push(neuron);
    }

    /// Removes a neuron; the last one takes its position.
    pub(crate) fn swap_remove(&mut self, position: usize) {
        self.sums = None;
        self.neurons.swap_remove(position);
    }
}

impl Deref for Neurons {
    type Target = [Neuron];

    fn deref(&self) -> &[Neuron] {
        &self.neurons
    }
}

impl DerefMut for Neurons {
    fn deref_mut(&mut self) -> &mut [Neuron] {
        self.sums = None;
        &mut self.neurons
    }
}

#[cfg(test)]
mod tests;

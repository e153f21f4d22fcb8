//! The neurons of a network, and what one that joins starts with. Nothing is decided here.

use crate::api::KindId;
use rustc_hash::FxHashMap;
use std::ops::{Deref, DerefMut};

/// The weights and the excitation probability of a neuron, or the mean of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Level {
    pub(crate) plus: f64,
    pub(crate) minus: f64,
    pub(crate) q: f64,
}

/// What the first neuron of all starts with.
const FIRST: Level = Level { plus: 0.5, minus: 0.5, q: 0.5 };

#[derive(Clone, Debug)]
pub(crate) struct Neuron {
    pub(crate) worker: usize,
    pub(crate) kind: KindId,
    pub(crate) plus: f64,
    pub(crate) minus: f64,
    pub(crate) q: f64,
}

/// A sum over neurons, added up in their order: a floating-point sum depends on it.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    level: Level,
    count: f64,
}

impl Sum {
    fn add(&mut self, neuron: &Neuron) {
        self.level.plus += neuron.plus;
        self.level.minus += neuron.minus;
        self.level.q += neuron.q;
        self.count += 1.0;
    }

    fn mean(&self) -> Level {
        let Level { plus, minus, q } = self.level;
        Level { plus: plus / self.count, minus: minus / self.count, q: q / self.count }
    }
}

/// Sums over all neurons and over those of each kind.
#[derive(Clone, Debug, Default)]
struct Sums {
    all: Sum,
    by_kind: FxHashMap<KindId, Sum>,
}

impl Sums {
    fn of(neurons: &[Neuron]) -> Sums {
        let mut sums = Sums::default();
        neurons.iter().for_each(|neuron| sums.add(neuron));
        sums
    }

    fn add(&mut self, neuron: &Neuron) {
        self.all.add(neuron);
        self.by_kind.entry(neuron.kind).or_default().add(neuron);
    }
}

/// Neurons in the order in which they joined, but for those that took the place of one that left. The sums over them are
/// kept while they only join, and dropped with every other change: a whole list joins one worker after the other, and
/// adding all neurons up at each of them would take the square of its length.
#[derive(Clone, Debug, Default)]
pub(crate) struct Neurons {
    all: Vec<Neuron>,
    sums: Option<Sums>,
}

impl Neurons {
    /// Adds a neuron at the mean level of its kind, or of all if it is the first of its kind.
    pub(crate) fn join(&mut self, worker: usize, kind: KindId) {
        let sums = self.sums.get_or_insert_with(|| Sums::of(&self.all));
        let like = sums.by_kind.get(&kind).unwrap_or(&sums.all);
        let Level { plus, minus, q } = if like.count > 0.0 { like.mean() } else { FIRST };
        let neuron = Neuron { worker, kind, plus, minus, q };
        sums.add(&neuron);
        self.all.push(neuron);
    }

    /// Takes a neuron out; the last one takes its place.
    pub(crate) fn swap_remove(&mut self, at: usize) {
        self.sums = None;
        self.all.swap_remove(at);
    }
}

impl Deref for Neurons {
    type Target = [Neuron];

    fn deref(&self) -> &[Neuron] {
        &self.all
    }
}

impl DerefMut for Neurons {
    fn deref_mut(&mut self) -> &mut [Neuron] {
        self.sums = None;
        &mut self.all
    }
}

#[cfg(test)]
mod tests;

//! The random neural network of a class: decisions learned from payoffs. Its users are in `src/rules.rs`.

use crate::api::KindId;
use crate::neurons::Neurons;

/// Smoothing of the threshold T: how much of it stays at a payoff.
const ALPHA: f64 = 0.95;
/// What a payoff equal to T adds to a weight, as a part of the weight that a neuron starts with.
const STEP: f64 = 0.2;
/// A payoff counts for at most this many times T, and a punishment likewise.
const RATIO_CAP: f64 = 4.0;
/// Sweeps at most for a solution of q, each from the last solution.
const SWEEPS: usize = 4;

/// The random neural network of one class, one neuron for each worker.
/// Every j adds the same to w±(j,i), so they depend on i alone: two numbers a neuron hold the N×N
/// network, and "every k≠i" is one offset shared by all.
#[derive(Clone, Debug, Default)]
pub struct Network {
    pub(crate) neurons: Neurons,
    place: Vec<Option<u32>>,
    pub(crate) plus_all: f64,
    pub(crate) minus_all: f64,
    pub(crate) threshold: Option<f64>,
    pub(crate) stale: bool,
}

impl Network {
    /// Adds a neuron. The first ones start at 1/(2(N−1)); later ones at the level of their kind (of all, if
    /// it is the first): a joining worker neither leads nor trails its like.
    pub fn join(&mut self, worker: usize, kind: KindId) {
        if self.place.len() <= worker {
            self.place.resize(worker + 1, None);
        }
        if self.place[worker].is_some() {
            return;
        }
        self.place[worker] = Some(self.neurons.len() as u32);
        self.neurons.join(worker, kind);
        self.stale = true;
    }

    /// Takes a neuron out; the others keep what they learned.
    pub fn leave(&mut self, worker: usize) {
        if let Some(at) = self.place.get_mut(worker).and_then(Option::take) {
            self.neurons.swap_remove(at as usize);
            if let Some(moved) = self.neurons.get(at as usize) {
                self.place[moved.worker] = Some(at);
            }
            self.stale = true;
        }
    }

    /// Takes in the payoff R = 1/G of a job on `worker`. R counts in units of T, so that the step does
    /// not depend on the unit of time. Below T the punishment is T/R rather than R: with R, a very long
    /// G (a worker that fails at once) would hardly be punished.
    pub fn learn(&mut self, worker: usize, goal: f64) {
        let reward = 1.0 / goal.max(1.0);
        let t = self.threshold.map_or(reward, |t| ALPHA * t + (1.0 - ALPHA) * reward);
        self.threshold = Some(t);
        let n = self.neurons.len();
        let Some(Some(at)) = self.place.get(worker).copied() else { return };
        if n < 2 || reward == t {
            return;
        }
        let others = (n as f64 - 2.0).max(1.0);
        let ratio = if reward > t { reward / t } else { t / reward };
        let step = STEP * ratio.min(RATIO_CAP) / (2.0 * (n as f64 - 1.0));
        let neuron = &mut self.neurons[at as usize];
        if reward > t {
            neuron.plus += step;
            neuron.minus -= step / others;
            self.minus_all += step / others;
        } else {
            neuron.minus += step;
            neuron.plus -= step / others;
            self.plus_all += step / others;
        }
        self.stale = true;
    }

    /// Solves for q from the last solution, in a bounded number of sweeps. Weights only grow by learning, and
    /// with them the memory of old payoffs; they are scaled back so that the mean r stays 1, as at the start.
    pub fn solve(&mut self) {
        if !std::mem::take(&mut self.stale) || self.neurons.is_empty() {
            return;
        }
        let n = self.neurons.len() as f64;
        let mut total = n * (self.plus_all + self.minus_all);
        total += self.neurons.iter().map(|x| x.plus + x.minus).sum::<f64>();
        let scale = if n > 1.0 && total > 0.0 { n / (n - 1.0) / total } else { 1.0 };
        let (plus_all, minus_all) = (self.plus_all, self.minus_all);
        (self.plus_all, self.minus_all) = (0.0, 0.0);
        let mut all = 0.0;
        for x in self.neurons.iter_mut() {
            x.plus = (x.plus + plus_all) * scale;
            x.minus = (x.minus + minus_all) * scale;
            all += x.q;
        }
        for _ in 0..SWEEPS {
            let (mut next, mut moved) = (0.0, 0.0f64);
            for x in self.neurons.iter_mut() {
                let rest = all - x.q;
                let rate = (total * scale - x.plus - x.minus).max(1e-9);
                let q = ((0.25 + x.plus * rest) / (rate + x.minus * rest)).clamp(1e-6, 1.0);
                moved = moved.max((q - x.q).abs());
                x.q = q;
                next += q;
            }
            all = next;
            if moved < 1e-3 {
                break;
            }
        }
    }

    /// The excitation probability of a worker's neuron, as of the last [`Network::solve`].
    pub fn q(&self, worker: usize) -> Option<f64> {
        self.place.get(worker).copied().flatten().map(|at| self.neurons[at as usize].q)
    }
}

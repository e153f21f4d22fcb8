//! The random neural network of a class, which learns from payoffs. Its users are in `src/rules.rs`.

use crate::api::KindId;
use crate::neurons::Neurons;

/// Fraction of the threshold T that is kept at each payoff.
const THRESHOLD_SMOOTHING: f64 = 0.95;
/// Weight added for a payoff equal to T, as a fraction of the initial weight.
const PAYOFF_STEP: f64 = 0.2;
/// Limit for the ratio of a payoff to T, and of T to a payoff.
const MAX_PAYOFF_RATIO: f64 = 4.0;
/// Sweeps at most for a solution of q; each solution starts from the previous one.
const MAX_SWEEPS: usize = 4;

/// The random neural network of one class, with one neuron for each worker.
///
/// Learning changes the weights w±(j,i) by the same amount for every j, so they depend on i alone: two
/// numbers for each neuron represent the N×N matrix, and a change "for every k≠i" is one offset shared by
/// all.
#[derive(Clone, Debug, Default)]
pub struct Network {
    pub(crate) neurons: Neurons,
    /// The position of each worker's neuron in `neurons`.
    positions: Vec<Option<u32>>,
    /// Excitation and inhibition to be added to the weights of every neuron.
    pub(crate) shared_excitation: f64,
    pub(crate) shared_inhibition: f64,
    pub(crate) threshold: Option<f64>,
    /// Whether q must be solved again.
    pub(crate) stale: bool,
}

impl Network {
    /// Adds a neuron for a worker. The first neurons start at 1/(2(N−1)), later ones at the mean of their
    /// kind, or of all neurons if it is the first of its kind, so that a new worker is neither preferred nor
    /// avoided.
    pub fn join(&mut self, worker: usize, kind: KindId) {
        if self.positions.len() <= worker {
            self.positions.resize(worker + 1, None);
        }
        if self.positions[worker].is_some() {
            return;
        }
        self.positions[worker] = Some(self.neurons.len() as u32);
        self.neurons.join(worker, kind);
        self.stale = true;
    }

    /// Removes the neuron of a worker; the others keep what they have learned.
    pub fn leave(&mut self, worker: usize) {
        if let Some(position) = self.positions.get_mut(worker).and_then(Option::take) {
            self.neurons.swap_remove(position as usize);
            if let Some(moved) = self.neurons.get(position as usize) {
                self.positions[moved.worker] = Some(position);
            }
            self.stale = true;
        }
    }

    /// Learns from the payoff R = 1/G of a job on `worker`, where `goal` is G. R is measured in units of T,
    /// so that the step does not depend on the unit of time. Below T the step grows with T/R: with R itself,
    /// a very long G (a worker that fails at once) would hardly be punished.
    pub fn learn(&mut self, worker: usize, goal: f64) {
        let payoff = 1.0 / goal.max(1.0);
        let threshold =
            self.threshold.map_or(payoff, |t| THRESHOLD_SMOOTHING * t + (1.0 - THRESHOLD_SMOOTHING) * payoff);
        self.threshold = Some(threshold);
        let n = self.neurons.len();
        let Some(Some(position)) = self.positions.get(worker).copied() else { return };
        if n < 2 || payoff == threshold {
            return;
        }
        let others = (n as f64 - 2.0).max(1.0);
        let ratio = if payoff > threshold { payoff / threshold } else { threshold / payoff };
        let step = PAYOFF_STEP * ratio.min(MAX_PAYOFF_RATIO) / (2.0 * (n as f64 - 1.0));
        let neuron = &mut self.neurons[position as usize];
        if payoff > threshold {
            neuron.excitation += step;
            neuron.inhibition -= step / others;
            self.shared_inhibition += step / others;
        } else {
            neuron.inhibition += step;
            neuron.excitation -= step / others;
            self.shared_excitation += step / others;
        }
        self.stale = true;
    }

    /// Solves for q, starting from the previous solution, in a bounded number of sweeps. Learning only adds
    /// to the weights, which would preserve old payoffs for ever; here they are scaled so that the mean rate
    /// r stays 1.
    pub fn solve(&mut self) {
        if !std::mem::take(&mut self.stale) || self.neurons.is_empty() {
            return;
        }
        let n = self.neurons.len() as f64;
        let mut total_weight = n * (self.shared_excitation + self.shared_inhibition);
        total_weight += self.neurons.iter().map(|x| x.excitation + x.inhibition).sum::<f64>();
        let scale = if n > 1.0 && total_weight > 0.0 { n / (n - 1.0) / total_weight } else { 1.0 };
        let (shared_excitation, shared_inhibition) = (self.shared_excitation, self.shared_inhibition);
        (self.shared_excitation, self.shared_inhibition) = (0.0, 0.0);
        let mut q_sum = 0.0;
        for x in self.neurons.iter_mut() {
            x.excitation = (x.excitation + shared_excitation) * scale;
            x.inhibition = (x.inhibition + shared_inhibition) * scale;
            q_sum += x.q;
        }
        for _ in 0..MAX_SWEEPS {
            let (mut next_q_sum, mut max_change) = (0.0, 0.0f64);
            for x in self.neurons.iter_mut() {
                let others_q = q_sum - x.q;
                let rate = (total_weight * scale - x.excitation - x.inhibition).max(1e-9);
                let q =
                    ((0.25 + x.excitation * others_q) / (rate + x.inhibition * others_q)).clamp(1e-6, 1.0);
                max_change = max_change.max((q - x.q).abs());
                x.q = q;
                next_q_sum += q;
            }
            q_sum = next_q_sum;
            if max_change < 1e-3 {
                break;
            }
        }
    }

    /// Returns the excitation probability of a worker's neuron, as of the last [`Network::solve`].
    pub fn q(&self, worker: usize) -> Option<f64> {
        self.positions.get(worker).copied().flatten().map(|position| self.neurons[position as usize].q)
    }
}

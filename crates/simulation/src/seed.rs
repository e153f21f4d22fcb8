//! Random numbers from named streams of one seed.
//!
//! Every use draws from a stream of its own name, so that a draw added to one leaves all others as they were: two
//! versions of the model play the same arrivals, though one of them draws more delays.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};

/// The source of all streams of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct RandomStreams(u64);

impl RandomStreams {
    /// The streams of a seed.
    pub fn new(seed: u64) -> Self {
        RandomStreams(seed)
    }

    /// The stream of this name; two of one name are equal.
    pub fn stream(&self, name: &str) -> RandomStream {
        self.numbered_stream(name, 0)
    }

    /// One of a family of streams, by its number.
    pub fn numbered_stream(&self, name: &str, number: u64) -> RandomStream {
        let mut hasher = blake3::Hasher::new_derive_key("loomlb-model 2026 stream of a day");
        hasher.update(&self.0.to_le_bytes()).update(&number.to_le_bytes()).update(name.as_bytes());
        RandomStream(ChaCha8Rng::from_seed(*hasher.finalize().as_bytes()))
    }
}

/// One stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Any number of 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
    /// Evenly from 0 (with it) to 1 (without it).
    pub fn next_unit(&mut self) -> f64 {
        self.0.random()
    }
    /// True with this probability; bounds outside 0 to 1 are cut.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.next_unit() < probability
    }
    /// Evenly within a range; its lower bound where it is empty.
    pub fn uniform(&mut self, [low, high]: [f64; 2]) -> f64 {
        if high > low { low + (high - low) * self.next_unit() } else { low }
    }
    /// A place below `n`; 0 where there is none.
    pub fn index_below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }
    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }
    /// Normal with mean 0 and variance 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }
    /// Log-normal with mean 1 and this coefficient of variation.
    pub fn log_normal(&mut self, cv: f64) -> f64 {
        LogNormal::from_mean_cv(1.0, cv.max(0.0)).map_or(1.0, |d| d.sample(&mut self.0))
    }
    /// A place in a list of weights, by weight; 0 where they come to nothing.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.next_unit() * weights.iter().sum::<f64>();
        for (i, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return i;
            }
        }
        0
    }
    /// So many different places below `n`, in rising order.
    pub fn sample_indices(&mut self, share: f64, n: usize) -> Vec<usize> {
        let count = ((share * n as f64).round() as usize).clamp(usize::from(share > 0.0 && n > 0), n);
        let mut indices: Vec<usize> = (0..n).collect();
        for i in 0..count {
            let j = i + self.index_below(n - i);
            indices.swap(i, j);
        }
        indices.truncate(count);
        indices.sort_unstable();
        indices
    }
}

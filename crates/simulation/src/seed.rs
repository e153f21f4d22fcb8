//! Independent streams of random numbers from one seed.
//!
//! Each use draws from a stream of its own name, so that additional draws from one stream don't change the others.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};

/// The random streams of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct RandomStreams(u64);

impl RandomStreams {
    /// Creates the streams of a seed.
    pub fn new(seed: u64) -> Self {
        RandomStreams(seed)
    }

    /// Returns the stream of a name, at its start.
    pub fn stream(&self, name: &str) -> RandomStream {
        self.numbered_stream(name, 0)
    }

    /// Returns a stream of a family of streams of the same name.
    pub fn numbered_stream(&self, name: &str, number: u64) -> RandomStream {
        let mut hasher = blake3::Hasher::new_derive_key("loomlb-model 2026 stream of a day");
        hasher.update(&self.0.to_le_bytes()).update(&number.to_le_bytes()).update(name.as_bytes());
        RandomStream(ChaCha8Rng::from_seed(*hasher.finalize().as_bytes()))
    }
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Returns a random number of 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }
    /// Returns a number from a uniform distribution over `[0, 1)`.
    pub fn next_unit(&mut self) -> f64 {
        self.0.random()
    }
    /// Returns true with the given probability, which is clamped to 0 to 1.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.next_unit() < probability
    }
    /// Returns a number from a uniform distribution over a range, or its lower bound if the range is empty.
    pub fn uniform(&mut self, [low, high]: [f64; 2]) -> f64 {
        if high > low { low + (high - low) * self.next_unit() } else { low }
    }
    /// Returns an index below `n`; 0 if `n` is 0.
    pub fn index_below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.random_range(0..n) }
    }
    /// Returns a number from the exponential distribution with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }
    /// Returns a number from the normal distribution with mean 0 and variance 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }
    /// Returns a number from the log-normal distribution with mean 1 and this coefficient of variation.
    pub fn log_normal(&mut self, cv: f64) -> f64 {
        LogNormal::from_mean_cv(1.0, cv.max(0.0)).map_or(1.0, |d| d.sample(&mut self.0))
    }
    /// Returns an index with a probability proportional to its weight; 0 if all weights are 0.
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
    /// Returns a random sample of the indices below `n`, of the given share, in ascending order. It has at least one
    /// index if the share and `n` are above 0.
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

//! Exponentially decaying values, running means and medians.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// A value that decays exponentially towards 0.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct DecayingValue {
    value: f64,
    #[serde(rename = "at")]
    updated_at: Nanos,
}

impl DecayingValue {
    /// Returns the value at `now`, decayed with this time constant in nanoseconds.
    pub fn value_at(&self, now: Nanos, time_constant: f64) -> f64 {
        if self.value == 0.0 {
            0.0
        } else {
            self.value * decay_factor(now.saturating_sub(self.updated_at), time_constant)
        }
    }

    /// Replaces the value as of `now`.
    pub fn set(&mut self, now: Nanos, value: f64) {
        (self.value, self.updated_at) = (value, now);
    }
}

/// Returns the fraction that remains after `elapsed` nanoseconds of decay with this time constant in
/// nanoseconds.
pub fn decay_factor(elapsed: Nanos, time_constant: f64) -> f64 {
    (-(elapsed as f64) / time_constant.max(1.0)).exp()
}

/// Moves a mean towards a sample by `weight`; the first sample replaces it.
pub fn update_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += (sample - *mean) * if *mean > 0.0 { weight } else { 1.0 };
}

/// Returns the median, the lower one of two middle values; 0 for fewer than two values, where there is
/// nothing to compare with.
pub fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    if values.len() > 1 { values[(values.len() - 1) / 2] } else { 0.0 }
}

//! Arithmetic of values that fade with time, and of means.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// A value that fades towards 0.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Fading {
    value: f64,
    at: Nanos,
}

impl Fading {
    /// The value now, if it falls to 1/e in `span` nanoseconds.
    pub fn get(&self, now: Nanos, span: f64) -> f64 {
        if self.value == 0.0 { 0.0 } else { self.value * fade(now.saturating_sub(self.at), span) }
    }

    /// Sets the value as of now.
    pub fn set(&mut self, now: Nanos, value: f64) {
        (self.value, self.at) = (value, now);
    }
}

/// What is left of 1 after this time.
pub fn fade(time: Nanos, span: f64) -> f64 {
    (-(time as f64) / span.max(1.0)).exp()
}

/// Moves a mean by a part of the way to a new value, or all of it at the first.
pub fn toward(mean: &mut f64, value: f64, part: f64) {
    *mean += (value - *mean) * if *mean > 0.0 { part } else { 1.0 };
}

/// The middle one of several values, the lower of two; 0 of one or none, which has no peers to be compared with.
pub fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    if values.len() > 1 { values[(values.len() - 1) / 2] } else { 0.0 }
}

//! A limit on the amount used within a sliding window of time.

use crate::Nanos;

/// Number of steps of a window. The amounts of the oldest step are dropped together, so the window covers between 7/8
/// of its length and all of it. Within any period of its length, at most the limit and the use of one step more can
/// pass.
const STEP_COUNT: usize = 8;

/// The amounts used within a sliding window, by step.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    step_length: Nanos,
    limit: f64,
    used: [f64; STEP_COUNT],
    /// Number of the newest step since time 0.
    newest_step: u64,
}

impl Window {
    pub(crate) fn new(length: Nanos, limit: f64) -> Self {
        Window {
            step_length: (length / STEP_COUNT as u64).max(1),
            limit,
            used: [0.0; STEP_COUNT],
            newest_step: 0,
        }
    }

    fn advance_to(&mut self, now: Nanos) {
        let step = now / self.step_length;
        // If the clock steps back, amounts are counted in the newest step.
        let passed = step.saturating_sub(self.newest_step).min(STEP_COUNT as u64);
        for i in 0..passed {
            self.used[((self.newest_step + 1 + i) % STEP_COUNT as u64) as usize] = 0.0;
        }
        self.newest_step = self.newest_step.max(step);
    }

    fn total(&self) -> f64 {
        self.used.iter().sum()
    }

    /// Checks whether an amount fits into the window now. The error is the time to wait until it does.
    pub(crate) fn check(&mut self, now: Nanos, amount: f64) -> Result<(), Nanos> {
        self.advance_to(now);
        let mut excess = self.total() + amount - self.limit;
        if excess <= 1e-9 {
            return Ok(());
        }
        // The oldest steps are dropped first.
        for i in 1..=STEP_COUNT as u64 {
            excess -= self.used[((self.newest_step + i) % STEP_COUNT as u64) as usize];
            if excess <= 1e-9 {
                return Err(((self.newest_step + i) * self.step_length).saturating_sub(now).max(1));
            }
        }
        Err(self.step_length * STEP_COUNT as u64)
    }

    /// Counts an amount. A negative amount returns what was charged too much.
    pub(crate) fn charge(&mut self, now: Nanos, amount: f64) {
        self.advance_to(now);
        let newest_index = (self.newest_step % STEP_COUNT as u64) as usize;
        self.used[newest_index] += amount;
        // A returned amount may have been counted in earlier steps.
        let mut i = newest_index;
        for _ in 0..STEP_COUNT {
            if self.used[i] >= 0.0 {
                break;
            }
            let negative = std::mem::take(&mut self.used[i]);
            i = (i + STEP_COUNT - 1) % STEP_COUNT;
            self.used[i] += negative;
        }
        self.used.iter_mut().for_each(|step| *step = step.max(0.0));
    }

    /// The amount used within the window.
    pub(crate) fn used(&mut self, now: Nanos) -> f64 {
        self.advance_to(now);
        self.total()
    }

    pub(crate) fn length(&self) -> Nanos {
        self.step_length * STEP_COUNT as u64
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    pub(crate) fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
    }
}

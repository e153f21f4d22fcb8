//! A ceiling over a window of time, in eight steps.

use crate::Nanos;

/// Steps of a window. What is counted in the oldest step leaves at once, so a window holds between 7/8 and all of its
/// length; over any stretch of its full length at most `most` and one step's use more can pass.
const STEP_COUNT: usize = 8;

/// What was used within a window of time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    step_length: Nanos,
    limit: f64,
    used: [f64; STEP_COUNT],
    /// The number of the newest step.
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
        // A clock that steps back counts into the newest step.
        let passed = step.saturating_sub(self.newest_step).min(STEP_COUNT as u64);
        for i in 0..passed {
            self.used[((self.newest_step + 1 + i) % STEP_COUNT as u64) as usize] = 0.0;
        }
        // After a long pause the steps are all empty, whatever their numbers.
        self.newest_step = self.newest_step.max(step);
    }

    fn total(&self) -> f64 {
        self.used.iter().sum()
    }

    /// Whether so much more may be used now; if not, after which time it may.
    pub(crate) fn check(&mut self, now: Nanos, amount: f64) -> Result<(), Nanos> {
        self.advance_to(now);
        let mut excess = self.total() + amount - self.limit;
        if excess <= 1e-9 {
            return Ok(());
        }
        // The oldest steps leave first.
        for i in 1..=STEP_COUNT as u64 {
            excess -= self.used[((self.newest_step + i) % STEP_COUNT as u64) as usize];
            if excess <= 1e-9 {
                return Err(((self.newest_step + i) * self.step_length).saturating_sub(now).max(1));
            }
        }
        Err(self.step_length * STEP_COUNT as u64)
    }

    /// Counts so much; less than nothing gives back what was reserved too much.
    pub(crate) fn charge(&mut self, now: Nanos, amount: f64) {
        self.advance_to(now);
        let newest_index = (self.newest_step % STEP_COUNT as u64) as usize;
        self.used[newest_index] += amount;
        // What is given back may have been counted in earlier steps.
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

    /// What is used within the window now.
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

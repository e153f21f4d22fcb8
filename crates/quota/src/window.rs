//! A ceiling over a window of time, in eight steps.

use crate::Nanos;

/// Steps of a window. What is counted in the oldest step leaves at once, so a window holds between 7/8 and all of its
/// length; over any stretch of its full length at most `most` and one step's use more can pass.
const STEPS: usize = 8;

/// What was used within a window of time.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    step: Nanos,
    most: f64,
    used: [f64; STEPS],
    /// The number of the newest step.
    newest: u64,
}

impl Window {
    pub(crate) fn new(length: Nanos, most: f64) -> Self {
        Window { step: (length / STEPS as u64).max(1), most, used: [0.0; STEPS], newest: 0 }
    }

    fn turn(&mut self, now: Nanos) {
        let step = now / self.step;
        // A clock that steps back counts into the newest step.
        let passed = step.saturating_sub(self.newest).min(STEPS as u64);
        for i in 0..passed {
            self.used[((self.newest + 1 + i) % STEPS as u64) as usize] = 0.0;
        }
        // After a long pause the steps are all empty, whatever their numbers.
        self.newest = self.newest.max(step);
    }

    fn sum(&self) -> f64 {
        self.used.iter().sum()
    }

    /// Whether so much more may be used now; if not, after which time it may.
    pub(crate) fn allows(&mut self, now: Nanos, amount: f64) -> Result<(), Nanos> {
        self.turn(now);
        let mut over = self.sum() + amount - self.most;
        if over <= 1e-9 {
            return Ok(());
        }
        // The oldest steps leave first.
        for i in 1..=STEPS as u64 {
            over -= self.used[((self.newest + i) % STEPS as u64) as usize];
            if over <= 1e-9 {
                return Err(((self.newest + i) * self.step).saturating_sub(now).max(1));
            }
        }
        Err(self.step * STEPS as u64)
    }

    /// Counts so much; less than nothing gives back what was reserved too much.
    pub(crate) fn charge(&mut self, now: Nanos, amount: f64) {
        self.turn(now);
        let newest = (self.newest % STEPS as u64) as usize;
        self.used[newest] += amount;
        // What is given back may have been counted in earlier steps.
        let mut i = newest;
        for _ in 0..STEPS {
            if self.used[i] >= 0.0 {
                break;
            }
            let left = std::mem::take(&mut self.used[i]);
            i = (i + STEPS - 1) % STEPS;
            self.used[i] += left;
        }
        self.used.iter_mut().for_each(|u| *u = u.max(0.0));
    }

    /// What is used within the window now.
    pub(crate) fn used(&mut self, now: Nanos) -> f64 {
        self.turn(now);
        self.sum()
    }

    pub(crate) fn length(&self) -> Nanos {
        self.step * STEPS as u64
    }

    pub(crate) fn most(&self) -> f64 {
        self.most
    }

    pub(crate) fn limit(&mut self, most: f64) {
        self.most = most;
    }
}

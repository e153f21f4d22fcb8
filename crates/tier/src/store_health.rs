//! Whether a voter's store works, and when it is tried again after a failure. Pure: time is passed in, as the time since
//! the process started.

use std::time::Duration;

/// Pause after the first failure of a run; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// A store that has worked for so long without a failure counts as well again: only then does the pause start over and
/// the log say so.
const STEADY: Duration = Duration::from_secs(2);

/// Failures of a store that follow each other closely.
#[derive(Debug)]
struct Run {
    began: Duration,
    next_pause: Duration,
    retry_at: Duration,
    /// Since when it has worked; none while it fails.
    works_since: Option<Duration>,
}

/// The health of a voter's store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    run: Option<Run>,
    /// Failures so far, those of attempts to recover included.
    pub(crate) failures: u64,
    /// How often the voter came back.
    pub(crate) recoveries: u64,
}

impl StoreHealth {
    /// The store has failed; true for the first failure of a run, which the log is to tell of.
    pub(crate) fn failed(&mut self, now: Duration) -> bool {
        self.failures += 1;
        let is_first = self.run.is_none();
        let run = self.run.get_or_insert(Run {
            began: now,
            next_pause: FIRST_PAUSE,
            retry_at: now,
            works_since: None,
        });
        run.works_since = None;
        run.retry_at = now + run.next_pause;
        run.next_pause = (run.next_pause * 2).min(LONGEST_PAUSE);
        is_first
    }

    /// The store works; counted as a recovery if it had failed.
    pub(crate) fn recovered(&mut self, now: Duration) {
        if let Some(run) = &mut self.run {
            self.recoveries += 1;
            run.works_since = Some(now);
        }
    }

    /// Whether it is time for another attempt.
    pub(crate) fn retry_is_due(&self, now: Duration) -> bool {
        self.run.as_ref().is_none_or(|run| now >= run.retry_at)
    }

    /// Time until the next attempt.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        self.run.as_ref().map_or(Duration::ZERO, |run| run.retry_at.saturating_sub(now))
    }

    /// Ends the run once the store has worked for a while; how long the run lasted, to be told once.
    pub(crate) fn ended_run(&mut self, now: Duration) -> Option<Duration> {
        let run = self.run.as_ref()?;
        let works_since = run.works_since.filter(|since| now >= *since + STEADY)?;
        let lasted = works_since - run.began;
        self.run = None;
        Some(lasted)
    }
}

#[cfg(test)]
mod tests;

//! Tracks whether a voter's store works and schedules retries after failures. Pure: time is passed in as the time since the
//! process started.

use std::time::Duration;

/// Delay after the first failure of a run; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// A run of failures ends when the store has worked for this long: only then is the backoff reset and the recovery logged.
const STABLE_AFTER: Duration = Duration::from_secs(2);

/// A run of failures, each less than [`STABLE_AFTER`] after a recovery from the one before.
#[derive(Debug)]
struct FailureRun {
    started_at: Duration,
    next_backoff: Duration,
    retry_at: Duration,
    /// Time of the recovery; `None` while the store fails.
    working_since: Option<Duration>,
}

/// Health of a voter's store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    run: Option<FailureRun>,
    /// Number of failures, including failed attempts to recover.
    pub(crate) failures: u64,
    /// Number of recoveries.
    pub(crate) recoveries: u64,
}

impl StoreHealth {
    /// Records a failure. Returns whether it is the first of a run and should be logged.
    pub(crate) fn record_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        let is_first = self.run.is_none();
        let run = self.run.get_or_insert(FailureRun {
            started_at: now,
            next_backoff: INITIAL_BACKOFF,
            retry_at: now,
            working_since: None,
        });
        run.working_since = None;
        run.retry_at = now + run.next_backoff;
        run.next_backoff = (run.next_backoff * 2).min(MAX_BACKOFF);
        is_first
    }

    /// Records that the store works, and counts a recovery if it had failed.
    pub(crate) fn record_recovery(&mut self, now: Duration) {
        if let Some(run) = &mut self.run {
            self.recoveries += 1;
            run.working_since = Some(now);
        }
    }

    /// Whether the next attempt is due.
    pub(crate) fn is_retry_due(&self, now: Duration) -> bool {
        self.run.as_ref().is_none_or(|run| now >= run.retry_at)
    }

    /// Returns the time until the next attempt.
    pub(crate) fn time_until_retry(&self, now: Duration) -> Duration {
        self.run.as_ref().map_or(Duration::ZERO, |run| run.retry_at.saturating_sub(now))
    }

    /// Ends the run once the store has worked for [`STABLE_AFTER`]. Returns the duration of the run, only once, for the log.
    pub(crate) fn take_ended_run(&mut self, now: Duration) -> Option<Duration> {
        let run = self.run.as_ref()?;
        let working_since = run.working_since.filter(|since| now >= *since + STABLE_AFTER)?;
        let lasted = working_since - run.started_at;
        self.run = None;
        Some(lasted)
    }
}

#[cfg(test)]
mod tests;

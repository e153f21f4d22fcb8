//! Estimates of when a worker will complete a job, from the start and end notices of this dispatcher's own
//! attempts: queueing delay, running time per unit of work, and which keys' data the worker has cached.

use crate::api::{AffinityKey, Nanos, RequestId};
use crate::decay::decay_factor;
use std::collections::VecDeque;

/// Weight of a job in the recent mean of the running time per unit of work.
const RECENT_WEIGHT: f64 = 0.25;
/// Weight of a job in the long-term mean.
const LONG_TERM_WEIGHT: f64 = 0.03;
/// Time constant in nanoseconds with which the recent mean returns to the long-term one while no job ends.
const RECENT_DECAY_NS: f64 = 5e9;
/// A queue is assumed to have shrunk by this fraction of the time since the last start.
const QUEUE_DRAIN_RATE: f64 = 0.15;
/// Keys that a worker is assumed to have cached: those of the last own jobs that it served.
const CACHED_KEYS: usize = 6;
/// A running job replaces the mean once it has taken this many times the expected time: it shows that the
/// worker's pace has changed.
const OVERDUE_FACTOR: f64 = 1.5;
/// Round trip with a new connection, in nanoseconds, before one has been measured.
const INITIAL_ROUND_TRIP_NS: f64 = 5e7;

/// An own attempt that has not ended.
#[derive(Clone, Debug)]
struct OpenAttempt {
    id: RequestId,
    attempt: u32,
    sent_at: Nanos,
    started_at: Option<Nanos>,
    /// Expected work, in nanoseconds on a standard core.
    work: f64,
    affinity_key: Option<AffinityKey>,
    /// Whether the data of its key was likely cached.
    cached: bool,
}

/// Estimates for one worker. The dispatcher ends each attempt, so the open ones are bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionEstimator {
    open: Vec<OpenAttempt>,
    cached_keys: VecDeque<AffinityKey>,
    /// Queueing delay of the job that started last, in nanoseconds without the round trip.
    last_wait: f64,
    last_start_at: Nanos,
    /// Shortest time seen from send to start: the round trip, possibly with a new connection.
    min_start_delay: Option<f64>,
    /// Running time per unit of work: the recent mean, the long-term mean, and when the last job ended.
    run_time_per_work: Option<(f64, f64, Nanos)>,
}

impl CompletionEstimator {
    /// Forgets the queue and the cached keys after a restart of the worker; the machine keeps its speed.
    pub(crate) fn record_restart(&mut self) {
        self.cached_keys.clear();
        self.last_wait = 0.0;
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_sent(
        &mut self,
        id: RequestId,
        attempt: u32,
        now: Nanos,
        work: f64,
        affinity_key: Option<AffinityKey>,
    ) {
        let cached = self.has_cached(affinity_key);
        self.open.push(OpenAttempt {
            id,
            attempt,
            sent_at: now,
            started_at: None,
            work: work.max(1.0),
            affinity_key,
            cached,
        });
    }

    /// Records that the worker has started an attempt.
    pub(crate) fn record_started(&mut self, id: RequestId, attempt: u32, now: Nanos) {
        let Some(open) = self.open.iter_mut().find(|o| o.id == id && o.attempt == attempt) else { return };
        if open.started_at.replace(now).is_none() {
            let delay = now.saturating_sub(open.sent_at) as f64;
            let min_delay = self.min_start_delay.get_or_insert(delay);
            *min_delay = min_delay.min(delay);
            (self.last_wait, self.last_start_at) = (delay - *min_delay, now);
        }
    }

    /// Records the end of an attempt. If the job likely had to fetch the data of its key, returns how much
    /// longer it ran than expected, in nanoseconds.
    pub(crate) fn record_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        now: Nanos,
        served: bool,
    ) -> Option<f64> {
        let index = self.open.iter().position(|o| o.id == id && o.attempt == attempt)?;
        let ended = self.open.swap_remove(index);
        if let (Some(key), true) = (ended.affinity_key, served) {
            self.cached_keys.retain(|k| *k != key);
            self.cached_keys.push_back(key);
            if self.cached_keys.len() > CACHED_KEYS {
                self.cached_keys.pop_front();
            }
        }
        let run_time = now.saturating_sub(ended.started_at.filter(|_| served)?) as f64;
        match &mut self.run_time_per_work {
            Some((recent, _, updated_at)) if !ended.cached => {
                *updated_at = now;
                Some(run_time - *recent * ended.work)
            }
            Some((recent, long_term, updated_at)) => {
                *recent += (run_time / ended.work - *recent) * RECENT_WEIGHT;
                *long_term += (run_time / ended.work - *long_term) * LONG_TERM_WEIGHT;
                *updated_at = now;
                None
            }
            None => {
                self.run_time_per_work = Some((run_time / ended.work, run_time / ended.work, now));
                None
            }
        }
    }

    /// Whether the worker likely has the data of a key cached; true without a key.
    pub(crate) fn has_cached(&self, affinity_key: Option<AffinityKey>) -> bool {
        affinity_key.is_none_or(|k| self.cached_keys.contains(&k))
    }

    /// Returns the own attempts that have not started as far as known.
    fn not_started(&self) -> impl Iterator<Item = &OpenAttempt> {
        self.open.iter().filter(|o| o.started_at.is_none())
    }

    /// Returns the expected queueing delay of a job sent now, in nanoseconds: the last one seen less what the
    /// queue has likely shrunk since, but at least as long as the oldest attempt that has not started has
    /// been waiting.
    pub(crate) fn expected_wait(&self, now: Nanos) -> f64 {
        let last = self.last_wait - QUEUE_DRAIN_RATE * now.saturating_sub(self.last_start_at) as f64;
        let oldest = self.not_started().map(|o| now.saturating_sub(o.sent_at)).max().unwrap_or(0) as f64;
        last.max(oldest - self.min_start_delay.unwrap_or(INITIAL_ROUND_TRIP_NS)).max(0.0)
    }

    /// Returns when a job of this work will end if it is sent now. `fetch_time` is added if the data of its
    /// key is not cached, `wait_per_queued_job` for each own job that has not started.
    pub(crate) fn expected_end(
        &self,
        now: Nanos,
        work: f64,
        kind_mean: f64,
        affinity_key: Option<AffinityKey>,
        fetch_time: f64,
        wait_per_queued_job: f64,
    ) -> f64 {
        let queued = self.not_started().count() as f64;
        let fetch_time = if self.has_cached(affinity_key) { 0.0 } else { fetch_time.max(0.0) };
        now as f64
            + self.expected_wait(now)
            + queued * wait_per_queued_job
            + work * self.run_time_per_work(now, kind_mean)
            + fetch_time
    }

    /// Returns the running time per unit of work, or that of a running job if it is much higher. Before the
    /// first end it is the mean of the worker's kind, or 1 if that is not known. While no job ends the recent
    /// mean returns to the long-term one: a worker that is avoided for being slow could not show that it has
    /// recovered.
    pub(crate) fn run_time_per_work(&self, now: Nanos, kind_mean: f64) -> f64 {
        let Some((recent, long_term, updated_at)) = self.run_time_per_work else {
            return if kind_mean > 0.0 { kind_mean } else { 1.0 };
        };
        let expected =
            long_term + (recent - long_term) * decay_factor(now.saturating_sub(updated_at), RECENT_DECAY_NS);
        let running =
            self.open.iter().filter_map(|o| Some(now.saturating_sub(o.started_at?) as f64 / o.work));
        let max_running = running.fold(0.0, f64::max);
        if max_running > OVERDUE_FACTOR * expected { max_running } else { expected }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn expected_wait_follows_the_last_start_and_the_oldest_attempt_not_started() {
        let mut estimator = CompletionEstimator::default();
        let id = RequestId;
        estimator.record_sent(id(1), 0, 0, 1e8, None);
        estimator.record_started(id(1), 0, 10 * MS);
        assert_eq!(estimator.expected_wait(10 * MS), 0.0, "the round trip is no queueing delay");
        estimator.record_sent(id(2), 0, 20 * MS, 1e8, None);
        assert_eq!(estimator.expected_wait(230 * MS), 200e6, "200 ms beyond the round trip");
        estimator.record_started(id(2), 0, 330 * MS);
        assert_eq!(estimator.expected_wait(330 * MS), 300e6);
        assert!(estimator.expected_wait(3000 * MS) < 1.0, "the queue has drained since");
        assert_eq!(estimator.record_ended(id(3), 0, 0, true), None, "an unknown attempt is ignored");
    }

    #[test]
    fn run_time_is_learned_from_cached_keys_and_fetch_time_from_the_others() {
        let mut estimator = CompletionEstimator::default();
        assert_eq!(
            (estimator.run_time_per_work(0, 0.0), estimator.run_time_per_work(0, 3.0)),
            (1.0, 3.0),
            "the mean of the kind applies before the first end"
        );
        let mut run = |n: u64, key: u64, took: Nanos| {
            let at = n * 1000 * MS;
            estimator.record_sent(RequestId(n), 0, at, 100e6, Some(AffinityKey(key)));
            estimator.record_started(RequestId(n), 0, at);
            let fetch_time = estimator.record_ended(RequestId(n), 0, at + took, true);
            (fetch_time, estimator.run_time_per_work(at + took, 3.0))
        };
        assert_eq!(run(1, 7, 200 * MS), (None, 2.0));
        assert_eq!(run(2, 7, 200 * MS), (None, 2.0));
        assert_eq!(run(3, 8, 260 * MS), (Some(60e6), 2.0), "the data of a new key had to be fetched");
        assert_eq!(run(4, 8, 200 * MS), (None, 2.0));
        assert!(estimator.has_cached(Some(AffinityKey(7))) && !estimator.has_cached(Some(AffinityKey(9))));
        estimator.record_sent(RequestId(5), 0, 0, 100e6, Some(AffinityKey(7)));
        estimator.record_started(RequestId(5), 0, 0);
        assert_eq!(
            estimator.run_time_per_work(800 * MS, 0.0),
            8.0,
            "a job that has run four times its expected time counts before it ends"
        );
    }
}

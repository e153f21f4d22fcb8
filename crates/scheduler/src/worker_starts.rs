//! When workers started, on the scheduler's own scale. Pure: time is an argument.
//!
//! The endpoint list dates a worker's start (`born_ms`) by a wall clock that need not agree with ours. A worker that
//! appears or restarts while we watch the list has at most the age of our previous answer, by our monotonic clock; the
//! list's dates may only make it younger. They are compared with each other through `OffsetBound`, never with our own
//! wall clock. Only lists that came before the first answer of discovery are read with the wall clock, for want of
//! anything better. `docs/design/0010-wall-clock.md` weighs this.
//!
//! An incarnation of a worker is known by its host and `born_ms`; its start stays as it was assigned first.

use super::clock::nanos_from_millis;
use loomlb_policy::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// By how much two clocks may drift apart, in parts per million.
const DRIFT_PPM: u64 = 200;
const MILLION: u64 = 1_000_000;
/// Starts of workers that the list no longer names are remembered for this long, in nanoseconds: a partition may hide
/// many workers from discovery, and they are as warm as before when it names them again.
const DEPARTED_FOR: Nanos = 3_600_000_000_000;
/// Departed workers remembered at most; of more, those that left first are forgotten, and start anew if they come back.
const MOST_DEPARTED: usize = 16_384;

/// An upper bound of the offset from the list's clock to our scale, in nanoseconds.
///
/// A worker that appears at `now` was born at `born` or later by the list's clock's error alone, so `now - born` is at
/// least the offset. The smallest such sample is the tightest; it grows with the drift that the clocks may have had since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OffsetBound {
    offset: i64,
    sampled_at: Nanos,
}

impl OffsetBound {
    /// The bound as of `now`.
    fn at(self, now: Nanos) -> i64 {
        let span = now.saturating_sub(self.sampled_at);
        self.offset.saturating_add_unsigned(span / MILLION * DRIFT_PPM)
    }
}

/// The start that was assigned to an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// As the list dates it, in milliseconds.
    pub born_ms: u64,
    /// On our scale; 0 for long ago.
    pub started: Nanos,
}

/// A worker that the list no longer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departed {
    incarnation: Incarnation,
    left_at: Nanos,
}

/// Estimates the starts of workers. It goes over to a successor, whose scale is the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStarts {
    bound: Option<OffsetBound>,
    /// When discovery answered last, whatever it said.
    answered_at: Option<Nanos>,
    departed: BTreeMap<String, Departed>,
}

impl WorkerStarts {
    /// Discovery has answered: what it names for the first time from now on appears while we watch.
    pub fn record_response(&mut self, now: Nanos) {
        self.answered_at = Some(now);
    }

    /// Learns from the hosts and births, in milliseconds, of all incarnations that one list names for the first time.
    /// Called before [`WorkerStarts::appeared`] is asked for them, so that their order in the list does not matter.
    pub fn observe<'a>(&mut self, now: Nanos, news: impl Iterator<Item = (&'a str, u64)>) {
        let Some(answered_at) = self.answered_at else { return };
        let unknown =
            news.filter(|(host, born_ms)| *born_ms != 0 && self.remembered(host, *born_ms).is_none());
        let samples: Vec<i64> = unknown.map(|(_, born_ms)| sample(now, born_ms)).collect();
        let Some(&smallest) = samples.iter().min() else { return };
        let largest = samples.into_iter().max().unwrap_or(smallest);
        // The largest belongs to a worker that has not been there for longer than this either: a bound below that
        // came from a clock that was stepped since, or from a wrong date, and counts no more.
        let floor = largest.saturating_sub_unsigned(now.saturating_sub(answered_at));
        let offset = match self.bound.map(|bound| bound.at(now)) {
            Some(known) if known < floor => largest,
            Some(known) => known.min(smallest),
            None => smallest,
        };
        self.bound = Some(OffsetBound { offset, sampled_at: now });
    }

    /// The start of an incarnation that the list names for the first time, or for the first time since it departed.
    pub fn assign(&mut self, now: Nanos, host: &str, born_ms: u64) -> Nanos {
        if born_ms == 0 {
            return 0;
        }
        let remembered = self.remembered(host, born_ms);
        self.departed.remove(host);
        if let Some(started) = remembered {
            return started;
        }
        let born = nanos_from_millis(born_ms);
        let estimate = match (self.answered_at, self.bound) {
            (Some(answered_at), Some(bound)) => born.saturating_add_signed(bound.at(now)).max(answered_at),
            _ => born,
        };
        // 0 would be long ago.
        estimate.min(now).max(1)
    }

    /// The start of an incarnation that has departed not long ago.
    fn remembered(&self, host: &str, born_ms: u64) -> Option<Nanos> {
        let incarnation = self.departed.get(host)?.incarnation;
        (incarnation.born_ms == born_ms).then_some(incarnation.started)
    }

    /// The list has named these workers no more for a while.
    pub fn record_departures(
        &mut self,
        now: Nanos,
        workers: impl IntoIterator<Item = (String, Incarnation)>,
    ) {
        self.departed.retain(|_, departed| now < departed.left_at.saturating_add(DEPARTED_FOR));
        let left = |incarnation| Departed { incarnation, left_at: now };
        self.departed.extend(workers.into_iter().map(|(host, incarnation)| (host, left(incarnation))));
        self.forget_beyond_bound();
    }

    /// Forgets those that left first where there are more than [`MOST_DEPARTED`].
    fn forget_beyond_bound(&mut self) {
        let excess = self.departed.len().saturating_sub(MOST_DEPARTED);
        if excess == 0 {
            return;
        }
        let mut times: Vec<Nanos> = self.departed.values().map(|departed| departed.left_at).collect();
        let (_, last_forgotten, _) = times.select_nth_unstable(excess - 1);
        let last_forgotten = *last_forgotten;
        self.departed.retain(|_, departed| departed.left_at > last_forgotten);
    }

    /// What a successor starts from: for it all workers that are listed now are yet to appear.
    pub fn for_successor(
        &self,
        now: Nanos,
        listed: impl IntoIterator<Item = (String, Incarnation)>,
    ) -> WorkerStarts {
        let mut all = self.clone();
        let left = |incarnation| Departed { incarnation, left_at: now };
        all.departed.extend(listed.into_iter().map(|(host, incarnation)| (host, left(incarnation))));
        all
    }
}

/// What an incarnation born then says of the offset, in nanoseconds.
fn sample(now: Nanos, born_ms: u64) -> i64 {
    let difference = i128::from(now) - i128::from(nanos_from_millis(born_ms));
    difference.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}

//! Estimates when workers started, by the scheduler's clock. Pure: time is an argument.
//!
//! The endpoint list dates a worker's start (`born_ms`) by a wall clock that may disagree with ours. A worker
//! that appears or restarts while we watch the list is at most as old as discovery's previous response, by
//! our monotonic clock; its date can only make it younger. Dates are compared with each other through
//! `OffsetBound`, never with our own wall clock. Only lists that arrive before discovery's first response are
//! read by the wall clock, as there is nothing else to compare them with. `docs/design/0010-wall-clock.md`
//! gives the reasons.
//!
//! An incarnation of a worker is identified by its host and `born_ms`, and keeps the start that was assigned
//! to it first.

use super::clock::nanos_from_millis;
use loomlb_policy::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Maximum drift between two clocks, in parts per million.
const DRIFT_PPM: u64 = 200;
const MILLION: u64 = 1_000_000;
/// How long the starts of workers that have left the list are kept, in nanoseconds. Workers that a network
/// partition hides from discovery are still warm when they reappear.
const DEPARTED_RETENTION: Nanos = 3_600_000_000_000;
/// Maximum number of departed workers. Beyond it the earliest departures are dropped, and those workers count
/// as new if they reappear.
const MAX_DEPARTED: usize = 16_384;

/// An upper bound of the offset from the list's clock to ours, in nanoseconds.
///
/// A worker that appears at `now` started no later, so the difference between `now` and its date by the
/// list's clock is at least the offset. The smallest sample is the tightest bound. It grows with the possible
/// drift since it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OffsetBound {
    offset: i64,
    sampled_at: Nanos,
}

impl OffsetBound {
    /// Returns the bound as of `now`.
    fn at(self, now: Nanos) -> i64 {
        let elapsed = now.saturating_sub(self.sampled_at);
        self.offset.saturating_add_unsigned(elapsed / MILLION * DRIFT_PPM)
    }
}

/// An incarnation of a worker, with the start assigned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The list's date of the start, in milliseconds.
    pub born_ms: u64,
    /// The start by our clock; 0 means long ago.
    pub started: Nanos,
}

/// A worker that has left the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departed {
    incarnation: Incarnation,
    left_at: Nanos,
}

/// Estimates the starts of workers. A successor receives it and uses the same clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStarts {
    bound: Option<OffsetBound>,
    /// When discovery last sent a valid response.
    answered_at: Option<Nanos>,
    departed: BTreeMap<String, Departed>,
}

impl WorkerStarts {
    /// Records that discovery responded at `now`. Workers that a later response contains for the first time
    /// appeared after that.
    pub fn record_response(&mut self, now: Nanos) {
        self.answered_at = Some(now);
    }

    /// Updates the offset bound from the hosts and dates, in milliseconds, of all incarnations that a list
    /// contains for the first time. Called before [`WorkerStarts::assign`], so that their order in the list
    /// does not matter.
    pub fn observe<'a>(&mut self, now: Nanos, new_incarnations: impl Iterator<Item = (&'a str, u64)>) {
        let Some(answered_at) = self.answered_at else { return };
        let unknown = new_incarnations
            .filter(|(host, born_ms)| *born_ms != 0 && self.departed_start(host, *born_ms).is_none());
        let samples: Vec<i64> = unknown.map(|(_, born_ms)| offset_sample(now, born_ms)).collect();
        let Some(&smallest) = samples.iter().min() else { return };
        let largest = samples.into_iter().max().unwrap_or(smallest);
        // The largest sample is also of a worker that appeared since the previous response. A bound below
        // this floor came from a wrong date, or from before a step of the list's clock, and is discarded.
        let floor = largest.saturating_sub_unsigned(now.saturating_sub(answered_at));
        let offset = match self.bound.map(|bound| bound.at(now)) {
            Some(bound) if bound < floor => largest,
            Some(bound) => bound.min(smallest),
            None => smallest,
        };
        self.bound = Some(OffsetBound { offset, sampled_at: now });
    }

    /// Returns the start of an incarnation that the list contains for the first time, or again after it had
    /// departed.
    pub fn assign(&mut self, now: Nanos, host: &str, born_ms: u64) -> Nanos {
        if born_ms == 0 {
            return 0;
        }
        let departed_start = self.departed_start(host, born_ms);
        self.departed.remove(host);
        if let Some(started) = departed_start {
            return started;
        }
        let born = nanos_from_millis(born_ms);
        let estimate = match (self.answered_at, self.bound) {
            (Some(answered_at), Some(bound)) => born.saturating_add_signed(bound.at(now)).max(answered_at),
            _ => born,
        };
        // 0 would mean long ago.
        estimate.min(now).max(1)
    }

    /// Returns the start of an incarnation that departed recently.
    fn departed_start(&self, host: &str, born_ms: u64) -> Option<Nanos> {
        let incarnation = self.departed.get(host)?.incarnation;
        (incarnation.born_ms == born_ms).then_some(incarnation.started)
    }

    /// Records workers that have left the list.
    pub fn record_departures(
        &mut self,
        now: Nanos,
        workers: impl IntoIterator<Item = (String, Incarnation)>,
    ) {
        self.departed.retain(|_, departed| now < departed.left_at.saturating_add(DEPARTED_RETENTION));
        let as_departed = |incarnation| Departed { incarnation, left_at: now };
        self.departed.extend(workers.into_iter().map(|(host, incarnation)| (host, as_departed(incarnation))));
        self.drop_excess();
    }

    /// Drops the earliest departures beyond [`MAX_DEPARTED`].
    fn drop_excess(&mut self) {
        let excess = self.departed.len().saturating_sub(MAX_DEPARTED);
        if excess == 0 {
            return;
        }
        let mut times: Vec<Nanos> = self.departed.values().map(|departed| departed.left_at).collect();
        let (_, last_dropped, _) = times.select_nth_unstable(excess - 1);
        let last_dropped = *last_dropped;
        self.departed.retain(|_, departed| departed.left_at > last_dropped);
    }

    /// Returns a copy for a successor, with all listed workers as departed: they are yet to appear in its
    /// list.
    pub fn for_successor(
        &self,
        now: Nanos,
        listed: impl IntoIterator<Item = (String, Incarnation)>,
    ) -> WorkerStarts {
        let mut successor = self.clone();
        let as_departed = |incarnation| Departed { incarnation, left_at: now };
        successor
            .departed
            .extend(listed.into_iter().map(|(host, incarnation)| (host, as_departed(incarnation))));
        successor
    }
}

/// Returns the sample of the offset that an incarnation with this date gives, in nanoseconds.
fn offset_sample(now: Nanos, born_ms: u64) -> i64 {
    let difference = i128::from(now) - i128::from(nanos_from_millis(born_ms));
    difference.clamp(i64::MIN.into(), i64::MAX.into()) as i64
}

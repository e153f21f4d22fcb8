//! The scheduler's clock: the machine's monotonic clock, shown on a scale that is near Unix time.
//!
//! Wall time is read once, by `wall_time`, when a process starts without a predecessor. From then on only the
//! monotonic clock counts, so that a step of the wall clock moves no deadline, wait or age. A process that takes over
//! from another keeps its predecessor's [`ClockOffset`]: `CLOCK_MONOTONIC` is one clock for all processes of a machine,
//! so a time in nanoseconds means the same moment in both.

use loomlb_policy::Nanos;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[cfg(test)]
mod tests;

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// The scale never starts below this, one day: 0 has a meaning of its own ("long ago"), and a wall clock near 1970 must
/// leave room for the ages of workers.
const EARLIEST_START: Nanos = 86_400 * NANOS_PER_SECOND;

/// The reading of the scheduler's scale, in nanoseconds, at the zero of the machine's monotonic clock. Negative where
/// the wall clock was behind the machine's uptime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// The offset with which the scale reads `scale` when the monotonic clock reads `monotonic`.
    fn between(scale: Nanos, monotonic: Nanos) -> ClockOffset {
        let difference = i128::from(scale) - i128::from(monotonic);
        ClockOffset(difference.clamp(i64::MIN.into(), i64::MAX.into()) as i64)
    }

    /// What the scale reads when the monotonic clock reads `monotonic`.
    fn apply(self, monotonic: Nanos) -> Nanos {
        monotonic.saturating_add_signed(self.0)
    }
}

/// Nanoseconds on the scheduler's scale. They never run backwards, and their differences are spans of real time.
#[derive(Debug)]
pub struct Clock {
    offset: ClockOffset,
}

impl Default for Clock {
    /// A clock whose scale starts at the wall time of this moment.
    fn default() -> Self {
        Clock::starting_at(wall_time())
    }
}

impl Clock {
    /// A clock whose scale reads `wall` now, or one day where that is later.
    pub fn starting_at(wall: Nanos) -> Clock {
        Clock { offset: ClockOffset::between(wall.max(EARLIEST_START), monotonic_time()) }
    }

    /// A clock that starts at the wall time of this moment, or at `earliest` where that is later: for a successor of a
    /// build that does not send its offset, but sends times that have passed.
    pub fn starting_no_earlier_than(earliest: Nanos) -> Clock {
        Clock::starting_at(wall_time().max(earliest))
    }

    /// A clock on the scale of the process that this one takes over from.
    pub fn with_offset(predecessor: ClockOffset) -> Clock {
        Clock { offset: predecessor }
    }

    /// What a successor needs to read the same scale.
    pub fn offset(&self) -> ClockOffset {
        self.offset
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.offset.apply(monotonic_time())
    }

    /// The runtime's instant for a time of this clock; the present one for times that have passed.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        // In this order, so that the instant is never early and a timer that wakes then finds its time come.
        let wait = at.saturating_sub(self.now());
        tokio::time::Instant::now() + Duration::from_nanos(wait)
    }
}

/// The system's Unix time in nanoseconds, 0 before 1970. The only place of the program that reads the wall clock.
#[expect(clippy::disallowed_methods, reason = "the scale of a first process starts near Unix time")]
fn wall_time() -> Nanos {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_nanos().min(u64::MAX.into()) as Nanos
}

/// The machine's monotonic clock in nanoseconds: the same for all of its processes.
fn monotonic_time() -> Nanos {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as Nanos * NANOS_PER_SECOND + now.tv_nsec as Nanos
}

/// Milliseconds as nanoseconds; 0 stays 0 (long ago).
pub fn nanos_from_millis(milliseconds: u64) -> Nanos {
    milliseconds.saturating_mul(NANOS_PER_MILLISECOND)
}

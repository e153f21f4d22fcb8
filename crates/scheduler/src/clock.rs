//! The scheduler's clock: the machine's monotonic clock plus a constant offset that brings it close to Unix
//! time.
//!
//! The wall clock is read once, by `wall_time`, when a process starts without a predecessor. After that only
//! the monotonic clock counts, so a step of the wall clock moves no deadline, timeout or age. A process that
//! takes over from another one uses its predecessor's [`ClockOffset`]: all processes of a machine share
//! `CLOCK_MONOTONIC`, so a time in nanoseconds means the same moment in both.

use loomlb_policy::Nanos;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[cfg(test)]
mod tests;

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// A clock never starts below this, one day: 0 means "long ago", and ages of workers must not underflow if
/// the wall clock is near 1970.
const EARLIEST_START: Nanos = 86_400 * NANOS_PER_SECOND;

/// The difference between the scheduler's clock and the machine's monotonic clock, in nanoseconds. Negative
/// if the wall clock was behind the machine's uptime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockOffset(i64);

impl ClockOffset {
    /// Returns the offset at which the scheduler's clock reads `scheduler_time` when the monotonic clock
    /// reads `monotonic`.
    fn between(scheduler_time: Nanos, monotonic: Nanos) -> ClockOffset {
        let difference = i128::from(scheduler_time) - i128::from(monotonic);
        ClockOffset(difference.clamp(i64::MIN.into(), i64::MAX.into()) as i64)
    }

    /// Converts a reading of the monotonic clock to the scheduler's time.
    fn apply(self, monotonic: Nanos) -> Nanos {
        monotonic.saturating_add_signed(self.0)
    }
}

/// A clock in nanoseconds. It never runs backwards, and differences are elapsed real time.
#[derive(Debug)]
pub struct Clock {
    offset: ClockOffset,
}

impl Default for Clock {
    /// Creates a clock that starts at the current wall time.
    fn default() -> Self {
        Clock::starting_at(wall_time())
    }
}

impl Clock {
    /// Creates a clock that reads `wall` now, or one day if that is later.
    pub fn starting_at(wall: Nanos) -> Clock {
        Clock { offset: ClockOffset::between(wall.max(EARLIEST_START), monotonic_time()) }
    }

    /// Creates a clock that starts at the current wall time, or at `earliest` if that is later. Used by a
    /// successor of a build that sends times that have passed, but no offset.
    pub fn starting_no_earlier_than(earliest: Nanos) -> Clock {
        Clock::starting_at(wall_time().max(earliest))
    }

    /// Creates a clock that reads the same time as that of the predecessor.
    pub fn with_offset(offset: ClockOffset) -> Clock {
        Clock { offset }
    }

    /// Returns the offset that a successor needs to read the same time.
    pub fn offset(&self) -> ClockOffset {
        self.offset
    }

    /// Returns the current time.
    pub fn now(&self) -> Nanos {
        self.offset.apply(monotonic_time())
    }

    /// Converts a time of this clock to an instant of the runtime. A time in the past gives the current
    /// instant.
    pub fn instant(&self, time: Nanos) -> tokio::time::Instant {
        // This clock is read first, so that the instant is never early and no timer fires before its time.
        let wait = time.saturating_sub(self.now());
        tokio::time::Instant::now() + Duration::from_nanos(wait)
    }
}

/// Returns the system's Unix time in nanoseconds, 0 before 1970. No other code reads the wall clock.
#[expect(clippy::disallowed_methods, reason = "the clock of a first process starts near Unix time")]
fn wall_time() -> Nanos {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_nanos().min(u64::MAX.into()) as Nanos
}

/// Returns the reading of the machine's monotonic clock in nanoseconds.
fn monotonic_time() -> Nanos {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as Nanos * NANOS_PER_SECOND + now.tv_nsec as Nanos
}

/// Converts milliseconds to nanoseconds; 0 stays 0 (long ago).
pub fn nanos_from_millis(milliseconds: u64) -> Nanos {
    milliseconds.saturating_mul(NANOS_PER_MILLISECOND)
}

//! One clock for everything: monotonic, anchored once to Unix time.

use loomlb_decide::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds since 1970 that never run backwards, so that a target's start, told in Unix time, and our own
/// events are on one scale.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    anchor: Nanos,
}

impl Default for Clock {
    /// Anchors the clock to the system's time of this moment.
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), anchor: unix.as_nanos() as Nanos }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Nanos {
        self.anchor + self.start.elapsed().as_nanos() as Nanos
    }

    /// The runtime's name for a moment of this clock.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.anchor))).into()
    }
}

/// Unix milliseconds on this clock's scale; 0 stays 0 (long ago).
pub fn from_unix_ms(ms: u64) -> Nanos {
    ms.saturating_mul(1_000_000)
}

//! What follows a failed accept.

use crate::Backoff;
use crate::error_kind::{AcceptErrorKind, classify_accept_error};
use std::io;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Pause while descriptors or memory are used up, and the first one after what may last.
const PAUSE: Duration = Duration::from_millis(10);
/// The longest pause after what lasts.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// Connections in a row that may be gone before they were accepted; more of them are taken for a fault that lasts, so
/// that accepting never fills a core.
const GONE_IN_A_ROW: u32 = 64;

/// What to do after a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Accept again at once.
    RetryNow,
    /// Close something, then accept again after this pause.
    ReleaseThenRetry(Duration),
    /// Accept again after this pause.
    RetryAfter(Duration),
}

/// Counts the failed accepts of one listener, in a row.
#[derive(Debug)]
pub struct AcceptRetry {
    gone: u32,
    backoff: Backoff,
    /// A line was logged for this row.
    reported: bool,
}

impl Default for AcceptRetry {
    fn default() -> Self {
        AcceptRetry { gone: 0, backoff: Backoff::new(PAUSE, LONGEST_PAUSE), reported: false }
    }
}

impl AcceptRetry {
    /// A connection was accepted.
    pub fn record_success(&mut self) {
        *self = AcceptRetry::default();
    }

    /// An accept has failed.
    pub fn record_error(&mut self, error: &io::Error) -> AcceptAction {
        match classify_accept_error(error) {
            AcceptErrorKind::Connection if self.gone < GONE_IN_A_ROW => {
                self.gone += 1;
                AcceptAction::RetryNow
            }
            AcceptErrorKind::ResourceExhausted => AcceptAction::ReleaseThenRetry(PAUSE),
            AcceptErrorKind::Connection | AcceptErrorKind::Other => {
                AcceptAction::RetryAfter(self.backoff.pause())
            }
        }
    }

    /// Waits as long as is meant after a failed accept, where there is nothing to close for room.
    pub async fn wait_after(&mut self, error: &io::Error) {
        match self.record_error(error) {
            AcceptAction::RetryNow => {}
            AcceptAction::ReleaseThenRetry(pause) | AcceptAction::RetryAfter(pause) => {
                tokio::time::sleep(pause).await
            }
        }
    }

    /// Whether this is the first one of a row to be logged: they come as fast as the pauses allow. Connections that were
    /// gone are no fault of this process, and are not worth a line.
    pub fn should_log(&mut self, action: AcceptAction) -> bool {
        action != AcceptAction::RetryNow && !std::mem::replace(&mut self.reported, true)
    }
}

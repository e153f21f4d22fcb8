//! Decides what to do after a failed accept.

use crate::Backoff;
use crate::error_kind::{AcceptErrorKind, classify_accept_error};
use std::io;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Delay while descriptors or memory are exhausted, and first delay of the backoff after other errors.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// Longest delay after repeated errors.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Connection errors in a row that are retried without delay. Further ones back off, so that a persistent error does not
/// make the accept loop busy.
const MAX_IMMEDIATE_RETRIES: u32 = 64;

/// What to do after a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Accept again without delay.
    RetryNow,
    /// Close connections to release descriptors or memory, then accept again after this delay.
    ReleaseThenRetry(Duration),
    /// Accept again after this delay.
    RetryAfter(Duration),
}

/// Retry state of one listener since its last successful accept.
#[derive(Debug)]
pub struct AcceptRetry {
    immediate_retries: u32,
    backoff: Backoff,
    /// Whether an error has been logged since the last successful accept.
    logged: bool,
}

impl Default for AcceptRetry {
    fn default() -> Self {
        AcceptRetry {
            immediate_retries: 0,
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
            logged: false,
        }
    }
}

impl AcceptRetry {
    /// Resets the state after a successful accept.
    pub fn record_success(&mut self) {
        *self = AcceptRetry::default();
    }

    /// Records a failed accept and returns what to do next.
    pub fn record_error(&mut self, error: &io::Error) -> AcceptAction {
        match classify_accept_error(error) {
            AcceptErrorKind::Connection if self.immediate_retries < MAX_IMMEDIATE_RETRIES => {
                self.immediate_retries += 1;
                AcceptAction::RetryNow
            }
            AcceptErrorKind::ResourceExhausted => AcceptAction::ReleaseThenRetry(INITIAL_BACKOFF),
            AcceptErrorKind::Connection | AcceptErrorKind::Other => {
                AcceptAction::RetryAfter(self.backoff.next_delay())
            }
        }
    }

    /// Records a failed accept and waits for the resulting delay. For callers that have no connections to close.
    pub async fn wait_after(&mut self, error: &io::Error) {
        match self.record_error(error) {
            AcceptAction::RetryNow => {}
            AcceptAction::ReleaseThenRetry(delay) | AcceptAction::RetryAfter(delay) => {
                tokio::time::sleep(delay).await
            }
        }
    }

    /// Whether to log the error: only the first one since the last successful accept, and none that is retried without
    /// delay, because those are caused by the connecting client.
    pub fn should_log(&mut self, action: AcceptAction) -> bool {
        action != AcceptAction::RetryNow && !std::mem::replace(&mut self.logged, true)
    }
}

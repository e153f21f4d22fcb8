//! Error classification and retries for socket calls.
//!
//! [`error_kind`] classifies the errors of accept, connect and open calls. [`OpenRetry`] opens the sockets of a starting
//! process, [`AcceptRetry`] decides what to do after a failed accept, [`connect()`] opens a connection, and [`read_some`]
//! and [`write_all`] transfer bytes without taking a short read or write as a sign that the kernel's buffer is empty or
//! full.

#![forbid(unsafe_code)]

mod accept_retry;
mod connect;
pub mod error_kind;
mod open_retry;
mod transfer;

pub use accept_retry::{AcceptAction, AcceptRetry};
pub use connect::connect;
pub use open_retry::{OnAddressInUse, OpenError, OpenRetry};
pub use transfer::{is_retryable, read_some, write_all};

use std::time::Duration;

/// Exponential backoff: a delay that doubles up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    next_delay: Duration,
    max: Duration,
}

impl Backoff {
    pub(crate) const fn new(first: Duration, max: Duration) -> Backoff {
        Backoff { next_delay: first, max }
    }

    /// Returns the current delay and doubles the next one.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.next_delay;
        self.next_delay = (delay * 2).min(self.max);
        delay
    }
}

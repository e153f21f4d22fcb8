//! What a failed socket call means, in one place for all that open, accept, connect, read and write.
//!
//! [`error_kind`] sorts error numbers by what they are evidence of. [`OpenRetry`] opens sockets at a start, [`AcceptRetry`]
//! says what follows a failed accept, [`connect`] opens a connection, and [`read_some`] and [`write_all`] move bytes
//! without relying on what a short read or write says about the kernel's buffers.

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

/// A pause that doubles each time, up to a bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    next: Duration,
    most: Duration,
}

impl Backoff {
    pub(crate) const fn new(first: Duration, most: Duration) -> Backoff {
        Backoff { next: first, most }
    }

    /// The pause that comes now.
    pub(crate) fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.most);
        pause
    }
}

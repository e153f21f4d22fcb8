//! Opens the sockets of a starting process and retries transient errors.

use crate::Backoff;
use crate::error_kind::{OpenErrorKind, classify_open_error};
use std::fmt::Display;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time limit for all sockets of one start together. A scheduler must be ready within 10 s of its start.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// A socket that could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {address}: {source} ({attempts} attempts). [{code}] {advice}", code = .kind.code(), advice = .kind.advice())]
pub struct OpenError {
    /// The configuration key that sets the address.
    pub key: &'static str,
    /// The address that could not be opened.
    pub address: String,
    /// The class of the error.
    pub kind: OpenErrorKind,
    /// Number of attempts.
    pub attempts: u32,
    /// The error of the last attempt.
    pub source: io::Error,
}

impl From<OpenError> for io::Error {
    fn from(error: OpenError) -> io::Error {
        io::Error::new(error.source.kind(), error)
    }
}

/// What to do when another socket uses the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnAddressInUse {
    /// Retry: the address may belong to a process that is shutting down.
    Retry,
    /// Return the error at once: the caller knows which process uses the address.
    Fail,
}

/// Opens sockets, with one deadline for all sockets of a start.
#[derive(Clone, Copy, Debug)]
pub struct OpenRetry {
    deadline: Instant,
}

impl OpenRetry {
    /// Starts the time limit now.
    pub fn start() -> OpenRetry {
        OpenRetry { deadline: Instant::now() + OPEN_TIMEOUT }
    }

    /// Opens a socket. Retries transient errors with exponential backoff until the deadline. `key` and `address` identify
    /// the socket in the error.
    ///
    /// # Errors
    /// Returns the error of the last attempt.
    pub async fn open<T>(
        &self,
        key: &'static str,
        address: impl Display,
        on_address_in_use: OnAddressInUse,
        mut open: impl AsyncFnMut() -> io::Result<T>,
    ) -> Result<T, OpenError> {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let source = match open().await {
                Ok(opened) => return Ok(opened),
                Err(source) => source,
            };
            let kind = classify_open_error(&source);
            let fails_at_once =
                kind == OpenErrorKind::AddressInUse && on_address_in_use == OnAddressInUse::Fail;
            let delay = backoff.next_delay();
            if !kind.is_transient() || fails_at_once || Instant::now() + delay > self.deadline {
                return Err(OpenError { key, address: address.to_string(), kind, attempts, source });
            }
            tokio::time::sleep(delay).await;
        }
    }
}

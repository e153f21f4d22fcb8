//! Opening sockets at a start, in spite of what fails for a moment.

use crate::Backoff;
use crate::error_kind::{OpenErrorKind, classify_open_error};
use std::fmt::Display;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// All sockets of a start together are tried for so long. A scheduler is to be ready within 10 s of its start.
const LIMIT: Duration = Duration::from_secs(5);
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// A socket that could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {address}: {source} ({attempts} tries). [{code}] {advice}", code = .kind.code(), advice = .kind.advice())]
pub struct OpenError {
    /// The key of the configuration that names the address.
    pub key: &'static str,
    /// The address.
    pub address: String,
    /// What the error means.
    pub kind: OpenErrorKind,
    /// How often it was tried.
    pub attempts: u32,
    /// What the system says.
    pub source: io::Error,
}

impl From<OpenError> for io::Error {
    fn from(error: OpenError) -> io::Error {
        io::Error::new(error.source.kind(), error)
    }
}

/// What to do where another socket has the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnAddressInUse {
    /// It may be that of a process which is ending: try again.
    Retry,
    /// The caller knows whose it is: report it at once.
    Fail,
}

/// Opens the sockets of one start, which share a time limit.
#[derive(Clone, Copy, Debug)]
pub struct OpenRetry {
    until: Instant,
}

impl OpenRetry {
    /// From now on.
    pub fn start() -> OpenRetry {
        OpenRetry { until: Instant::now() + LIMIT }
    }

    /// Opens a socket, again after a pause that grows for as long as the error is transient and the time is not over.
    /// `key` and `address` name it in the error.
    ///
    /// # Errors
    /// The last error, with what it means.
    pub async fn open<T>(
        &self,
        key: &'static str,
        address: impl Display,
        in_use: OnAddressInUse,
        mut open: impl AsyncFnMut() -> io::Result<T>,
    ) -> Result<T, OpenError> {
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let source = match open().await {
                Ok(opened) => return Ok(opened),
                Err(source) => source,
            };
            let kind = classify_open_error(&source);
            let reported = kind == OpenErrorKind::AddressInUse && in_use == OnAddressInUse::Fail;
            let pause = backoff.pause();
            if !kind.is_transient() || reported || Instant::now() + pause > self.until {
                return Err(OpenError { key, address: address.to_string(), kind, attempts, source });
            }
            tokio::time::sleep(pause).await;
        }
    }
}

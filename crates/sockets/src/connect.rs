//! Opening a connection in spite of what fails for a moment on this machine.

use crate::Backoff;
use crate::error_kind::{ConnectErrorKind, classify_connect_error};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The first pause before another try, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const LONGEST_PAUSE: Duration = Duration::from_millis(50);
/// Tries beyond the first where the way to the other side fails: it may be for a moment, and another side may be
/// reachable while this one is not.
const PATH_RETRIES: u32 = 3;

/// Opens a connection. Nothing has been sent before it is up, so another try is always safe: faults of this machine are
/// tried again for as long as the caller waits, those of the way there three times, those of the other side never.
/// `observe` is told the fault before each pause, and none as each try begins: a caller whose time is over knows then
/// what it was waiting for. Bounded by the caller's time limit.
///
/// # Errors
/// The last error of a try, if it is not this machine's.
pub async fn connect(
    address: SocketAddr,
    mut observe: impl FnMut(Option<ConnectErrorKind>),
) -> io::Result<TcpStream> {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut path_retries = 0;
    loop {
        observe(None);
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        let kind = classify_connect_error(&error);
        match kind {
            ConnectErrorKind::Remote => return Err(error),
            ConnectErrorKind::Path if path_retries == PATH_RETRIES => return Err(error),
            ConnectErrorKind::Path => path_retries += 1,
            ConnectErrorKind::Local => {}
        }
        observe(Some(kind));
        tokio::time::sleep(backoff.pause()).await;
    }
}

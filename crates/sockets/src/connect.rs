//! Opens TCP connections and retries errors that are caused by this machine or by the network path.

use crate::Backoff;
use crate::error_kind::{ConnectErrorKind, classify_connect_error};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
const MAX_BACKOFF: Duration = Duration::from_millis(50);
/// Retries when the network path fails. Few, because another peer may be reachable while this one is not.
const MAX_PATH_RETRIES: u32 = 3;

/// Opens a connection. Retrying is always safe because nothing is sent before the connection is established. Local errors
/// are retried without limit, path errors a few times, and remote errors not at all. The caller sets the time limit by
/// dropping the future.
///
/// `observe` is called with `None` at the start of each attempt and with the kind of the error before each backoff, so
/// that after a timeout the caller knows what the call was waiting for.
///
/// # Errors
/// Returns the error of the last attempt, unless its kind is [`ConnectErrorKind::Local`].
pub async fn connect(
    address: SocketAddr,
    mut observe: impl FnMut(Option<ConnectErrorKind>),
) -> io::Result<TcpStream> {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
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
            ConnectErrorKind::Path if path_retries == MAX_PATH_RETRIES => return Err(error),
            ConnectErrorKind::Path => path_retries += 1,
            ConnectErrorKind::Local => {}
        }
        observe(Some(kind));
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

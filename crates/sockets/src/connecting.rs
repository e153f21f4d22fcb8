//! Opening a connection in spite of what fails for a moment on this machine.

use crate::Backoff;
use crate::faults::{ConnectFault, connect_fault};
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
    mut observe: impl FnMut(Option<ConnectFault>),
) -> io::Result<TcpStream> {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut path_retries = 0;
    loop {
        observe(None);
        let error = match TcpStream::connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        let fault = connect_fault(&error);
        match fault {
            ConnectFault::Remote => return Err(error),
            ConnectFault::Path if path_retries == PATH_RETRIES => return Err(error),
            ConnectFault::Path => path_retries += 1,
            ConnectFault::Local => {}
        }
        observe(Some(fault));
        tokio::time::sleep(backoff.pause()).await;
    }
}

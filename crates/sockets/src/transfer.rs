//! Reads and writes of connections that go on after a short one.
//!
//! The runtime's own `AsyncRead` takes a short read for a sign that the kernel's buffer is empty, as epoll(7) lets it,
//! and waits for the next edge. Where something between the program and the kernel shortens a read, no edge follows for
//! what is there already, and the connection stands still until its time is over. Here the kernel alone says that
//! nothing is left, at the price of one more read a wait. The same holds for writes, at no price.

use bytes::BufMut;
use std::io;
use tokio::net::TcpStream;

/// Whether a read or write has failed for this moment alone: nothing is there yet, or a signal came in between.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Waits for more bytes and appends them; 0 if the other side has closed. Loses nothing when dropped half-way.
///
/// # Errors
/// What the kernel says of a connection that is broken.
pub async fn read_some(stream: &TcpStream, buffer: &mut impl BufMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            // Other tasks get their turn even where each read is interrupted.
            Err(error) if is_retryable(&error) => tokio::task::consume_budget().await,
            read => return read,
        }
    }
}

/// Writes all of it, or fails with at least one byte unwritten.
///
/// # Errors
/// What the kernel says of a connection that is broken.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Err(error),
        }
        tokio::task::consume_budget().await;
    }
    Ok(())
}

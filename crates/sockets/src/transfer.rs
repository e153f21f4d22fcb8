//! Reads and writes that continue after a short read or write.
//!
//! Tokio's `AsyncRead` takes a short read as a sign that the kernel's buffer is empty, as epoll(7) allows, and waits for
//! the next edge. If something between the program and the kernel shortens a read, no edge follows for the bytes that
//! are already there, and the connection stalls until it times out. These functions wait only after the kernel has
//! returned `EAGAIN`, which costs one more read per wait.

use bytes::BufMut;
use std::io;
use tokio::net::TcpStream;

/// Whether a read or write can be retried as it is: it would block, or a signal interrupted it.
pub fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Waits for bytes and appends them to the buffer. Returns 0 if the remote side has closed the connection. Cancel safe.
///
/// # Errors
/// Returns the error of a broken connection.
pub async fn read_some(stream: &TcpStream, buffer: &mut impl BufMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            // Yields to other tasks even if every read is interrupted.
            Err(error) if is_retryable(&error) => tokio::task::consume_budget().await,
            result => return result,
        }
    }
}

/// Writes all bytes.
///
/// # Errors
/// Returns the error of a broken connection; at least one byte has then not been written.
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

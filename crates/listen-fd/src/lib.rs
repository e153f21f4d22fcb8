//! Adopts a listening socket that was inherited as a descriptor number.
//!
//! This crate has the only unsafe block of the workspace. The standard library has no safe conversion from a
//! number to a descriptor, and the one of rustix (`pidfd_getfd`) is blocked by common container seccomp
//! filters.

use rustix::net::sockopt::socket_acceptconn;
use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};

/// Returns a non-blocking listener on a duplicate of an inherited descriptor. The inherited one stays open,
/// so that other users of it are not affected.
///
/// # Errors
/// The descriptor is not open, or is not a listening TCP socket.
pub fn adopt_listener(fd: RawFd) -> io::Result<TcpListener> {
    if fd < 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "a descriptor number cannot be negative"));
    }
    // SAFETY: the number is not -1, and the borrow ends with this statement. It is only used for the system
    // call that duplicates the descriptor, which fails if the descriptor is not open. Nothing is closed.
    #[expect(unsafe_code)]
    let duplicate = unsafe { BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()?;
    if !socket_acceptconn(&duplicate)? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "the socket is not listening"));
    }
    let listener = TcpListener::from(duplicate);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn adopts_only_an_open_listening_socket_and_leaves_it_open() {
        let inherited = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = inherited.local_addr().unwrap();
        let adopted = adopt_listener(inherited.as_raw_fd()).unwrap();
        assert_eq!(adopted.local_addr().unwrap(), address);
        drop(adopted);
        TcpStream::connect(address).unwrap();
        let udp_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let file = std::fs::File::open("/dev/null").unwrap();
        for invalid in [-1, 9_999, udp_socket.as_raw_fd(), file.as_raw_fd()] {
            assert!(adopt_listener(invalid).is_err(), "{invalid}");
        }
    }
}

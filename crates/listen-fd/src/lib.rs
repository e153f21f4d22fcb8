//! Adopts a listening socket that this process inherited by its number. The only unsafe block of the workspace is here:
//! the standard library has no safe way from a number to a descriptor, and the one of rustix (`pidfd_getfd`) is refused by
//! common filters of containers.

use rustix::net::sockopt::socket_acceptconn;
use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};

/// The listening socket behind an inherited descriptor, as a duplicate: the inherited one stays open for as long as the
/// process runs, so that nothing closes under those who share it. An error if the descriptor is not open, or is no
/// socket that listens for TCP over IP.
pub fn adopt_listener(fd: RawFd) -> io::Result<TcpListener> {
    if fd < 0 {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "no descriptor has a number below 0"));
    }
    // SAFETY: the number is not -1, and the borrow is used for one thing alone: the system call that duplicates it, which
    // fails if nothing is open under it. Nothing is closed, and no borrow outlives this statement.
    #[expect(unsafe_code)]
    let duplicate = unsafe { BorrowedFd::borrow_raw(fd) }.try_clone_to_owned()?;
    if !socket_acceptconn(&duplicate)? {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "the socket does not listen"));
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
    fn only_an_open_socket_that_listens_is_adopted_and_it_stays_open() {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = first.local_addr().unwrap();
        let adopted = adopt_listener(first.as_raw_fd()).unwrap();
        assert_eq!(adopted.local_addr().unwrap(), at);
        drop(adopted);
        TcpStream::connect(at).unwrap();
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let file = std::fs::File::open("/dev/null").unwrap();
        for wrong in [-1, 9_999, udp.as_raw_fd(), file.as_raw_fd()] {
            assert!(adopt_listener(wrong).is_err(), "{wrong}");
        }
    }
}

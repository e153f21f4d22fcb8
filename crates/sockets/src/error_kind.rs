//! What an error number of a socket call is evidence of, after accept(2), connect(2), socket(2), bind(2) and listen(2).
//! Pure functions of the error.

use std::io;

#[cfg(test)]
mod tests;

/// Whose fault it is that no connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptErrorKind {
    /// That of one connection, which is gone: the next can be accepted at once.
    Connection,
    /// This process or machine is short of descriptors or memory: closing something helps.
    ResourceExhausted,
    /// Something else; it may last.
    Other,
}

/// Sorts the error of an accept. Linux passes pending network errors of the new connection on to accept, and accept(2)
/// asks to treat them like `EAGAIN`; `EPERM` is a firewall's word on the one connection.
pub fn classify_accept_error(error: &io::Error) -> AcceptErrorKind {
    match error.raw_os_error() {
        Some(
            libc::ECONNABORTED
            | libc::ECONNRESET
            | libc::EINTR
            | libc::EPERM
            | libc::ENETDOWN
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::EHOSTDOWN
            | libc::ENONET
            | libc::EHOSTUNREACH
            | libc::EOPNOTSUPP
            | libc::ENETUNREACH
            | libc::ETIMEDOUT,
        ) => AcceptErrorKind::Connection,
        Some(number) if is_resource_exhaustion(number) => AcceptErrorKind::ResourceExhausted,
        _ => AcceptErrorKind::Other,
    }
}

/// Whose fault it is that no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectErrorKind {
    /// This machine's, which says nothing about the other side: out of descriptors, memory or local ports, or
    /// interrupted.
    Local,
    /// The way there has failed, at this machine's routes or further on. It may be for a moment; if it lasts, the other
    /// side cannot be used from here.
    Path,
    /// The other side's, or its silence.
    Remote,
}

/// Sorts the error of a connect, the creation of its socket included. `EAGAIN` stands for a want of local ports or of
/// entries in the routing cache.
pub fn classify_connect_error(error: &io::Error) -> ConnectErrorKind {
    match error.raw_os_error() {
        Some(libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN | libc::EINTR) => ConnectErrorKind::Local,
        Some(number) if is_resource_exhaustion(number) => ConnectErrorKind::Local,
        Some(libc::ENETUNREACH | libc::ENETDOWN | libc::EHOSTUNREACH | libc::EHOSTDOWN) => {
            ConnectErrorKind::Path
        }
        _ => ConnectErrorKind::Remote,
    }
}

/// Why a socket could not be opened, bound or put to listening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenErrorKind {
    /// Another socket has the address.
    AddressInUse,
    /// No interface has the address, perhaps not yet.
    AddressNotAvailable,
    /// This process has as many descriptors as it may.
    ProcessFileLimit,
    /// The machine has as many files open as it can.
    SystemFileLimit,
    /// The machine is short of memory for sockets.
    OutOfMemory,
    /// A signal came in between.
    Interrupted,
    /// This process may not do that.
    PermissionDenied,
    /// Something else.
    Other,
}

/// Sorts the error of socket, bind or listen.
pub fn classify_open_error(error: &io::Error) -> OpenErrorKind {
    match error.raw_os_error() {
        Some(libc::EADDRINUSE) => OpenErrorKind::AddressInUse,
        Some(libc::EADDRNOTAVAIL) => OpenErrorKind::AddressNotAvailable,
        Some(libc::EMFILE) => OpenErrorKind::ProcessFileLimit,
        Some(libc::ENFILE) => OpenErrorKind::SystemFileLimit,
        Some(libc::ENOBUFS | libc::ENOMEM) => OpenErrorKind::OutOfMemory,
        Some(libc::EINTR | libc::EAGAIN) => OpenErrorKind::Interrupted,
        Some(libc::EACCES | libc::EPERM) => OpenErrorKind::PermissionDenied,
        _ => OpenErrorKind::Other,
    }
}

impl OpenErrorKind {
    /// Whether it can pass by itself within seconds.
    pub fn is_transient(self) -> bool {
        !matches!(self, OpenErrorKind::PermissionDenied | OpenErrorKind::Other)
    }

    /// A stable name, listed in docs/operate/errors.md.
    pub fn code(self) -> &'static str {
        match self {
            OpenErrorKind::AddressInUse => "socket-in-use",
            OpenErrorKind::AddressNotAvailable => "socket-no-address",
            OpenErrorKind::ProcessFileLimit => "socket-process-files",
            OpenErrorKind::SystemFileLimit => "socket-machine-files",
            OpenErrorKind::OutOfMemory => "socket-memory",
            OpenErrorKind::Interrupted => "socket-interrupted",
            OpenErrorKind::PermissionDenied => "socket-forbidden",
            OpenErrorKind::Other => "socket-failed",
        }
    }

    /// What an operator can do.
    pub fn advice(self) -> &'static str {
        match self {
            OpenErrorKind::AddressInUse => "end the process that has the address, or name another address",
            OpenErrorKind::AddressNotAvailable => "name an address that an interface of this machine has",
            OpenErrorKind::ProcessFileLimit => "raise the limit of open files of this process (ulimit -n)",
            OpenErrorKind::SystemFileLimit => {
                "end what holds so many files on this machine, or raise fs.file-max, then start again"
            }
            OpenErrorKind::OutOfMemory => "the machine is short of memory: make room, then start again",
            OpenErrorKind::Interrupted => "start again",
            OpenErrorKind::PermissionDenied => {
                "name a port above 1023, or give the process the right to this one; look at the firewall and the \
                 container's rules"
            }
            OpenErrorKind::Other => "look at the address and at the machine's network, then start again",
        }
    }

    /// All of them, for tests of the page that lists them.
    pub const ALL: [OpenErrorKind; 8] = [
        OpenErrorKind::AddressInUse,
        OpenErrorKind::AddressNotAvailable,
        OpenErrorKind::ProcessFileLimit,
        OpenErrorKind::SystemFileLimit,
        OpenErrorKind::OutOfMemory,
        OpenErrorKind::Interrupted,
        OpenErrorKind::PermissionDenied,
        OpenErrorKind::Other,
    ];
}

/// Whether descriptors or memory are used up.
fn is_resource_exhaustion(number: i32) -> bool {
    matches!(number, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
}

//! Classifies the errors of socket calls as documented in accept(2), connect(2), socket(2), bind(2) and listen(2). Pure
//! functions of the error.

use std::io;

#[cfg(test)]
mod tests;

/// Cause of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptErrorKind {
    /// The pending connection failed; the next one can be accepted without delay.
    Connection,
    /// The process or the machine is out of descriptors or memory; closing connections helps.
    ResourceExhausted,
    /// Any other error, possibly persistent.
    Other,
}

/// Classifies the error of an accept. Linux passes pending network errors of the new connection to accept, and accept(2)
/// advises to treat them like `EAGAIN`. `EPERM` means that a firewall rejected the connection.
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
        Some(errno) if is_resource_exhaustion(errno) => AcceptErrorKind::ResourceExhausted,
        _ => AcceptErrorKind::Other,
    }
}

/// Cause of a failed connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectErrorKind {
    /// This machine is out of descriptors, memory or local ports, or the call was interrupted. Says nothing about the
    /// remote side.
    Local,
    /// The network path failed, at a local route or further on. The error may be transient; if it persists, the remote
    /// side cannot be reached from here.
    Path,
    /// The remote side refused the connection or did not respond.
    Remote,
}

/// Classifies the error of a connect, including the creation of its socket. `EAGAIN` means that no local port or no entry
/// of the routing cache is free.
pub fn classify_connect_error(error: &io::Error) -> ConnectErrorKind {
    match error.raw_os_error() {
        Some(libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN | libc::EINTR) => ConnectErrorKind::Local,
        Some(errno) if is_resource_exhaustion(errno) => ConnectErrorKind::Local,
        Some(libc::ENETUNREACH | libc::ENETDOWN | libc::EHOSTUNREACH | libc::EHOSTDOWN) => {
            ConnectErrorKind::Path
        }
        _ => ConnectErrorKind::Remote,
    }
}

/// Cause of a failed socket, bind or listen call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenErrorKind {
    /// Another socket uses the address.
    AddressInUse,
    /// No interface has the address, possibly not yet.
    AddressNotAvailable,
    /// The process has reached its limit of open files.
    ProcessFileLimit,
    /// The machine has reached its limit of open files.
    SystemFileLimit,
    /// The machine is out of memory for sockets.
    OutOfMemory,
    /// A signal interrupted the call.
    Interrupted,
    /// The process lacks the permission.
    PermissionDenied,
    /// Any other error.
    Other,
}

/// Classifies the error of socket, bind or listen.
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
    /// Whether a retry within seconds can succeed.
    pub fn is_transient(self) -> bool {
        !matches!(self, OpenErrorKind::PermissionDenied | OpenErrorKind::Other)
    }

    /// Returns the stable error code, listed in docs/operate/errors.md.
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

    /// Returns what an operator can do about the error.
    pub fn advice(self) -> &'static str {
        match self {
            OpenErrorKind::AddressInUse => {
                "stop the process that uses the address, or configure another address"
            }
            OpenErrorKind::AddressNotAvailable => {
                "configure an address that an interface of this machine has"
            }
            OpenErrorKind::ProcessFileLimit => "raise the open file limit of this process (ulimit -n)",
            OpenErrorKind::SystemFileLimit => {
                "stop the processes that keep many files open on this machine, or raise fs.file-max, then restart"
            }
            OpenErrorKind::OutOfMemory => "free memory on this machine, then restart",
            OpenErrorKind::Interrupted => "restart",
            OpenErrorKind::PermissionDenied => {
                "configure a port above 1023, or allow the process to use this one; check the firewall and the \
                 container's rules"
            }
            OpenErrorKind::Other => "check the address and the network of this machine, then restart",
        }
    }

    /// All kinds, for the test that compares them with the documentation.
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

/// Whether an error number means that descriptors or memory are exhausted.
fn is_resource_exhaustion(errno: i32) -> bool {
    matches!(errno, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
}

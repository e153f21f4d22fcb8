//! What an error number of a socket call is evidence of, after accept(2), connect(2), socket(2), bind(2) and listen(2).
//! Pure functions of the error.

use std::io;

#[cfg(test)]
mod tests;

/// Whose fault it is that no connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// That of one connection, which is gone: the next can be accepted at once.
    Connection,
    /// This process or machine is short of descriptors or memory: closing something helps.
    Exhausted,
    /// Something else; it may last.
    Other,
}

/// Sorts the error of an accept. Linux passes pending network errors of the new connection on to accept, and accept(2)
/// asks to treat them like `EAGAIN`; `EPERM` is a firewall's word on the one connection.
pub fn accept_fault(error: &io::Error) -> AcceptFault {
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
        ) => AcceptFault::Connection,
        Some(number) if is_exhaustion(number) => AcceptFault::Exhausted,
        _ => AcceptFault::Other,
    }
}

/// Whose fault it is that no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
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
pub fn connect_fault(error: &io::Error) -> ConnectFault {
    match error.raw_os_error() {
        Some(libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN | libc::EINTR) => ConnectFault::Local,
        Some(number) if is_exhaustion(number) => ConnectFault::Local,
        Some(libc::ENETUNREACH | libc::ENETDOWN | libc::EHOSTUNREACH | libc::EHOSTDOWN) => ConnectFault::Path,
        _ => ConnectFault::Remote,
    }
}

/// Why a socket could not be opened, bound or put to listening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenFault {
    /// Another socket has the address.
    AddressInUse,
    /// No interface has the address, perhaps not yet.
    NoSuchAddress,
    /// This process has as many descriptors as it may.
    ProcessDescriptors,
    /// The machine has as many files open as it can.
    MachineDescriptors,
    /// The machine is short of memory for sockets.
    Memory,
    /// A signal came in between.
    Interrupted,
    /// This process may not do that.
    Forbidden,
    /// Something else.
    Other,
}

/// Sorts the error of socket, bind or listen.
pub fn open_fault(error: &io::Error) -> OpenFault {
    match error.raw_os_error() {
        Some(libc::EADDRINUSE) => OpenFault::AddressInUse,
        Some(libc::EADDRNOTAVAIL) => OpenFault::NoSuchAddress,
        Some(libc::EMFILE) => OpenFault::ProcessDescriptors,
        Some(libc::ENFILE) => OpenFault::MachineDescriptors,
        Some(libc::ENOBUFS | libc::ENOMEM) => OpenFault::Memory,
        Some(libc::EINTR | libc::EAGAIN) => OpenFault::Interrupted,
        Some(libc::EACCES | libc::EPERM) => OpenFault::Forbidden,
        _ => OpenFault::Other,
    }
}

impl OpenFault {
    /// Whether it can pass by itself within seconds.
    pub fn is_transient(self) -> bool {
        !matches!(self, OpenFault::Forbidden | OpenFault::Other)
    }

    /// A stable name, listed in docs/operate/errors.md.
    pub fn code(self) -> &'static str {
        match self {
            OpenFault::AddressInUse => "socket-in-use",
            OpenFault::NoSuchAddress => "socket-no-address",
            OpenFault::ProcessDescriptors => "socket-process-files",
            OpenFault::MachineDescriptors => "socket-machine-files",
            OpenFault::Memory => "socket-memory",
            OpenFault::Interrupted => "socket-interrupted",
            OpenFault::Forbidden => "socket-forbidden",
            OpenFault::Other => "socket-failed",
        }
    }

    /// What an operator can do.
    pub fn advice(self) -> &'static str {
        match self {
            OpenFault::AddressInUse => "end the process that has the address, or name another address",
            OpenFault::NoSuchAddress => "name an address that an interface of this machine has",
            OpenFault::ProcessDescriptors => "raise the limit of open files of this process (ulimit -n)",
            OpenFault::MachineDescriptors => {
                "end what holds so many files on this machine, or raise fs.file-max, then start again"
            }
            OpenFault::Memory => "the machine is short of memory: make room, then start again",
            OpenFault::Interrupted => "start again",
            OpenFault::Forbidden => {
                "name a port above 1023, or give the process the right to this one; look at the firewall and the \
                 container's rules"
            }
            OpenFault::Other => "look at the address and at the machine's network, then start again",
        }
    }

    /// All of them, for tests of the page that lists them.
    pub const ALL: [OpenFault; 8] = [
        OpenFault::AddressInUse,
        OpenFault::NoSuchAddress,
        OpenFault::ProcessDescriptors,
        OpenFault::MachineDescriptors,
        OpenFault::Memory,
        OpenFault::Interrupted,
        OpenFault::Forbidden,
        OpenFault::Other,
    ];
}

/// Whether descriptors or memory are used up.
fn is_exhaustion(number: i32) -> bool {
    matches!(number, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM)
}

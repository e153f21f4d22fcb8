//! Why a process cannot take its scheduler's seat among the voters, or had to leave it.

use loomlb_consensus::raft_node_error::RaftNodeError;
use loomlb_consensus::store_error::StoreError;
use std::io;
use std::net::SocketAddr;

/// An error of a voter's start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VoterError {
    /// The operator file lacks a key that a voter needs.
    #[error("{key}: missing, and {name:?} is a voter")]
    MissingKey {
        /// The key, within `[tier]`.
        key: &'static str,
        /// The scheduler.
        name: String,
    },
    /// The voter's address cannot be listened on.
    #[error("tier.listen: {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Its store or what it holds.
    #[error(transparent)]
    Agreement(#[from] RaftNodeError),
}

impl From<StoreError> for VoterError {
    fn from(e: StoreError) -> VoterError {
        VoterError::Agreement(e.into())
    }
}

impl VoterError {
    /// Whether an earlier process of the same scheduler has the file or the address: it votes until it ends.
    pub(crate) fn is_held_elsewhere(&self) -> bool {
        match self {
            VoterError::Agreement(RaftNodeError::Store(StoreError::Taken { .. })) => true,
            VoterError::Listen { source, .. } => source.kind() == io::ErrorKind::AddrInUse,
            _ => false,
        }
    }

    /// Whether a later attempt may succeed though nobody changes the configuration or the file.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            VoterError::MissingKey { .. } => false,
            VoterError::Listen { source, .. } => is_out_of_resources(source),
            VoterError::Agreement(e) => e.is_transient(),
        }
    }
}

/// Descriptors or memory have run out.
fn is_out_of_resources(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let errno = Errno::from_io_error(e);
    errno.is_some_and(|errno| [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM].contains(&errno))
}

impl From<VoterError> for io::Error {
    fn from(e: VoterError) -> io::Error {
        match e {
            VoterError::Agreement(e) => e.into(),
            other => io::Error::other(other),
        }
    }
}

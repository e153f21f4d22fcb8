//! Errors at the start of a voter.

use loomlb_consensus::raft_node_error::RaftNodeError;
use loomlb_consensus::store_error::StoreError;
use std::io;
use std::net::SocketAddr;

/// Why this process cannot become the voter of its scheduler.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VoterError {
    /// The operator file lacks a key that is required for voters.
    #[error("{key}: missing, but required because {name:?} is a voter")]
    MissingKey {
        /// The key in `[tier]`.
        key: &'static str,
        /// Name of the scheduler.
        name: String,
    },
    /// The listener of the voter cannot be opened.
    #[error("tier.listen: {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The store or its contents are unusable.
    #[error(transparent)]
    RaftNode(#[from] RaftNodeError),
}

impl From<StoreError> for VoterError {
    fn from(e: StoreError) -> VoterError {
        VoterError::RaftNode(e.into())
    }
}

impl VoterError {
    /// Whether another process uses the store or the address, usually an earlier process of this scheduler, which votes
    /// until it ends.
    pub(crate) fn is_held_by_another_process(&self) -> bool {
        match self {
            VoterError::RaftNode(RaftNodeError::Store(StoreError::Taken { .. })) => true,
            VoterError::Listen { source, .. } => source.kind() == io::ErrorKind::AddrInUse,
            _ => false,
        }
    }

    /// Whether a later attempt can succeed without a change to the configuration or the store.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            VoterError::MissingKey { .. } => false,
            VoterError::Listen { source, .. } => is_out_of_resources(source),
            VoterError::RaftNode(e) => e.is_transient(),
        }
    }
}

/// Whether descriptors or memory are exhausted.
fn is_out_of_resources(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let errno = Errno::from_io_error(e);
    errno.is_some_and(|errno| [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM].contains(&errno))
}

impl From<VoterError> for io::Error {
    fn from(e: VoterError) -> io::Error {
        match e {
            VoterError::RaftNode(e) => e.into(),
            other => io::Error::other(other),
        }
    }
}

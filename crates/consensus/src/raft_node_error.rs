//! What can go wrong in a voter's part of the agreement.

use crate::store_error::StoreError;
use std::io;

/// Why a voter takes part no more, until it is built anew from its file or started again.
#[derive(Debug, thiserror::Error)]
pub enum RaftNodeError {
    /// Its store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An entry of the log was written by a build that knows more than this one. To go on would be to guess.
    #[error("entry {index}: {source}; this build cannot read it")]
    Unreadable {
        /// The entry's index in the log.
        index: u64,
        /// What was not understood.
        source: serde_json::Error,
    },
    /// A snapshot of the document cannot be read or written.
    #[error("a snapshot of the document: {0}")]
    Snapshot(#[from] serde_json::Error),
    /// The Raft library refuses what it was given.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

impl RaftNodeError {
    /// Whether the voter may take part again, rebuilt from its file, once the store can be written.
    pub fn is_transient(&self) -> bool {
        matches!(self, RaftNodeError::Store(e) if e.is_transient())
    }

    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            RaftNodeError::Store(e) => e.advice(),
            RaftNodeError::Unreadable { .. } | RaftNodeError::Snapshot(_) => {
                "start the newest build that runs in this tier"
            }
            RaftNodeError::Raft(_) => "start the voter again, and keep its file and its log for a report",
        }
    }
}

impl From<RaftNodeError> for io::Error {
    fn from(e: RaftNodeError) -> io::Error {
        match e {
            RaftNodeError::Store(e) => e.into(),
            other => io::Error::other(format!("{other}; {}", other.advice())),
        }
    }
}

//! Errors of a voter's Raft node.

use crate::store_error::StoreError;
use std::io;

/// An error that stops a voter's Raft node. It takes part again once it is recreated from its file, or
/// restarted.
#[derive(Debug, thiserror::Error)]
pub enum RaftNodeError {
    /// The log store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An entry of the log cannot be decoded: a newer build wrote it. Skipping it would let the state
    /// diverge.
    #[error("log entry {index} cannot be read by this build: {source}")]
    UnreadableEntry {
        /// The entry's index in the log.
        index: u64,
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// A snapshot of the replicated state cannot be decoded or encoded.
    #[error("snapshot of the replicated state: {0}")]
    Snapshot(#[from] serde_json::Error),
    /// The Raft library returned an error.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
}

impl RaftNodeError {
    /// Whether a node that is recreated from its file can take part again once the store can be written.
    pub fn is_transient(&self) -> bool {
        matches!(self, RaftNodeError::Store(e) if e.is_transient())
    }

    /// Returns what an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            RaftNodeError::Store(e) => e.advice(),
            RaftNodeError::UnreadableEntry { .. } | RaftNodeError::Snapshot(_) => {
                "start the newest build that runs in this tier"
            }
            RaftNodeError::Raft(_) => "restart the voter, and keep its file and its log for a bug report",
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

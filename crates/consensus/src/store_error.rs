//! Errors of a voter's log store, with advice for the operator.

use std::io;

/// An error of a voter's log store. The [code](StoreError::code) of an error is stable;
/// docs/operate/errors.md lists all of them.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file does not exist.
    #[error("{location}: file not found")]
    Missing {
        /// The path of the file.
        location: String,
    },
    /// Another process has the file open.
    #[error("{location}: the file is locked by another process")]
    Taken {
        /// The path of the file.
        location: String,
    },
    /// The file was created by another voter, or in a tier with other voters.
    #[error("{location}: belongs to {owner:?}, but this voter is {voter:?}")]
    Foreign {
        /// The path of the file.
        location: String,
        /// The voter that created the file, with the voters of its tier.
        owner: String,
        /// This voter, with the voters of its tier.
        voter: String,
    },
    /// Bytes in front of valid records cannot be read.
    #[error("{location}: damaged at byte {offset}, with valid records from byte {next_record_offset} on")]
    Damaged {
        /// The path of the file.
        location: String,
        /// The offset of the first byte that cannot be read.
        offset: usize,
        /// The offset of the next valid record.
        next_record_offset: usize,
    },
    /// A record is of a kind, or has contents, that this build cannot read.
    #[error("{location}: byte {offset}: {record} that this build does not support")]
    Newer {
        /// The path of the file.
        location: String,
        /// The offset of the record.
        offset: usize,
        /// A description of the record.
        record: String,
    },
    /// Acknowledged records are missing, although the file was locked by this process.
    #[error("{location}: of {acknowledged} bytes that were written and synced, only {readable} can be read")]
    Lost {
        /// The path of the file.
        location: String,
        /// Bytes that were acknowledged.
        acknowledged: usize,
        /// Bytes of them that can be read.
        readable: usize,
    },
    /// The disk is full.
    #[error("{location}: the disk is full")]
    Full {
        /// The path of the file.
        location: String,
    },
    /// An operation of the system failed.
    #[error("{location}: {operation} failed: {source}")]
    Failed {
        /// The path of the file.
        location: String,
        /// The operation.
        operation: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// An earlier write or sync failed, and it is unknown which of its data is on the disk.
    #[error("{location}: closed for writing, because an earlier write or sync failed")]
    Stopped {
        /// The path of the file.
        location: String,
    },
}

impl StoreError {
    /// Returns one error of each kind, for tests of the documentation.
    pub fn samples() -> Vec<StoreError> {
        let location = || "p".to_string();
        vec![
            StoreError::Missing { location: location() },
            StoreError::Taken { location: location() },
            StoreError::Foreign { location: location(), owner: "a".into(), voter: "b".into() },
            StoreError::Damaged { location: location(), offset: 1, next_record_offset: 2 },
            StoreError::Newer { location: location(), offset: 1, record: "a record of kind 9".into() },
            StoreError::Lost { location: location(), acknowledged: 2, readable: 1 },
            StoreError::Full { location: location() },
            StoreError::Failed { location: location(), operation: "sync", source: io::Error::other("x") },
            StoreError::Stopped { location: location() },
        ]
    }

    /// Returns the stable code of the error.
    pub fn code(&self) -> &'static str {
        match self {
            StoreError::Missing { .. } => "store-missing",
            StoreError::Taken { .. } => "store-taken",
            StoreError::Foreign { .. } => "store-foreign",
            StoreError::Damaged { .. } => "store-damaged",
            StoreError::Newer { .. } => "store-newer",
            StoreError::Lost { .. } => "store-lost",
            StoreError::Full { .. } => "store-full",
            StoreError::Failed { .. } => "store-failed",
            StoreError::Stopped { .. } => "store-stopped",
        }
    }

    /// Returns what an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Missing { .. } => {
                "restore the file: a voter that has lost it could vote twice in one term. Set tier.found only for the \
                 very first start of the tier"
            }
            StoreError::Taken { .. } => {
                "stop the other process, or give this one a tier.store of its own; after an upgrade wait until the old \
                 process has exited"
            }
            StoreError::Foreign { .. } => {
                "set tier.store to the file of this voter; to change the voters, restart the whole tier with new files"
            }
            StoreError::Damaged { .. } => {
                "do not truncate the file: the records after the damage were acknowledged. Restore a copy of this \
                 file, or leave the voter stopped until the tier is started with new files"
            }
            StoreError::Newer { .. } => "start the build that wrote the file, or a newer one",
            StoreError::Lost { .. } => {
                "another program has written to the file, or the disk has lost data that it had confirmed: restore a \
                 copy of this file that is newer than the loss, or leave the voter stopped until the tier is started \
                 with new files"
            }
            StoreError::Full { .. } => {
                "free space on the disk: the voter recovers on its own, and the other voters continue meanwhile"
            }
            StoreError::Failed { .. } if !self.is_transient() => {
                "correct the path, or the permissions of the file and its directory, and restart the voter"
            }
            StoreError::Failed { .. } => {
                "check the disk: the voter recovers on its own once it can write, and the other voters continue meanwhile"
            }
            StoreError::Stopped { .. } => {
                "find the first error in the log and remove its cause: the voter recovers on its own"
            }
        }
    }

    /// Whether the same operation may succeed later without any action on the file: the disk is full or
    /// fails, or another process has the file open. After any other error an operator must remove the cause
    /// and restart the voter.
    pub fn is_transient(&self) -> bool {
        match self {
            StoreError::Taken { .. } | StoreError::Full { .. } | StoreError::Stopped { .. } => true,
            StoreError::Failed { source, .. } => !is_misconfigured(source.kind()),
            StoreError::Missing { .. }
            | StoreError::Foreign { .. }
            | StoreError::Damaged { .. }
            | StoreError::Newer { .. }
            | StoreError::Lost { .. } => false,
        }
    }

    /// Converts the error of an operation on a file.
    pub(crate) fn from_io(location: &str, operation: &'static str, source: io::Error) -> StoreError {
        let location = location.to_string();
        match source.kind() {
            io::ErrorKind::NotFound => StoreError::Missing { location },
            io::ErrorKind::WouldBlock => StoreError::Taken { location },
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StoreError::Full { location },
            _ => StoreError::Failed { location, operation, source },
        }
    }
}

impl From<StoreError> for io::Error {
    fn from(e: StoreError) -> io::Error {
        let kind = match &e {
            StoreError::Taken { .. } => io::ErrorKind::WouldBlock,
            StoreError::Missing { .. } => io::ErrorKind::NotFound,
            StoreError::Full { .. } => io::ErrorKind::StorageFull,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, format!("{e}. [{}] {}", e.code(), e.advice()))
    }
}

/// Whether an error is caused by the path or its permissions rather than by the disk.
fn is_misconfigured(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::PermissionDenied
            | io::ErrorKind::NotADirectory
            | io::ErrorKind::IsADirectory
            | io::ErrorKind::InvalidFilename
            | io::ErrorKind::InvalidInput
            | io::ErrorKind::Unsupported
    )
}

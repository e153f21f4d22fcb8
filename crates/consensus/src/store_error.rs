//! What can go wrong with a voter's store, and what an operator can do about it.

use std::io;

/// A fault of a voter's store. [`StoreError::code`] stays the same from build to build; docs/operate/errors.md has them all.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no file.
    #[error("{location}: is not there")]
    Missing {
        /// Where.
        location: String,
    },
    /// Another process has it open.
    #[error("{location}: another process has it")]
    Taken {
        /// Where.
        location: String,
    },
    /// It was founded by another voter, or in a tier with other voters.
    #[error("{location}: belongs to {owner:?}, and this is {voter:?}")]
    Foreign {
        /// Where.
        location: String,
        /// Its owner.
        owner: String,
        /// This voter.
        voter: String,
    },
    /// What lies before good records cannot be read.
    #[error("{location}: byte {offset}: damaged, with good records from byte {next_record_offset} on")]
    Damaged {
        /// Where.
        location: String,
        /// First byte that cannot be read.
        offset: usize,
        /// Where the next good record begins.
        next_record_offset: usize,
    },
    /// A record that this build does not know, or whose contents it cannot read.
    #[error("{location}: byte {offset}: {record}, which this build does not know")]
    Newer {
        /// Where.
        location: String,
        /// Where the record begins.
        offset: usize,
        /// What it is.
        record: String,
    },
    /// What was acknowledged is not there any more, though the file was this process's alone.
    #[error("{location}: {acknowledged} bytes were acknowledged, and {readable} of them can be read")]
    Lost {
        /// Where.
        location: String,
        /// Bytes that were acknowledged.
        acknowledged: usize,
        /// Bytes that are left.
        readable: usize,
    },
    /// The disk has no room.
    #[error("{location}: the disk is full")]
    Full {
        /// Where.
        location: String,
    },
    /// Reading, writing or syncing failed.
    #[error("{location}: {operation}: {source}")]
    Failed {
        /// Where.
        location: String,
        /// What was under way.
        operation: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// An earlier write or sync failed, and nobody knows what of it is on the disk.
    #[error("{location}: takes nothing more since a write or a sync failed")]
    Stopped {
        /// Where.
        location: String,
    },
}

impl StoreError {
    /// One of each, for tests of pages and advice.
    pub fn samples() -> Vec<StoreError> {
        let place = || "p".to_string();
        vec![
            StoreError::Missing { location: place() },
            StoreError::Taken { location: place() },
            StoreError::Foreign { location: place(), owner: "a".into(), voter: "b".into() },
            StoreError::Damaged { location: place(), offset: 1, next_record_offset: 2 },
            StoreError::Newer { location: place(), offset: 1, record: "a record of kind 9".into() },
            StoreError::Lost { location: place(), acknowledged: 2, readable: 1 },
            StoreError::Full { location: place() },
            StoreError::Failed { location: place(), operation: "sync", source: io::Error::other("x") },
            StoreError::Stopped { location: place() },
        ]
    }

    /// A stable name.
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

    /// What an operator can do.
    pub fn advice(&self) -> &'static str {
        match self {
            StoreError::Missing { .. } => {
                "a voter that has lost its file must not vote as if it had never voted: set tier.found for the very \
                 first start of the tier, else restore the file"
            }
            StoreError::Taken { .. } => {
                "end the other process, or give this one a tier.store of its own; after an upgrade wait until the old \
                 process has ended"
            }
            StoreError::Foreign { .. } => {
                "name this voter's own file in tier.store; to change the voters, restart the whole tier with new files"
            }
            StoreError::Damaged { .. } => {
                "do not cut the file: what follows the damage was acknowledged. Restore a copy of this very file, or \
                 leave the voter out until the tier is founded anew"
            }
            StoreError::Newer { .. } => "start the build that wrote the file, or a newer one",
            StoreError::Lost { .. } => {
                "somebody has written to the file, or the disk has lost what it had taken: restore a copy of this very \
                 file from after the loss, or leave the voter out until the tier is founded anew"
            }
            StoreError::Full { .. } => {
                "make room on the disk: the voter comes back by itself, and the others go on meanwhile"
            }
            StoreError::Failed { .. } if !self.is_transient() => {
                "mend the path or the rights on the file and its directory, and start the voter again"
            }
            StoreError::Failed { .. } => {
                "look at the disk: the voter comes back by itself once it can be written, and the others go on meanwhile"
            }
            StoreError::Stopped { .. } => {
                "look for the first error in the log and mend its cause: the voter comes back by itself"
            }
        }
    }

    /// Whether the same call may succeed later without anybody at work on the file: the disk is full or fails, or
    /// another process has it open. Any other error lasts until an operator mends its cause and starts the voter again.
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

    /// What a failed operation at a place comes to.
    pub(crate) fn of(place: &str, doing: &'static str, source: io::Error) -> StoreError {
        let place = place.to_string();
        match source.kind() {
            io::ErrorKind::NotFound => StoreError::Missing { location: place },
            io::ErrorKind::WouldBlock => StoreError::Taken { location: place },
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StoreError::Full { location: place },
            _ => StoreError::Failed { location: place, operation: doing, source },
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

/// Whether an error of the system comes of the path or its rights rather than of the disk.
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

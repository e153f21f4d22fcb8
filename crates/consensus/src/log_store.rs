//! What a voter must not forget: votes, entries and pictures of the document, in one file of checked records.

use crate::storage::{DurableFile, StorageLocation};
use crate::store_error::StoreError;
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::io;

/// What stood on a disk.
#[derive(Debug, Default, Clone)]
pub struct StoredLog {
    /// The picture that the entries follow.
    pub snapshot: Option<Snapshot>,
    /// Entries, without a gap.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index.
    pub hard_state: HardState,
}

/// Where a voter writes. What is not on the disk when a call returns well must not be told to anyone.
pub trait LogStore {
    /// Adds entries, which replace those from their first index on, and the vote.
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError>;
    /// Writes all anew: a picture, and the entries after it.
    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError>;
    /// After an error: reads what was acknowledged, and writes it anew so that it lasts. What was not acknowledged is
    /// dropped, or there completely. Until this succeeds every other call is answered by [`StoreError::Stopped`]; it may
    /// be called again after a [transient](StoreError::is_transient) error. The file stays locked throughout.
    ///
    /// Whoever has built a state on the entries must build it anew from what this returns.
    fn recover(&mut self) -> Result<StoredLog, StoreError>;
}

const OWNER: u8 = 0;
const ENTRY: u8 = 1;
const HARD: u8 = 2;
const PICTURE: u8 = 3;
/// Length, checksum and kind before each record.
const HEAD: usize = 4 + 8 + 1;
/// A longer record is none.
const LONGEST: usize = 64 << 20;

/// The file of a voter.
#[derive(Debug)]
pub struct LogFile {
    file: Box<dyn DurableFile>,
    place: String,
    owner: String,
    /// Bytes from the start of the file that a successful call has put on the disk.
    acknowledged: usize,
    /// The operation that failed, and after which this handle takes nothing more until it has recovered. Another sync
    /// would say that all is well, and it would not be.
    failed: Option<Operation>,
}

/// An operation on the file.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// Records are added behind those that are acknowledged.
    Append,
    /// All contents are replaced by others of this length.
    Replace { length: usize },
}

impl Operation {
    /// What it is called in an error.
    fn name(self) -> &'static str {
        match self {
            Operation::Append => "write",
            Operation::Replace { .. } => "replace",
        }
    }
}

/// The records at the start of a file.
#[derive(Debug, Default)]
struct Records {
    loaded: StoredLog,
    /// Where the first record begins that is not complete.
    length: usize,
    /// Whether the record of the owner is there.
    owned: bool,
}

fn record(out: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind, payload));
    out.push(kind);
    out.extend_from_slice(payload);
}

fn records(out: &mut Vec<u8>, entries: &[Entry], hard: Option<&HardState>) -> io::Result<()> {
    for entry in entries {
        record(out, ENTRY, &written(entry)?);
    }
    if let Some(hard) = hard {
        record(out, HARD, &written(hard)?);
    }
    Ok(())
}

fn checksum(kind: u8, payload: &[u8]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind]).update(payload);
    let mut short = [0; 8];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    short
}

/// The record at the start of these bytes, and how long it is; none if it is not whole and right.
fn first(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let payload = bytes.get(HEAD..HEAD.checked_add(length).filter(|_| length <= LONGEST)?)?;
    (checksum(bytes[12], payload) == bytes[4..12]).then_some((bytes[12], payload, HEAD + length))
}

fn written<M: Message>(message: &M) -> io::Result<Vec<u8>> {
    message.write_to_bytes().map_err(io::Error::other)
}

fn read<M: Message>(bytes: &[u8]) -> io::Result<M> {
    M::parse_from_bytes(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

impl Records {
    /// Reads the records of a voter's file. One that was not written to its end is left out; damage before others, or
    /// another voter's file, is refused.
    fn parse(place: &str, owner: &str, bytes: &[u8]) -> Result<Records, StoreError> {
        let mut records = Records::default();
        while let Some((kind, payload, length)) = first(&bytes[records.length..]) {
            if !records.owned && (kind != OWNER || payload != owner.as_bytes()) {
                let whose = String::from_utf8_lossy(payload).into_owned();
                return Err(StoreError::Foreign {
                    location: place.into(),
                    owner: whose,
                    voter: owner.into(),
                });
            }
            records.owned = true;
            let at = records.length;
            records.loaded.add(kind, payload).map_err(|what| StoreError::Newer {
                location: place.into(),
                offset: at,
                record: what,
            })?;
            records.length += length;
        }
        let at = records.length;
        // A torn record was never acknowledged; one that is complete further on was, so what lies before it is damaged.
        let is_record = |i: &usize| first(&bytes[*i..]).is_some_and(|(kind, ..)| kind <= PICTURE);
        match (at + 1..bytes.len()).find(is_record) {
            Some(next) => {
                Err(StoreError::Damaged { location: place.into(), offset: at, next_record_offset: next })
            }
            None => Ok(records),
        }
    }
}

impl StoredLog {
    /// Takes in the next record of a file; what it is if this build does not know it.
    fn add(&mut self, kind: u8, payload: &[u8]) -> Result<(), String> {
        let unreadable = |e: io::Error| format!("a record of kind {kind} ({e})");
        match kind {
            OWNER => {}
            ENTRY => {
                let entry: Entry = read(payload).map_err(unreadable)?;
                self.entries.retain(|e| e.index < entry.index);
                self.entries.push(entry);
            }
            HARD => self.hard_state = read(payload).map_err(unreadable)?,
            PICTURE => {
                self.entries.clear();
                self.snapshot = Some(read(payload).map_err(unreadable)?);
            }
            other => return Err(format!("a record of kind {other}")),
        }
        Ok(())
    }
}

impl LogFile {
    /// Opens the file of a voter, or founds it where `found` says that there is none yet. A record that was not written
    /// to its end is cut off; damage before others, or another voter's file, is refused.
    ///
    /// What is read is written anew before it is returned. The process before may have ended after a sync that failed,
    /// and then the kernel shows records that are not on the disk and that no later sync would write.
    pub fn open(
        place: &dyn StorageLocation,
        owner: &str,
        found: bool,
    ) -> Result<(LogFile, StoredLog), StoreError> {
        let name = place.name();
        let mut file = place.open(found).map_err(|e| StoreError::of(&name, "open", e))?;
        let bytes = file.read_all().map_err(|e| StoreError::of(&name, "read", e))?;
        let records = Records::parse(&name, owner, &bytes)?;
        let mut log =
            LogFile { file, place: name, owner: owner.into(), acknowledged: records.length, failed: None };
        if records.owned {
            log.rewrite(&bytes[..records.length])?;
        } else {
            let mut founding = Vec::new();
            record(&mut founding, OWNER, owner.as_bytes());
            log.rewrite(&founding)?;
        }
        Ok((log, records.loaded))
    }

    /// Does an operation after whose failure nothing more is taken until [`LogStore::recover`] succeeds.
    fn guarded(
        &mut self,
        operation: Operation,
        work: impl FnOnce(&mut dyn DurableFile) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if self.failed.is_some() {
            return Err(StoreError::Stopped { location: self.place.clone() });
        }
        self.failed = Some(operation);
        work(&mut *self.file).map_err(|e| StoreError::of(&self.place, operation.name(), e))?;
        self.failed = None;
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.guarded(Operation::Append, |file| {
            write_all(file, bytes)?;
            file.sync()
        })?;
        self.acknowledged += bytes.len();
        Ok(())
    }

    fn rewrite(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.guarded(Operation::Replace { length: bytes.len() }, |file| file.replace_contents(bytes))?;
        self.acknowledged = bytes.len();
        Ok(())
    }

    /// How much of a file with `length` bytes holds, after this operation failed. A replacement may have taken place
    /// before the error; a file that has its length is then complete, as is the one from before.
    fn kept_after(&self, failed: Operation, length: usize) -> usize {
        match failed {
            Operation::Replace { length: replaced } if replaced == length => length,
            Operation::Replace { .. } | Operation::Append => self.acknowledged,
        }
    }
}

fn write_all(file: &mut dyn DurableFile, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(some) => bytes = &bytes[some..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

impl LogStore for LogFile {
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError> {
        let mut out = Vec::new();
        records(&mut out, entries, hard).map_err(|e| StoreError::of(&self.place, "encode", e))?;
        self.write(&out)
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError> {
        let mut out = Vec::new();
        record(&mut out, OWNER, self.owner.as_bytes());
        let encoded = written(snapshot).and_then(|picture| {
            record(&mut out, PICTURE, &picture);
            records(&mut out, entries, hard)
        });
        encoded.map_err(|e| StoreError::of(&self.place, "encode", e))?;
        self.rewrite(&out)
    }

    fn recover(&mut self) -> Result<StoredLog, StoreError> {
        let failed = self.failed.unwrap_or(Operation::Append);
        self.failed = Some(failed);
        let mut bytes = self.file.read_all().map_err(|e| StoreError::of(&self.place, "read", e))?;
        let kept = self.kept_after(failed, bytes.len());
        bytes.truncate(kept);
        let records = Records::parse(&self.place, &self.owner, &bytes)?;
        if records.length < kept {
            let place = self.place.clone();
            return Err(StoreError::Lost { location: place, acknowledged: kept, readable: records.length });
        }
        // Not appended to: what was read need not be on the disk. See `DurableFile`.
        self.file.replace_contents(&bytes).map_err(|e| StoreError::of(&self.place, "replace", e))?;
        self.acknowledged = kept;
        self.failed = None;
        Ok(records.loaded)
    }
}

#[cfg(test)]
mod tests;

//! Persistence of a voter's Raft state: entries, hard state and snapshots, in one file of records with
//! checksums.

use crate::storage::{DurableFile, StorageLocation};
use crate::store_error::StoreError;
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::io;

/// The Raft state that a store holds.
#[derive(Debug, Default, Clone)]
pub struct StoredLog {
    /// The latest snapshot; the entries follow it.
    pub snapshot: Option<Snapshot>,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index.
    pub hard_state: HardState,
}

/// Durable storage of a voter's Raft state. A message that depends on a write must not be sent before the
/// write succeeded.
pub trait LogStore {
    /// Appends entries, which replace stored ones from the first new index on, and the hard state.
    fn append(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), StoreError>;
    /// Replaces the whole contents by a snapshot and the entries after it.
    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<(), StoreError>;
    /// Recovers after a failed operation: reads the acknowledged records and writes them again, so that they
    /// are durable. A write that failed is then either dropped or complete.
    ///
    /// Until this succeeds, every other operation fails with [`StoreError::Stopped`]. It may be repeated
    /// after a [transient](StoreError::is_transient) error. The file stays locked throughout. State that was
    /// built from the store must be rebuilt from the result.
    fn recover(&mut self) -> Result<StoredLog, StoreError>;
}

// Kinds of records.
const OWNER_RECORD: u8 = 0;
const ENTRY_RECORD: u8 = 1;
const HARD_STATE_RECORD: u8 = 2;
const SNAPSHOT_RECORD: u8 = 3;
/// Length, checksum and kind, in front of each payload.
const HEADER_BYTES: usize = 4 + 8 + 1;
/// The longest payload of a valid record.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// A voter's log in a file.
#[derive(Debug)]
pub struct LogFile {
    file: Box<dyn DurableFile>,
    location: String,
    owner: String,
    /// Length of the prefix that successful operations have made durable.
    acknowledged: usize,
    /// The operation that failed, until recovery succeeds. A later sync could succeed although data was lost.
    failed: Option<Operation>,
}

/// An operation on the file.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// Appends records.
    Append,
    /// Replaces the contents by others of this length.
    Replace { length: usize },
}

impl Operation {
    /// Returns the name of the operation in an error message.
    fn name(self) -> &'static str {
        match self {
            Operation::Append => "write",
            Operation::Replace { .. } => "replace",
        }
    }
}

/// The valid records at the start of a file.
#[derive(Debug, Default)]
struct ParsedRecords {
    log: StoredLog,
    /// Length of the valid records.
    length: usize,
    /// Whether the owner record is present.
    has_owner: bool,
}

fn encode_record(out: &mut Vec<u8>, kind: u8, payload: &[u8]) {
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind, payload));
    out.push(kind);
    out.extend_from_slice(payload);
}

fn encode_records(out: &mut Vec<u8>, entries: &[Entry], hard_state: Option<&HardState>) -> io::Result<()> {
    for entry in entries {
        encode_record(out, ENTRY_RECORD, &encode(entry)?);
    }
    if let Some(hard_state) = hard_state {
        encode_record(out, HARD_STATE_RECORD, &encode(hard_state)?);
    }
    Ok(())
}

fn checksum(kind: u8, payload: &[u8]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[kind]).update(payload);
    let mut checksum = [0; 8];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    checksum
}

/// Decodes the record at the start of `bytes`: kind, payload and total length. None if it is incomplete or
/// invalid.
fn decode_record(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let payload =
        bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length).filter(|_| length <= MAX_PAYLOAD_BYTES)?)?;
    (checksum(bytes[12], payload) == bytes[4..12]).then_some((bytes[12], payload, HEADER_BYTES + length))
}

fn encode<M: Message>(message: &M) -> io::Result<Vec<u8>> {
    message.write_to_bytes().map_err(io::Error::other)
}

fn decode<M: Message>(bytes: &[u8]) -> io::Result<M> {
    M::parse_from_bytes(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}

impl ParsedRecords {
    /// Parses a voter's file. A torn record at the end is left out.
    ///
    /// # Errors
    /// Damage in front of valid records, the file of another voter, or a record that this build cannot read.
    fn parse(location: &str, owner: &str, bytes: &[u8]) -> Result<ParsedRecords, StoreError> {
        let mut records = ParsedRecords::default();
        while let Some((kind, payload, length)) = decode_record(&bytes[records.length..]) {
            if !records.has_owner && (kind != OWNER_RECORD || payload != owner.as_bytes()) {
                let file_owner = String::from_utf8_lossy(payload).into_owned();
                return Err(StoreError::Foreign {
                    location: location.into(),
                    owner: file_owner,
                    voter: owner.into(),
                });
            }
            records.has_owner = true;
            let offset = records.length;
            records.log.add(kind, payload).map_err(|record| StoreError::Newer {
                location: location.into(),
                offset,
                record,
            })?;
            records.length += length;
        }
        let offset = records.length;
        // Only the last record can be torn. If a valid record follows, the bytes before it were acknowledged
        // and are damaged.
        let is_record =
            |i: &usize| decode_record(&bytes[*i..]).is_some_and(|(kind, ..)| kind <= SNAPSHOT_RECORD);
        match (offset + 1..bytes.len()).find(is_record) {
            Some(next_record_offset) => {
                Err(StoreError::Damaged { location: location.into(), offset, next_record_offset })
            }
            None => Ok(records),
        }
    }
}

impl StoredLog {
    /// Adds the next record of a file.
    ///
    /// # Errors
    /// A description of the record if this build cannot read it.
    fn add(&mut self, kind: u8, payload: &[u8]) -> Result<(), String> {
        let unreadable = |e: io::Error| format!("a record of kind {kind} ({e})");
        match kind {
            OWNER_RECORD => {}
            ENTRY_RECORD => {
                let entry: Entry = decode(payload).map_err(unreadable)?;
                self.entries.retain(|e| e.index < entry.index);
                self.entries.push(entry);
            }
            HARD_STATE_RECORD => self.hard_state = decode(payload).map_err(unreadable)?,
            SNAPSHOT_RECORD => {
                self.entries.clear();
                self.snapshot = Some(decode(payload).map_err(unreadable)?);
            }
            other => return Err(format!("a record of kind {other}")),
        }
        Ok(())
    }
}

impl LogFile {
    /// Opens the log of a voter, or creates it if it is missing and `create` is set. A torn record at the end
    /// is cut off.
    ///
    /// The contents are written again before they are returned. If a sync of the previous process failed, the
    /// kernel may show records that are not on the disk and that a later sync would not write.
    ///
    /// # Errors
    /// Damage in front of valid records, the file of another voter, or an error of the disk.
    pub fn open(
        location: &dyn StorageLocation,
        owner: &str,
        create: bool,
    ) -> Result<(LogFile, StoredLog), StoreError> {
        let name = location.name();
        let mut file = location.open(create).map_err(|e| StoreError::from_io(&name, "open", e))?;
        let bytes = file.read_all().map_err(|e| StoreError::from_io(&name, "read", e))?;
        let records = ParsedRecords::parse(&name, owner, &bytes)?;
        let mut log =
            LogFile { file, location: name, owner: owner.into(), acknowledged: records.length, failed: None };
        if records.has_owner {
            log.replace_contents(&bytes[..records.length])?;
        } else {
            let mut initial = Vec::new();
            encode_record(&mut initial, OWNER_RECORD, owner.as_bytes());
            log.replace_contents(&initial)?;
        }
        Ok((log, records.log))
    }

    /// Runs an operation. After a failure all further operations are rejected until [`LogStore::recover`]
    /// succeeds.
    fn run(
        &mut self,
        operation: Operation,
        work: impl FnOnce(&mut dyn DurableFile) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        if self.failed.is_some() {
            return Err(StoreError::Stopped { location: self.location.clone() });
        }
        self.failed = Some(operation);
        work(&mut *self.file).map_err(|e| StoreError::from_io(&self.location, operation.name(), e))?;
        self.failed = None;
        Ok(())
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.run(Operation::Append, |file| {
            write_all(file, bytes)?;
            file.sync()
        })?;
        self.acknowledged += bytes.len();
        Ok(())
    }

    fn replace_contents(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        self.run(Operation::Replace { length: bytes.len() }, |file| file.replace_contents(bytes))?;
        self.acknowledged = bytes.len();
        Ok(())
    }

    /// Returns how many bytes of a file of this length to keep after an operation failed. A replacement may
    /// have taken place before it failed; a file of the new length is complete then.
    fn length_to_keep(&self, failed: Operation, length: usize) -> usize {
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
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

impl LogStore for LogFile {
    fn append(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), StoreError> {
        let mut out = Vec::new();
        encode_records(&mut out, entries, hard_state)
            .map_err(|e| StoreError::from_io(&self.location, "encode", e))?;
        self.append_bytes(&out)
    }

    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<(), StoreError> {
        let mut out = Vec::new();
        encode_record(&mut out, OWNER_RECORD, self.owner.as_bytes());
        let encoded = encode(snapshot).and_then(|payload| {
            encode_record(&mut out, SNAPSHOT_RECORD, &payload);
            encode_records(&mut out, entries, hard_state)
        });
        encoded.map_err(|e| StoreError::from_io(&self.location, "encode", e))?;
        self.replace_contents(&out)
    }

    fn recover(&mut self) -> Result<StoredLog, StoreError> {
        let failed = self.failed.unwrap_or(Operation::Append);
        self.failed = Some(failed);
        let mut bytes = self.file.read_all().map_err(|e| StoreError::from_io(&self.location, "read", e))?;
        let kept = self.length_to_keep(failed, bytes.len());
        bytes.truncate(kept);
        let records = ParsedRecords::parse(&self.location, &self.owner, &bytes)?;
        if records.length < kept {
            let location = self.location.clone();
            return Err(StoreError::Lost { location, acknowledged: kept, readable: records.length });
        }
        // Replaced rather than appended to: after a failed sync the bytes just read may not be on the disk.
        self.file.replace_contents(&bytes).map_err(|e| StoreError::from_io(&self.location, "replace", e))?;
        self.acknowledged = kept;
        self.failed = None;
        Ok(records.log)
    }
}

#[cfg(test)]
mod tests;

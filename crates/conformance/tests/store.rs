//! Tests that the stores satisfy all clauses, and that each clause detects a store with the corresponding defect.

use loomlb_conformance::{FaultyStorage, STORE_CLAUSES, StoreUnderTest, violations};
use loomlb_consensus::log_store::{LogFile, LogStore, StoredLog};
use loomlb_consensus::storage::{DurableFile, MemoryStorage, StorageFault, StorageLocation};
use loomlb_consensus::store_error::StoreError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::cell::Cell;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// A voter's log in a file, with simulated faults.
struct OnDisk {
    location: FaultyStorage<std::path::PathBuf>,
    _directory: tempfile::TempDir,
}

impl OnDisk {
    fn new() -> OnDisk {
        let directory = tempfile::tempdir().unwrap();
        let location =
            FaultyStorage { location: directory.path().join("voter.log"), fault: Rc::new(Cell::new(None)) };
        OnDisk { location, _directory: directory }
    }
    fn path(&self) -> &Path {
        &self.location.location
    }
}

impl StoreUnderTest for OnDisk {
    fn open(&self, owner: &str, create: bool) -> Result<(Box<dyn LogStore>, StoredLog), StoreError> {
        LogFile::open(&self.location, owner, create)
            .map(|(log, stored)| (Box::new(log) as Box<dyn LogStore>, stored))
    }
    fn stored_bytes(&self) -> Vec<u8> {
        std::fs::read(self.path()).unwrap()
    }
    fn overwrite(&self, bytes: &[u8]) {
        std::fs::write(self.path(), bytes).unwrap();
    }
    fn inject_fault(&self, fault: StorageFault) {
        self.location.fault.set(Some(fault));
    }
    fn clear_fault(&self) {
        self.location.fault.set(None);
    }
    fn restart(&self) {
        self.location.fault.set(None);
    }
}

#[test]
fn a_voters_log_satisfies_all_clauses_in_memory_and_on_disk() {
    let in_memory = violations(&|| Box::new(InMemory(MemoryStorage::default(), None)));
    assert!(in_memory.is_empty(), "{in_memory:#?}");
    let on_disk = violations(&|| Box::new(OnDisk::new()));
    assert!(on_disk.is_empty(), "{on_disk:#?}");
}

/// A defect of a store or of its storage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    EntryDropped,
    EntryNotReplaced,
    VoteNotReplaced,
    SnapshotDropped,
    TornTailRejected,
    DamageTruncated,
    OwnerIgnored,
    NotLocked,
    CreatedWithoutRequest,
    ShortWriteIgnored,
    FullDiskIgnored,
    FailedSyncIgnored,
    TornEntryAccepted,
    ReplacedInPlace,
    RecoveryFails,
    UnacknowledgedSnapshotRecovered,
    ReadEntriesNotRewritten,
}

#[derive(Debug)]
struct DefectiveStorage(MemoryStorage, Option<Defect>);

impl StorageLocation for DefectiveStorage {
    fn name(&self) -> String {
        self.0.name()
    }
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = self.0.open(create)?;
        Ok(Box::new(DefectiveFile { file, storage: self.0.clone(), defect: self.1 }))
    }
}

#[derive(Debug)]
struct DefectiveFile {
    file: Box<dyn DurableFile>,
    storage: MemoryStorage,
    defect: Option<Defect>,
}

impl DurableFile for DefectiveFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.file.read_all()
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match (self.file.write(bytes), self.defect) {
            (Ok(_), Some(Defect::ShortWriteIgnored)) => Ok(bytes.len()),
            (Err(e), Some(Defect::FullDiskIgnored)) if e.kind() == io::ErrorKind::StorageFull => {
                Ok(bytes.len())
            }
            (result, _) => result,
        }
    }
    fn sync(&mut self) -> io::Result<()> {
        match self.file.sync() {
            Err(_) if self.defect == Some(Defect::FailedSyncIgnored) => Ok(()),
            result => result,
        }
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.defect == Some(Defect::ReadEntriesNotRewritten) && self.file.read_all()? == bytes {
            return Ok(());
        }
        let replaced = self.file.replace_contents(bytes);
        if replaced.is_err() && self.defect == Some(Defect::ReplacedInPlace) {
            self.storage.overwrite(&bytes[..bytes.len() / 2]);
        }
        replaced
    }
}

/// A voter's log in memory, with or without a defect.
struct InMemory(MemoryStorage, Option<Defect>);

struct DefectiveLog(Box<dyn LogStore>, Option<Defect>, u64);

impl LogStore for DefectiveLog {
    fn append(&mut self, entries: &[Entry], hard_state: Option<&HardState>) -> Result<(), StoreError> {
        let last = self.2;
        self.2 = entries.last().map_or(last, |e| e.index);
        match self.1 {
            Some(Defect::EntryDropped) if entries.iter().any(|e| e.index == 7) => Ok(()),
            Some(Defect::EntryNotReplaced) if entries.first().is_some_and(|e| e.index <= last) => Ok(()),
            Some(Defect::VoteNotReplaced) if hard_state.is_some_and(|h| h.term > 1) => Ok(()),
            _ => self.0.append(entries, hard_state),
        }
    }
    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<(), StoreError> {
        match self.1 {
            Some(Defect::SnapshotDropped) => self.0.append(entries, hard_state),
            _ => self.0.replace(snapshot, entries, hard_state),
        }
    }
    fn recover(&mut self) -> Result<StoredLog, StoreError> {
        let mut recovered = self.0.recover();
        match (self.1, &mut recovered) {
            (Some(Defect::RecoveryFails), _) => Err(StoreError::Stopped { location: "stopped".into() }),
            (Some(Defect::UnacknowledgedSnapshotRecovered), Ok(stored)) => {
                stored.snapshot = Some(Snapshot::default());
                recovered
            }
            _ => recovered,
        }
    }
}

impl StoreUnderTest for InMemory {
    fn open(&self, owner: &str, create: bool) -> Result<(Box<dyn LogStore>, StoredLog), StoreError> {
        let InMemory(memory, defect) = self;
        let before = memory.durable_bytes().len();
        if *defect == Some(Defect::NotLocked) {
            // Releases the lock of the first opener.
            memory.lose_power(usize::MAX);
        }
        let effective_owner = if *defect == Some(Defect::OwnerIgnored) { "a of a, b, c" } else { owner };
        let opened = LogFile::open(
            &DefectiveStorage(memory.clone(), *defect),
            effective_owner,
            create || *defect == Some(Defect::CreatedWithoutRequest),
        );
        let opened = match opened {
            Err(StoreError::Damaged { offset: valid_length, .. })
                if *defect == Some(Defect::DamageTruncated) =>
            {
                memory.overwrite(&memory.durable_bytes()[..valid_length]);
                LogFile::open(memory, effective_owner, create)
            }
            opened => opened,
        };
        let (log, mut stored) = opened?;
        let valid_length = memory.durable_bytes().len();
        if *defect == Some(Defect::TornTailRejected) && valid_length < before {
            return Err(StoreError::Damaged {
                location: memory.name(),
                offset: valid_length,
                next_record_offset: before,
            });
        }
        if *defect == Some(Defect::TornEntryAccepted) && stored.entries.len() == 2 {
            stored.entries.push(Entry { index: 3, ..Entry::default() });
        }
        let last = stored.entries.last().map_or(0, |e| e.index);
        Ok((Box::new(DefectiveLog(Box::new(log), *defect, last)), stored))
    }
    fn stored_bytes(&self) -> Vec<u8> {
        self.0.durable_bytes()
    }
    fn overwrite(&self, bytes: &[u8]) {
        self.0.overwrite(bytes);
    }
    fn inject_fault(&self, fault: StorageFault) {
        self.0.inject_fault(fault);
    }
    fn clear_fault(&self) {
        self.0.clear_fault();
    }
    fn restart(&self) {
        self.0.lose_power(0);
    }
}

#[test]
fn each_clause_detects_a_store_with_the_corresponding_defect() {
    let defects = [
        Defect::EntryDropped,
        Defect::EntryNotReplaced,
        Defect::VoteNotReplaced,
        Defect::SnapshotDropped,
        Defect::TornTailRejected,
        Defect::DamageTruncated,
        Defect::OwnerIgnored,
        Defect::NotLocked,
        Defect::CreatedWithoutRequest,
        Defect::ShortWriteIgnored,
        Defect::FullDiskIgnored,
        Defect::FailedSyncIgnored,
        Defect::TornEntryAccepted,
        Defect::ReplacedInPlace,
        Defect::RecoveryFails,
        Defect::UnacknowledgedSnapshotRecovered,
        Defect::ReadEntriesNotRewritten,
    ];
    for ((clause, _), defect) in STORE_CLAUSES.iter().zip(defects) {
        let violations_found = violations(&|| Box::new(InMemory(MemoryStorage::default(), Some(defect))));
        assert!(
            violations_found.iter().any(|b| b.clause == *clause),
            "{defect:?} is not detected by {clause:?}: {violations_found:#?}"
        );
    }
    assert_eq!(STORE_CLAUSES.len(), defects.len());
}

#[test]
fn every_store_error_has_advice_and_an_entry_in_the_documentation() {
    let page = include_str!("../../../docs/operate/errors.md");
    for error in StoreError::samples() {
        let row = page.lines().find(|l| l.starts_with(&format!("| `{}` |", error.code())));
        let columns: Vec<&str> = row.unwrap_or_default().split('|').map(str::trim).collect();
        assert!(columns.len() >= 6, "{}: not in docs/operate/errors.md", error.code());
        assert_eq!(
            columns[3].starts_with("yes"),
            error.is_transient(),
            "{}: wrong entry for transient errors",
            error.code()
        );
        assert!(error.advice().len() > 20, "{}: no advice", error.code());
    }
}

//! Every store passes the same clauses, and a store with one planted fault breaks the clause that the fault is about.

use loomlb_conformance::{FaultyStorage, STORE_CLAUSES, StoreUnderTest, violations};
use loomlb_consensus::log_store::{LogFile, LogStore, StoredLog};
use loomlb_consensus::storage::{DurableFile, MemoryStorage, StorageFault, StorageLocation};
use loomlb_consensus::store_error::StoreError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::cell::Cell;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// A voter's log on a real file, with faults put between them.
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
            .map(|(log, loaded)| (Box::new(log) as Box<dyn LogStore>, loaded))
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
fn a_voters_log_keeps_the_contract_in_memory_and_on_a_file() {
    let in_memory = violations(&|| Box::new(InMemory(MemoryStorage::default(), None)));
    assert!(in_memory.is_empty(), "{in_memory:#?}");
    let on_disk = violations(&|| Box::new(OnDisk::new()));
    assert!(on_disk.is_empty(), "{on_disk:#?}");
}

/// A fault that a store or the place beneath it may have.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    Forgets,
    FirstEntryStays,
    FirstVoteStays,
    PictureLost,
    TornRefused,
    DamageCut,
    AnyOwner,
    TwoOpeners,
    FoundsUnasked,
    ShortTakenForWhole,
    FullTakenForDone,
    SyncTakenForDone,
    TornTakenForWhole,
    SwapInPlace,
    StaysStopped,
    RecoversUnreplaced,
    ReadBackNotRewritten,
}

#[derive(Debug)]
struct BadPlace(MemoryStorage, Option<Bad>);

impl StorageLocation for BadPlace {
    fn name(&self) -> String {
        self.0.name()
    }
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = self.0.open(create)?;
        Ok(Box::new(BadFile { file, storage: self.0.clone(), bad: self.1 }))
    }
}

#[derive(Debug)]
struct BadFile {
    file: Box<dyn DurableFile>,
    storage: MemoryStorage,
    bad: Option<Bad>,
}

impl DurableFile for BadFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.file.read_all()
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match (self.file.write(bytes), self.bad) {
            (Ok(_), Some(Bad::ShortTakenForWhole)) => Ok(bytes.len()),
            (Err(e), Some(Bad::FullTakenForDone)) if e.kind() == io::ErrorKind::StorageFull => {
                Ok(bytes.len())
            }
            (done, _) => done,
        }
    }
    fn sync(&mut self) -> io::Result<()> {
        match self.file.sync() {
            Err(_) if self.bad == Some(Bad::SyncTakenForDone) => Ok(()),
            done => done,
        }
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.bad == Some(Bad::ReadBackNotRewritten) && self.file.read_all()? == bytes {
            return Ok(());
        }
        let swapped = self.file.replace_contents(bytes);
        if swapped.is_err() && self.bad == Some(Bad::SwapInPlace) {
            self.storage.overwrite(&bytes[..bytes.len() / 2]);
        }
        swapped
    }
}

/// A voter's log on the place in memory, with a planted fault or none.
struct InMemory(MemoryStorage, Option<Bad>);

struct BadLog(Box<dyn LogStore>, Option<Bad>, u64);

impl LogStore for BadLog {
    fn append(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError> {
        let last = self.2;
        self.2 = entries.last().map_or(last, |e| e.index);
        match self.1 {
            Some(Bad::Forgets) if entries.iter().any(|e| e.index == 7) => Ok(()),
            Some(Bad::FirstEntryStays) if entries.first().is_some_and(|e| e.index <= last) => Ok(()),
            Some(Bad::FirstVoteStays) if hard.is_some_and(|h| h.term > 1) => Ok(()),
            _ => self.0.append(entries, hard),
        }
    }
    fn replace(
        &mut self,
        snapshot: &Snapshot,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError> {
        match self.1 {
            Some(Bad::PictureLost) => self.0.append(entries, hard),
            _ => self.0.replace(snapshot, entries, hard),
        }
    }
    fn recover(&mut self) -> Result<StoredLog, StoreError> {
        let mut loaded = self.0.recover();
        match (self.1, &mut loaded) {
            (Some(Bad::StaysStopped), _) => Err(StoreError::Stopped { location: "stopped".into() }),
            (Some(Bad::RecoversUnreplaced), Ok(kept)) => {
                kept.snapshot = Some(Snapshot::default());
                loaded
            }
            _ => loaded,
        }
    }
}

impl StoreUnderTest for InMemory {
    fn open(&self, owner: &str, create: bool) -> Result<(Box<dyn LogStore>, StoredLog), StoreError> {
        let InMemory(memory, bad) = self;
        let before = memory.durable_bytes().len();
        if *bad == Some(Bad::TwoOpeners) {
            // A lock that holds nobody back.
            memory.lose_power(usize::MAX);
        }
        let whose = if *bad == Some(Bad::AnyOwner) { "a of a, b, c" } else { owner };
        let opened =
            LogFile::open(&BadPlace(memory.clone(), *bad), whose, create || *bad == Some(Bad::FoundsUnasked));
        let opened = match opened {
            Err(StoreError::Damaged { offset: at, .. }) if *bad == Some(Bad::DamageCut) => {
                memory.overwrite(&memory.durable_bytes()[..at]);
                LogFile::open(memory, whose, create)
            }
            opened => opened,
        };
        let (log, mut loaded) = opened?;
        let at = memory.durable_bytes().len();
        if *bad == Some(Bad::TornRefused) && at < before {
            return Err(StoreError::Damaged {
                location: memory.name(),
                offset: at,
                next_record_offset: before,
            });
        }
        if *bad == Some(Bad::TornTakenForWhole) && loaded.entries.len() == 2 {
            loaded.entries.push(Entry { index: 3, ..Entry::default() });
        }
        let last = loaded.entries.last().map_or(0, |e| e.index);
        Ok((Box::new(BadLog(Box::new(log), *bad, last)), loaded))
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
fn each_clause_is_broken_by_a_store_with_the_fault_that_it_is_about() {
    let planted = [
        Bad::Forgets,
        Bad::FirstEntryStays,
        Bad::FirstVoteStays,
        Bad::PictureLost,
        Bad::TornRefused,
        Bad::DamageCut,
        Bad::AnyOwner,
        Bad::TwoOpeners,
        Bad::FoundsUnasked,
        Bad::ShortTakenForWhole,
        Bad::FullTakenForDone,
        Bad::SyncTakenForDone,
        Bad::TornTakenForWhole,
        Bad::SwapInPlace,
        Bad::StaysStopped,
        Bad::RecoversUnreplaced,
        Bad::ReadBackNotRewritten,
    ];
    for ((clause, _), bad) in STORE_CLAUSES.iter().zip(planted) {
        let found = violations(&|| Box::new(InMemory(MemoryStorage::default(), Some(bad))));
        assert!(found.iter().any(|b| b.clause == *clause), "{bad:?} is not found by {clause:?}: {found:#?}");
    }
    assert_eq!(STORE_CLAUSES.len(), planted.len());
}

/// Whoever reads an error finds what to do, there and on the page.
#[test]
fn every_error_of_a_store_has_its_advice_and_its_entry_on_the_page() {
    let page = include_str!("../../../docs/operate/errors.md");
    for error in StoreError::samples() {
        let row = page.lines().find(|l| l.starts_with(&format!("| `{}` |", error.code())));
        let columns: Vec<&str> = row.unwrap_or_default().split('|').map(str::trim).collect();
        assert!(columns.len() >= 6, "{}: not on the page", error.code());
        assert_eq!(columns[3].starts_with("yes"), error.is_transient(), "{}: by itself", error.code());
        assert!(error.advice().len() > 20, "{}: no advice", error.code());
    }
}

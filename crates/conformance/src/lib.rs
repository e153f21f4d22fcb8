//! Conformance suite for stores of a voter's log. [`violations`] checks each clause on a store and returns those that
//! it violates. A [`FaultyStorage`] simulates short writes, full disks, failed syncs and power loss.

#![forbid(unsafe_code)]

pub mod tier_client;

use loomlb_consensus::log_store::{LogStore, StoredLog};
use loomlb_consensus::storage::{DurableFile, StorageFault, StorageLocation};
use loomlb_consensus::store_error::StoreError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;

/// A store under test. It is empty when it is created.
pub trait StoreUnderTest {
    /// Opens the store for a voter, and creates it if `create` is set.
    fn open(&self, owner: &str, create: bool) -> Result<(Box<dyn LogStore>, StoredLog), StoreError>;
    /// Returns the stored bytes.
    fn stored_bytes(&self) -> Vec<u8>;
    /// Replaces the stored bytes while the store is closed.
    fn overwrite(&self, bytes: &[u8]);
    /// Causes a fault in the next operations.
    fn inject_fault(&self, fault: StorageFault);
    /// Ends the fault. An open store stays open.
    fn clear_fault(&self);
    /// Simulates a restart of the machine: ends the fault and closes the store. Unsynced bytes are lost if the store
    /// can simulate that.
    fn restart(&self);
}

/// A violation of a clause.
#[derive(Debug, thiserror::Error)]
#[error("{clause}: {details}")]
pub struct Violation {
    /// Text of the clause.
    pub clause: &'static str,
    /// The observed behaviour.
    pub details: String,
}

type Check = fn(&dyn StoreUnderTest) -> Result<(), CheckFailure>;

/// The description of a failed check.
#[derive(Debug)]
pub struct CheckFailure(String);

impl From<StoreError> for CheckFailure {
    fn from(e: StoreError) -> CheckFailure {
        CheckFailure(format!("unexpected error: {e}"))
    }
}

/// The clauses with their checks.
pub const STORE_CLAUSES: &[(&str, Check)] = &[
    ("acknowledged entries are restored in order", restores_acknowledged_entries),
    ("an entry replaces all entries from its index on", replaces_later_entries),
    ("the latest vote is restored", restores_the_latest_vote),
    ("a snapshot replaces the entries before it", restores_the_snapshot),
    ("a torn tail loses only the unacknowledged entry", ignores_a_torn_tail),
    ("damage before valid records is an error and leaves the bytes unchanged", rejects_damage),
    ("opening the store of another owner is an error and leaves the bytes unchanged", rejects_other_owners),
    ("the store can be open only once at a time", rejects_a_second_opener),
    ("a missing store is created only on request", creates_only_on_request),
    ("short writes lose no data", completes_short_writes),
    ("after a full disk, nothing is acknowledged and nothing is lost", stops_after_a_full_disk),
    ("after a failed sync, nothing is acknowledged and nothing is lost", stops_after_a_failed_sync),
    ("a power loss at any byte of an append loses no acknowledged entry", survives_power_loss_in_an_append),
    (
        "a power loss during a replacement leaves the old or the new contents",
        survives_power_loss_in_a_replacement,
    ),
    ("the store recovers after a failed append when it is writable again", recovers_from_an_append),
    ("the store recovers after a failed replacement when it is writable again", recovers_from_a_replacement),
    ("entries that are read after a failed sync are durable", makes_entries_read_after_a_failed_sync_durable),
];

/// Checks all clauses, each on a new store, and returns the violations.
pub fn violations(make: &dyn Fn() -> Box<dyn StoreUnderTest>) -> Vec<Violation> {
    let run_check = |(clause, check): &(&'static str, Check)| {
        check(&*make()).err().map(|CheckFailure(details)| Violation { clause, details })
    };
    STORE_CLAUSES.iter().filter_map(run_check).collect()
}

const OWNER: &str = "a of a, b, c";

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: vec![index as u8; 24].into(), ..Entry::default() }
}

fn hard_state(term: u64) -> HardState {
    HardState { term, vote: 2, ..HardState::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = index;
    snapshot
}

fn expect_equal<T: PartialEq + fmt::Debug>(
    description: &str,
    actual: T,
    expected: T,
) -> Result<(), CheckFailure> {
    if actual == expected {
        Ok(())
    } else {
        Err(CheckFailure(format!("{description}: {actual:?}, expected {expected:?}")))
    }
}

/// Reopens the store and returns index and term of its entries.
fn reopened_entries(subject: &dyn StoreUnderTest) -> Result<Vec<(u64, u64)>, CheckFailure> {
    Ok(subject.open(OWNER, false)?.1.entries.iter().map(|e| (e.index, e.term)).collect())
}

/// Creates a store with the entries 1 to `n` and closes it.
fn create_with_entries(subject: &dyn StoreUnderTest, n: u64) -> Result<(), CheckFailure> {
    let (mut store, stored) = subject.open(OWNER, true)?;
    expect_equal("entries of a new store", stored.entries.len(), 0)?;
    (1..=n).try_for_each(|i| store.append(&[entry(i, 1)], None))?;
    Ok(())
}

fn entries_up_to(n: u64) -> Vec<(u64, u64)> {
    (1..=n).map(|i| (i, 1)).collect()
}

fn restores_acknowledged_entries(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 5)?;
    for n in 6..9 {
        expect_equal("entries", reopened_entries(subject)?, entries_up_to(n - 1))?;
        subject.open(OWNER, false)?.0.append(&[entry(n, 1)], None)?;
    }
    expect_equal("entries", reopened_entries(subject)?, entries_up_to(8))
}

fn replaces_later_entries(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 5)?;
    subject.open(OWNER, false)?.0.append(&[entry(3, 2), entry(4, 2)], None)?;
    expect_equal("entries", reopened_entries(subject)?, vec![(1, 1), (2, 1), (3, 2), (4, 2)])
}

fn restores_the_latest_vote(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 1)?;
    for term in 1..4 {
        subject.open(OWNER, false)?.0.append(&[], Some(&hard_state(term)))?;
        expect_equal("term", subject.open(OWNER, false)?.1.hard_state.term, term)?;
    }
    Ok(())
}

fn restores_the_snapshot(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 5)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    store.replace(&snapshot(5), &[entry(6, 1)], Some(&hard_state(4)))?;
    store.append(&[entry(7, 1)], None)?;
    drop(store);
    let (_, stored) = subject.open(OWNER, false)?;
    expect_equal(
        "index of the snapshot",
        stored.snapshot.map(|snapshot| snapshot.get_metadata().index),
        Some(5),
    )?;
    expect_equal("term", stored.hard_state.term, 4)?;
    expect_equal("entries", stored.entries.iter().map(|e| e.index).collect(), vec![6, 7])
}

fn ignores_a_torn_tail(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let length_before = subject.stored_bytes().len();
    subject.open(OWNER, false)?.0.append(&[entry(3, 1)], None)?;
    let complete = subject.stored_bytes();
    for length in length_before..complete.len() {
        subject.overwrite(&complete[..length]);
        expect_equal("entries of a torn store", reopened_entries(subject)?, entries_up_to(2))?;
        subject.open(OWNER, false)?.0.append(&[entry(3, 1)], None)?;
        expect_equal("entries appended after a torn write", reopened_entries(subject)?, entries_up_to(3))?;
    }
    Ok(())
}

fn rejects_damage(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let damaged_byte = subject.stored_bytes().len() - 3;
    subject.open(OWNER, false)?.0.append(&[entry(3, 1)], None)?;
    let mut bytes = subject.stored_bytes();
    bytes[damaged_byte] ^= 1;
    subject.overwrite(&bytes);
    let error = subject.open(OWNER, false).err().map(|e| e.code());
    expect_equal("error of a damaged store", error, Some("store-damaged"))?;
    expect_equal("bytes are unchanged", subject.stored_bytes() == bytes, true)
}

fn rejects_other_owners(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let bytes_before = subject.stored_bytes();
    for owner in ["b of a, b, c", "a of a, b, d"] {
        expect_equal(
            "error for another owner",
            subject.open(owner, true).err().map(|e| e.code()),
            Some("store-foreign"),
        )?;
    }
    expect_equal("bytes are unchanged", subject.stored_bytes() == bytes_before, true)?;
    expect_equal("entries", reopened_entries(subject)?, entries_up_to(2))
}

fn rejects_a_second_opener(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    expect_equal(
        "error for a second opener",
        subject.open(OWNER, false).err().map(|e| e.code()),
        Some("store-taken"),
    )?;
    // The replacement is a new file, which must be locked as well.
    store.replace(&snapshot(2), &[], None)?;
    expect_equal(
        "error for a second opener after a replacement",
        subject.open(OWNER, false).err().map(|e| e.code()),
        Some("store-taken"),
    )?;
    drop(store);
    subject.open(OWNER, false)?;
    Ok(())
}

fn creates_only_on_request(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    expect_equal(
        "error without a request to create",
        subject.open(OWNER, false).err().map(|e| e.code()),
        Some("store-missing"),
    )?;
    expect_equal("created on request", subject.open(OWNER, true).is_ok(), true)?;
    expect_equal("entries", reopened_entries(subject)?, Vec::new())
}

fn completes_short_writes(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    subject.inject_fault(StorageFault::ShortWrites(7));
    store.append(&[entry(3, 1)], None)?;
    drop(store);
    subject.restart();
    expect_equal("entries", reopened_entries(subject)?, entries_up_to(3))
}

/// Checks that after a fault nothing is acknowledged until the store is reopened, even if the cause is gone.
fn check_stop_after(subject: &dyn StoreUnderTest, fault: StorageFault) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    subject.inject_fault(fault);
    expect_equal("the append with a fault fails", store.append(&[entry(3, 1)], None).is_err(), true)?;
    expect_equal("the next append fails", store.append(&[entry(4, 1)], None).is_err(), true)?;
    expect_equal("the replacement fails", store.replace(&snapshot(4), &[], None).is_err(), true)?;
    drop(store);
    subject.restart();
    let entries = reopened_entries(subject)?;
    // The unacknowledged entry may be stored, but only completely.
    if entries == entries_up_to(3) { Ok(()) } else { expect_equal("entries", entries, entries_up_to(2)) }
}

fn stops_after_a_full_disk(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    check_stop_after(subject, StorageFault::DiskFull(11))
}

fn stops_after_a_failed_sync(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    check_stop_after(subject, StorageFault::SyncFailsOnce)
}

fn survives_power_loss_in_an_append(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let complete = subject.stored_bytes();
    for written_bytes in 0..64 {
        subject.overwrite(&complete);
        let (mut store, _) = subject.open(OWNER, false)?;
        subject.inject_fault(StorageFault::PowerLoss(written_bytes));
        expect_equal("the append with a fault fails", store.append(&[entry(3, 1)], None).is_err(), true)?;
        drop(store);
        subject.restart();
        let entries = reopened_entries(subject)?;
        if entries != entries_up_to(3) {
            expect_equal("entries", entries, entries_up_to(2))?;
        }
    }
    Ok(())
}

fn survives_power_loss_in_a_replacement(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 3)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    subject.inject_fault(StorageFault::PowerLoss(20));
    let acknowledged = store.replace(&snapshot(3), &[entry(4, 1)], None).is_ok();
    drop(store);
    subject.restart();
    let (_, stored) = subject.open(OWNER, false)?;
    let entries: Vec<u64> = stored.entries.iter().map(|e| e.index).collect();
    match stored.snapshot {
        Some(_) => expect_equal("entries after the snapshot", entries, vec![4]),
        None if acknowledged => Err(CheckFailure("an acknowledged replacement was lost".into())),
        None => expect_equal("entries without the snapshot", entries, vec![1, 2, 3]),
    }
}

/// Faults of appends and replacements after which the process continues.
const RECOVERABLE_FAULTS: [StorageFault; 5] = [
    StorageFault::DiskFull(0),
    StorageFault::DiskFull(11),
    StorageFault::SyncFailsOnce,
    StorageFault::SyncFailsOnceReadable,
    StorageFault::EverySyncFails,
];

fn recovers_from_an_append(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    let mut acknowledged = 2;
    for fault in RECOVERABLE_FAULTS {
        let next_entries = [entry(acknowledged + 1, 1)];
        subject.inject_fault(fault);
        expect_equal(
            "the append with a fault fails",
            store.append(&next_entries, Some(&hard_state(9))).is_err(),
            true,
        )?;
        expect_equal("the next append fails", store.append(&next_entries, None).is_err(), true)?;
        subject.clear_fault();
        expect_equal(
            "the append before the recovery fails",
            store.append(&next_entries, None).is_err(),
            true,
        )?;
        let stored = store.recover()?;
        let entries = stored.entries.iter().map(|e| (e.index, e.term)).collect();
        expect_equal("recovered entries", entries, entries_up_to(acknowledged))?;
        expect_equal("term of the unacknowledged vote", stored.hard_state.term, 0)?;
        expect_equal(
            "error for a second opener after a recovery",
            subject.open(OWNER, false).err().map(|e| e.code()),
            Some("store-taken"),
        )?;
        store.append(&next_entries, None)?;
        acknowledged += 1;
    }
    drop(store);
    subject.restart();
    expect_equal("entries", reopened_entries(subject)?, entries_up_to(acknowledged))
}

fn recovers_from_a_replacement(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 3)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    for fault in RECOVERABLE_FAULTS {
        subject.inject_fault(fault);
        expect_equal(
            "the replacement with a fault fails",
            store.replace(&snapshot(2), &[], None).is_err(),
            true,
        )?;
        subject.clear_fault();
        let stored = store.recover()?;
        expect_equal("the unacknowledged snapshot is missing", stored.snapshot.is_none(), true)?;
        expect_equal("recovered entries", stored.entries.len(), 3)?;
    }
    store.append(&[entry(4, 1)], None)?;
    drop(store);
    subject.restart();
    expect_equal("entries", reopened_entries(subject)?, entries_up_to(4))
}

/// After a failed sync, the kernel may return unwritten pages on a read and consider them written.
fn makes_entries_read_after_a_failed_sync_durable(subject: &dyn StoreUnderTest) -> Result<(), CheckFailure> {
    create_with_entries(subject, 2)?;
    let (mut store, _) = subject.open(OWNER, false)?;
    subject.inject_fault(StorageFault::SyncFailsOnceReadable);
    expect_equal("the append with a fault fails", store.append(&[entry(3, 1)], None).is_err(), true)?;
    drop(store);
    subject.clear_fault();
    let (store, stored) = subject.open(OWNER, false)?;
    drop(store);
    subject.restart();
    let entries_read = stored.entries.iter().map(|e| (e.index, e.term)).collect();
    expect_equal("entries after a power loss", reopened_entries(subject)?, entries_read)
}

/// A storage location that adds faults to another one.
#[derive(Clone, Debug)]
pub struct FaultyStorage<P> {
    /// The underlying location.
    pub location: P,
    /// The fault of the next operations.
    pub fault: Rc<Cell<Option<StorageFault>>>,
}

impl<P: StorageLocation> StorageLocation for FaultyStorage<P> {
    fn name(&self) -> String {
        self.location.name()
    }
    fn open(&self, create: bool) -> io::Result<Box<dyn DurableFile>> {
        let file = self.location.open(create)?;
        Ok(Box::new(FaultyFile { file, fault: Rc::clone(&self.fault), power_lost: false }))
    }
}

#[derive(Debug)]
struct FaultyFile {
    file: Box<dyn DurableFile>,
    fault: Rc<Cell<Option<StorageFault>>>,
    power_lost: bool,
}

impl FaultyFile {
    fn check_power(&self) -> io::Result<()> {
        if self.power_lost { Err(io::Error::other("power was lost")) } else { Ok(()) }
    }
}

impl DurableFile for FaultyFile {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        self.check_power()?;
        self.file.read_all()
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.check_power()?;
        let length = match self.fault.get() {
            Some(StorageFault::DiskFull(0)) => return Err(io::ErrorKind::StorageFull.into()),
            Some(StorageFault::DiskFull(free_bytes)) => {
                self.fault.set(Some(StorageFault::DiskFull(free_bytes - free_bytes.min(bytes.len()))));
                free_bytes
            }
            Some(StorageFault::ShortWrites(max_bytes)) => max_bytes.max(1),
            Some(StorageFault::PowerLoss(written_bytes)) => {
                self.power_lost = true;
                let mut left = &bytes[..written_bytes.min(bytes.len())];
                while !left.is_empty() {
                    left = &left[self.file.write(left)?..];
                }
                return Err(io::Error::other("power was lost"));
            }
            _ => bytes.len(),
        };
        self.file.write(&bytes[..length.min(bytes.len())])
    }
    fn sync(&mut self) -> io::Result<()> {
        self.check_power()?;
        match self.fault.get() {
            Some(StorageFault::SyncFailsOnce | StorageFault::SyncFailsOnceReadable) => self.fault.set(None),
            Some(StorageFault::EverySyncFails) => {}
            _ => return self.file.sync(),
        }
        Err(io::Error::other("sync failed"))
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check_power()?;
        match self.fault.get() {
            Some(StorageFault::DiskFull(_)) => Err(io::ErrorKind::StorageFull.into()),
            Some(
                StorageFault::SyncFailsOnce
                | StorageFault::SyncFailsOnceReadable
                | StorageFault::EverySyncFails,
            ) => Err(io::Error::other("sync failed")),
            Some(StorageFault::DirectorySyncFailsOnce) => {
                self.fault.set(None);
                self.file.replace_contents(bytes)?;
                Err(io::Error::other("the sync of the directory failed"))
            }
            Some(StorageFault::PowerLoss(_)) => {
                self.power_lost = true;
                Err(io::Error::other("power was lost"))
            }
            _ => self.file.replace_contents(bytes),
        }
    }
}

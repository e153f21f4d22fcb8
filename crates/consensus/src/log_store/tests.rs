//! A voter's log on a real file, and in memory with injected faults.

use super::*;
use crate::storage::{MemoryStorage, StorageFault};

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, data: vec![7; 40].into(), ..Entry::default() }
}

#[test]
fn truncation_loses_only_the_last_record_and_damage_in_front_of_valid_records_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("v");
    assert!(LogFile::open(&path, "v of t", false).unwrap_err().advice().contains("tier.found"));
    let (mut log, _) = LogFile::open(&path, "v of t", true).unwrap();
    let mut record_ends = vec![std::fs::metadata(&path).unwrap().len() as usize];
    for index in 1..=4 {
        log.append(&[entry(index)], None).unwrap();
        record_ends.push(std::fs::metadata(&path).unwrap().len() as usize);
    }
    drop(log);
    let complete = std::fs::read(&path).unwrap();
    for length in record_ends[0]..=complete.len() {
        std::fs::write(&path, &complete[..length]).unwrap();
        let (mut log, stored) = LogFile::open(&path, "v of t", false).unwrap();
        let kept = record_ends.iter().filter(|e| **e <= length).count() - 1;
        assert_eq!(stored.entries.len(), kept, "truncated to {length} bytes");
        // A record that is appended after the torn one can be read.
        log.append(&[entry(kept as u64 + 1)], None).unwrap();
        assert_eq!(LogFile::open(&path, "v of t", false).unwrap_err().code(), "store-taken");
        drop(log);
        assert_eq!(LogFile::open(&path, "v of t", false).unwrap().1.entries.len(), kept + 1);
    }
    let mut damaged = complete.clone();
    damaged[record_ends[1] + HEADER_BYTES + 3] ^= 1;
    std::fs::write(&path, &damaged).unwrap();
    assert!(LogFile::open(&path, "v of t", false).unwrap_err().to_string().contains("damaged"));
    std::fs::write(&path, &complete).unwrap();
    assert!(LogFile::open(&path, "w of t", false).unwrap_err().to_string().contains("belongs to \"v of t\""));
    // A snapshot and a vote, and an entry that replaces a later one.
    let (mut log, _) = LogFile::open(&path, "v of t", false).unwrap();
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 4;
    log.replace(&snapshot, &[entry(5)], Some(&HardState { term: 3, vote: 2, ..HardState::default() }))
        .unwrap();
    log.append(&[entry(6), entry(5)], None).unwrap();
    drop(log);
    let (_, stored) = LogFile::open(&path, "v of t", false).unwrap();
    assert_eq!(
        (stored.entries.len(), stored.hard_state.vote, stored.snapshot.unwrap().get_metadata().index),
        (1, 2, 4)
    );
}

const OWNER_NAME: &str = "v of t";

/// Creates a log with acknowledged entries 1 to 3 and a vote.
fn acknowledged_log() -> (MemoryStorage, LogFile) {
    let storage = MemoryStorage::default();
    let (mut log, _) = LogFile::open(&storage, OWNER_NAME, true).unwrap();
    for index in 1..=3 {
        log.append(&[entry(index)], Some(&vote(index))).unwrap();
    }
    (storage, log)
}

fn vote(term: u64) -> HardState {
    HardState { term, vote: 2, ..HardState::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = index;
    snapshot
}

/// Returns snapshot index, entry indexes and term.
fn summary(stored: &StoredLog) -> (u64, Vec<u64>, u64) {
    let snapshot = stored.snapshot.as_ref().map_or(0, |s| s.get_metadata().index);
    (snapshot, stored.entries.iter().map(|e| e.index).collect(), stored.hard_state.term)
}

/// Returns the contents of the log after a power loss.
fn after_power_loss(storage: &MemoryStorage) -> (u64, Vec<u64>, u64) {
    storage.lose_power(0);
    summary(&LogFile::open(storage, OWNER_NAME, false).unwrap().1)
}

const ACKNOWLEDGED: (u64, [u64; 3], u64) = (0, [1, 2, 3], 3);

fn is_acknowledged(summary: &(u64, Vec<u64>, u64)) -> bool {
    *summary == (ACKNOWLEDGED.0, ACKNOWLEDGED.1.to_vec(), ACKNOWLEDGED.2)
}

#[test]
fn failed_append_is_dropped_and_the_log_recovers_once_it_can_be_written() {
    let (_, complete) = acknowledged_log();
    let acknowledged_bytes = complete.acknowledged;
    let mut appended = Vec::new();
    encode_records(&mut appended, &[entry(4), entry(5)], Some(&vote(9))).unwrap();
    for free in 0..appended.len() {
        let (storage, mut log) = acknowledged_log();
        storage.inject_fault(StorageFault::DiskFull(free));
        assert_eq!(log.append(&[entry(4), entry(5)], Some(&vote(9))).unwrap_err().code(), "store-full");
        // While the disk is full, writes are rejected and recovery can be repeated.
        assert_eq!(log.recover().unwrap_err().code(), "store-full");
        assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
        assert_eq!(log.replace(&snapshot(4), &[], None).unwrap_err().code(), "store-stopped");
        storage.clear_fault();
        let stored = log.recover().unwrap();
        assert!(is_acknowledged(&summary(&stored)), "{free} bytes free: {stored:?}");
        assert_eq!(log.acknowledged, acknowledged_bytes);
        log.append(&[entry(4)], None).unwrap();
        assert_eq!(after_power_loss(&storage), (0, vec![1, 2, 3, 4], 3), "{free} bytes free");
    }
}

#[test]
fn failed_replacement_leaves_the_complete_old_or_the_complete_new_log() {
    let (_, mut log) = acknowledged_log();
    log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).unwrap();
    for free in 0..log.acknowledged {
        let (storage, mut log) = acknowledged_log();
        storage.inject_fault(StorageFault::DiskFull(free));
        assert!(log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).is_err());
        storage.clear_fault();
        assert!(is_acknowledged(&summary(&log.recover().unwrap())), "{free} bytes free");
        assert!(is_acknowledged(&after_power_loss(&storage)), "{free} bytes free");
    }
    let (storage, mut log) = acknowledged_log();
    storage.inject_fault(StorageFault::DirectorySyncFailsOnce);
    assert!(log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).is_err());
    let replaced = (3, vec![4], 7);
    assert_eq!(summary(&log.recover().unwrap()), replaced);
    assert_eq!(after_power_loss(&storage), replaced);
}

/// Guards against records that can be read after a failed sync, but are not on the disk and are never written
/// by a later sync.
#[test]
fn records_read_after_a_failed_sync_are_made_durable_before_they_are_returned() {
    for fault in
        [StorageFault::SyncFailsOnce, StorageFault::SyncFailsOnceReadable, StorageFault::EverySyncFails]
    {
        let (storage, mut log) = acknowledged_log();
        storage.inject_fault(fault);
        assert!(log.append(&[entry(4)], Some(&vote(4))).is_err());
        storage.clear_fault();
        let stored = log.recover().unwrap();
        assert!(is_acknowledged(&summary(&stored)), "{fault:?}: {stored:?}");
        log.append(&[entry(4)], None).unwrap();
        assert_eq!(after_power_loss(&storage), (0, vec![1, 2, 3, 4], 3), "{fault:?}");
        // A new process reads the record after the failed sync of another one, and may rely on it.
        let (storage, mut log) = acknowledged_log();
        storage.inject_fault(fault);
        assert!(log.append(&[entry(4)], Some(&vote(4))).is_err());
        drop(log);
        storage.clear_fault();
        let (log, stored) = LogFile::open(&storage, OWNER_NAME, false).unwrap();
        let read = summary(&stored);
        drop(log);
        assert_eq!(after_power_loss(&storage), read, "{fault:?}");
    }
}

#[test]
fn failed_recovery_can_be_repeated_and_survives_a_power_loss() {
    for fault in [
        StorageFault::SyncFailsOnce,
        StorageFault::EverySyncFails,
        StorageFault::DirectorySyncFailsOnce,
        StorageFault::DiskFull(0),
    ] {
        let (storage, mut log) = acknowledged_log();
        storage.inject_fault(StorageFault::DiskFull(5));
        assert!(log.append(&[entry(4)], None).is_err());
        storage.inject_fault(fault);
        assert!(log.recover().unwrap_err().is_transient(), "{fault:?}");
        assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
        storage.clear_fault();
        assert!(is_acknowledged(&summary(&log.recover().unwrap())), "{fault:?}");
        assert!(is_acknowledged(&after_power_loss(&storage)), "{fault:?}");
    }
}

#[test]
fn log_that_has_lost_acknowledged_records_does_not_recover() {
    let (storage, mut log) = acknowledged_log();
    let bytes = storage.durable_bytes();
    storage.inject_fault(StorageFault::SyncFailsOnce);
    assert!(log.append(&[entry(4)], None).is_err());
    storage.overwrite(&bytes[..bytes.len() - 1]);
    let error = log.recover().unwrap_err();
    assert_eq!((error.code(), error.is_transient()), ("store-lost", false));
    assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
}

#[test]
fn log_of_the_previous_build_opens_and_keeps_its_bytes() {
    let (storage, _log) = acknowledged_log();
    let bytes = storage.durable_bytes();
    let mut expected = Vec::new();
    encode_record(&mut expected, OWNER_RECORD, OWNER_NAME.as_bytes());
    for index in 1..=3 {
        encode_records(&mut expected, &[entry(index)], Some(&vote(index))).unwrap();
    }
    assert_eq!(bytes, expected);
    storage.lose_power(0);
    LogFile::open(&storage, OWNER_NAME, false).unwrap();
    assert_eq!(storage.durable_bytes(), expected);
}

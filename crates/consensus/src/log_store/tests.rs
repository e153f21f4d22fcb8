//! A voter's log on a real file and on a disk that fails.

use super::*;
use crate::storage::{MemoryStorage, StorageFault};

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, data: vec![7; 40].into(), ..Entry::default() }
}

#[test]
fn a_file_cut_at_any_byte_loses_its_last_record_alone_and_damage_in_the_middle_is_refused() {
    let place = tempfile::tempdir().unwrap();
    let path = place.path().join("v");
    assert!(LogFile::open(&path, "v of t", false).unwrap_err().advice().contains("tier.found"));
    let (mut log, _) = LogFile::open(&path, "v of t", true).unwrap();
    let mut ends = vec![std::fs::metadata(&path).unwrap().len() as usize];
    for index in 1..=4 {
        log.append(&[entry(index)], None).unwrap();
        ends.push(std::fs::metadata(&path).unwrap().len() as usize);
    }
    drop(log);
    let whole = std::fs::read(&path).unwrap();
    for cut in ends[0]..=whole.len() {
        std::fs::write(&path, &whole[..cut]).unwrap();
        let (mut log, loaded) = LogFile::open(&path, "v of t", false).unwrap();
        let kept = ends.iter().filter(|e| **e <= cut).count() - 1;
        assert_eq!(loaded.entries.len(), kept, "cut at {cut}");
        // What comes next is not lost behind the torn one.
        log.append(&[entry(kept as u64 + 1)], None).unwrap();
        assert_eq!(LogFile::open(&path, "v of t", false).unwrap_err().code(), "store-taken");
        drop(log);
        assert_eq!(LogFile::open(&path, "v of t", false).unwrap().1.entries.len(), kept + 1);
    }
    let mut damaged = whole.clone();
    damaged[ends[1] + HEAD + 3] ^= 1;
    std::fs::write(&path, &damaged).unwrap();
    assert!(LogFile::open(&path, "v of t", false).unwrap_err().to_string().contains("damaged"));
    std::fs::write(&path, &whole).unwrap();
    assert!(LogFile::open(&path, "w of t", false).unwrap_err().to_string().contains("belongs to \"v of t\""));
    // A vote and a picture, and entries that replace others.
    let (mut log, _) = LogFile::open(&path, "v of t", false).unwrap();
    let mut picture = Snapshot::default();
    picture.mut_metadata().index = 4;
    log.replace(&picture, &[entry(5)], Some(&HardState { term: 3, vote: 2, ..HardState::default() }))
        .unwrap();
    log.append(&[entry(6), entry(5)], None).unwrap();
    drop(log);
    let (_, loaded) = LogFile::open(&path, "v of t", false).unwrap();
    assert_eq!(
        (loaded.entries.len(), loaded.hard_state.vote, loaded.snapshot.unwrap().get_metadata().index),
        (1, 2, 4)
    );
}

const OWNER_NAME: &str = "v of t";

/// A log with entries 1 to 3 and a vote, which are acknowledged.
fn acknowledged() -> (MemoryStorage, LogFile) {
    let place = MemoryStorage::default();
    let (mut log, _) = LogFile::open(&place, OWNER_NAME, true).unwrap();
    for index in 1..=3 {
        log.append(&[entry(index)], Some(&vote(index))).unwrap();
    }
    (place, log)
}

fn vote(term: u64) -> HardState {
    HardState { term, vote: 2, ..HardState::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = index;
    snapshot
}

/// Snapshot, entries and term.
fn contents(loaded: &StoredLog) -> (u64, Vec<u64>, u64) {
    let snapshot = loaded.snapshot.as_ref().map_or(0, |s| s.get_metadata().index);
    (snapshot, loaded.entries.iter().map(|e| e.index).collect(), loaded.hard_state.term)
}

/// What the log holds once power was lost and it is opened again.
fn after_power_loss(place: &MemoryStorage) -> (u64, Vec<u64>, u64) {
    place.lose_power(0);
    contents(&LogFile::open(place, OWNER_NAME, false).unwrap().1)
}

const ACKNOWLEDGED: (u64, [u64; 3], u64) = (0, [1, 2, 3], 3);

fn same_as_acknowledged(seen: &(u64, Vec<u64>, u64)) -> bool {
    *seen == (ACKNOWLEDGED.0, ACKNOWLEDGED.1.to_vec(), ACKNOWLEDGED.2)
}

#[test]
fn an_append_that_fails_at_any_byte_is_dropped_and_the_log_recovers_once_it_can_be_written() {
    let (_, whole) = acknowledged();
    let before = whole.acknowledged;
    let mut out = Vec::new();
    records(&mut out, &[entry(4), entry(5)], Some(&vote(9))).unwrap();
    for room in 0..out.len() {
        let (place, mut log) = acknowledged();
        place.inject_fault(StorageFault::DiskFull(room));
        assert_eq!(log.append(&[entry(4), entry(5)], Some(&vote(9))).unwrap_err().code(), "store-full");
        // Still full: nothing is taken, and it may be tried again.
        assert_eq!(log.recover().unwrap_err().code(), "store-full");
        assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
        assert_eq!(log.replace(&snapshot(4), &[], None).unwrap_err().code(), "store-stopped");
        place.clear_fault();
        let loaded = log.recover().unwrap();
        assert!(same_as_acknowledged(&contents(&loaded)), "room for {room} bytes: {loaded:?}");
        assert_eq!(log.acknowledged, before);
        log.append(&[entry(4)], None).unwrap();
        assert_eq!(after_power_loss(&place), (0, vec![1, 2, 3, 4], 3), "room for {room} bytes");
    }
}

#[test]
fn a_replacement_that_fails_at_any_byte_leaves_all_of_the_old_log_or_all_of_the_new() {
    let (_, mut log) = acknowledged();
    log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).unwrap();
    for room in 0..log.acknowledged {
        let (place, mut log) = acknowledged();
        place.inject_fault(StorageFault::DiskFull(room));
        assert!(log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).is_err());
        place.clear_fault();
        assert!(same_as_acknowledged(&contents(&log.recover().unwrap())), "room for {room} bytes");
        assert!(same_as_acknowledged(&after_power_loss(&place)), "room for {room} bytes");
    }
    let (place, mut log) = acknowledged();
    place.inject_fault(StorageFault::DirectorySyncFailsOnce);
    assert!(log.replace(&snapshot(3), &[entry(4)], Some(&vote(7))).is_err());
    let new = (3, vec![4], 7);
    assert_eq!(contents(&log.recover().unwrap()), new);
    assert_eq!(after_power_loss(&place), new);
}

/// What could be read after a sync that failed is not on the disk, and no later sync writes it.
#[test]
fn what_is_read_back_after_a_failed_sync_lasts_before_anything_is_built_on_it() {
    for fault in
        [StorageFault::SyncFailsOnce, StorageFault::SyncFailsOnceReadable, StorageFault::EverySyncFails]
    {
        let (place, mut log) = acknowledged();
        place.inject_fault(fault);
        assert!(log.append(&[entry(4)], Some(&vote(4))).is_err());
        place.clear_fault();
        let loaded = log.recover().unwrap();
        assert!(same_as_acknowledged(&contents(&loaded)), "{fault:?}: {loaded:?}");
        log.append(&[entry(4)], None).unwrap();
        assert_eq!(after_power_loss(&place), (0, vec![1, 2, 3, 4], 3), "{fault:?}");
        // A process that starts after another's failed sync sees the record, and may answer for it.
        let (place, mut log) = acknowledged();
        place.inject_fault(fault);
        assert!(log.append(&[entry(4)], Some(&vote(4))).is_err());
        drop(log);
        place.clear_fault();
        let (log, loaded) = LogFile::open(&place, OWNER_NAME, false).unwrap();
        let seen = contents(&loaded);
        drop(log);
        assert_eq!(after_power_loss(&place), seen, "{fault:?}");
    }
}

#[test]
fn a_failed_recovery_can_be_made_again_and_power_may_go_between_the_two() {
    for fault in [
        StorageFault::SyncFailsOnce,
        StorageFault::EverySyncFails,
        StorageFault::DirectorySyncFailsOnce,
        StorageFault::DiskFull(0),
    ] {
        let (place, mut log) = acknowledged();
        place.inject_fault(StorageFault::DiskFull(5));
        assert!(log.append(&[entry(4)], None).is_err());
        place.inject_fault(fault);
        assert!(log.recover().unwrap_err().is_transient(), "{fault:?}");
        assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
        place.clear_fault();
        assert!(same_as_acknowledged(&contents(&log.recover().unwrap())), "{fault:?}");
        assert!(same_as_acknowledged(&after_power_loss(&place)), "{fault:?}");
    }
}

#[test]
fn a_log_that_has_lost_what_was_acknowledged_does_not_come_back() {
    let (place, mut log) = acknowledged();
    let bytes = place.durable_bytes();
    place.inject_fault(StorageFault::SyncFailsOnce);
    assert!(log.append(&[entry(4)], None).is_err());
    place.overwrite(&bytes[..bytes.len() - 1]);
    let error = log.recover().unwrap_err();
    assert_eq!((error.code(), error.is_transient()), ("store-lost", false));
    assert_eq!(log.append(&[entry(4)], None).unwrap_err().code(), "store-stopped");
}

#[test]
fn a_log_of_the_build_before_opens_and_its_bytes_stay() {
    let (place, _log) = acknowledged();
    let bytes = place.durable_bytes();
    let mut before = Vec::new();
    record(&mut before, OWNER, OWNER_NAME.as_bytes());
    for index in 1..=3 {
        records(&mut before, &[entry(index)], Some(&vote(index))).unwrap();
    }
    assert_eq!(bytes, before);
    place.lose_power(0);
    LogFile::open(&place, OWNER_NAME, false).unwrap();
    assert_eq!(place.durable_bytes(), before);
}

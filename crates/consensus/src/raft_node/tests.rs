//! A lone voter over a store that is closed, opened, failing and recovering.

use super::*;
use crate::document::DocumentBody;
use crate::log_store::LogFile;
use crate::storage::{MemoryStorage, StorageFault};

fn propose(token: u64, base: Version, tick: u64) -> Command {
    let body = DocumentBody { settings: serde_json::json!({ "tick": tick }), workers_out: BTreeSet::new() };
    Command::Propose { token, proposer: "a".into(), base_version: base, body }
}

/// A lone voter elects itself, agrees with itself, and knows all again after a start, the log cut or not.
#[test]
fn a_voter_knows_after_a_start_what_was_agreed_and_is_unsettled_until_then() {
    let place = MemoryStorage::default();
    let (mut disk, loaded) = LogFile::open(&place, "v", true).unwrap();
    let mut voter = RaftNode::new(1, 1, loaded).unwrap();
    for _ in 0..30 {
        voter.tick();
        voter.process_pending(&mut disk).unwrap();
    }
    assert!(voter.is_leader());
    for version in 0..600 {
        assert!(voter.propose(&propose(version, version, version)));
        voter.process_pending(&mut disk).unwrap();
    }
    assert_eq!(voter.state().newest_version(), 600);
    drop(disk);
    let (mut disk, loaded) = LogFile::open(&place, "v", false).unwrap();
    assert!(loaded.entries.len() < 2 * KEPT as usize + 8, "{}", loaded.entries.len());
    let mut again = RaftNode::new(1, 1, loaded).unwrap();
    assert!(!again.has_caught_up(), "what follows the commit that was written is not known to be agreed yet");
    for _ in 0..30 {
        again.tick();
        again.process_pending(&mut disk).unwrap();
    }
    assert!(again.has_caught_up());
    assert_eq!(again.state(), voter.state());
    // The first to be agreed wins, the other is told what it missed; a proposal said twice counts once.
    for (token, base) in [(1001, 600), (1002, 600), (1001, 600)] {
        again.propose(&propose(token, base, 7000 + token));
    }
    again.process_pending(&mut disk).unwrap();
    assert_eq!(again.state().outcome(1002), Some(&crate::state::ProposalOutcome::StaleBase(601)));
    assert_eq!(again.state().newest_version(), 601);
}

/// A disk that fails once: nothing is acknowledged any more.
#[test]
fn a_voter_whose_disk_failed_takes_part_no_more() {
    let place = MemoryStorage::default();
    let (mut disk, loaded) = LogFile::open(&place, "v", true).unwrap();
    let mut voter = RaftNode::new(1, 1, loaded).unwrap();
    let mut failed = 0;
    for n in 0..60 {
        if n == 30 {
            place.inject_fault(StorageFault::SyncFailsOnce);
        }
        voter.tick();
        voter.propose(&propose(n, voter.state().newest_version(), n));
        failed += u32::from(voter.process_pending(&mut disk).is_err());
    }
    assert_eq!((failed, voter.has_failed(), voter.has_caught_up()), (1, true, false));
    assert!(!voter.propose(&propose(99, 0, 1)));
}

/// A voter that is built anew from what its disk has recovered knows all that was agreed, and has it agreed again before
/// it counts as settled: as after a restart.
#[test]
fn a_voter_whose_disk_works_again_comes_back_as_after_a_restart() {
    for fault in [
        StorageFault::SyncFailsOnce,
        StorageFault::SyncFailsOnceReadable,
        StorageFault::DiskFull(0),
        StorageFault::DiskFull(17),
    ] {
        let place = MemoryStorage::default();
        let (mut disk, loaded) = LogFile::open(&place, "v", true).unwrap();
        let mut voter = RaftNode::new(1, 1, loaded).unwrap();
        for n in 0..40 {
            voter.tick();
            voter.propose(&propose(n, voter.state().newest_version(), n));
            voter.process_pending(&mut disk).unwrap();
        }
        let agreed = voter.state().newest_version();
        assert!(agreed > 5);
        place.inject_fault(fault);
        voter.propose(&propose(99, agreed, 99));
        let error = voter.process_pending(&mut disk).unwrap_err();
        assert!(error.is_transient(), "{error}");
        assert!(voter.process_pending(&mut disk).unwrap().is_empty());
        place.clear_fault();
        let mut again = RaftNode::new(1, 1, disk.recover().unwrap()).unwrap();
        assert!(!again.has_failed() && !again.has_caught_up());
        for n in 100..140 {
            again.tick();
            again.propose(&propose(n, again.state().newest_version(), n));
            again.process_pending(&mut disk).unwrap();
        }
        assert!(again.has_caught_up() && again.state().newest_version() > agreed, "{fault:?}");
        let kept = |state: &crate::state::ReplicatedState| {
            state.history.iter().find(|past| past.version == agreed).cloned()
        };
        assert_eq!(kept(again.state()), kept(voter.state()), "{fault:?}");
    }
}

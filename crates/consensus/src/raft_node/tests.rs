//! A single voter whose log store is reopened, fails and recovers.

use super::*;
use crate::document::DocumentBody;
use crate::log_store::LogFile;
use crate::storage::{MemoryStorage, StorageFault};

fn propose_command(token: u64, base_version: Version, tick: u64) -> Command {
    let body = DocumentBody { settings: serde_json::json!({ "tick": tick }), workers_out: BTreeSet::new() };
    Command::Propose { token, proposer: "a".into(), base_version, body }
}

/// Also covers a log that was compacted before the restart.
#[test]
fn restarted_voter_has_caught_up_only_after_it_applied_all_committed_entries_again() {
    let storage = MemoryStorage::default();
    let (mut log, stored) = LogFile::open(&storage, "v", true).unwrap();
    let mut voter = RaftNode::new(1, 1, stored).unwrap();
    for _ in 0..30 {
        voter.tick();
        voter.process_pending(&mut log).unwrap();
    }
    assert!(voter.is_leader());
    for version in 0..600 {
        assert!(voter.propose(&propose_command(version, version, version)));
        voter.process_pending(&mut log).unwrap();
    }
    assert_eq!(voter.state().newest_version(), 600);
    drop(log);
    let (mut log, stored) = LogFile::open(&storage, "v", false).unwrap();
    assert!(stored.entries.len() < 2 * RETAINED_ENTRIES as usize + 8, "{}", stored.entries.len());
    let mut restarted = RaftNode::new(1, 1, stored).unwrap();
    assert!(!restarted.has_caught_up(), "entries after the stored commit index may not be committed");
    for _ in 0..30 {
        restarted.tick();
        restarted.process_pending(&mut log).unwrap();
    }
    assert!(restarted.has_caught_up());
    assert_eq!(restarted.state(), voter.state());
    // Of two proposals on the same version the first one wins; a repeated proposal has no effect.
    for (token, base_version) in [(1001, 600), (1002, 600), (1001, 600)] {
        restarted.propose(&propose_command(token, base_version, 7000 + token));
    }
    restarted.process_pending(&mut log).unwrap();
    assert_eq!(restarted.state().outcome(1002), Some(&crate::state::ProposalOutcome::StaleBase(601)));
    assert_eq!(restarted.state().newest_version(), 601);
}

#[test]
fn voter_takes_no_part_after_its_log_store_failed() {
    let storage = MemoryStorage::default();
    let (mut log, stored) = LogFile::open(&storage, "v", true).unwrap();
    let mut voter = RaftNode::new(1, 1, stored).unwrap();
    let mut failures = 0;
    for n in 0..60 {
        if n == 30 {
            storage.inject_fault(StorageFault::SyncFailsOnce);
        }
        voter.tick();
        voter.propose(&propose_command(n, voter.state().newest_version(), n));
        failures += u32::from(voter.process_pending(&mut log).is_err());
    }
    assert_eq!((failures, voter.has_failed(), voter.has_caught_up()), (1, true, false));
    assert!(!voter.propose(&propose_command(99, 0, 1)));
}

#[test]
fn voter_recreated_from_its_recovered_store_keeps_the_committed_state_as_after_a_restart() {
    for fault in [
        StorageFault::SyncFailsOnce,
        StorageFault::SyncFailsOnceReadable,
        StorageFault::DiskFull(0),
        StorageFault::DiskFull(17),
    ] {
        let storage = MemoryStorage::default();
        let (mut log, stored) = LogFile::open(&storage, "v", true).unwrap();
        let mut voter = RaftNode::new(1, 1, stored).unwrap();
        for n in 0..40 {
            voter.tick();
            voter.propose(&propose_command(n, voter.state().newest_version(), n));
            voter.process_pending(&mut log).unwrap();
        }
        let committed = voter.state().newest_version();
        assert!(committed > 5);
        storage.inject_fault(fault);
        voter.propose(&propose_command(99, committed, 99));
        let error = voter.process_pending(&mut log).unwrap_err();
        assert!(error.is_transient(), "{error}");
        assert!(voter.process_pending(&mut log).unwrap().is_empty());
        storage.clear_fault();
        let mut recreated = RaftNode::new(1, 1, log.recover().unwrap()).unwrap();
        assert!(!recreated.has_failed() && !recreated.has_caught_up());
        for n in 100..140 {
            recreated.tick();
            recreated.propose(&propose_command(n, recreated.state().newest_version(), n));
            recreated.process_pending(&mut log).unwrap();
        }
        assert!(recreated.has_caught_up() && recreated.state().newest_version() > committed, "{fault:?}");
        let committed_record = |state: &crate::state::ReplicatedState| {
            state.history.iter().find(|record| record.version == committed).cloned()
        };
        assert_eq!(committed_record(recreated.state()), committed_record(voter.state()), "{fault:?}");
    }
}

//! A voter's node of the Raft group that replicates the tier's document. It does no input or output but to
//! the log store that is passed in, which is written in the order that Raft requires: entries and votes
//! before the messages that depend on them.

use crate::Version;
use crate::log_store::{LogStore, StoredLog};
use crate::raft_node_error::RaftNodeError;
use crate::state::{Command, ReplicatedState};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, RawNode, StateRole, Storage};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub use raft::eraftpb::Message;

/// The base election timeout, in ticks; each voter adds some of its own.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Time between two ticks, in nanoseconds.
pub const TICK_NANOS: u64 = 100_000_000;
/// Applied entries that compaction keeps for voters that lag behind; the log is compacted at twice as many.
const RETAINED_ENTRIES: u64 = 128;

/// The Raft log in memory, with snapshots of the replicated state.
#[derive(Clone)]
struct MemoryLog {
    entries: MemStorage,
    /// The index of the last applied entry, and the replicated state after it, encoded.
    applied: Rc<RefCell<(u64, Vec<u8>)>>,
}

impl MemoryLog {
    fn create_snapshot(&self) -> raft::Result<Snapshot> {
        let (index, data) = self.applied.borrow().clone();
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = self.entries.term(index)?;
        metadata.set_conf_state(self.entries.initial_state()?.conf_state);
        snapshot.set_data(data.into());
        Ok(snapshot)
    }
}

impl Storage for MemoryLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.entries.initial_state()
    }
    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.entries.entries(low, high, max_size, context)
    }
    fn term(&self, index: u64) -> raft::Result<u64> {
        self.entries.term(index)
    }
    fn first_index(&self) -> raft::Result<u64> {
        self.entries.first_index()
    }
    fn last_index(&self) -> raft::Result<u64> {
        self.entries.last_index()
    }
    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.applied.borrow().0 < request_index {
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        self.create_snapshot()
    }
}

/// One voter's Raft node and its copy of the replicated state.
pub struct RaftNode {
    node: RawNode<MemoryLog>,
    log: MemoryLog,
    state: ReplicatedState,
    /// The index of the last stored entry at the start. This voter may have acted on it before the restart.
    initial_last_index: u64,
    /// The voters that are ready, by version. Only used by the leader.
    ready_voters: BTreeMap<Version, BTreeSet<u64>>,
    voters: usize,
    /// The log store failed: nothing is acknowledged any more.
    failed: bool,
}

impl std::fmt::Debug for RaftNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RaftNode").field("state", &self.state).finish_non_exhaustive()
    }
}

impl RaftNode {
    /// Creates the node of voter `id`, from 1 to `voters`, with the contents of its log store.
    pub fn new(id: u64, voters: u64, stored: StoredLog) -> Result<RaftNode, RaftNodeError> {
        let entries = MemStorage::new();
        let mut state = ReplicatedState::default();
        let mut snapshot_index = 0;
        match stored.snapshot {
            Some(snapshot) => {
                snapshot_index = snapshot.get_metadata().index;
                state = serde_json::from_slice(snapshot.get_data())?;
                entries.wl().apply_snapshot(snapshot)?;
            }
            None => entries
                .initialize_with_conf_state(ConfState::from(((1..=voters).collect::<Vec<_>>(), vec![]))),
        }
        entries.wl().append(&stored.entries)?;
        let last_index = entries.last_index()?;
        let mut hard_state = stored.hard_state;
        // The commit index is only written along with a vote or an entry, so it may be older than the
        // snapshot.
        hard_state.commit = hard_state.commit.clamp(snapshot_index, last_index);
        entries.wl().set_hardstate(hard_state);
        let applied = Rc::new(RefCell::new((snapshot_index, serde_json::to_vec(&state)?)));
        let log = MemoryLog { entries, applied };
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 16,
            applied: snapshot_index,
            // Fixed election timeouts that differ by voter: no two voters call an election at the same time,
            // and a simulation is deterministic.
            min_election_tick: ELECTION_TICKS + 3 * id as usize,
            max_election_tick: ELECTION_TICKS + 3 * id as usize + 1,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &logger)?;
        let voters = voters as usize;
        Ok(RaftNode {
            node,
            log,
            state,
            initial_last_index: last_index,
            ready_voters: BTreeMap::new(),
            voters,
            failed: false,
        })
    }

    /// Returns the replicated state as far as this voter has applied it.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether every entry that was stored at the start has been applied or replaced. Until then this voter
    /// must grant no lease: it may have let a version come into force that it has not applied again yet.
    pub fn has_caught_up(&self) -> bool {
        !self.failed && self.log.applied.borrow().0 >= self.initial_last_index
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Returns the id of the leader that this voter follows; 0 if it knows none.
    pub fn leader_id(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// Whether [`RaftNode::process_pending`] has failed: this node takes part no more. After a
    /// [transient](RaftNodeError::is_transient) error a new one can be created from the result of
    /// [`LogStore::recover`], as after a restart.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Advances the clock by [`TICK_NANOS`].
    pub fn tick(&mut self) {
        if !self.failed {
            self.node.tick();
        }
    }

    /// Handles a message of another voter.
    pub fn step(&mut self, message: Message) {
        if !self.failed && message.to == self.node.raft.id {
            // The library reports outdated messages as errors; they can be ignored.
            let _ = self.node.step(message);
        }
    }

    /// Proposes a command. Returns false if no leader is known. The proposal can get lost, so the caller must
    /// repeat it until it sees the outcome.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(data) = serde_json::to_vec(command) else { return false };
        !self.failed && self.node.propose(Vec::new(), data).is_ok()
    }

    /// Records that a voter, possibly this one, is ready for a version. The leader proposes to activate the
    /// version once a majority is ready: a lease needs grants of a majority, and every two majorities share a
    /// voter.
    pub fn record_ready(&mut self, voter: u64, version: Version) {
        if !self.is_leader() || self.state.pending.as_ref().is_none_or(|d| d.version != version) {
            return;
        }
        let ready_voters = self.ready_voters.entry(version).or_default();
        ready_voters.insert(voter);
        if ready_voters.len() > self.voters / 2 {
            self.ready_voters.clear();
            self.propose(&Command::Activate(version));
        }
    }

    /// Processes all pending work of the Raft library: writes to the store, applies committed entries, and
    /// returns the messages to send. After an error no message of this call may be sent, and every later call
    /// does nothing.
    pub fn process_pending(&mut self, store: &mut dyn LogStore) -> Result<Vec<Message>, RaftNodeError> {
        if self.failed {
            return Ok(Vec::new());
        }
        let messages = self.persist_and_apply(store);
        self.failed = messages.is_err();
        messages
    }

    fn persist_and_apply(&mut self, store: &mut dyn LogStore) -> Result<Vec<Message>, RaftNodeError> {
        let mut messages = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            messages.extend(ready.take_messages());
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                store.replace(&snapshot, &[], ready.hs())?;
                self.state = serde_json::from_slice(snapshot.get_data())?;
                *self.log.applied.borrow_mut() =
                    (snapshot.get_metadata().index, snapshot.get_data().to_vec());
                self.log.entries.wl().apply_snapshot(snapshot)?;
            }
            self.apply(ready.take_committed_entries())?;
            if !ready.entries().is_empty() || ready.hs().is_some() {
                store.append(ready.entries(), ready.hs())?;
                self.log.entries.wl().append(ready.entries())?;
                if let Some(hard_state) = ready.hs() {
                    self.log.entries.wl().set_hardstate(hard_state.clone());
                }
            }
            messages.extend(ready.take_persisted_messages());
            let mut light_ready = self.node.advance(ready);
            if let Some(commit) = light_ready.commit_index() {
                self.log.entries.wl().mut_hard_state().set_commit(commit);
            }
            messages.extend(light_ready.take_messages());
            self.apply(light_ready.take_committed_entries())?;
            self.node.advance_apply();
        }
        self.compact(store)?;
        Ok(messages)
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), RaftNodeError> {
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                // An entry that cannot be decoded was written by a newer build. Skipping it would let the
                // state diverge.
                let command = serde_json::from_slice(&entry.data)
                    .map_err(|source| RaftNodeError::UnreadableEntry { index: entry.index, source })?;
                self.state.apply(entry.index, command);
            }
            self.log.applied.borrow_mut().0 = entry.index;
            self.log.applied.borrow_mut().1 = serde_json::to_vec(&self.state)?;
        }
        Ok(())
    }

    /// Replaces old entries of the log by a snapshot once there are enough of them.
    fn compact(&mut self, store: &mut dyn LogStore) -> Result<(), RaftNodeError> {
        let applied_index = self.log.applied.borrow().0;
        let first_index = self.log.first_index()?;
        if applied_index < first_index + 2 * RETAINED_ENTRIES {
            return Ok(());
        }
        let snapshot = self.log.create_snapshot()?;
        let last_index = self.log.last_index()?;
        let unapplied =
            self.log.entries(applied_index + 1, last_index + 1, None, GetEntriesContext::empty(false))?;
        let hard_state = self.log.initial_state()?.hard_state;
        store.replace(&snapshot, &unapplied, Some(&hard_state))?;
        self.log.entries.wl().compact(applied_index - RETAINED_ENTRIES)?;
        Ok(())
    }
}

/// Encodes a Raft message.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a Raft message; none if the bytes are invalid.
pub fn decode_message(bytes: &[u8]) -> Option<Message> {
    Message::parse_from_bytes(bytes).ok()
}

#[cfg(test)]
mod tests;

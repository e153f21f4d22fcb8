//! The voters' agreement: the Raft library around the tier's document. Pure but for the disk that is passed in, which is
//! written in the order that the library states: entries and votes first, then the messages that tell of them.

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

/// Ticks without a word of the leader until an election; one tick is [`TICK`].
const ELECTION: usize = 10;
const HEARTBEAT: usize = 2;
/// Time between two ticks, in nanoseconds.
pub const TICK_NANOS: u64 = 100_000_000;
/// Applied entries that are kept for voters that lag; beyond twice as many the log is cut.
const KEPT: u64 = 128;

/// The log in memory, with snapshots of the document.
#[derive(Clone)]
struct Store {
    mem: MemStorage,
    /// The document as it was applied last, with its index.
    applied: Rc<RefCell<(u64, Vec<u8>)>>,
}

impl Store {
    fn picture(&self) -> raft::Result<Snapshot> {
        let (index, data) = self.applied.borrow().clone();
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        meta.index = index;
        meta.term = self.mem.term(index)?;
        meta.set_conf_state(self.mem.initial_state()?.conf_state);
        snapshot.set_data(data.into());
        Ok(snapshot)
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.mem.initial_state()
    }
    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.mem.entries(low, high, most, context)
    }
    fn term(&self, index: u64) -> raft::Result<u64> {
        self.mem.term(index)
    }
    fn first_index(&self) -> raft::Result<u64> {
        self.mem.first_index()
    }
    fn last_index(&self) -> raft::Result<u64> {
        self.mem.last_index()
    }
    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.applied.borrow().0 < request_index {
            return Err(raft::Error::Store(raft::StorageError::SnapshotTemporarilyUnavailable));
        }
        self.picture()
    }
}

/// One voter's part in the agreement.
pub struct RaftNode {
    node: RawNode<Store>,
    store: Store,
    state: ReplicatedState,
    /// The last entry that stood in the log at the start. What it says may have been acted upon by this voter.
    begun_at: u64,
    ready: BTreeMap<Version, BTreeSet<u64>>,
    voters: usize,
    /// The disk failed: nothing is acknowledged any more.
    broken: bool,
}

impl std::fmt::Debug for RaftNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Agreement").field("state", &self.state).finish_non_exhaustive()
    }
}

impl RaftNode {
    /// Voter `id`, from 1 to `voters`, with what its disk held.
    pub fn new(id: u64, voters: u64, loaded: StoredLog) -> Result<RaftNode, RaftNodeError> {
        let mem = MemStorage::new();
        let mut state = ReplicatedState::default();
        let mut from = 0;
        match loaded.snapshot {
            Some(snapshot) => {
                from = snapshot.get_metadata().index;
                state = serde_json::from_slice(snapshot.get_data())?;
                mem.wl().apply_snapshot(snapshot)?;
            }
            None => {
                mem.initialize_with_conf_state(ConfState::from(((1..=voters).collect::<Vec<_>>(), vec![])))
            }
        }
        mem.wl().append(&loaded.entries)?;
        let last = mem.last_index()?;
        let mut hard = loaded.hard_state;
        // The commit index is written with the next vote or entry, so it may be behind the snapshot.
        hard.commit = hard.commit.clamp(from, last);
        mem.wl().set_hardstate(hard);
        let applied = Rc::new(RefCell::new((from, serde_json::to_vec(&state)?)));
        let store = Store { mem, applied };
        let config = raft::Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 16,
            applied: from,
            // Each voter has a time of its own: no two call an election at once, and the same history has the same end.
            min_election_tick: ELECTION + 3 * id as usize,
            max_election_tick: ELECTION + 3 * id as usize + 1,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store.clone(), &logger)?;
        let voters = voters as usize;
        Ok(RaftNode { node, store, state, begun_at: last, ready: BTreeMap::new(), voters, broken: false })
    }

    /// What this voter knows to be agreed.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter has seen agreed, or replaced, all that stood in its log when it started. Before that it must
    /// promise nothing: it may have let a version come into force that it does not know of again yet.
    pub fn has_caught_up(&self) -> bool {
        !self.broken && self.store.applied.borrow().0 >= self.begun_at
    }

    /// Whether this voter leads.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The leader that this voter knows; 0 for none.
    pub fn leader_id(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// [`RaftNode::process_pending`] has failed: this voter takes part no more. Where the error was
    /// [transient](AgreementError::is_transient), another one is built from what its disk
    /// [recovers](Disk::recover), as after a restart.
    pub fn has_failed(&self) -> bool {
        self.broken
    }

    /// [`TICK`] has passed.
    pub fn tick(&mut self) {
        if !self.broken {
            self.node.tick();
        }
    }

    /// A message of another voter.
    pub fn step(&mut self, message: Message) {
        if !self.broken && message.to == self.node.raft.id {
            // One that is out of date is an error of the library's, and none of ours.
            let _ = self.node.step(message);
        }
    }

    /// Proposes a command; false if no leader is known. It may get lost: whoever needs it proposes it again.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(data) = serde_json::to_vec(command) else { return false };
        !self.broken && self.node.propose(Vec::new(), data).is_ok()
    }

    /// A voter, this one included, is ready for a version. The leader has it come into force once a majority is: whoever
    /// may act needs promises of a majority, and every two majorities share a voter.
    pub fn record_ready(&mut self, voter: u64, version: Version) {
        if !self.is_leader() || self.state.pending.as_ref().is_none_or(|d| d.version != version) {
            return;
        }
        let ready = self.ready.entry(version).or_default();
        ready.insert(voter);
        if ready.len() > self.voters / 2 {
            self.ready.clear();
            self.propose(&Command::Activate(version));
        }
    }

    /// Does what the library has to do: writes to the disk, applies what is agreed, and gives back the messages to send.
    /// After an error no message of this call may be sent, and every later call does nothing.
    pub fn process_pending(&mut self, disk: &mut dyn LogStore) -> Result<Vec<Message>, RaftNodeError> {
        if self.broken {
            return Ok(Vec::new());
        }
        let messages = self.work(disk);
        self.broken = messages.is_err();
        messages
    }

    fn work(&mut self, disk: &mut dyn LogStore) -> Result<Vec<Message>, RaftNodeError> {
        let mut out = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            out.extend(ready.take_messages());
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                disk.replace(&snapshot, &[], ready.hs())?;
                self.state = serde_json::from_slice(snapshot.get_data())?;
                *self.store.applied.borrow_mut() =
                    (snapshot.get_metadata().index, snapshot.get_data().to_vec());
                self.store.mem.wl().apply_snapshot(snapshot)?;
            }
            self.apply(ready.take_committed_entries())?;
            if !ready.entries().is_empty() || ready.hs().is_some() {
                disk.append(ready.entries(), ready.hs())?;
                self.store.mem.wl().append(ready.entries())?;
                if let Some(hard) = ready.hs() {
                    self.store.mem.wl().set_hardstate(hard.clone());
                }
            }
            out.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.store.mem.wl().mut_hard_state().set_commit(commit);
            }
            out.extend(light.take_messages());
            self.apply(light.take_committed_entries())?;
            self.node.advance_apply();
        }
        self.cut(disk)?;
        Ok(out)
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), RaftNodeError> {
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                // Written by a build that knows more than this one: to go on would be to guess.
                let command = serde_json::from_slice(&entry.data)
                    .map_err(|source| RaftNodeError::Unreadable { index: entry.index, source })?;
                self.state.apply(entry.index, command);
            }
            self.store.applied.borrow_mut().0 = entry.index;
            self.store.applied.borrow_mut().1 = serde_json::to_vec(&self.state)?;
        }
        Ok(())
    }

    /// Cuts the log where a picture of the document can stand for it.
    fn cut(&mut self, disk: &mut dyn LogStore) -> Result<(), RaftNodeError> {
        let applied = self.store.applied.borrow().0;
        let first = self.store.first_index()?;
        if applied < first + 2 * KEPT {
            return Ok(());
        }
        let snapshot = self.store.picture()?;
        let last = self.store.last_index()?;
        let rest = self.store.entries(applied + 1, last + 1, None, GetEntriesContext::empty(false))?;
        let hard = self.store.initial_state()?.hard_state;
        disk.replace(&snapshot, &rest, Some(&hard))?;
        self.store.mem.wl().compact(applied - KEPT)?;
        Ok(())
    }
}

/// A message as bytes.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// A message from bytes; none if they are not one.
pub fn decode_message(bytes: &[u8]) -> Option<Message> {
    Message::parse_from_bytes(bytes).ok()
}

#[cfg(test)]
mod tests;

//! Checks that no voter votes for two candidates in one term. Tests pass it every message that a voter sends.

use crate::history_check::Violation;
use crate::raft_node::Message;
use raft::eraftpb::MessageType;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// A vote that a voter has sent to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The term of the election.
    pub term: u64,
    /// The voter that cast the vote.
    pub voter: u64,
    /// The voter that it was cast for.
    pub candidate: u64,
}

impl Vote {
    /// Returns the vote that a message carries, if any. A request for votes implies a vote for the sender
    /// itself.
    pub fn from_message(message: &Message) -> Option<Vote> {
        let candidate = match message.get_msg_type() {
            MessageType::MsgRequestVote => message.from,
            MessageType::MsgRequestVoteResponse if !message.reject => message.to,
            _ => return None,
        };
        Some(Vote { term: message.term, voter: message.from, candidate })
    }
}

/// All votes recorded in a test: the candidate by term and voter. Grows with the number of terms.
#[derive(Clone, Debug, Default)]
pub struct RecordedVotes(BTreeMap<(u64, u64), u64>);

impl RecordedVotes {
    /// Records a vote. Returns a violation if the voter has voted for another candidate in the same term.
    pub fn record(&mut self, vote: Vote) -> Option<Violation> {
        let earlier_candidate = match self.0.entry((vote.term, vote.voter)) {
            Entry::Vacant(vacant) => {
                vacant.insert(vote.candidate);
                return None;
            }
            Entry::Occupied(occupied) => *occupied.get(),
        };
        let details = format!("{vote:?}, and earlier for candidate {earlier_candidate}");
        (earlier_candidate != vote.candidate)
            .then_some(Violation { invariant: "a voter votes once in a term", details })
    }

    /// Returns the number of votes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no vote was recorded.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

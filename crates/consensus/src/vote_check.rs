//! Checks that no voter votes for two candidates in one term, whatever happens to its disk. Trials pass it every message
//! that a voter sends.

use crate::history_check::Violation;
use crate::raft_node::Message;
use raft::eraftpb::MessageType;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// A vote that a voter has told somebody of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The term that it counts for.
    pub term: u64,
    /// The voter that cast it.
    pub voter: u64,
    /// The voter that it was cast for.
    pub candidate: u64,
}

impl Vote {
    /// The vote that a message tells of, if any: one who asks for votes has voted for itself.
    pub fn from_message(message: &Message) -> Option<Vote> {
        let candidate = match message.get_msg_type() {
            MessageType::MsgRequestVote => message.from,
            MessageType::MsgRequestVoteResponse if !message.reject => message.to,
            _ => return None,
        };
        Some(Vote { term: message.term, voter: message.from, candidate })
    }
}

/// The votes of a trial: the candidate by term and voter. Grows with the terms of the trial.
#[derive(Clone, Debug, Default)]
pub struct RecordedVotes(BTreeMap<(u64, u64), u64>);

impl RecordedVotes {
    /// Takes in a vote; the breach if the voter has voted for another candidate in this term.
    pub fn record(&mut self, vote: Vote) -> Option<Violation> {
        let earlier = match self.0.entry((vote.term, vote.voter)) {
            Entry::Vacant(free) => {
                free.insert(vote.candidate);
                return None;
            }
            Entry::Occupied(earlier) => *earlier.get(),
        };
        let story = format!("{vote:?}, and before that for {earlier}");
        (earlier != vote.candidate)
            .then_some(Violation { invariant: "a voter votes once in a term", details: story })
    }

    /// How many votes there were.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there was none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

//! The replicated state: the result of applying the committed commands in order. It is the same at every
//! voter.

use crate::Version;
use crate::document::{self, ChangeKind, DocumentBody};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions, and outcomes of proposals, that are kept.
const HISTORY_LIMIT: usize = 64;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Proposes a document that replaces version `base_version`.
    #[serde(rename = "Propose")]
    Propose {
        /// Identifies the proposal: a duplicate of it has no effect.
        #[serde(rename = "token")]
        token: u64,
        /// The scheduler that made the proposal.
        #[serde(rename = "by")]
        proposer: String,
        /// The newest version that the proposer knew.
        #[serde(rename = "base")]
        base_version: Version,
        /// The proposed document.
        #[serde(rename = "body")]
        body: DocumentBody,
    },
    /// Activates the pending version: no scheduler applies rules that conflict with it any more.
    #[serde(rename = "Activate")]
    Activate(Version),
}

/// A version of the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// The number of the version.
    #[serde(rename = "version")]
    pub version: Version,
    /// The scheduler that proposed it.
    #[serde(rename = "by")]
    pub proposer: String,
    /// The contents.
    #[serde(rename = "body")]
    pub body: DocumentBody,
}

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal was committed as this version.
    #[serde(rename = "Agreed")]
    Committed(Version),
    /// The document is the same as this active version.
    #[serde(rename = "Same")]
    Unchanged(Version),
    /// The base version was not the newest one, or that one is still pending. Holds the newest version.
    #[serde(rename = "Missed")]
    StaleBase(Version),
    /// These keys cannot change while the tier runs.
    #[serde(rename = "Unordered")]
    RequiresRestart(Vec<String>),
}

/// The active and the pending document, with the outcomes of recent proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The log index of the last command that was applied.
    #[serde(rename = "index")]
    pub index: u64,
    /// The document in force.
    #[serde(rename = "active")]
    pub active: Option<Document>,
    /// The document that is committed, but not yet in force.
    #[serde(rename = "coming")]
    pub pending: Option<Document>,
    /// The outcomes of the latest proposals, by token.
    #[serde(rename = "outcomes")]
    pub outcomes: VecDeque<(u64, ProposalOutcome)>,
    /// The latest versions, oldest first.
    #[serde(rename = "history")]
    pub history: VecDeque<VersionRecord>,
}

/// A version in the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The number of the version.
    #[serde(rename = "version")]
    pub version: Version,
    /// The scheduler that proposed it.
    #[serde(rename = "by")]
    pub proposer: String,
    /// The keys that it changed.
    #[serde(rename = "keys")]
    pub changed_keys: Vec<String>,
    /// Whether it conflicts with the version before it.
    #[serde(rename = "contradicts")]
    pub conflicts_with_previous: bool,
}

impl ReplicatedState {
    /// Returns the newest version, pending or active; 0 if there is none.
    pub fn newest_version(&self) -> Version {
        self.pending.as_ref().or(self.active.as_ref()).map_or(0, |d| d.version)
    }

    /// Returns the newest document, pending or active.
    pub fn newest_document(&self) -> Option<&Document> {
        self.pending.as_ref().or(self.active.as_ref())
    }

    /// Returns the outcome of a proposal; none while it is unknown, and again once it is no longer kept.
    pub fn outcome(&self, token: u64) -> Option<&ProposalOutcome> {
        self.outcomes.iter().find(|o| o.0 == token).map(|o| &o.1)
    }

    /// Applies the committed command at this log index. The result depends only on the state, the index and
    /// the command.
    pub fn apply(&mut self, index: u64, command: Command) {
        self.index = index;
        match command {
            Command::Activate(version) => {
                if self.pending.as_ref().is_some_and(|d| d.version == version) {
                    self.active = self.pending.take();
                }
            }
            Command::Propose { token, proposer, base_version, body } => {
                if self.outcome(token).is_none() {
                    let outcome = self.propose(proposer, base_version, body);
                    self.outcomes.push_back((token, outcome));
                    self.outcomes.keep_newest(HISTORY_LIMIT);
                }
            }
        }
    }

    fn propose(&mut self, proposer: String, base_version: Version, body: DocumentBody) -> ProposalOutcome {
        if base_version != self.newest_version() {
            return ProposalOutcome::StaleBase(self.newest_version());
        }
        let Some(active) = &self.active else {
            return self.add_version(proposer, body, Vec::new(), false);
        };
        if self.pending.is_some() {
            return ProposalOutcome::StaleBase(self.newest_version());
        }
        let differences = document::differences(&active.body, &body);
        let keys_of_kind = |kind: Option<ChangeKind>| {
            differences
                .iter()
                .filter(|d| kind.is_none_or(|k| d.kind == k))
                .map(|d| d.key.clone())
                .collect::<Vec<_>>()
        };
        let unordered = keys_of_kind(Some(ChangeKind::Unordered));
        if !unordered.is_empty() {
            return ProposalOutcome::RequiresRestart(unordered);
        }
        if differences.is_empty() {
            return ProposalOutcome::Unchanged(active.version);
        }
        let conflicts = differences.iter().any(|d| d.kind == ChangeKind::Ordered);
        let changed_keys = keys_of_kind(None);
        self.add_version(proposer, body, changed_keys, conflicts)
    }

    fn add_version(
        &mut self,
        proposer: String,
        body: DocumentBody,
        changed_keys: Vec<String>,
        conflicts_with_previous: bool,
    ) -> ProposalOutcome {
        let version = self.newest_version() + 1;
        self.history.push_back(VersionRecord {
            version,
            proposer: proposer.clone(),
            changed_keys,
            conflicts_with_previous,
        });
        self.history.keep_newest(HISTORY_LIMIT);
        let document = Some(Document { version, proposer, body });
        if conflicts_with_previous {
            self.pending = document;
        } else {
            self.active = document;
        }
        ProposalOutcome::Committed(version)
    }
}

trait KeepNewest {
    /// Drops the oldest items until at most `limit` are left.
    fn keep_newest(&mut self, limit: usize);
}

impl<T> KeepNewest for VecDeque<T> {
    fn keep_newest(&mut self, limit: usize) {
        while self.len() > limit {
            self.pop_front();
        }
    }
}

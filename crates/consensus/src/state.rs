//! The document of the tier, as the agreed commands make it: the same at every voter.

use crate::Version;
use crate::document::{self, ChangeKind, DocumentBody};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions and outcomes that are remembered.
const HISTORY_LIMIT: usize = 64;

/// What voters agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A new document in place of version `base`.
    #[serde(rename = "Propose")]
    Propose {
        /// Names the proposal, so that one sent twice counts once.
        #[serde(rename = "token")]
        token: u64,
        /// Who proposed it.
        #[serde(rename = "by")]
        proposer: String,
        /// The version that the proposer knew.
        #[serde(rename = "base")]
        base_version: Version,
        /// The document.
        #[serde(rename = "body")]
        body: DocumentBody,
    },
    /// The version that was coming is in force: nobody acts on rules that it contradicts.
    #[serde(rename = "Activate")]
    Activate(Version),
}

/// A version of the document.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Its number.
    #[serde(rename = "version")]
    pub version: Version,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub proposer: String,
    /// What it says.
    #[serde(rename = "body")]
    pub body: DocumentBody,
}

/// What has become of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is this version.
    #[serde(rename = "Agreed")]
    Committed(Version),
    /// It says what this version says already.
    #[serde(rename = "Same")]
    Unchanged(Version),
    /// Another came before it: the version that it missed.
    #[serde(rename = "Missed")]
    StaleBase(Version),
    /// It cannot be brought into force while the tier runs, because of these keys.
    #[serde(rename = "Unordered")]
    RequiresRestart(Vec<String>),
}

/// What is in force and what is coming, as told to schedulers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The number of the last command that is in here; a later state has a higher one.
    #[serde(rename = "index")]
    pub index: u64,
    /// In force.
    #[serde(rename = "active")]
    pub active: Option<Document>,
    /// Agreed, and not yet in force everywhere.
    #[serde(rename = "coming")]
    pub pending: Option<Document>,
    /// What became of the latest proposals, by their tokens.
    #[serde(rename = "outcomes")]
    pub outcomes: VecDeque<(u64, ProposalOutcome)>,
    /// The latest versions: number, proposer, what changed, and whether that can contradict.
    #[serde(rename = "history")]
    pub history: VecDeque<VersionRecord>,
}

/// An earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Its number.
    #[serde(rename = "version")]
    pub version: Version,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub proposer: String,
    /// The keys that it changed.
    #[serde(rename = "keys")]
    pub changed_keys: Vec<String>,
    /// It contradicts the version before it.
    #[serde(rename = "contradicts")]
    pub conflicts_with_previous: bool,
}

impl ReplicatedState {
    /// The newest version, in force or coming.
    pub fn newest_version(&self) -> Version {
        self.pending.as_ref().or(self.active.as_ref()).map_or(0, |d| d.version)
    }

    /// The newest document.
    pub fn newest_document(&self) -> Option<&Document> {
        self.pending.as_ref().or(self.active.as_ref())
    }

    /// What became of a proposal, if that is known.
    pub fn outcome(&self, token: u64) -> Option<&ProposalOutcome> {
        self.outcomes.iter().find(|o| o.0 == token).map(|o| &o.1)
    }

    /// Takes in the agreed command of this index. The same command at the same place has the same effect everywhere.
    pub fn apply(&mut self, index: u64, command: Command) {
        self.index = index;
        match command {
            Command::Activate(version) => {
                if self.pending.as_ref().is_some_and(|d| d.version == version) {
                    self.active = self.pending.take();
                }
            }
            Command::Propose { token, proposer: by, base_version: base, body } => {
                if self.outcome(token).is_none() {
                    let outcome = self.propose(by, base, body);
                    self.outcomes.push_back((token, outcome));
                    self.outcomes.keep_latest(HISTORY_LIMIT);
                }
            }
        }
    }

    fn propose(&mut self, by: String, base: Version, body: DocumentBody) -> ProposalOutcome {
        if base != self.newest_version() {
            return ProposalOutcome::StaleBase(self.newest_version());
        }
        let Some(active) = &self.active else {
            return self.take(by, body, Vec::new(), false);
        };
        if self.pending.is_some() {
            return ProposalOutcome::StaleBase(self.newest_version());
        }
        let changes = document::differences(&active.body, &body);
        let keys = |kind: Option<ChangeKind>| {
            changes
                .iter()
                .filter(|d| kind.is_none_or(|k| d.kind == k))
                .map(|d| d.key.clone())
                .collect::<Vec<_>>()
        };
        let unordered = keys(Some(ChangeKind::Unordered));
        if !unordered.is_empty() {
            return ProposalOutcome::RequiresRestart(unordered);
        }
        if changes.is_empty() {
            return ProposalOutcome::Unchanged(active.version);
        }
        let contradicts = changes.iter().any(|d| d.kind == ChangeKind::Ordered);
        let all = keys(None);
        self.take(by, body, all, contradicts)
    }

    fn take(
        &mut self,
        by: String,
        body: DocumentBody,
        keys: Vec<String>,
        contradicts: bool,
    ) -> ProposalOutcome {
        let version = self.newest_version() + 1;
        self.history.push_back(VersionRecord {
            version,
            proposer: by.clone(),
            changed_keys: keys,
            conflicts_with_previous: contradicts,
        });
        self.history.keep_latest(HISTORY_LIMIT);
        let document = Some(Document { version, proposer: by, body });
        if contradicts {
            self.pending = document;
        } else {
            self.active = document;
        }
        ProposalOutcome::Committed(version)
    }
}

/// Keeps the latest.
trait KeepLatest {
    fn keep_latest(&mut self, most: usize);
}

impl<T> KeepLatest for VecDeque<T> {
    fn keep_latest(&mut self, most: usize) {
        while self.len() > most {
            self.pop_front();
        }
    }
}

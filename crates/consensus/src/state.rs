//! The document of the tier, as the agreed commands make it: the same at every voter.

use crate::Version;
use crate::document::{self, ChangeKind, DocumentBody};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Versions and outcomes that are remembered.
const HISTORY: usize = 64;

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
        by: String,
        /// The version that the proposer knew.
        #[serde(rename = "base")]
        base: Version,
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
    pub by: String,
    /// What it says.
    #[serde(rename = "body")]
    pub body: DocumentBody,
}

/// What has become of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is this version.
    #[serde(rename = "Agreed")]
    Agreed(Version),
    /// It says what this version says already.
    #[serde(rename = "Same")]
    Same(Version),
    /// Another came before it: the version that it missed.
    #[serde(rename = "Missed")]
    Missed(Version),
    /// It cannot be brought into force while the tier runs, because of these keys.
    #[serde(rename = "Unordered")]
    Unordered(Vec<String>),
}

/// What is in force and what is coming, as told to schedulers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The number of the last command that is in here; a later state has a higher one.
    #[serde(rename = "index")]
    pub index: u64,
    /// In force.
    #[serde(rename = "active")]
    pub active: Option<Document>,
    /// Agreed, and not yet in force everywhere.
    #[serde(rename = "coming")]
    pub coming: Option<Document>,
    /// What became of the latest proposals, by their tokens.
    #[serde(rename = "outcomes")]
    pub outcomes: VecDeque<(u64, Outcome)>,
    /// The latest versions: number, proposer, what changed, and whether that can contradict.
    #[serde(rename = "history")]
    pub history: VecDeque<Past>,
}

/// An earlier version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    #[serde(rename = "version")]
    pub version: Version,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub by: String,
    /// The keys that it changed.
    #[serde(rename = "keys")]
    pub keys: Vec<String>,
    /// It contradicts the version before it.
    #[serde(rename = "contradicts")]
    pub contradicts: bool,
}

impl State {
    /// The newest version, in force or coming.
    pub fn newest_version(&self) -> Version {
        self.coming.as_ref().or(self.active.as_ref()).map_or(0, |d| d.version)
    }

    /// The newest document.
    pub fn latest(&self) -> Option<&Document> {
        self.coming.as_ref().or(self.active.as_ref())
    }

    /// What became of a proposal, if that is known.
    pub fn outcome(&self, token: u64) -> Option<&Outcome> {
        self.outcomes.iter().find(|o| o.0 == token).map(|o| &o.1)
    }

    /// Takes in the agreed command of this index. The same command at the same place has the same effect everywhere.
    pub fn apply(&mut self, index: u64, command: Command) {
        self.index = index;
        match command {
            Command::Activate(version) => {
                if self.coming.as_ref().is_some_and(|d| d.version == version) {
                    self.active = self.coming.take();
                }
            }
            Command::Propose { token, by, base, body } => {
                if self.outcome(token).is_none() {
                    let outcome = self.propose(by, base, body);
                    self.outcomes.push_back((token, outcome));
                    self.outcomes.keep_latest(HISTORY);
                }
            }
        }
    }

    fn propose(&mut self, by: String, base: Version, body: DocumentBody) -> Outcome {
        if base != self.newest_version() {
            return Outcome::Missed(self.newest_version());
        }
        let Some(active) = &self.active else {
            return self.take(by, body, Vec::new(), false);
        };
        if self.coming.is_some() {
            return Outcome::Missed(self.newest_version());
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
            return Outcome::Unordered(unordered);
        }
        if changes.is_empty() {
            return Outcome::Same(active.version);
        }
        let contradicts = changes.iter().any(|d| d.kind == ChangeKind::Ordered);
        let all = keys(None);
        self.take(by, body, all, contradicts)
    }

    fn take(&mut self, by: String, body: DocumentBody, keys: Vec<String>, contradicts: bool) -> Outcome {
        let version = self.newest_version() + 1;
        self.history.push_back(Past { version, by: by.clone(), keys, contradicts });
        self.history.keep_latest(HISTORY);
        let document = Some(Document { version, by, body });
        if contradicts {
            self.coming = document;
        } else {
            self.active = document;
        }
        Outcome::Agreed(version)
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

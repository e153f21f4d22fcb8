//! Lists: what the schedulers have been told of the workers, and how far apart that is. Pure.
//!
//! Each scheduler says, with the question for its lease, which version of the list it has and which workers the list told
//! it to be leaving lately. A voter keeps the latest of each and tells it with its answers: whoever is behind knows it and
//! asks, and a drain that one has heard of is known to all within two renewals.

use crate::Nanos;
use crate::lease_grants::ProcessId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was not said again for so long is no longer told.
const KEPT: Nanos = 5_000_000_000;
/// Processes that are remembered.
const PROCESSES: usize = 10_000;
/// Workers that are told to be leaving, at once.
pub const MAX_LEAVING_WORKERS: usize = 64;

/// A worker that a list has told to be leaving, in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingWorker {
    /// Its name.
    #[serde(rename = "host")]
    pub host: String,
    /// When that life began, in Unix milliseconds.
    #[serde(rename = "born_ms")]
    pub born_ms: u64,
}

/// What a scheduler says of its list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// Its version; 0 without one.
    #[serde(rename = "version")]
    pub version: u64,
    /// Workers that it was told to be leaving lately, [`MAX_LEAVING_WORKERS`] at the most.
    #[serde(rename = "leaving")]
    pub leaving: Vec<LeavingWorker>,
}

/// What a voter says of all schedulers' lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSummary {
    /// The newest version that anybody has.
    #[serde(rename = "newest")]
    pub newest: u64,
    /// The oldest that somebody still has.
    #[serde(rename = "oldest")]
    pub oldest: u64,
    /// Workers that somebody was told to be leaving.
    #[serde(rename = "leaving")]
    pub leaving: Vec<LeavingWorker>,
}

/// The words of all schedulers at one voter.
#[derive(Clone, Debug, Default)]
pub struct ListReports {
    said: BTreeMap<ProcessId, (u64, Nanos)>,
    leaving: BTreeMap<LeavingWorker, Nanos>,
}

impl ListReports {
    /// A process says what it has.
    pub fn record(&mut self, now: Nanos, who: &ProcessId, mine: &ListReport) {
        if self.said.len() < PROCESSES || self.said.contains_key(who) {
            self.said.insert(who.clone(), (mine.version, now));
        }
        for leaving in mine.leaving.iter().take(MAX_LEAVING_WORKERS) {
            if self.leaving.len() < MAX_LEAVING_WORKERS || self.leaving.contains_key(leaving) {
                self.leaving.insert(leaving.clone(), now);
            }
        }
    }

    /// What all have, of those that have spoken lately.
    pub fn summarize(&mut self, now: Nanos) -> ListSummary {
        self.said.retain(|_, (_, at)| now < *at + KEPT);
        self.leaving.retain(|_, at| now < *at + KEPT);
        let versions = || self.said.values().map(|s| s.0);
        ListSummary {
            newest: versions().max().unwrap_or(0),
            oldest: versions().min().unwrap_or(0),
            leaving: self.leaving.keys().cloned().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_word_of_each_counts_and_is_forgotten_in_time() {
        let mut lists = ListReports::default();
        let leaving = LeavingWorker { host: "w".into(), born_ms: 5 };
        let who = |name: &str| (name.to_string(), 1);
        lists.record(0, &who("a"), &ListReport { version: 7, leaving: vec![leaving.clone()] });
        lists.record(1, &who("b"), &ListReport { version: 4, leaving: Vec::new() });
        assert_eq!(lists.summarize(2), ListSummary { newest: 7, oldest: 4, leaving: vec![leaving.clone()] });
        lists.record(KEPT - 1, &who("b"), &ListReport { version: 6, leaving: Vec::new() });
        // The first has been silent for too long: its list is nobody's, and its word on the worker is over.
        assert_eq!(lists.summarize(KEPT), ListSummary { newest: 6, oldest: 6, leaving: Vec::new() });
        let many = (0..200).map(|i| LeavingWorker { host: format!("w{i}"), born_ms: 0 }).collect();
        lists.record(KEPT, &who("b"), &ListReport { version: 6, leaving: many });
        assert_eq!(lists.summarize(KEPT).leaving.len(), MAX_LEAVING_WORKERS);
    }
}

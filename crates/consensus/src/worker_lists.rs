//! Which version of the list of workers each scheduler has received from discovery.
//!
//! Each scheduler reports, with its lease requests, the version of its list and the workers that have
//! recently begun to leave. A voter keeps the latest report of each process and returns a summary with its
//! responses. From it a scheduler learns that its list is outdated, and of a drain that another scheduler
//! knows of, within two renewals.

use crate::Nanos;
use crate::lease_grants::ProcessId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a report is kept without being repeated.
const REPORT_LIFETIME: Nanos = 5_000_000_000;
/// Processes whose reports are kept.
const MAX_PROCESSES: usize = 10_000;
/// Leaving workers in a report or a summary.
pub const MAX_LEAVING_WORKERS: usize = 64;

/// An instance of a worker that is leaving, according to the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeavingWorker {
    /// The worker's name.
    #[serde(rename = "host")]
    pub host: String,
    /// The start time of this instance, in Unix milliseconds.
    #[serde(rename = "born_ms")]
    pub born_ms: u64,
}

/// What a scheduler reports of its list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// The version of the list; 0 without one.
    #[serde(rename = "version")]
    pub version: u64,
    /// Workers that have recently begun to leave, [`MAX_LEAVING_WORKERS`] at most.
    #[serde(rename = "leaving")]
    pub leaving: Vec<LeavingWorker>,
}

/// A voter's summary of the reports of all schedulers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSummary {
    /// The newest version that a scheduler has.
    #[serde(rename = "newest")]
    pub newest: u64,
    /// The oldest version that a scheduler has.
    #[serde(rename = "oldest")]
    pub oldest: u64,
    /// Workers that are leaving according to at least one report.
    #[serde(rename = "leaving")]
    pub leaving: Vec<LeavingWorker>,
}

/// The latest reports of all schedulers at one voter.
#[derive(Clone, Debug, Default)]
pub struct ListReports {
    /// The version of each process's list, and the time of the report.
    versions: BTreeMap<ProcessId, (u64, Nanos)>,
    /// The time of the latest report of each leaving worker.
    leaving: BTreeMap<LeavingWorker, Nanos>,
}

impl ListReports {
    /// Records a report of a process.
    pub fn record(&mut self, now: Nanos, process: &ProcessId, report: &ListReport) {
        if self.versions.len() < MAX_PROCESSES || self.versions.contains_key(process) {
            self.versions.insert(process.clone(), (report.version, now));
        }
        for worker in report.leaving.iter().take(MAX_LEAVING_WORKERS) {
            if self.leaving.len() < MAX_LEAVING_WORKERS || self.leaving.contains_key(worker) {
                self.leaving.insert(worker.clone(), now);
            }
        }
    }

    /// Drops expired reports and summarizes the others.
    pub fn summarize(&mut self, now: Nanos) -> ListSummary {
        self.versions.retain(|_, (_, reported_at)| now < *reported_at + REPORT_LIFETIME);
        self.leaving.retain(|_, reported_at| now < *reported_at + REPORT_LIFETIME);
        let versions = || self.versions.values().map(|v| v.0);
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
    fn summary_uses_the_latest_report_of_each_process_until_it_expires() {
        let mut reports = ListReports::default();
        let worker = LeavingWorker { host: "w".into(), born_ms: 5 };
        let process = |name: &str| (name.to_string(), 1);
        reports.record(0, &process("a"), &ListReport { version: 7, leaving: vec![worker.clone()] });
        reports.record(1, &process("b"), &ListReport { version: 4, leaving: Vec::new() });
        assert_eq!(reports.summarize(2), ListSummary { newest: 7, oldest: 4, leaving: vec![worker.clone()] });
        reports.record(REPORT_LIFETIME - 1, &process("b"), &ListReport { version: 6, leaving: Vec::new() });
        // The report of "a" has expired, and with it the leaving worker.
        assert_eq!(
            reports.summarize(REPORT_LIFETIME),
            ListSummary { newest: 6, oldest: 6, leaving: Vec::new() }
        );
        let many = (0..200).map(|i| LeavingWorker { host: format!("w{i}"), born_ms: 0 }).collect();
        reports.record(REPORT_LIFETIME, &process("b"), &ListReport { version: 6, leaving: many });
        assert_eq!(reports.summarize(REPORT_LIFETIME).leaving.len(), MAX_LEAVING_WORKERS);
    }
}

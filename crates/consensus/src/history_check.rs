//! Checks the invariants of a tier on the recorded histories of its processes.

use crate::{EffectiveRules, Nanos};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A record of a process's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The time of the event, in nanoseconds of the machine's monotonic clock.
    #[serde(rename = "at")]
    pub at: Nanos,
    /// The name of the scheduler.
    #[serde(rename = "who")]
    pub scheduler: String,
    /// The number of the scheduler's process.
    #[serde(rename = "process")]
    pub process: u64,
    /// The event.
    #[serde(rename = "event")]
    pub event: HistoryEvent,
}

/// An event of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryEvent {
    /// The process put these rules in force.
    #[serde(rename = "takes")]
    Adopted(EffectiveRules),
    /// The process forwarded a job under these rules.
    #[serde(rename = "acts")]
    Acted {
        /// The rules in force.
        #[serde(rename = "on")]
        rules: EffectiveRules,
        /// The time until its lease expired, by its own clock.
        #[serde(rename = "left")]
        lease_left: Nanos,
    },
    /// The lease of the process expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// The process obtained a lease, its first one or after an expiry.
    #[serde(rename = "renewed")]
    LeaseAcquired,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: &'static str,
    /// The records that violate it.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.details)
    }
}

/// The result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// The violations found, at most `MAX_VIOLATIONS` of them.
    pub violations: Vec<Violation>,
    /// The longest time for which two schedulers acted on conflicting versions.
    pub longest_conflict: Nanos,
    /// The number of [`HistoryEvent::Acted`] records checked.
    pub acts_checked: usize,
    /// The longest time from the first act on a version to an act on older rules.
    pub longest_lag: Nanos,
}

/// Violations in a report; further ones are dropped.
const MAX_VIOLATIONS: usize = 20;

/// Checks the records of all processes, in any order. Two schedulers may act on conflicting versions for at
/// most `bound`. `conflicts` tells whether a version conflicts with the one before it.
pub fn check_history(
    records: &[HistoryRecord],
    bound: Nanos,
    conflicts: impl Fn(u64) -> bool,
) -> CheckReport {
    let mut sorted: Vec<&HistoryRecord> = records.iter().collect();
    sorted.sort_by_key(|r| r.at);
    let mut report = CheckReport::default();
    let add_violation = |report: &mut CheckReport, invariant, details: String| {
        if report.violations.len() < MAX_VIOLATIONS {
            report.violations.push(Violation { invariant, details });
        }
    };
    // For each process: the rules that it adopted last, and whether it has a lease.
    let mut adopted: std::collections::HashMap<(&str, u64), (EffectiveRules, bool)> = Default::default();
    // For each version: the first act on its own rules, which earlier versions do not allow.
    let mut first_acts: std::collections::BTreeMap<u64, &HistoryRecord> = Default::default();
    for record in sorted {
        let process = (&*record.scheduler, record.process);
        match &record.event {
            HistoryEvent::Adopted(rules) => {
                if let Some((previous, _)) = adopted.get(&process)
                    && rules.newest_version() < previous.newest_version()
                {
                    add_violation(
                        &mut report,
                        "versions never decrease",
                        format!("{record:?} after {previous:?}"),
                    );
                }
                let has_lease = adopted.get(&process).is_some_and(|a| a.1);
                adopted.insert(process, (*rules, has_lease));
            }
            HistoryEvent::LeaseExpired | HistoryEvent::LeaseAcquired => {
                if let Some(a) = adopted.get_mut(&process) {
                    a.1 = record.event == HistoryEvent::LeaseAcquired;
                }
            }
            HistoryEvent::Acted { rules, lease_left } => {
                report.acts_checked += 1;
                if adopted.get(&process).is_none_or(|a| a.0 != *rules) {
                    add_violation(&mut report, "acts on the adopted rules", format!("{record:?}"));
                }
                if *lease_left == 0 {
                    add_violation(&mut report, "acts with a valid lease", format!("{record:?}"));
                }
                if let EffectiveRules::On(version) = rules {
                    first_acts.entry(*version).or_insert(record);
                }
                // Once a scheduler has acted on a version, none may act on rules that conflict with this
                // version or with one in between.
                let conflicting = first_acts
                    .range(rules.newest_version() + 1..)
                    .find(|(v, _)| (rules.newest_version() + 1..=**v).any(&conflicts));
                if let Some((version, first_act)) = conflicting {
                    let elapsed = record.at - first_act.at;
                    report.longest_conflict = report.longest_conflict.max(elapsed);
                    if elapsed > bound {
                        let details = format!(
                            "{record:?}, {} ms after the first act on version {version}: {first_act:?}",
                            elapsed / 1_000_000
                        );
                        add_violation(&mut report, "no two schedulers act on conflicting versions", details);
                    }
                }
                if let Some((_, first_act)) = first_acts.range(rules.newest_version() + 1..).next() {
                    report.longest_lag = report.longest_lag.max(record.at - first_act.at);
                }
            }
        }
    }
    report
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_injected_violation_is_found_and_a_correct_history_passes() {
        let record = |at: u64, scheduler: &str, event| HistoryRecord {
            at,
            scheduler: scheduler.into(),
            process: 1,
            event,
        };
        let acted = |rules| HistoryEvent::Acted { rules, lease_left: 5 };
        let (one, both, two) = (EffectiveRules::On(1), EffectiveRules::Between(1), EffectiveRules::On(2));
        let correct = vec![
            record(1, "a", HistoryEvent::Adopted(one)),
            record(2, "b", HistoryEvent::Adopted(one)),
            record(3, "a", acted(one)),
            record(4, "a", HistoryEvent::Adopted(both)),
            record(5, "b", acted(one)),
            record(6, "a", acted(both)),
            record(7, "b", HistoryEvent::Adopted(both)),
            record(8, "a", HistoryEvent::Adopted(two)),
            record(9, "a", acted(two)),
            record(10, "b", acted(both)),
            record(11, "b", HistoryEvent::Adopted(two)),
        ];
        let violated = |records: &[HistoryRecord], bound, conflicts: bool| -> Vec<&str> {
            check_history(records, bound, |_| conflicts).violations.iter().map(|v| v.invariant).collect()
        };
        assert!(violated(&correct, 0, true).is_empty());
        let with_replaced = |position: usize, replacement: HistoryRecord| {
            let mut records = correct.clone();
            records[position] = replacement;
            records
        };
        let outdated = with_replaced(9, record(10, "c", acted(one)));
        let outdated: Vec<HistoryRecord> =
            [vec![record(0, "c", HistoryEvent::Adopted(one))], outdated].concat();
        assert_eq!(violated(&outdated, 0, true), ["no two schedulers act on conflicting versions"]);
        assert_eq!(check_history(&outdated, 1, |_| true).longest_conflict, 1);
        assert!(violated(&outdated, 1, true).is_empty(), "within the bound");
        assert!(violated(&outdated, 0, false).is_empty(), "no conflicting versions");
        assert_eq!(
            violated(&with_replaced(10, record(11, "b", HistoryEvent::Adopted(one))), 0, true),
            ["versions never decrease"]
        );
        assert_eq!(
            violated(&with_replaced(5, record(6, "a", acted(two))), 0, true)[0],
            "acts on the adopted rules"
        );
        let without_lease = HistoryEvent::Acted { rules: one, lease_left: 0 };
        assert_eq!(
            violated(&with_replaced(2, record(3, "a", without_lease)), 0, true),
            ["acts with a valid lease"]
        );
    }
}

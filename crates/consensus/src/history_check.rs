//! Checkers of histories: what the processes of a tier wrote of what they did, judged afterwards.

use crate::{EffectiveRules, Nanos};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A line of a process's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// When, in nanoseconds of the machine's monotonic clock.
    #[serde(rename = "at")]
    pub at: Nanos,
    /// Which scheduler.
    #[serde(rename = "who")]
    pub scheduler: String,
    /// Which of its processes.
    #[serde(rename = "process")]
    pub process: u64,
    /// What it did.
    #[serde(rename = "event")]
    pub event: HistoryEvent,
}

/// What a process did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryEvent {
    /// It put these rules in force for itself.
    #[serde(rename = "takes")]
    Adopted(EffectiveRules),
    /// It sent a job on under these rules.
    #[serde(rename = "acts")]
    Acted {
        /// The rules.
        #[serde(rename = "on")]
        rules: EffectiveRules,
        /// By its own clock it might have acted for so much longer.
        #[serde(rename = "left")]
        lease_left: Nanos,
    },
    /// It found that it may act no more.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// It may act again.
    #[serde(rename = "renewed")]
    LeaseAcquired,
}

/// What a checker found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which invariant.
    pub invariant: &'static str,
    /// Where, with the lines.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.details)
    }
}

/// What the histories of a tier come to.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// What broke.
    pub violations: Vec<Violation>,
    /// The longest time for which two schedulers acted on versions that contradict each other.
    pub longest_conflict: Nanos,
    /// Acts that were looked at.
    pub acts_checked: usize,
    /// From the first to act on a version to the last that acted on nothing newer than the one before, at the most.
    pub longest_lag: Nanos,
}

/// Breaches that are told; more are counted by the caller's length alone.
const MAX_VIOLATIONS: usize = 20;

/// Judges the lines of all processes, in any order. `bound`: for how long two may act on contradicting rules; versions
/// that contradict the one before are those that `contradicts` says.
pub fn check_history(
    lines: &[HistoryRecord],
    bound: Nanos,
    contradicts: impl Fn(u64) -> bool,
) -> CheckReport {
    let mut sorted: Vec<&HistoryRecord> = lines.iter().collect();
    sorted.sort_by_key(|l| l.at);
    let mut verdict = CheckReport::default();
    let breach = |verdict: &mut CheckReport, rule, story: String| {
        if verdict.violations.len() < MAX_VIOLATIONS {
            verdict.violations.push(Violation { invariant: rule, details: story });
        }
    };
    // Per process: what it took last, and whether it may act.
    let mut taken: std::collections::HashMap<(&str, u64), (EffectiveRules, bool)> = Default::default();
    // The first act on a version's own rules, which the ones before do not allow.
    let mut first: std::collections::BTreeMap<u64, &HistoryRecord> = Default::default();
    for line in sorted {
        let key = (&*line.scheduler, line.process);
        match &line.event {
            HistoryEvent::Adopted(acting) => {
                if let Some((before, _)) = taken.get(&key)
                    && acting.newest_version() < before.newest_version()
                {
                    breach(&mut verdict, "versions only grow", format!("{line:?} after {before:?}"));
                }
                let may = taken.get(&key).is_some_and(|t| t.1);
                taken.insert(key, (*acting, may));
            }
            HistoryEvent::LeaseExpired | HistoryEvent::LeaseAcquired => {
                if let Some(t) = taken.get_mut(&key) {
                    t.1 = line.event == HistoryEvent::LeaseAcquired;
                }
            }
            HistoryEvent::Acted { rules: on, lease_left: left } => {
                verdict.acts_checked += 1;
                if taken.get(&key).is_none_or(|t| t.0 != *on) {
                    breach(&mut verdict, "acts on what it took", format!("{line:?}"));
                }
                if *left == 0 {
                    breach(&mut verdict, "acts within its lease", format!("{line:?}"));
                }
                if let EffectiveRules::On(version) = on {
                    first.entry(*version).or_insert(line);
                }
                // Someone acted on a later version's rules before: since then nobody may act on rules that it, or one
                // between, contradicts.
                let later = first
                    .range(on.newest_version() + 1..)
                    .find(|(v, _)| (on.newest_version() + 1..=**v).any(&contradicts));
                if let Some((version, other)) = later {
                    let behind = line.at - other.at;
                    verdict.longest_conflict = verdict.longest_conflict.max(behind);
                    if behind > bound {
                        let story = format!(
                            "{line:?}, {} ms after version {version} was acted on: {other:?}",
                            behind / 1_000_000
                        );
                        breach(&mut verdict, "no two act on contradicting versions", story);
                    }
                }
                if let Some((_, other)) = first.range(on.newest_version() + 1..).next() {
                    verdict.longest_lag = verdict.longest_lag.max(line.at - other.at);
                }
            }
        }
    }
    verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Histories with one fault each, and a good one: a checker that finds nothing is worth nothing.
    #[test]
    fn each_planted_fault_is_found_and_a_good_history_passes() {
        let line = |at: u64, who: &str, event| HistoryRecord { at, scheduler: who.into(), process: 1, event };
        let acts = |on| HistoryEvent::Acted { rules: on, lease_left: 5 };
        let (one, both, two) = (EffectiveRules::On(1), EffectiveRules::Between(1), EffectiveRules::On(2));
        let good = vec![
            line(1, "a", HistoryEvent::Adopted(one)),
            line(2, "b", HistoryEvent::Adopted(one)),
            line(3, "a", acts(one)),
            line(4, "a", HistoryEvent::Adopted(both)),
            line(5, "b", acts(one)),
            line(6, "a", acts(both)),
            line(7, "b", HistoryEvent::Adopted(both)),
            line(8, "a", HistoryEvent::Adopted(two)),
            line(9, "a", acts(two)),
            line(10, "b", acts(both)),
            line(11, "b", HistoryEvent::Adopted(two)),
        ];
        let rules = |lines: &[HistoryRecord], bound, contradicts: bool| -> Vec<&str> {
            check_history(lines, bound, |_| contradicts).violations.iter().map(|b| b.invariant).collect()
        };
        assert!(rules(&good, 0, true).is_empty());
        let with = |at: usize, other: HistoryRecord| {
            let mut lines = good.clone();
            lines[at] = other;
            lines
        };
        let old = with(9, line(10, "c", acts(one)));
        let old: Vec<HistoryRecord> = [vec![line(0, "c", HistoryEvent::Adopted(one))], old].concat();
        assert_eq!(rules(&old, 0, true), ["no two act on contradicting versions"]);
        assert_eq!(check_history(&old, 1, |_| true).longest_conflict, 1);
        assert!(rules(&old, 1, true).is_empty(), "within the bound");
        assert!(rules(&old, 0, false).is_empty(), "nothing to contradict");
        assert_eq!(
            rules(&with(10, line(11, "b", HistoryEvent::Adopted(one))), 0, true),
            ["versions only grow"]
        );
        assert_eq!(rules(&with(5, line(6, "a", acts(two))), 0, true)[0], "acts on what it took");
        let late = HistoryEvent::Acted { rules: one, lease_left: 0 };
        assert_eq!(rules(&with(2, line(3, "a", late)), 0, true), ["acts within its lease"]);
    }
}

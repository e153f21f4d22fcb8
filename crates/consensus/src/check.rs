//! Checkers of histories: what the processes of a tier wrote of what they did, judged afterwards.

use crate::{EffectiveRules, Nanos};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A line of a process's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When, in nanoseconds of the machine's monotonic clock.
    #[serde(rename = "at")]
    pub at: Nanos,
    /// Which scheduler.
    #[serde(rename = "who")]
    pub who: String,
    /// Which of its processes.
    #[serde(rename = "process")]
    pub process: u64,
    /// What it did.
    #[serde(rename = "event")]
    pub event: Event,
}

/// What a process did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// It put these rules in force for itself.
    #[serde(rename = "takes")]
    Takes(EffectiveRules),
    /// It sent a job on under these rules.
    #[serde(rename = "acts")]
    Acts {
        /// The rules.
        #[serde(rename = "on")]
        on: EffectiveRules,
        /// By its own clock it might have acted for so much longer.
        #[serde(rename = "left")]
        left: Nanos,
    },
    /// It found that it may act no more.
    #[serde(rename = "lapsed")]
    Lapsed,
    /// It may act again.
    #[serde(rename = "renewed")]
    Renewed,
}

/// What a checker found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which invariant.
    pub rule: &'static str,
    /// Where, with the lines.
    pub story: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.story)
    }
}

/// What the histories of a tier come to.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What broke.
    pub breaches: Vec<Breach>,
    /// The longest time for which two schedulers acted on versions that contradict each other.
    pub disagreed: Nanos,
    /// Acts that were looked at.
    pub acts: usize,
    /// From the first to act on a version to the last that acted on nothing newer than the one before, at the most.
    pub spread: Nanos,
}

/// Breaches that are told; more are counted by the caller's length alone.
const TOLD: usize = 20;

/// Judges the lines of all processes, in any order. `bound`: for how long two may act on contradicting rules; versions
/// that contradict the one before are those that `contradicts` says.
pub fn judge(lines: &[Line], bound: Nanos, contradicts: impl Fn(u64) -> bool) -> Verdict {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|l| l.at);
    let mut verdict = Verdict::default();
    let breach = |verdict: &mut Verdict, rule, story: String| {
        if verdict.breaches.len() < TOLD {
            verdict.breaches.push(Breach { rule, story });
        }
    };
    // Per process: what it took last, and whether it may act.
    let mut taken: std::collections::HashMap<(&str, u64), (EffectiveRules, bool)> = Default::default();
    // The first act on a version's own rules, which the ones before do not allow.
    let mut first: std::collections::BTreeMap<u64, &Line> = Default::default();
    for line in sorted {
        let key = (&*line.who, line.process);
        match &line.event {
            Event::Takes(acting) => {
                if let Some((before, _)) = taken.get(&key)
                    && acting.newest_version() < before.newest_version()
                {
                    breach(&mut verdict, "versions only grow", format!("{line:?} after {before:?}"));
                }
                let may = taken.get(&key).is_some_and(|t| t.1);
                taken.insert(key, (*acting, may));
            }
            Event::Lapsed | Event::Renewed => {
                if let Some(t) = taken.get_mut(&key) {
                    t.1 = line.event == Event::Renewed;
                }
            }
            Event::Acts { on, left } => {
                verdict.acts += 1;
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
                    verdict.disagreed = verdict.disagreed.max(behind);
                    if behind > bound {
                        let story = format!(
                            "{line:?}, {} ms after version {version} was acted on: {other:?}",
                            behind / 1_000_000
                        );
                        breach(&mut verdict, "no two act on contradicting versions", story);
                    }
                }
                if let Some((_, other)) = first.range(on.newest_version() + 1..).next() {
                    verdict.spread = verdict.spread.max(line.at - other.at);
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
        let line = |at: u64, who: &str, event| Line { at, who: who.into(), process: 1, event };
        let acts = |on| Event::Acts { on, left: 5 };
        let (one, both, two) = (EffectiveRules::On(1), EffectiveRules::Between(1), EffectiveRules::On(2));
        let good = vec![
            line(1, "a", Event::Takes(one)),
            line(2, "b", Event::Takes(one)),
            line(3, "a", acts(one)),
            line(4, "a", Event::Takes(both)),
            line(5, "b", acts(one)),
            line(6, "a", acts(both)),
            line(7, "b", Event::Takes(both)),
            line(8, "a", Event::Takes(two)),
            line(9, "a", acts(two)),
            line(10, "b", acts(both)),
            line(11, "b", Event::Takes(two)),
        ];
        let rules = |lines: &[Line], bound, contradicts: bool| -> Vec<&str> {
            judge(lines, bound, |_| contradicts).breaches.iter().map(|b| b.rule).collect()
        };
        assert!(rules(&good, 0, true).is_empty());
        let with = |at: usize, other: Line| {
            let mut lines = good.clone();
            lines[at] = other;
            lines
        };
        let old = with(9, line(10, "c", acts(one)));
        let old: Vec<Line> = [vec![line(0, "c", Event::Takes(one))], old].concat();
        assert_eq!(rules(&old, 0, true), ["no two act on contradicting versions"]);
        assert_eq!(judge(&old, 1, |_| true).disagreed, 1);
        assert!(rules(&old, 1, true).is_empty(), "within the bound");
        assert!(rules(&old, 0, false).is_empty(), "nothing to contradict");
        assert_eq!(rules(&with(10, line(11, "b", Event::Takes(one))), 0, true), ["versions only grow"]);
        assert_eq!(rules(&with(5, line(6, "a", acts(two))), 0, true)[0], "acts on what it took");
        let late = Event::Acts { on: one, left: 0 };
        assert_eq!(rules(&with(2, line(3, "a", late)), 0, true), ["acts within its lease"]);
    }
}

//! Workers that an operator has taken offline, independent of what discovery lists.

use super::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limit of the overrides kept; further workers cannot be taken offline. Reaching it takes as many workers offline at
/// once.
const MAX_OVERRIDES: usize = 100_000;

/// The latest override of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOverride {
    /// Offline since this time of the scheduler's clock.
    #[serde(rename = "Out")]
    Offline(Nanos),
    /// Taken offline at the first time and restored at the second.
    #[serde(rename = "Back")]
    Restored(Nanos, Nanos),
}

/// State of a listed worker after overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveState {
    /// The worker's listed state applies.
    AsListed,
    /// The worker counts as draining.
    Offline,
    /// The worker's listed state applies, but its start is this time.
    StartedAt(Nanos),
}

/// The overrides in force, by worker name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOverrides {
    #[serde(rename = "by_host")]
    by_worker: BTreeMap<String, WorkerOverride>,
}

impl WorkerOverrides {
    /// Takes a worker offline. Returns whether that changed anything: a worker that is offline already keeps its time.
    pub fn take_offline(&mut self, worker: &str, now: Nanos) -> bool {
        if self.is_offline(worker) || self.by_worker.len() >= MAX_OVERRIDES {
            return false;
        }
        self.by_worker.insert(worker.to_string(), WorkerOverride::Offline(now));
        true
    }

    /// Puts a worker back online. Returns whether it was offline.
    pub fn restore(&mut self, worker: &str, now: Nanos) -> bool {
        let Some(WorkerOverride::Offline(since)) = self.by_worker.get(worker).copied() else { return false };
        self.by_worker.insert(worker.to_string(), WorkerOverride::Restored(since, now));
        true
    }

    /// Whether a worker is offline.
    pub fn is_offline(&self, worker: &str) -> bool {
        matches!(self.by_worker.get(worker), Some(WorkerOverride::Offline(_)))
    }

    /// Returns the names of the workers that are offline.
    pub fn offline_workers(&self) -> impl Iterator<Item = &str> {
        self.by_worker
            .iter()
            .filter(|entry| matches!(entry.1, WorkerOverride::Offline(_)))
            .map(|entry| &**entry.0)
    }

    /// Returns the state of a worker that discovery lists with this start time. Workers are usually restarted while they
    /// are offline, and the list shows the new start late. Until it does, the time of the restore counts as the start.
    pub fn effective_state(&self, worker: &str, started: Nanos) -> EffectiveState {
        match self.by_worker.get(worker) {
            None => EffectiveState::AsListed,
            Some(WorkerOverride::Offline(_)) => EffectiveState::Offline,
            Some(WorkerOverride::Restored(offline_since, _)) if started > *offline_since => {
                EffectiveState::AsListed
            }
            Some(WorkerOverride::Restored(_, restored_at)) => EffectiveState::StartedAt(*restored_at),
        }
    }

    /// Returns the time of the latest change, or 0 if there are no overrides.
    pub fn latest_change(&self) -> Nanos {
        let changed_at = |entry: &WorkerOverride| match entry {
            WorkerOverride::Offline(at) | WorkerOverride::Restored(_, at) => *at,
        };
        self.by_worker.values().map(changed_at).max().unwrap_or(0)
    }

    /// Removes overrides of workers that were restored at least `span` ago: by then no restarted worker is cold.
    pub fn forget_restored(&mut self, now: Nanos, span: Nanos) {
        self.by_worker.retain(
            |_, entry| !matches!(entry, WorkerOverride::Restored(_, restored_at) if now >= restored_at.saturating_add(span)),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_restore_counts_as_the_start_until_discovery_lists_a_later_one() {
        let mut overrides = WorkerOverrides::default();
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::AsListed);
        assert!(!overrides.restore("a", 90), "it was not offline");
        assert!(overrides.take_offline("a", 100));
        assert!(!overrides.take_offline("a", 110));
        assert_eq!(
            (overrides.effective_state("a", 5), overrides.effective_state("a", 500)),
            (EffectiveState::Offline, EffectiveState::Offline)
        );
        assert!(overrides.restore("a", 200), "one restore suffices after two take_offline calls");
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::StartedAt(200));
        assert_eq!(overrides.effective_state("a", 150), EffectiveState::AsListed);
        overrides.forget_restored(250, 100);
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::StartedAt(200));
        overrides.forget_restored(300, 100);
        assert_eq!(overrides, WorkerOverrides::default());
    }

    proptest! {
        /// For any sequence of changes, the latest change of a worker decides its state and affects no other worker.
        #[test]
        fn the_latest_change_of_a_worker_decides(changes in prop::collection::vec((0usize..3, any::<bool>()), 0..40)) {
            let workers = ["a", "b", "c"];
            let (mut overrides, mut expected_offline) = (WorkerOverrides::default(), [false; 3]);
            for (at, (worker, offline)) in changes.into_iter().enumerate() {
                let now = at as Nanos + 1;
                let changed = if offline { overrides.take_offline(workers[worker], now) } else { overrides.restore(workers[worker], now) };
                prop_assert_eq!(changed, expected_offline[worker] != offline);
                expected_offline[worker] = offline;
                // Expiry never brings an offline worker back.
                overrides.forget_restored(Nanos::MAX, 1);
                for (name, offline) in workers.iter().zip(expected_offline) {
                    prop_assert_eq!(overrides.is_offline(name), offline);
                    prop_assert_eq!(overrides.effective_state(name, Nanos::MAX) == EffectiveState::Offline, offline);
                }
            }
        }
    }
}

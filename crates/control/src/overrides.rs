//! Orders: which workers staff have taken out of use, whatever discovery lists meanwhile.

use super::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Orders kept at most. One more would need as many workers taken out at once.
const MAX_OVERRIDES: usize = 100_000;

/// What was ordered of a worker last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerOverride {
    /// Out since then, on the scheduler's own clock.
    #[serde(rename = "Out")]
    Offline(Nanos),
    /// Out since the first time, back since the second.
    #[serde(rename = "Back")]
    Restored(Nanos, Nanos),
}

/// What the orders make of a worker that discovery lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectiveState {
    /// It is as listed.
    AsListed,
    /// It counts as draining.
    Offline,
    /// It is as listed, but has started anew then at the latest.
    StartedAt(Nanos),
}

/// All orders that are in force, by the workers' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOverrides {
    #[serde(rename = "by_host")]
    by_worker: BTreeMap<String, WorkerOverride>,
}

impl WorkerOverrides {
    /// Takes a worker out; true if that changes anything. Out is a state: a second order leaves the first.
    pub fn take_offline(&mut self, host: &str, now: Nanos) -> bool {
        if self.is_offline(host) || self.by_worker.len() >= MAX_OVERRIDES {
            return false;
        }
        self.by_worker.insert(host.to_string(), WorkerOverride::Offline(now));
        true
    }

    /// Puts a worker back; true if it was out.
    pub fn restore(&mut self, host: &str, now: Nanos) -> bool {
        let Some(WorkerOverride::Offline(since)) = self.by_worker.get(host).copied() else { return false };
        self.by_worker.insert(host.to_string(), WorkerOverride::Restored(since, now));
        true
    }

    /// Whether a worker is out.
    pub fn is_offline(&self, host: &str) -> bool {
        matches!(self.by_worker.get(host), Some(WorkerOverride::Offline(_)))
    }

    /// Workers that are out.
    pub fn offline_workers(&self) -> impl Iterator<Item = &str> {
        self.by_worker.iter().filter(|o| matches!(o.1, WorkerOverride::Offline(_))).map(|o| &**o.0)
    }

    /// What the orders make of a worker that discovery lists with this start. A worker is restarted while it is out, and
    /// the list says so late: until it names a start since the order, the return itself counts as the start.
    pub fn effective_state(&self, host: &str, started: Nanos) -> EffectiveState {
        match self.by_worker.get(host) {
            None => EffectiveState::AsListed,
            Some(WorkerOverride::Offline(_)) => EffectiveState::Offline,
            Some(WorkerOverride::Restored(out, _)) if started > *out => EffectiveState::AsListed,
            Some(WorkerOverride::Restored(_, back)) => EffectiveState::StartedAt(*back),
        }
    }

    /// When a worker was last ordered out or back; 0 without orders.
    pub fn latest_change(&self) -> Nanos {
        let changed_at = |entry: &WorkerOverride| match entry {
            WorkerOverride::Offline(at) | WorkerOverride::Restored(_, at) => *at,
        };
        self.by_worker.values().map(changed_at).max().unwrap_or(0)
    }

    /// Forgets returns older than `span`, after which no worker is cold any more.
    pub fn forget_restored(&mut self, now: Nanos, span: Nanos) {
        self.by_worker.retain(
            |_, o| !matches!(o, WorkerOverride::Restored(_, back) if now >= back.saturating_add(span)),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_return_is_a_start_until_discovery_names_one_since_the_order() {
        let mut overrides = WorkerOverrides::default();
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::AsListed);
        assert!(!overrides.restore("a", 90), "it was not out");
        assert!(overrides.take_offline("a", 100));
        assert!(!overrides.take_offline("a", 110));
        assert_eq!(
            (overrides.effective_state("a", 5), overrides.effective_state("a", 500)),
            (EffectiveState::Offline, EffectiveState::Offline)
        );
        assert!(overrides.restore("a", 200), "two calls out need one call back");
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::StartedAt(200));
        assert_eq!(overrides.effective_state("a", 150), EffectiveState::AsListed);
        overrides.forget_restored(250, 100);
        assert_eq!(overrides.effective_state("a", 5), EffectiveState::StartedAt(200));
        overrides.forget_restored(300, 100);
        assert_eq!(overrides, WorkerOverrides::default());
    }

    proptest! {
        /// Whatever is ordered in whatever order, the last call of a worker decides, and no other worker is touched.
        #[test]
        fn the_last_order_of_a_worker_decides(calls in prop::collection::vec((0usize..3, any::<bool>()), 0..40)) {
            let hosts = ["a", "b", "c"];
            let (mut overrides, mut last) = (WorkerOverrides::default(), [false; 3]);
            for (at, (host, out)) in calls.into_iter().enumerate() {
                let now = at as Nanos + 1;
                let changed = if out { overrides.take_offline(hosts[host], now) } else { overrides.restore(hosts[host], now) };
                prop_assert_eq!(changed, last[host] != out);
                last[host] = out;
                // Ageing never lifts an order.
                overrides.forget_restored(Nanos::MAX, 1);
                for (name, out) in hosts.iter().zip(last) {
                    prop_assert_eq!(overrides.is_offline(name), out);
                    prop_assert_eq!(overrides.effective_state(name, Nanos::MAX) == EffectiveState::Offline, out);
                }
            }
        }
    }
}

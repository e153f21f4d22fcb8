//! The leases that one voter has granted. While a grant is valid, the voter does not let a version come into
//! force that conflicts with the rules of its holder.

use crate::state::ReplicatedState;
use crate::timing::LeaseTiming;
use crate::{EffectiveRules, Nanos, Version};
use std::collections::BTreeMap;

/// Grants that are kept; a request that would need one more is rejected.
const MAX_GRANTS: usize = 10_000;

/// A process of a scheduler: the scheduler's name, and a number that is unique among its processes.
pub type ProcessId = (String, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    request_number: u64,
    rules: EffectiveRules,
    expiry: Nanos,
}

/// The grants of one voter. They are not persisted: after a start the voter reports no version as ready until
/// every grant of its previous process has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrants {
    timing: LeaseTiming,
    grants: BTreeMap<ProcessId, Grant>,
    started_at: Nanos,
    /// Requests rejected because `MAX_GRANTS` were valid.
    pub rejected_at_capacity: u64,
    /// Requests granted so far, renewals included.
    pub granted_total: u64,
}

impl LeaseGrants {
    /// Creates the state of a voter that starts at `now`, without grants.
    pub fn new(timing: LeaseTiming, now: Nanos) -> LeaseGrants {
        LeaseGrants {
            timing,
            grants: BTreeMap::new(),
            started_at: now,
            rejected_at_capacity: 0,
            granted_total: 0,
        }
    }

    /// Grants or renews the lease of a process that applies `rules`, for the grant duration from `now`.
    /// Returns false if the rules are older than the newest version in `state`, the request is out of order,
    /// or too many grants are valid.
    pub fn try_grant(
        &mut self,
        now: Nanos,
        process: &ProcessId,
        request_number: u64,
        rules: EffectiveRules,
        state: &ReplicatedState,
    ) -> bool {
        // A request that arrives after a later one of the same process was delayed on its way.
        if rules.newest_version() < state.newest_version()
            || self.grants.get(process).is_some_and(|g| g.request_number > request_number)
        {
            return false;
        }
        if self.grants.len() >= MAX_GRANTS && !self.grants.contains_key(process) {
            self.grants.retain(|_, g| now < g.expiry);
            if self.grants.len() >= MAX_GRANTS {
                self.rejected_at_capacity += 1;
                return false;
            }
        }
        self.granted_total += 1;
        self.grants.insert(
            process.clone(),
            Grant { request_number, rules, expiry: now + self.timing.grant_duration },
        );
        true
    }

    /// Returns the pending version once this voter is ready for it: all grants on older rules have expired,
    /// those of its previous process included, and [`LeaseGrants::try_grant`] gives no new ones.
    pub fn ready_version(&self, now: Nanos, state: &ReplicatedState) -> Option<Version> {
        let version = state.pending.as_ref()?.version;
        let earlier_grants_expired = now >= self.started_at + self.timing.grant_duration;
        (earlier_grants_expired
            && self.grants.values().all(|g| now >= g.expiry || g.rules.newest_version() >= version))
        .then_some(version)
    }

    /// Returns the processes whose grants are valid, with the rules that they apply.
    pub fn holders(&self, now: Nanos) -> impl Iterator<Item = (&ProcessId, EffectiveRules)> {
        self.grants.iter().filter(move |(_, g)| now < g.expiry).map(|(process, g)| (process, g.rules))
    }
}

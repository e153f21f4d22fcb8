//! What a voter has promised to schedulers: that no version which contradicts what they act on comes into force.

use crate::state::ReplicatedState;
use crate::timing::LeaseTiming;
use crate::{EffectiveRules, Nanos, Version};
use std::collections::BTreeMap;

/// Promises kept at most; a scheduler that would need one more is turned down, and counted.
const MAX_GRANTS: usize = 10_000;

/// A process of a scheduler: its name, and a number that no other of its processes has.
pub type ProcessId = (String, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    asked: u64,
    acting: EffectiveRules,
    until: Nanos,
}

/// The promises of one voter. They live in memory alone: a voter that starts keeps quiet until all that it may have
/// forgotten has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrants {
    timing: LeaseTiming,
    given: BTreeMap<ProcessId, Promise>,
    since: Nanos,
    /// Turned down for want of room.
    pub rejected_at_capacity: u64,
    /// Given so far.
    pub granted_total: u64,
}

impl LeaseGrants {
    /// None yet, at a voter that starts now.
    pub fn new(timing: LeaseTiming, now: Nanos) -> LeaseGrants {
        LeaseGrants { timing, given: BTreeMap::new(), since: now, rejected_at_capacity: 0, granted_total: 0 }
    }

    /// A process asks to act on something until a promise's time from now is over. Yes if this voter, with what it has
    /// seen agreed, has not begun to wait for a later version.
    pub fn try_grant(
        &mut self,
        now: Nanos,
        who: &ProcessId,
        asked: u64,
        acting: EffectiveRules,
        seen: &ReplicatedState,
    ) -> bool {
        // What comes after a later word of the same process was held up on the way.
        if acting.newest_version() < seen.newest_version()
            || self.given.get(who).is_some_and(|p| p.asked > asked)
        {
            return false;
        }
        if self.given.len() >= MAX_GRANTS && !self.given.contains_key(who) {
            self.given.retain(|_, p| now < p.until);
            if self.given.len() >= MAX_GRANTS {
                self.rejected_at_capacity += 1;
                return false;
            }
        }
        self.granted_total += 1;
        self.given.insert(who.clone(), Promise { asked, acting, until: now + self.timing.grant_duration });
        true
    }

    /// Whether the version that is coming may come into force as far as this voter knows: it has given no promise on
    /// older rules that still holds, and gives none any more.
    pub fn ready_version(&self, now: Nanos, seen: &ReplicatedState) -> Option<Version> {
        let version = seen.pending.as_ref()?.version;
        let quiet = now >= self.since + self.timing.grant_duration;
        (quiet && self.given.values().all(|p| now >= p.until || p.acting.newest_version() >= version))
            .then_some(version)
    }

    /// Processes that hold a promise now, with what they act on.
    pub fn holders(&self, now: Nanos) -> impl Iterator<Item = (&ProcessId, EffectiveRules)> {
        self.given.iter().filter(move |(_, p)| now < p.until).map(|(who, p)| (who, p.acting))
    }
}

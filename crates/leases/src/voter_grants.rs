//! The leases on roles that one voter has granted. While a grant is valid, the voter does not let the role
//! pass to another process.

use crate::lease_table::{Command, LeaseTable};
use crate::{FencingToken, ProcessId, Role};
use loomlb_consensus::Nanos;
use loomlb_consensus::timing::LeaseTiming;
use std::collections::BTreeMap;

/// The grants of one voter. They are not persisted: after a start the voter treats no lease as expired until
/// every grant of its previous process has expired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct VoterGrants {
    timing: LeaseTiming,
    started_at: Nanos,
    /// The expiry of each grant.
    grants: BTreeMap<(Role, FencingToken), Nanos>,
    /// The token of each role, and when this voter first saw it.
    first_seen: BTreeMap<Role, (FencingToken, Nanos)>,
}

impl VoterGrants {
    /// Creates the state of a voter that starts at `now`, without grants.
    pub fn new(timing: LeaseTiming, now: Nanos) -> VoterGrants {
        VoterGrants { timing, started_at: now, grants: BTreeMap::new(), first_seen: BTreeMap::new() }
    }

    /// Grants or renews the lease of a process on a role, for the grant duration from `now`. Returns false
    /// unless the process holds the role under this token and has no successor. The voter must have applied
    /// or replaced all entries that were in its log at the start (`RaftNode::has_caught_up`).
    pub fn try_grant(
        &mut self,
        now: Nanos,
        process: &ProcessId,
        role: &str,
        token: FencingToken,
        table: &LeaseTable,
    ) -> bool {
        let lease = table.get(role);
        if token == 0
            || lease.token != token
            || lease.holder.as_ref() != Some(process)
            || lease.successor.is_some()
        {
            return false;
        }
        // Bounded by one grant for each role, and those of tokens that were replaced within a grant duration.
        self.grants.retain(|_, expiry| now < *expiry);
        self.grants.insert((role.into(), token), now + self.timing.grant_duration);
        true
    }

    /// Whether all grants of the voter's previous process have expired.
    fn earlier_grants_expired(&self, now: Nanos) -> bool {
        now >= self.started_at + self.timing.grant_duration
    }

    fn is_expired(&self, now: Nanos, role: &str, token: FencingToken) -> bool {
        self.earlier_grants_expired(now)
            && self.grants.get(&(role.into(), token)).is_none_or(|expiry| now >= *expiry)
    }

    /// Whether a role can be acquired as far as this voter knows: nobody holds it, or its holder has had a
    /// grant duration's time to request a lease and has no valid one here. Without that delay a new holder
    /// would be taken for a failed one.
    pub fn is_available(&self, now: Nanos, role: &str, table: &LeaseTable) -> bool {
        let lease = table.get(role);
        let had_time = |(token, since): &(FencingToken, Nanos)| {
            *token == lease.token && now >= *since + self.timing.grant_duration
        };
        let is_abandoned =
            self.is_expired(now, role, lease.token) && self.first_seen.get(role).is_some_and(had_time);
        lease.holder.is_none() || is_abandoned
    }

    /// Updates the state at every tick. Returns a [`Command::Transfer`] for each role that has a successor
    /// and whose lease has expired here. The voter reports them to the leader, which proposes the command
    /// once a majority has reported it.
    pub fn tick(&mut self, now: Nanos, table: &LeaseTable) -> Vec<Command> {
        for (role, lease) in &table.leases {
            if self.first_seen.get(role).is_none_or(|seen| seen.0 != lease.token) {
                self.first_seen.insert(role.clone(), (lease.token, now));
            }
        }
        let expired = table
            .leases
            .iter()
            .filter(|(role, lease)| lease.successor.is_some() && self.is_expired(now, role, lease.token));
        expired.map(|(role, lease)| Command::Transfer { role: role.clone(), token: lease.token }).collect()
    }
}

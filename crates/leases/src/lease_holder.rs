//! The roles of one process, and until when it may perform them.

use crate::lease_table::{Command, LeaseTable};
use crate::{FencingToken, ProcessId, Role};
use loomlb_consensus::Nanos;
use loomlb_consensus::timing::LeaseTiming;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lease requests that wait for responses.
const MAX_PENDING_REQUESTS: usize = 64;

/// A lease request to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Nanos,
    granted_by: BTreeMap<(Role, FencingToken), BTreeSet<usize>>,
    reported_available_by: BTreeMap<(Role, FencingToken), BTreeSet<usize>>,
}

/// A voter's response to a lease request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseResponse {
    /// The number of the request.
    pub number: u64,
    /// The roles whose leases the voter granted, with their tokens.
    pub granted: Vec<(Role, FencingToken)>,
    /// The roles that are available as far as the voter knows, with the tokens that it knows.
    pub available: Vec<(Role, FencingToken)>,
}

/// The leases of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    voters: usize,
    process: ProcessId,
    table: LeaseTable,
    last_number: u64,
    pending: VecDeque<PendingRequest>,
    expiries: BTreeMap<(Role, FencingToken), Nanos>,
    /// Roles that this process has released, whether or not the release is committed.
    released: BTreeSet<(Role, FencingToken)>,
}

impl LeaseHolder {
    /// Creates the holder of a process that has just started, in a tier with this number of voters.
    pub fn new(timing: LeaseTiming, voters: usize, process: ProcessId) -> LeaseHolder {
        LeaseHolder {
            timing,
            voters,
            process,
            table: LeaseTable::default(),
            last_number: 0,
            pending: VecDeque::new(),
            expiries: BTreeMap::new(),
            released: BTreeSet::new(),
        }
    }

    /// Returns the newest lease table that this process has received.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Replaces the table if the given one is newer.
    pub fn update_table(&mut self, table: &LeaseTable) {
        if table.index > self.table.index {
            self.table = table.clone();
            let is_current = |(role, token): &(Role, FencingToken)| self.table.get(role).token <= *token;
            self.expiries.retain(|key, _| is_current(key));
            self.released.retain(|key| is_current(key));
        }
    }

    /// Returns the token under which this process holds a role according to the table. Its lease may have
    /// expired.
    fn held_token(&self, role: &str) -> Option<FencingToken> {
        let lease = self.table.get(role);
        let is_held = lease.holder.as_ref() == Some(&self.process)
            && !self.released.contains(&(role.into(), lease.token));
        is_held.then_some(lease.token)
    }

    /// Starts a renewal. Returns the number of the request to send to all voters, and the roles to renew.
    pub fn start_renewal(&mut self, now: Nanos) -> (u64, Vec<(Role, FencingToken)>) {
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let (granted_by, reported_available_by) = (BTreeMap::new(), BTreeMap::new());
        self.pending.push_back(PendingRequest {
            number: self.last_number,
            sent_at: now,
            granted_by,
            reported_available_by,
        });
        let held = self.table.leases.keys().filter_map(|role| Some((role.clone(), self.held_token(role)?)));
        (self.last_number, held.collect())
    }

    /// Handles a voter's response. A lease needs grants of a majority and counts from the time of the
    /// request.
    pub fn handle_response(&mut self, now: Nanos, voter: usize, response: &LeaseResponse) {
        let (majority, lease_duration) = (self.voters / 2 + 1, self.timing.lease_duration);
        self.pending.retain(|r| r.sent_at + lease_duration > now);
        let Some(request) = self.pending.iter_mut().find(|r| r.number == response.number) else { return };
        for key in &response.available {
            request.reported_available_by.entry(key.clone()).or_default().insert(voter);
        }
        for key in &response.granted {
            let granted_by = request.granted_by.entry(key.clone()).or_default();
            granted_by.insert(voter);
            if granted_by.len() >= majority {
                let expiry = self.expiries.entry(key.clone()).or_default();
                *expiry = (*expiry).max(request.sent_at + lease_duration);
            }
        }
    }

    /// Returns the fencing token if the lease on a role is valid. Must be checked immediately before each
    /// operation.
    pub fn valid_token(&self, now: Nanos, role: &str) -> Option<FencingToken> {
        let token = self.held_token(role)?;
        self.expiries.get(&(role.to_string(), token)).is_some_and(|expiry| now < *expiry).then_some(token)
    }

    /// Returns the command to propose for acquiring a role: if nobody holds it, or a majority of the voters
    /// has reported that its holder has no lease. To be repeated until [`LeaseHolder::table`] shows the
    /// result.
    pub fn acquire(&self, role: &str) -> Option<Command> {
        let lease = self.table.get(role);
        if lease.holder.as_ref() == Some(&self.process) || lease.successor.is_some() {
            return None;
        }
        let key = (role.to_string(), lease.token);
        let is_available = |r: &PendingRequest| {
            r.reported_available_by.get(&key).is_some_and(|voters| voters.len() > self.voters / 2)
        };
        let can_acquire = lease.holder.is_none() || self.pending.iter().any(is_available);
        can_acquire.then(|| Command::Acquire {
            role: role.into(),
            known_token: lease.token,
            candidate: self.process.clone(),
        })
    }

    /// Releases a role, as on drain, upgrade or exit. The process may not perform it from now on. Returns the
    /// command to propose.
    pub fn release(&mut self, role: &str) -> Option<Command> {
        let token = self.held_token(role)?;
        self.released.insert((role.into(), token));
        Some(Command::Release { role: role.into(), token })
    }
}

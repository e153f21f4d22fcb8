//! The lease of one scheduler, which is valid while a majority of the voters has granted it.

use crate::document::{self, DocumentBody};
use crate::state::ReplicatedState;
use crate::timing::LeaseTiming;
use crate::{EffectiveRules, Nanos};
use std::collections::{BTreeSet, VecDeque};

/// Requests that wait for responses: more than a scheduler sends within a lease.
const MAX_PENDING_REQUESTS: usize = 64;

/// A lease request to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    number: u64,
    sent_at: Nanos,
    granted_by: BTreeSet<usize>,
}

/// The lease of one scheduler and the replicated state that it has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    voters: usize,
    state: ReplicatedState,
    rules: Option<EffectiveRules>,
    last_number: u64,
    pending: VecDeque<PendingRequest>,
    expiry: Option<Nanos>,
}

impl LeaseHolder {
    /// Creates a holder without a lease and without a document, in a tier with this number of voters.
    pub fn new(timing: LeaseTiming, voters: usize) -> LeaseHolder {
        LeaseHolder {
            timing,
            voters,
            state: ReplicatedState::default(),
            rules: None,
            last_number: 0,
            pending: VecDeque::new(),
            expiry: None,
        }
    }

    /// Returns the newest replicated state that this scheduler has received.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the rules that this scheduler applies while its lease is valid; none before there is a
    /// document.
    pub fn rules(&self) -> Option<EffectiveRules> {
        self.rules
    }

    /// Whether the lease is valid. Must be checked immediately before each use of the rules.
    pub fn has_valid_lease(&self, now: Nanos) -> bool {
        self.expiry.is_some_and(|expiry| now < expiry)
    }

    /// Returns the expiry of the lease by this scheduler's clock; none before the first lease.
    pub fn lease_expiry(&self) -> Option<Nanos> {
        self.expiry
    }

    /// Starts a renewal. Returns the number and the rules of the request to send to all voters.
    pub fn start_renewal(&mut self, now: Nanos) -> (u64, Option<EffectiveRules>) {
        self.last_number += 1;
        if self.rules.is_some() {
            if self.pending.len() >= MAX_PENDING_REQUESTS {
                self.pending.pop_front();
            }
            self.pending.push_back(PendingRequest {
                number: self.last_number,
                sent_at: now,
                granted_by: BTreeSet::new(),
            });
        }
        (self.last_number, self.rules)
    }

    /// Handles a voter's response to the request `number`. Returns whether the rules of this scheduler
    /// changed; the new rules must be in force before the next renewal starts.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        voter: usize,
        number: u64,
        granted: bool,
        newer_state: Option<ReplicatedState>,
    ) -> bool {
        let majority = self.voters / 2 + 1;
        if let Some(request) = self.pending.iter_mut().find(|r| r.number == number).filter(|_| granted) {
            request.granted_by.insert(voter);
            // A grant on earlier rules covers the present rules as well: each change of rules leads to rules
            // that the granting voters protect too (docs/design/0006-accord.md).
            if request.granted_by.len() >= majority {
                let expiry = request.sent_at + self.timing.lease_duration;
                self.expiry = Some(self.expiry.map_or(expiry, |e| e.max(expiry)));
            }
        }
        self.pending.retain(|r| r.sent_at + self.timing.lease_duration > now);
        match newer_state.filter(|s| s.index > self.state.index) {
            Some(newer_state) => self.adopt_state(newer_state),
            None => false,
        }
    }

    /// Replaces the state. Returns whether the rules changed.
    fn adopt_state(&mut self, newer_state: ReplicatedState) -> bool {
        self.state = newer_state;
        let Some(active) = &self.state.active else { return false };
        let rules = match &self.state.pending {
            Some(_) => EffectiveRules::Between(active.version),
            None => EffectiveRules::On(active.version),
        };
        let changed = self.rules != Some(rules);
        self.rules = Some(rules);
        changed
    }

    /// Returns the document to apply: the active one, or its strictest combination with the pending one.
    pub fn effective_body(&self) -> Option<DocumentBody> {
        let active = self.state.active.as_ref()?;
        Some(match &self.state.pending {
            Some(pending) => document::strictest_of(&active.body, &pending.body),
            None => active.body.clone(),
        })
    }
}

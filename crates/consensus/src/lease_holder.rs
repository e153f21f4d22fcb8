//! What one scheduler may act on: its lease, from the promises of a majority of the voters.

use crate::document::{self, DocumentBody};
use crate::state::ReplicatedState;
use crate::timing::LeaseTiming;
use crate::{EffectiveRules, Nanos};
use std::collections::{BTreeSet, VecDeque};

/// Questions whose answers are still awaited, at most: a lease's worth.
const ASKED: usize = 64;

/// A question to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    at: Nanos,
    yes: BTreeSet<usize>,
}

/// The machine of one scheduler's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    voters: usize,
    seen: ReplicatedState,
    acting: Option<EffectiveRules>,
    number: u64,
    asked: VecDeque<Asked>,
    until: Option<Nanos>,
}

impl LeaseHolder {
    /// Knows nothing yet, in a tier of so many voters.
    pub fn new(timing: LeaseTiming, voters: usize) -> LeaseHolder {
        LeaseHolder {
            timing,
            voters,
            seen: ReplicatedState::default(),
            acting: None,
            number: 0,
            asked: VecDeque::new(),
            until: None,
        }
    }

    /// What this scheduler knows to be agreed.
    pub fn state(&self) -> &ReplicatedState {
        &self.seen
    }

    /// What it acts on, if it may act.
    pub fn rules(&self) -> Option<EffectiveRules> {
        self.acting
    }

    /// Whether it may act now. To be looked at immediately before each act.
    pub fn has_valid_lease(&self, now: Nanos) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Until when it may act, by its own clock.
    pub fn lease_expiry(&self) -> Option<Nanos> {
        self.until
    }

    /// The next question to all voters: its number, and what this scheduler acts on.
    pub fn start_renewal(&mut self, now: Nanos) -> (u64, Option<EffectiveRules>) {
        self.number += 1;
        if self.acting.is_some() {
            if self.asked.len() >= ASKED {
                self.asked.pop_front();
            }
            self.asked.push_back(Asked { number: self.number, at: now, yes: BTreeSet::new() });
        }
        (self.number, self.acting)
    }

    /// A voter's answer: to which question, whether it promised, and what it knows to be agreed if that is news. True if
    /// what this scheduler acts on has changed: it must be in force here before the next question is asked.
    pub fn handle_response(
        &mut self,
        now: Nanos,
        voter: usize,
        number: u64,
        yes: bool,
        news: Option<ReplicatedState>,
    ) -> bool {
        let need = self.voters / 2 + 1;
        if let Some(asked) = self.asked.iter_mut().find(|a| a.number == number).filter(|_| yes) {
            asked.yes.insert(voter);
            // A promise on what was acted on then covers what is acted on now: every move leads to what the voters
            // that promised hold back just as well (docs/design/0006-accord.md).
            if asked.yes.len() >= need {
                let until = asked.at + self.timing.lease_duration;
                self.until = Some(self.until.map_or(until, |u| u.max(until)));
            }
        }
        self.asked.retain(|a| a.at + self.timing.lease_duration > now);
        match news.filter(|n| n.index > self.seen.index) {
            Some(news) => self.learn(news),
            None => false,
        }
    }

    fn learn(&mut self, news: ReplicatedState) -> bool {
        self.seen = news;
        let Some(active) = &self.seen.active else { return false };
        let to = match &self.seen.pending {
            Some(_) => EffectiveRules::Between(active.version),
            None => EffectiveRules::On(active.version),
        };
        let changed = self.acting != Some(to);
        self.acting = Some(to);
        changed
    }

    /// What to act on: the document in force, or the strictest of it and the one that is coming.
    pub fn effective_body(&self) -> Option<DocumentBody> {
        let active = self.seen.active.as_ref()?;
        Some(match &self.seen.pending {
            Some(coming) => document::strictest_of(&active.body, &coming.body),
            None => active.body.clone(),
        })
    }
}

//! What one process may do: the duties that it holds, and since when it has to stop.

use crate::table::{Command, Table};
use crate::{Duty, Process, Token};
use loomlb_consensus::Nanos;
use loomlb_consensus::timing::LeaseTiming;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Questions whose answers are still awaited, at most.
const ASKED: usize = 64;

/// A question to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    at: Nanos,
    yes: BTreeMap<(Duty, Token), BTreeSet<usize>>,
    free: BTreeMap<(Duty, Token), BTreeSet<usize>>,
}

/// A voter's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// To which question.
    pub number: u64,
    /// The duties that it promised, with their tokens.
    pub yes: Vec<(Duty, Token)>,
    /// Those on which nobody can act as far as it knows, with the tokens that it knows.
    pub free: Vec<(Duty, Token)>,
}

/// The machine of one process's duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    timing: LeaseTiming,
    voters: usize,
    me: Process,
    seen: Table,
    number: u64,
    asked: VecDeque<Asked>,
    until: BTreeMap<(Duty, Token), Nanos>,
    /// Given back here, whatever the voters still think.
    done: BTreeSet<(Duty, Token)>,
}

impl Holder {
    /// A process that has just started, in a tier of so many voters.
    pub fn new(timing: LeaseTiming, voters: usize, me: Process) -> Holder {
        Holder {
            timing,
            voters,
            me,
            seen: Table::default(),
            number: 0,
            asked: VecDeque::new(),
            until: BTreeMap::new(),
            done: BTreeSet::new(),
        }
    }

    /// What this process knows to be agreed.
    pub fn seen(&self) -> &Table {
        &self.seen
    }

    /// Takes in what is agreed, if it is news.
    pub fn learn(&mut self, table: &Table) {
        if table.index > self.seen.index {
            self.seen = table.clone();
            let current = |(duty, token): &(Duty, Token)| self.seen.get(duty).token <= *token;
            self.until.retain(|key, _| current(key));
            self.done.retain(|key| current(key));
        }
    }

    /// The token under which it holds a duty by what is agreed; not whether it may act.
    fn token(&self, duty: &str) -> Option<Token> {
        let held = self.seen.get(duty);
        let mine = held.holder.as_ref() == Some(&self.me) && !self.done.contains(&(duty.into(), held.token));
        mine.then_some(held.token)
    }

    /// The next question to all voters: its number, and what it holds.
    pub fn ask(&mut self, now: Nanos) -> (u64, Vec<(Duty, Token)>) {
        self.number += 1;
        if self.asked.len() >= ASKED {
            self.asked.pop_front();
        }
        let (yes, free) = (BTreeMap::new(), BTreeMap::new());
        self.asked.push_back(Asked { number: self.number, at: now, yes, free });
        let held = self.seen.duties.keys().filter_map(|duty| Some((duty.clone(), self.token(duty)?)));
        (self.number, held.collect())
    }

    /// A voter's answer. A lease counts from before its question was asked, and needs promises of a majority.
    pub fn answer(&mut self, now: Nanos, voter: usize, answer: &Answer) {
        let (need, lease) = (self.voters / 2 + 1, self.timing.lease_duration);
        self.asked.retain(|a| a.at + lease > now);
        let Some(asked) = self.asked.iter_mut().find(|a| a.number == answer.number) else { return };
        for key in &answer.free {
            asked.free.entry(key.clone()).or_default().insert(voter);
        }
        for key in &answer.yes {
            let yes = asked.yes.entry(key.clone()).or_default();
            yes.insert(voter);
            if yes.len() >= need {
                let until = self.until.entry(key.clone()).or_default();
                *until = (*until).max(asked.at + lease);
            }
        }
    }

    /// The token to act under, if it may act on a duty now. To be looked at immediately before each act.
    pub fn may_act(&self, now: Nanos, duty: &str) -> Option<Token> {
        let token = self.token(duty)?;
        self.until.get(&(duty.to_string(), token)).is_some_and(|until| now < *until).then_some(token)
    }

    /// What to propose for a duty that this process wants: a bid where nobody holds it, or where a majority of the voters has
    /// said that its holder cannot act. To be proposed again until [`Holder::seen`] shows what came of it.
    pub fn bid(&self, duty: &str) -> Option<Command> {
        let held = self.seen.get(duty);
        if held.holder.as_ref() == Some(&self.me) || held.next.is_some() {
            return None;
        }
        let key = (duty.to_string(), held.token);
        let silent = |a: &Asked| a.free.get(&key).is_some_and(|free| free.len() > self.voters / 2);
        let open = held.holder.is_none() || self.asked.iter().any(silent);
        open.then(|| Command::Bid { duty: duty.into(), base: held.token, who: self.me.clone() })
    }

    /// Gives a duty back, as on drain, upgrade or the end of the process: it acts no more from here on. What to propose.
    pub fn give_back(&mut self, duty: &str) -> Option<Command> {
        let token = self.token(duty)?;
        self.done.insert((duty.into(), token));
        Some(Command::GiveBack { duty: duty.into(), token })
    }
}

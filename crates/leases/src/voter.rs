//! What a voter has promised to holders of duties: that nobody else comes to hold them.

use crate::table::{Command, Table};
use crate::{Duty, Process, Token};
use loomlb_consensus::Nanos;
use loomlb_consensus::timing::LeaseTiming;
use std::collections::BTreeMap;

/// The promises of one voter, in memory alone: a voter that starts is ready for nothing until all that it may have
/// forgotten has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    timing: LeaseTiming,
    since: Nanos,
    given: BTreeMap<(Duty, Token), Nanos>,
    /// The token of each duty, and since when this voter has seen it.
    met: BTreeMap<Duty, (Token, Nanos)>,
}

impl Voter {
    /// None yet, at a voter that starts now.
    pub fn new(timing: LeaseTiming, now: Nanos) -> Voter {
        Voter { timing, since: now, given: BTreeMap::new(), met: BTreeMap::new() }
    }

    /// A process asks to go on holding a duty until a promise's time from now is over. Yes if it holds it, by all that this
    /// voter has seen agreed, and nobody is to have it next. The voter must have seen agreed, or replaced, all that stood in
    /// its log when it started (`Agreement::settled`).
    pub fn ask(&mut self, now: Nanos, who: &Process, duty: &str, token: Token, table: &Table) -> bool {
        let held = table.get(duty);
        if token == 0 || held.token != token || held.holder.as_ref() != Some(who) || held.next.is_some() {
            return false;
        }
        // One promise for each duty is kept, besides those of tokens that have ended meanwhile.
        self.given.retain(|_, until| now < *until);
        self.given.insert((duty.into(), token), now + self.timing.grant_duration);
        true
    }

    fn quiet(&self, now: Nanos) -> bool {
        now >= self.since + self.timing.grant_duration
    }

    fn over(&self, now: Nanos, duty: &str, token: Token) -> bool {
        self.quiet(now) && self.given.get(&(duty.into(), token)).is_none_or(|until| now >= *until)
    }

    /// Whether a duty is open to bids as far as this voter knows: it is held by nobody, or its holder has had a promise's
    /// time to ask for one and has none here. Without that time a new holder would be taken for a dead one, and whoever
    /// bids next as well: a duty would go round and never be held.
    pub fn free(&self, now: Nanos, duty: &str, table: &Table) -> bool {
        let held = table.get(duty);
        let waited = |(token, since): &(Token, Nanos)| {
            *token == held.token && now >= *since + self.timing.grant_duration
        };
        let open = self.over(now, duty, held.token) && self.met.get(duty).is_some_and(waited);
        held.holder.is_none() || open
    }

    /// Looks at what is agreed, at every tick. The duties whose holder this voter promises nothing any more, and whose
    /// promises here have ended: what it tells the leader, which has [`Command::Pass`] agreed once a majority has said so.
    pub fn tick(&mut self, now: Nanos, table: &Table) -> Vec<Command> {
        for (duty, held) in &table.duties {
            if self.met.get(duty).is_none_or(|met| met.0 != held.token) {
                self.met.insert(duty.clone(), (held.token, now));
            }
        }
        let over = table.duties.iter().filter(|(duty, h)| h.next.is_some() && self.over(now, duty, h.token));
        over.map(|(duty, held)| Command::Pass { duty: duty.clone(), token: held.token }).collect()
    }
}

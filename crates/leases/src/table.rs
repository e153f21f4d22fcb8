//! Who holds which duty, as the agreed commands make it: the same at every voter.

use crate::{Duty, Process, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Duties at most; a bid for one more is without effect.
const MOST: usize = 256;

/// What voters agree on about duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// A process wants a duty. Said again it has no further effect.
    Bid {
        /// Which duty.
        duty: Duty,
        /// The token that the bidder knew.
        base: Token,
        /// Who.
        who: Process,
    },
    /// Its holder gives it back, and has acted for the last time.
    GiveBack {
        /// Which duty.
        duty: Duty,
        /// Under which token it held it.
        token: Token,
    },
    /// A majority of the voters is ready: the holder's lease has ended, and whoever bid first has the duty.
    Pass {
        /// Which duty.
        duty: Duty,
        /// The token that has ended.
        token: Token,
    },
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The holder's token, or the last one's if nobody holds it.
    pub token: Token,
    /// Who holds it.
    pub holder: Option<Process>,
    /// Who is to have it next. From then on no voter promises the holder anything.
    pub next: Option<Process>,
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// The number of the last command that is in here; a later table has a higher one.
    pub index: u64,
    /// Duties that somebody has bid for.
    pub duties: BTreeMap<Duty, Held>,
}

impl Table {
    /// A duty, held by nobody if it was never bid for.
    pub fn get(&self, duty: &str) -> Held {
        self.duties.get(duty).cloned().unwrap_or_default()
    }

    /// Whether a command would change anything here but the index. A leader has nothing else agreed: every scheduler bids for
    /// a duty that is free, and again until it sees what came of it.
    pub fn changes(&self, command: &Command) -> bool {
        let mut after = self.clone();
        after.apply(self.index, command);
        after != *self
    }

    /// Takes in the agreed command of this index. The same command at the same place has the same effect everywhere.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.index = index;
        let (Command::Bid { duty, .. } | Command::GiveBack { duty, .. } | Command::Pass { duty, .. }) =
            command;
        let mut held = self.get(duty);
        match command {
            Command::Bid { base, who, .. } if *base == held.token => match &held.holder {
                None => held.pass_to(Some(who.clone())),
                Some(holder) if held.next.is_none() && holder != who => held.next = Some(who.clone()),
                Some(_) => {}
            },
            Command::GiveBack { token, .. } if *token == held.token && held.holder.is_some() => {
                let next = held.next.take();
                held.pass_to(next);
            }
            Command::Pass { token, .. } if *token == held.token && held.next.is_some() => {
                let next = held.next.take();
                held.pass_to(next);
            }
            // Overtaken by another.
            _ => return,
        }
        if held == self.get(duty) {
            return;
        }
        if self.duties.len() < MOST || self.duties.contains_key(duty) {
            self.duties.insert(duty.clone(), held);
        }
    }
}

impl Held {
    fn pass_to(&mut self, next: Option<Process>) {
        self.token += u64::from(next.is_some());
        self.holder = next;
    }
}

//! The holders of all roles: the result of applying the committed commands in order. It is the same at every
//! voter.

use crate::{FencingToken, ProcessId, Role};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Roles in the table; acquiring one more has no effect.
const MAX_ROLES: usize = 256;

/// A replicated command on a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// A process asks for a role: it becomes the holder if there is none, else the successor. A repetition
    /// has no effect.
    #[serde(rename = "Bid")]
    Acquire {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The token that the process knew.
        #[serde(rename = "base")]
        known_token: FencingToken,
        /// The process.
        #[serde(rename = "who")]
        candidate: ProcessId,
    },
    /// The holder releases the role, and performs it no more.
    #[serde(rename = "GiveBack")]
    Release {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The holder's token.
        token: FencingToken,
    },
    /// A majority of the voters is ready, so the holder's lease has expired: the successor becomes the
    /// holder.
    #[serde(rename = "Pass")]
    Transfer {
        /// The role.
        #[serde(rename = "duty")]
        role: Role,
        /// The token of the expired lease.
        token: FencingToken,
    },
}

/// The lease on a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The holder's token, or the previous holder's if there is none.
    pub token: FencingToken,
    /// The holder.
    pub holder: Option<ProcessId>,
    /// The next holder. While there is one, no voter grants the present holder a lease.
    #[serde(rename = "next")]
    pub successor: Option<ProcessId>,
}

/// The leases on all roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The log index of the last command that was applied.
    pub index: u64,
    /// The leases of all roles that a process has asked for.
    #[serde(rename = "duties")]
    pub leases: BTreeMap<Role, Lease>,
}

impl LeaseTable {
    /// Returns the lease on a role; one without a holder if no process has asked for it.
    pub fn get(&self, role: &str) -> Lease {
        self.leases.get(role).cloned().unwrap_or_default()
    }

    /// Whether a command changes anything but the index. The leader discards all others: every scheduler
    /// repeats its request for an available role until it sees the result.
    pub fn changes(&self, command: &Command) -> bool {
        let mut after = self.clone();
        after.apply(self.index, command);
        after != *self
    }

    /// Applies the committed command at this log index. The result depends only on the table, the index and
    /// the command.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.index = index;
        let (Command::Acquire { role, .. } | Command::Release { role, .. } | Command::Transfer { role, .. }) =
            command;
        let mut lease = self.get(role);
        match command {
            Command::Acquire { known_token, candidate, .. } if *known_token == lease.token => {
                match &lease.holder {
                    None => lease.transfer_to(Some(candidate.clone())),
                    Some(holder) if lease.successor.is_none() && holder != candidate => {
                        lease.successor = Some(candidate.clone())
                    }
                    Some(_) => {}
                }
            }
            Command::Release { token, .. } if *token == lease.token && lease.holder.is_some() => {
                let successor = lease.successor.take();
                lease.transfer_to(successor);
            }
            Command::Transfer { token, .. } if *token == lease.token && lease.successor.is_some() => {
                let successor = lease.successor.take();
                lease.transfer_to(successor);
            }
            // The token is outdated.
            _ => return,
        }
        if lease == self.get(role) {
            return;
        }
        if self.leases.len() < MAX_ROLES || self.leases.contains_key(role) {
            self.leases.insert(role.clone(), lease);
        }
    }
}

impl Lease {
    fn transfer_to(&mut self, holder: Option<ProcessId>) {
        self.token += u64::from(holder.is_some());
        self.holder = holder;
    }
}

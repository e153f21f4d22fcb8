//! What the receiver of an act looks at: an act under an older token than one that it has met is refused.

use crate::{Duty, Token};
use std::collections::BTreeMap;

/// Duties whose tokens are remembered; further ones are refused, as what is forgotten could not be compared.
const MOST: usize = 256;

/// Why an act is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Another has held the duty since.
    #[error(
        "{duty}: token {token} is stale, {met} was met: whoever sent it holds the duty no more; it must ask anew"
    )]
    Stale {
        /// Which duty.
        duty: Duty,
        /// The act's token.
        token: Token,
        /// The highest one met here.
        met: Token,
    },
    /// No holder ever has this token.
    #[error("{duty}: an act without a token; update the sender, as it does not know of duties")]
    Without {
        /// Which duty.
        duty: Duty,
    },
    /// Too many duties.
    #[error("{duty}: {MOST} duties are known here already; use fewer names")]
    TooMany {
        /// Which duty.
        duty: Duty,
    },
}

/// The highest token met for each duty. Where it must outlive the receiver, [`Fence::met`] is what to keep.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    met: BTreeMap<Duty, Token>,
}

impl Fence {
    /// A fence that starts from what it had met.
    pub fn new(met: BTreeMap<Duty, Token>) -> Fence {
        Fence { met }
    }

    /// Lets an act pass, or says why not.
    pub fn pass(&mut self, duty: &str, token: Token) -> Result<(), Refused> {
        let met = self.met.get(duty).copied().unwrap_or(0);
        if token == 0 {
            return Err(Refused::Without { duty: duty.into() });
        }
        if token < met {
            return Err(Refused::Stale { duty: duty.into(), token, met });
        }
        if met == 0 && self.met.len() >= MOST {
            return Err(Refused::TooMany { duty: duty.into() });
        }
        if token > met {
            self.met.insert(duty.into(), token);
        }
        Ok(())
    }

    /// The highest token met for each duty.
    pub fn met(&self) -> &BTreeMap<Duty, Token> {
        &self.met
    }
}

//! The check of fencing tokens at the receiver of an operation: one with an older token than an earlier
//! operation is rejected.

use crate::{FencingToken, Role};
use std::collections::BTreeMap;

/// Roles whose tokens are kept. Operations of further roles are rejected, as their tokens could not be
/// compared.
const MAX_ROLES: usize = 256;

/// Why an operation is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// Another process has held the role since.
    #[error(
        "{role}: token {token} is stale, token {highest} was seen: the sender no longer holds the role and must acquire it again"
    )]
    Stale {
        /// The role.
        role: Role,
        /// The token of the operation.
        token: FencingToken,
        /// The highest token seen here.
        highest: FencingToken,
    },
    /// The token is 0, which no holder has.
    #[error("{role}: the operation has no token; update the sender to a build that supports roles")]
    MissingToken {
        /// The role.
        role: Role,
    },
    /// The tokens of too many roles are kept.
    #[error("{role}: the tokens of {MAX_ROLES} other roles are kept already; use fewer roles")]
    TooManyRoles {
        /// The role.
        role: Role,
    },
}

/// The highest token seen for each role. A receiver that restarts must persist [`Fence::highest_tokens`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    highest_tokens: BTreeMap<Role, FencingToken>,
}

impl Fence {
    /// Creates a fence with the tokens that an earlier one has seen.
    pub fn new(highest_tokens: BTreeMap<Role, FencingToken>) -> Fence {
        Fence { highest_tokens }
    }

    /// Checks the token of an operation and records it.
    pub fn check(&mut self, role: &str, token: FencingToken) -> Result<(), FenceError> {
        let highest = self.highest_tokens.get(role).copied().unwrap_or(0);
        if token == 0 {
            return Err(FenceError::MissingToken { role: role.into() });
        }
        if token < highest {
            return Err(FenceError::Stale { role: role.into(), token, highest });
        }
        if highest == 0 && self.highest_tokens.len() >= MAX_ROLES {
            return Err(FenceError::TooManyRoles { role: role.into() });
        }
        if token > highest {
            self.highest_tokens.insert(role.into(), token);
        }
        Ok(())
    }

    /// Returns the highest token seen for each role.
    pub fn highest_tokens(&self) -> &BTreeMap<Role, FencingToken> {
        &self.highest_tokens
    }
}

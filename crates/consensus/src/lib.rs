//! What the schedulers of a tier have agreed on, and for how long each may act on it.
//!
//! Pure cores, apart from [`log_store`] and the [`storage`] beneath it: no sockets, no clock, time passed in. [`raft_node`] has the voters agree on one
//! document ([`state`]) by the Raft library; [`lease_grants`] is what a voter has promised to whom, [`lease_holder`] what a
//! scheduler may act on now, [`timing`] the figures that both go by, with their proof in docs/design/0006-accord.md.
//! [`document`] tells which changes contradict each other and what is the strictest of two documents; [`history_check`] reads the
//! histories of all schedulers and says where an invariant broke; [`worker_lists`] tells how far apart their lists of workers are. [`link_protocol`] are the words on the tier link.

#![forbid(unsafe_code)]

pub mod document;
pub mod history_check;
pub mod lease_grants;
pub mod lease_holder;
pub mod link_protocol;
pub mod log_store;
pub mod raft_node;
pub mod raft_node_error;
pub mod state;
pub mod storage;
pub mod store_error;
pub mod timing;
pub mod vote_check;
pub mod worker_lists;

/// A point in time or a span, in nanoseconds of whoever's clock is at hand.
pub type Nanos = u64;
/// A version of the document; 0 before there is one.
pub type Version = u64;

/// What a scheduler acts on: the rules of one version, or the strictest of two neighbours while the later is coming.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum EffectiveRules {
    /// One version's rules.
    #[serde(rename = "On")]
    On(Version),
    /// What both this version and the next one allow.
    #[serde(rename = "Between")]
    Between(Version),
}

impl EffectiveRules {
    /// The newest version whose rules are kept.
    pub fn newest_version(self) -> Version {
        match self {
            EffectiveRules::On(v) => v,
            EffectiveRules::Between(v) => v + 1,
        }
    }

    /// The oldest version whose rules are kept.
    pub fn oldest_version(self) -> Version {
        match self {
            EffectiveRules::On(v) | EffectiveRules::Between(v) => v,
        }
    }
}

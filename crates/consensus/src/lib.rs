//! Consensus on the settings of a tier of schedulers, and the leases under which each scheduler applies them.
//!
//! The modules do no network input or output and read no clock; the current time is passed in. Only
//! [`storage`] and, on top of it, [`log_store`] access the disk.
//!
//! - [`raft_node`] replicates the settings document ([`state`]) among the voters with the Raft library.
//! - [`lease_grants`] holds the leases that a voter has granted, [`lease_holder`] the lease of one scheduler.
//! - [`timing`] derives the durations of leases; the safety argument is in docs/design/0006-accord.md.
//! - [`document`] compares documents and combines two of them into the strictest.
//! - [`history_check`] and [`vote_check`] verify the invariants on recorded histories and votes.
//! - [`worker_lists`] tracks which version of the list of workers each scheduler has.
//! - [`link_protocol`] defines the messages on the links to the voters.

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

/// A point in time or a duration, in nanoseconds of the clock of the process at hand.
pub type Nanos = u64;
/// A version of the document; 0 while there is none.
pub type Version = u64;

/// The rules that a scheduler applies: one version of the document, or the strictest combination of two
/// consecutive ones while the later is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub enum EffectiveRules {
    /// The rules of this version.
    #[serde(rename = "On")]
    On(Version),
    /// Only what both this version and the next one allow.
    #[serde(rename = "Between")]
    Between(Version),
}

impl EffectiveRules {
    /// Returns the newest version whose rules are respected.
    pub fn newest_version(self) -> Version {
        match self {
            EffectiveRules::On(v) => v,
            EffectiveRules::Between(v) => v + 1,
        }
    }

    /// Returns the oldest version whose rules are respected.
    pub fn oldest_version(self) -> Version {
        match self {
            EffectiveRules::On(v) | EffectiveRules::Between(v) => v,
        }
    }
}

//! What the operator file says of the tier.

use loomlb_consensus::Nanos;
use loomlb_consensus::timing::{LeaseTiming, TimingConfig};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The shortest key.
const MIN_KEY_BYTES: usize = 16;

/// The operator file's words on the tier.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Spec")]
pub struct TierConfig {
    /// What all schedulers of the tier know and nobody else does.
    pub(crate) key: String,
    /// Where this voter listens for the others.
    pub(crate) listen: Option<SocketAddr>,
    /// The voters, the same at every scheduler.
    #[serde(rename = "voter")]
    pub(crate) voters: Vec<VoterAddress>,
    /// Where this voter writes what it must not forget.
    pub(crate) store: Option<PathBuf>,
    /// The tier is started for the very first time: a voter's file may be missing.
    #[serde(default)]
    pub(crate) found: bool,
    /// From a version's agreement until it is in force or whoever has not heard has stopped acting, in seconds.
    #[serde(default = "default_bound_s")]
    pub(crate) bound_s: f64,
    /// How far a clock's rate may be off, as a part.
    #[serde(default = "default_drift")]
    pub(crate) drift: f64,
    /// Allowance for an agreement among voters, in seconds.
    #[serde(default = "default_quarter_second")]
    pub(crate) delay_s: f64,
    /// Time between two renewals of the lease, in seconds.
    #[serde(default = "default_quarter_second")]
    pub(crate) renew_s: f64,
    /// What to do without a lease.
    #[serde(default)]
    pub(crate) on_lapse: LapsePolicy,
    /// Where to write what was acted upon, for the checker; not written without it.
    pub(crate) history: Option<PathBuf>,
    /// For trials alone: this process's clock runs at this rate.
    #[serde(default = "default_trial_clock")]
    pub(crate) trial_clock: f64,
}

/// A voter as the operator names it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct VoterAt")]
pub struct VoterAddress {
    /// Its scheduler's name.
    pub(crate) name: String,
    /// Where it listens for the tier.
    pub(crate) at: SocketAddr,
}

/// What a scheduler does whose lease has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LapsePolicy {
    /// It steps out of service until it has one again.
    #[default]
    Leave,
    /// It goes on by the strictest rules that there can be: each job once at most. Workers that staff have taken out
    /// meanwhile it cannot know of.
    Strict,
}

fn default_bound_s() -> f64 {
    4.0
}

fn default_drift() -> f64 {
    0.01
}

fn default_quarter_second() -> f64 {
    0.25
}

fn default_trial_clock() -> f64 {
    1.0
}

impl TierConfig {
    /// The figures of the leases, or the key that cannot be kept.
    pub(crate) fn timing(&self) -> Result<LeaseTiming, (&'static str, String)> {
        let nanos = |key, seconds: f64| {
            let fits = (0.0..=86_400.0).contains(&seconds);
            if fits {
                Ok((seconds * 1e9) as Nanos)
            } else {
                Err((key, format!("{seconds}: from 0 to 86400 s")))
            }
        };
        let terms = TimingConfig {
            bound: nanos("bound_s", self.bound_s)?,
            clock_drift: self.drift,
            voter_delay: nanos("delay_s", self.delay_s)?,
            renewal_interval: nanos("renew_s", self.renew_s)?,
        };
        terms.derive()
    }

    /// The first key that cannot be worked with, and why.
    pub fn check(&self) -> Result<(), (String, String)> {
        let fault = |key: &str, reason: String| Err((key.to_string(), reason));
        if self.key.len() < MIN_KEY_BYTES {
            return fault("key", format!("{} bytes; {MIN_KEY_BYTES} at the least", self.key.len()));
        }
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 7 {
            return fault("voter", format!("{} voters; 1, 3, 5 or 7 can agree best", self.voters.len()));
        }
        let names: BTreeSet<&str> = self.voters.iter().map(|v| &*v.name).collect();
        if names.len() < self.voters.len() {
            return fault("voter", "a name stands there twice".into());
        }
        if !(0.5..=2.0).contains(&self.trial_clock) {
            return fault("trial_clock", format!("{}: a rate from 0.5 to 2", self.trial_clock));
        }
        self.timing().map(|_| ()).map_err(|(key, reason)| (key.into(), reason))
    }
}

impl fmt::Display for TierConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.voters.iter().map(|v| &*v.name).collect();
        write!(f, "voters {}, bound {} s", names.join(", "), self.bound_s)?;
        self.timing().map_or(Ok(()), |t| write!(f, ", leases of {:.2} s", t.lease_duration as f64 / 1e9))
    }
}

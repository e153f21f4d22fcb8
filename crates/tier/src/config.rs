//! Configuration of the tier in the operator file.

use loomlb_consensus::Nanos;
use loomlb_consensus::timing::{LeaseTiming, TimingConfig};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

const MIN_KEY_BYTES: usize = 16;

/// The `[tier]` table of the operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Spec")]
pub struct TierConfig {
    /// Shared secret of the schedulers of the tier.
    pub(crate) key: String,
    /// Address on which this voter accepts links.
    pub(crate) listen: Option<SocketAddr>,
    /// The voters. Must be the same at every scheduler.
    #[serde(rename = "voter")]
    pub(crate) voters: Vec<VoterAddress>,
    /// Path of this voter's log.
    pub(crate) store: Option<PathBuf>,
    /// The tier is started for the first time: voters may create their logs.
    #[serde(default)]
    pub(crate) found: bool,
    /// Longest time from the agreement on a version until every scheduler has applied it or has stopped serving, in
    /// seconds.
    #[serde(default = "default_bound_s")]
    pub(crate) bound_s: f64,
    /// Largest error of a clock's rate, as a fraction.
    #[serde(default = "default_drift")]
    pub(crate) drift: f64,
    /// Time allowed for an agreement among the voters, in seconds.
    #[serde(default = "default_quarter_second")]
    pub(crate) delay_s: f64,
    /// Interval of lease renewals, in seconds.
    #[serde(default = "default_quarter_second")]
    pub(crate) renew_s: f64,
    /// Behaviour without a lease.
    #[serde(default)]
    pub(crate) on_lapse: LapsePolicy,
    /// Path of the history for the consistency checker. Without it no history is written.
    pub(crate) history: Option<PathBuf>,
    /// Rate of this process's clock, for tests of clock drift.
    #[serde(default = "default_trial_clock")]
    pub(crate) trial_clock: f64,
}

/// Name and address of a voter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct VoterAt")]
pub struct VoterAddress {
    /// Name of its scheduler.
    pub(crate) name: String,
    /// Address on which it accepts links.
    #[serde(rename = "at")]
    pub(crate) address: SocketAddr,
}

/// What a scheduler does after its lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LapsePolicy {
    /// It stops serving until it has a lease again.
    #[default]
    Leave,
    /// It continues with the strictest rules, which run each job at most once. It does not learn of workers that are taken
    /// offline meanwhile.
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
    /// Derives the timing of leases. The error names the invalid key and the reason.
    pub(crate) fn timing(&self) -> Result<LeaseTiming, (&'static str, String)> {
        let to_nanos = |key, seconds: f64| {
            let is_in_range = (0.0..=86_400.0).contains(&seconds);
            if is_in_range {
                Ok((seconds * 1e9) as Nanos)
            } else {
                Err((key, format!("{seconds} s, must be from 0 to 86400 s")))
            }
        };
        let terms = TimingConfig {
            bound: to_nanos("bound_s", self.bound_s)?,
            clock_drift: self.drift,
            voter_delay: to_nanos("delay_s", self.delay_s)?,
            renewal_interval: to_nanos("renew_s", self.renew_s)?,
        };
        terms.derive()
    }

    /// Checks the configuration. The error names the first invalid key and the reason.
    pub fn check(&self) -> Result<(), (String, String)> {
        let invalid = |key: &str, reason: String| Err((key.to_string(), reason));
        if self.key.len() < MIN_KEY_BYTES {
            return invalid("key", format!("{} bytes, must be at least {MIN_KEY_BYTES}", self.key.len()));
        }
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 7 {
            return invalid("voter", format!("{} voters, must be 1, 3, 5 or 7", self.voters.len()));
        }
        let names: BTreeSet<&str> = self.voters.iter().map(|v| &*v.name).collect();
        if names.len() < self.voters.len() {
            return invalid("voter", "two voters have the same name".into());
        }
        if !(0.5..=2.0).contains(&self.trial_clock) {
            return invalid("trial_clock", format!("{}, must be a rate from 0.5 to 2", self.trial_clock));
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

//! Durations of leases, derived from the bound that the operator configures.

use crate::Nanos;

/// The timing of a tier as the operator configures it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingConfig {
    /// The longest time from the commit of a version until every scheduler either applies it or has lost its
    /// lease.
    pub bound: Nanos,
    /// The largest deviation of a clock's rate, as a fraction: 0.01 is 1 %.
    pub clock_drift: f64,
    /// The time allowed for an exchange among the voters: a commit, or a report that a voter is ready for a
    /// version.
    pub voter_delay: Nanos,
    /// The time between two renewals of a scheduler's lease.
    pub renewal_interval: Nanos,
}

impl Default for TimingConfig {
    fn default() -> Self {
        TimingConfig {
            bound: 4_000_000_000,
            clock_drift: 0.01,
            voter_delay: 250_000_000,
            renewal_interval: 250_000_000,
        }
    }
}

/// The durations that follow from a [`TimingConfig`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a grant is valid at the voter, by the voter's clock, from the moment of the grant.
    pub grant_duration: Nanos,
    /// How long a lease is valid at the scheduler, by the scheduler's clock, from the moment of the request.
    pub lease_duration: Nanos,
    /// The time between two renewals.
    pub renewal_interval: Nanos,
}

impl TimingConfig {
    /// Returns the smallest permitted bound: a lease lasts four renewal intervals, so it survives three lost
    /// renewals.
    pub fn min_bound(&self) -> Nanos {
        let slowest_rate = 1.0 - self.clock_drift;
        (2.0 * self.voter_delay as f64
            + 4.0 * self.renewal_interval as f64 * (1.0 + self.clock_drift) / (slowest_rate * slowest_rate))
            .ceil() as Nanos
    }

    /// Derives the durations of leases.
    ///
    /// # Errors
    /// The key of the operator file whose value is out of range, with the reason.
    pub fn derive(&self) -> Result<LeaseTiming, (&'static str, String)> {
        if !(0.0..=0.2).contains(&self.clock_drift) {
            return Err(("drift", format!("{}: must be from 0 to 0.2", self.clock_drift)));
        }
        if self.renewal_interval < 20_000_000 {
            return Err(("renew_s", "must be at least 0.02 s".into()));
        }
        if self.bound < self.min_bound() {
            let (bound_s, min_bound_s) = (self.bound as f64 / 1e9, self.min_bound() as f64 / 1e9);
            let reason = format!(
                "{bound_s} s is too short for these values of delay_s, renew_s and drift: must be at least {min_bound_s:.3} s"
            );
            return Err(("bound_s", reason));
        }
        let slowest_rate = 1.0 - self.clock_drift;
        let grant_duration = (self.bound - 2 * self.voter_delay) as f64 * slowest_rate;
        Ok(LeaseTiming {
            grant_duration: grant_duration as Nanos,
            lease_duration: (grant_duration * slowest_rate / (1.0 + self.clock_drift)) as Nanos,
            renewal_interval: self.renewal_interval,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lease_expires_before_its_grants_under_maximum_clock_drift_and_too_small_a_bound_is_rejected() {
        for clock_drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let config = TimingConfig { clock_drift, ..TimingConfig::default() };
            let with_min_bound = TimingConfig { bound: config.min_bound(), ..config };
            assert!(
                TimingConfig { bound: config.min_bound() - 1_000_000, ..config }.derive().unwrap_err().0
                    == "bound_s"
            );
            for config in [config, with_min_bound] {
                let Ok(timing) = config.derive() else { continue };
                let (longest_lease, shortest_grant) = (
                    timing.lease_duration as f64 / (1.0 - clock_drift),
                    timing.grant_duration as f64 / (1.0 + clock_drift),
                );
                assert!(longest_lease <= shortest_grant + 1.0, "{longest_lease} {shortest_grant}");
                assert!(
                    timing.grant_duration as f64 / (1.0 - clock_drift)
                        <= (config.bound - 2 * config.voter_delay) as f64 + 1.0
                );
                assert!(timing.lease_duration + 2 >= 4 * timing.renewal_interval);
            }
        }
        assert_eq!(
            TimingConfig { clock_drift: 0.5, ..TimingConfig::default() }.derive().unwrap_err().0,
            "drift"
        );
    }
}

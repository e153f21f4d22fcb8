//! The figures of leases, derived from the bound that operators configure.

use crate::Nanos;

/// What operators say of the tier's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingConfig {
    /// From a version's agreement until it is in force everywhere, or whoever has not heard of it has stopped acting.
    pub bound: Nanos,
    /// How far a clock's rate may be off, as a part: 0.01 is 1 %.
    pub clock_drift: f64,
    /// Time allowed for what passes among voters: an agreement, and a word that a voter is ready.
    pub voter_delay: Nanos,
    /// Time between two renewals of a scheduler's lease.
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

/// What follows from the terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a voter keeps a promise, by its own clock, from the moment it gave it.
    pub grant_duration: Nanos,
    /// How long a scheduler counts on a lease, by its own clock, from before it asked.
    pub lease_duration: Nanos,
    /// Time between two renewals.
    pub renewal_interval: Nanos,
}

impl TimingConfig {
    /// The least bound that these terms allow: four renewals have to fit into a lease, so that three lost ones are borne.
    pub fn min_bound(&self) -> Nanos {
        let slow = 1.0 - self.clock_drift;
        (2.0 * self.voter_delay as f64
            + 4.0 * self.renewal_interval as f64 * (1.0 + self.clock_drift) / (slow * slow))
            .ceil() as Nanos
    }

    /// The figures; a bound that cannot be kept, or clocks that nobody has, are refused with the key and the way out.
    pub fn derive(&self) -> Result<LeaseTiming, (&'static str, String)> {
        if !(0.0..=0.2).contains(&self.clock_drift) {
            return Err(("drift", format!("{}: a clock is off by a part from 0 to 0.2", self.clock_drift)));
        }
        if self.renewal_interval < 20_000_000 {
            return Err(("renew_s", "renewals are 0.02 s apart at the least".into()));
        }
        if self.bound < self.min_bound() {
            let (said, least) = (self.bound as f64 / 1e9, self.min_bound() as f64 / 1e9);
            let reason = format!("{said} s cannot be kept with these figures; {least:.3} s is the least");
            return Err(("bound_s", reason));
        }
        let slow = 1.0 - self.clock_drift;
        let promise = (self.bound - 2 * self.voter_delay) as f64 * slow;
        Ok(LeaseTiming {
            grant_duration: promise as Nanos,
            lease_duration: (promise * slow / (1.0 + self.clock_drift)) as Nanos,
            renewal_interval: self.renewal_interval,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lease_ends_before_its_promise_on_the_worst_pair_of_clocks_and_a_bound_too_small_is_refused() {
        for drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let terms = TimingConfig { clock_drift: drift, ..TimingConfig::default() };
            let least = TimingConfig { bound: terms.min_bound(), ..terms };
            assert!(
                TimingConfig { bound: terms.min_bound() - 1_000_000, ..terms }.derive().unwrap_err().0
                    == "bound_s"
            );
            for terms in [terms, least] {
                let Ok(timing) = terms.derive() else { continue };
                let (holder, voter) = (
                    timing.lease_duration as f64 / (1.0 - drift),
                    timing.grant_duration as f64 / (1.0 + drift),
                );
                assert!(holder <= voter + 1.0, "{holder} {voter}");
                assert!(
                    timing.grant_duration as f64 / (1.0 - drift)
                        <= (terms.bound - 2 * terms.voter_delay) as f64 + 1.0
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

//! The figures of leases, derived from the bound that operators configure.

use crate::Nanos;

/// What operators say of the tier's time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// From a version's agreement until it is in force everywhere, or whoever has not heard of it has stopped acting.
    pub bound: Nanos,
    /// How far a clock's rate may be off, as a part: 0.01 is 1 %.
    pub drift: f64,
    /// Time allowed for what passes among voters: an agreement, and a word that a voter is ready.
    pub delay: Nanos,
    /// Time between two renewals of a scheduler's lease.
    pub renew: Nanos,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { bound: 4_000_000_000, drift: 0.01, delay: 250_000_000, renew: 250_000_000 }
    }
}

/// What follows from the terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a voter keeps a promise, by its own clock, from the moment it gave it.
    pub promise: Nanos,
    /// How long a scheduler counts on a lease, by its own clock, from before it asked.
    pub lease: Nanos,
    /// Time between two renewals.
    pub renew: Nanos,
}

impl Terms {
    /// The least bound that these terms allow: four renewals have to fit into a lease, so that three lost ones are borne.
    pub fn least(&self) -> Nanos {
        let slow = 1.0 - self.drift;
        (2.0 * self.delay as f64 + 4.0 * self.renew as f64 * (1.0 + self.drift) / (slow * slow)).ceil()
            as Nanos
    }

    /// The figures; a bound that cannot be kept, or clocks that nobody has, are refused with the key and the way out.
    pub fn derive(&self) -> Result<Timing, (&'static str, String)> {
        if !(0.0..=0.2).contains(&self.drift) {
            return Err(("drift", format!("{}: a clock is off by a part from 0 to 0.2", self.drift)));
        }
        if self.renew < 20_000_000 {
            return Err(("renew_s", "renewals are 0.02 s apart at the least".into()));
        }
        if self.bound < self.least() {
            let (said, least) = (self.bound as f64 / 1e9, self.least() as f64 / 1e9);
            let reason = format!("{said} s cannot be kept with these figures; {least:.3} s is the least");
            return Err(("bound_s", reason));
        }
        let slow = 1.0 - self.drift;
        let promise = (self.bound - 2 * self.delay) as f64 * slow;
        Ok(Timing {
            promise: promise as Nanos,
            lease: (promise * slow / (1.0 + self.drift)) as Nanos,
            renew: self.renew,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lease_ends_before_its_promise_on_the_worst_pair_of_clocks_and_a_bound_too_small_is_refused() {
        for drift in [0.0, 0.001, 0.01, 0.1, 0.2] {
            let terms = Terms { drift, ..Terms::default() };
            let least = Terms { bound: terms.least(), ..terms };
            assert!(Terms { bound: terms.least() - 1_000_000, ..terms }.derive().unwrap_err().0 == "bound_s");
            for terms in [terms, least] {
                let Ok(timing) = terms.derive() else { continue };
                let (holder, voter) =
                    (timing.lease as f64 / (1.0 - drift), timing.promise as f64 / (1.0 + drift));
                assert!(holder <= voter + 1.0, "{holder} {voter}");
                assert!(
                    timing.promise as f64 / (1.0 - drift) <= (terms.bound - 2 * terms.delay) as f64 + 1.0
                );
                assert!(timing.lease + 2 >= 4 * timing.renew);
            }
        }
        assert_eq!(Terms { drift: 0.5, ..Terms::default() }.derive().unwrap_err().0, "drift");
    }
}

//! Orders: which workers staff have taken out of use, whatever discovery lists meanwhile.

use super::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Orders kept at most. One more would need as many workers taken out at once.
const MOST: usize = 100_000;

/// What was ordered of a worker last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Out since then, on the scheduler's own clock.
    #[serde(rename = "Out")]
    Out(Nanos),
    /// Out since the first time, back since the second.
    #[serde(rename = "Back")]
    Back(Nanos, Nanos),
}

/// What the orders make of a worker that discovery lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is as listed.
    AsListed,
    /// It counts as draining.
    Out,
    /// It is as listed, but has started anew then at the latest.
    Started(Nanos),
}

/// All orders that are in force, by the workers' names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "by_host")]
    by_host: BTreeMap<String, Order>,
}

impl Orders {
    /// Takes a worker out; true if that changes anything. Out is a state: a second order leaves the first.
    pub fn offline(&mut self, host: &str, now: Nanos) -> bool {
        if self.is_out(host) || self.by_host.len() >= MOST {
            return false;
        }
        self.by_host.insert(host.to_string(), Order::Out(now));
        true
    }

    /// Puts a worker back; true if it was out.
    pub fn online(&mut self, host: &str, now: Nanos) -> bool {
        let Some(Order::Out(since)) = self.by_host.get(host).copied() else { return false };
        self.by_host.insert(host.to_string(), Order::Back(since, now));
        true
    }

    /// Whether a worker is out.
    pub fn is_out(&self, host: &str) -> bool {
        matches!(self.by_host.get(host), Some(Order::Out(_)))
    }

    /// Workers that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.by_host.iter().filter(|o| matches!(o.1, Order::Out(_))).map(|o| &**o.0)
    }

    /// What the orders make of a worker that discovery lists with this start. A worker is restarted while it is out, and
    /// the list says so late: until it names a start since the order, the return itself counts as the start.
    pub fn effect(&self, host: &str, started: Nanos) -> Effect {
        match self.by_host.get(host) {
            None => Effect::AsListed,
            Some(Order::Out(_)) => Effect::Out,
            Some(Order::Back(out, _)) if started > *out => Effect::AsListed,
            Some(Order::Back(_, back)) => Effect::Started(*back),
        }
    }

    /// When a worker was last ordered out or back; 0 without orders.
    pub fn latest(&self) -> Nanos {
        let of_order = |order: &Order| match order {
            Order::Out(at) | Order::Back(_, at) => *at,
        };
        self.by_host.values().map(of_order).max().unwrap_or(0)
    }

    /// Forgets returns older than `span`, after which no worker is cold any more.
    pub fn age(&mut self, now: Nanos, span: Nanos) {
        self.by_host.retain(|_, o| !matches!(o, Order::Back(_, back) if now >= back.saturating_add(span)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_return_is_a_start_until_discovery_names_one_since_the_order() {
        let mut orders = Orders::default();
        assert_eq!(orders.effect("a", 5), Effect::AsListed);
        assert!(!orders.online("a", 90), "it was not out");
        assert!(orders.offline("a", 100));
        assert!(!orders.offline("a", 110));
        assert_eq!((orders.effect("a", 5), orders.effect("a", 500)), (Effect::Out, Effect::Out));
        assert!(orders.online("a", 200), "two calls out need one call back");
        assert_eq!(orders.effect("a", 5), Effect::Started(200));
        assert_eq!(orders.effect("a", 150), Effect::AsListed);
        orders.age(250, 100);
        assert_eq!(orders.effect("a", 5), Effect::Started(200));
        orders.age(300, 100);
        assert_eq!(orders, Orders::default());
    }

    proptest! {
        /// Whatever is ordered in whatever order, the last call of a worker decides, and no other worker is touched.
        #[test]
        fn the_last_order_of_a_worker_decides(calls in prop::collection::vec((0usize..3, any::<bool>()), 0..40)) {
            let hosts = ["a", "b", "c"];
            let (mut orders, mut last) = (Orders::default(), [false; 3]);
            for (at, (host, out)) in calls.into_iter().enumerate() {
                let now = at as Nanos + 1;
                let changed = if out { orders.offline(hosts[host], now) } else { orders.online(hosts[host], now) };
                prop_assert_eq!(changed, last[host] != out);
                last[host] = out;
                // Ageing never lifts an order.
                orders.age(Nanos::MAX, 1);
                for (name, out) in hosts.iter().zip(last) {
                    prop_assert_eq!(orders.is_out(name), out);
                    prop_assert_eq!(orders.effect(name, Nanos::MAX) == Effect::Out, out);
                }
            }
        }
    }
}

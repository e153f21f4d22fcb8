//! Several schedulers split one quota tree: with digests their shares follow the traffic, and no share is used twice.

use loomlb_quota::share_split::{ShareSplit, node_number};
use loomlb_quota::{Limit, NodeSpec, Quota, QuotaRequest, ShareStatus, Spec, Verdict};

const SECOND: u64 = 1_000_000_000;
const MILLISECOND: u64 = 1_000_000;

fn tree() -> Spec {
    let limit = |g| Limit { guarantee: Some(g), ceiling: None };
    let node = |name: &str, parent: Option<&str>, g| NodeSpec {
        name: name.into(),
        parent: parent.map(str::to_string),
        weight: 1.0,
        work: limit(g),
        ..NodeSpec::default()
    };
    // All shares are in use, so nothing can be borrowed and the admitted work shows each scheduler's share.
    Spec {
        nodes: vec![
            node("house", None, 100.0),
            node("a", Some("house"), 50.0),
            node("b", Some("house"), 50.0),
        ],
        ..Spec::default()
    }
}

/// Schedulers with their shares of the quotas, and the fraction of `a`'s traffic that each receives.
struct Tier {
    schedulers: Vec<(Quota, ShareSplit, f64)>,
    alive: Vec<bool>,
    exchanges_digests: bool,
    /// Digests between these schedulers and the others are lost.
    partitioned: Vec<usize>,
}

impl Tier {
    fn new(traffic: &[f64], exchanges_digests: bool) -> Tier {
        let n = traffic.len();
        let scheduler =
            |part: &f64| (Quota::new(tree().scaled(1.0 / n as f64), 0).unwrap(), ShareSplit::new(n), *part);
        Tier {
            schedulers: traffic.iter().map(scheduler).collect(),
            alive: vec![true; n],
            exchanges_digests,
            partitioned: Vec::new(),
        }
    }

    /// Runs one second with a demand of 120 slot seconds per second at `a` and 50 at `b`, the latter evenly
    /// distributed. Returns the work of `a` that was admitted within its share.
    fn second(&mut self, from: u64) -> f64 {
        let mut admitted = 0.0;
        for step in 0..1000u64 {
            let now = from + step * MILLISECOND;
            for s in 0..self.schedulers.len() {
                if !self.alive[s] {
                    continue;
                }
                let n = self.schedulers.len() as f64;
                let (quota, shares, traffic) = &mut self.schedulers[s];
                for (name, work) in [("a", 0.12 * *traffic), ("b", 0.05 / n)] {
                    shares.record_demand(now, node_number(name), work);
                    let request = QuotaRequest { slots: 1.0, work, retry: true, jitter_seed: now };
                    if let Verdict::Admitted(ticket, status) = quota.admit(now, name, &request) {
                        quota.complete(now, ticket, work);
                        admitted += if name == "a" && status == ShareStatus::Within { work } else { 0.0 };
                    }
                }
            }
            if self.exchanges_digests && step % 250 == 0 {
                self.exchange_digests(now);
            }
        }
        admitted
    }

    fn exchange_digests(&mut self, now: u64) {
        for s in 0..self.schedulers.len() {
            if !self.alive[s] {
                continue;
            }
            let digests = self.schedulers[s].1.digests(now);
            assert!(digests.iter().all(|digest| digest.len() <= 256));
            for to in (0..self.schedulers.len()).filter(|to| *to != s) {
                if self.partitioned.contains(&s) == self.partitioned.contains(&to) {
                    digests
                        .iter()
                        .for_each(|digest| assert!(self.schedulers[to].1.apply_digest(now, s, digest)));
                }
            }
            let (quota, shares, _) = &mut self.schedulers[s];
            let n = self.alive.len() as f64;
            for node in shares.active_nodes() {
                quota.scale_share(now, node, shares.share(now, node) * n);
            }
        }
    }

    fn seconds(&mut self, from: u64, count: u64) -> Vec<f64> {
        (0..count).map(|i| self.second((from + i) * SECOND)).collect()
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// The tenant's share is 50 slot seconds per second. If one of four schedulers receives most of its traffic, the tenant
/// gets little more than a quarter of it without digests, and nearly all of it with digests.
#[test]
fn shares_follow_uneven_traffic_if_digests_are_exchanged() {
    for traffic in [vec![0.9, 0.1], vec![0.85, 0.05, 0.05, 0.05]] {
        let without_digests = mean(&Tier::new(&traffic, false).seconds(0, 10)[5..]);
        let with_digests = mean(&Tier::new(&traffic, true).seconds(0, 10)[5..]);
        assert!(without_digests < 38.0, "{without_digests} without digests, {traffic:?}");
        assert!(with_digests > 44.0 && with_digests <= 52.5, "{with_digests} with digests, {traffic:?}");
        assert!(
            with_digests > without_digests + 5.0,
            "{with_digests} with digests, {without_digests} without"
        );
    }
}

/// The share of a failed scheduler stays reserved, at most its equal part, and a partition uses no share twice.
#[test]
fn a_failure_or_a_partition_neither_duplicates_nor_loses_a_share() {
    let mut tier = Tier::new(&[0.25; 4], true);
    assert!((mean(&tier.seconds(0, 6)[3..]) - 50.0).abs() < 2.5);
    tier.alive[3] = false;
    let after = tier.seconds(6, 8);
    assert!(after.iter().all(|rate| *rate <= 52.5), "{after:?}");
    assert!(mean(&after[4..]) >= 50.0 * 0.75 - 2.5, "{after:?}");
    tier.alive[3] = true;
    let after_return = tier.seconds(14, 6);
    assert!((mean(&after_return[3..]) - 50.0).abs() < 3.0, "{after_return:?}");
    // Two pairs without a connection between them: each pair keeps half of the share.
    tier.partitioned = vec![0, 1];
    let during_partition = tier.seconds(20, 8);
    assert!(
        during_partition.iter().all(|rate| *rate <= 53.0) && mean(&during_partition[4..]) > 45.0,
        "{during_partition:?}"
    );
}

#[test]
fn invalid_digests_change_nothing() {
    let mut shares = ShareSplit::new(2);
    shares.record_demand(SECOND, node_number("a"), 1.0);
    for bytes in [&[][..], &[16], &[16, 0, 3, 1, 2], &[5, 0, 0], &[16, 0, 1, 1, 0, 0, 0, 0, 0, 0xc0, 0x7f]] {
        shares.apply_digest(SECOND, 1, bytes);
    }
    assert!(!shares.apply_digest(SECOND, 7, &[16, 0, 0]));
    assert!((shares.share(20 * SECOND, node_number("a")) - 0.5).abs() < 1e-9);
    assert_eq!(shares.share(SECOND, node_number("nobody")), 0.5);
    assert!(shares.invalid_digests >= 2);
}

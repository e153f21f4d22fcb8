//! Several schedulers share one tree: by talk their parts follow the traffic, and without it nobody holds a share twice.

use loomlb_quota::share_split::{ShareSplit, node_number};
use loomlb_quota::{Limit, NodeSpec, Quota, QuotaRequest, ShareStatus, Spec, Verdict};

const S: u64 = 1_000_000_000;
const MS: u64 = 1_000_000;

fn tree() -> Spec {
    let limit = |g| Limit { guarantee: Some(g), ceiling: None };
    let node = |name: &str, parent: Option<&str>, g| NodeSpec {
        name: name.into(),
        parent: parent.map(str::to_string),
        weight: 1.0,
        work: limit(g),
        ..NodeSpec::default()
    };
    // Nothing is left to borrow: what is let through shows what is held.
    Spec {
        nodes: vec![
            node("house", None, 100.0),
            node("a", Some("house"), 50.0),
            node("b", Some("house"), 50.0),
        ],
        ..Spec::default()
    }
}

/// Schedulers with the share of `a`'s traffic that each meets; what is let through within share a second, by second.
struct Tier {
    all: Vec<(Quota, ShareSplit, f64)>,
    alive: Vec<bool>,
    talks: bool,
    /// Words between these and the others are lost.
    cut: Vec<usize>,
}

impl Tier {
    fn new(meets: &[f64], talks: bool) -> Tier {
        let n = meets.len();
        let one =
            |part: &f64| (Quota::new(tree().scaled(1.0 / n as f64), 0).unwrap(), ShareSplit::new(n), *part);
        Tier { all: meets.iter().map(one).collect(), alive: vec![true; n], talks, cut: Vec::new() }
    }

    /// A second in which 120 of work a second is asked for at `a`, and 50 at `b` evenly.
    fn second(&mut self, from: u64) -> f64 {
        let mut within = 0.0;
        for step in 0..1000u64 {
            let now = from + step * MS;
            for s in 0..self.all.len() {
                if !self.alive[s] {
                    continue;
                }
                let n = self.all.len() as f64;
                let (quota, parts, meets) = &mut self.all[s];
                for (name, work) in [("a", 0.12 * *meets), ("b", 0.05 / n)] {
                    parts.record_demand(now, node_number(name), work);
                    let request = QuotaRequest { slots: 1.0, work, retry: true, jitter_seed: now };
                    if let Verdict::Admitted(ticket, status) = quota.admit(now, name, &request) {
                        quota.complete(now, ticket, work);
                        within += if name == "a" && status == ShareStatus::Within { work } else { 0.0 };
                    }
                }
            }
            if self.talks && step % 250 == 0 {
                self.talk(now);
            }
        }
        within
    }

    fn talk(&mut self, now: u64) {
        for s in 0..self.all.len() {
            if !self.alive[s] {
                continue;
            }
            let words = self.all[s].1.digests(now);
            assert!(words.iter().all(|w| w.len() <= 256));
            for to in (0..self.all.len()).filter(|to| *to != s) {
                if self.cut.contains(&s) == self.cut.contains(&to) {
                    words.iter().for_each(|w| assert!(self.all[to].1.apply_digest(now, s, w)));
                }
            }
            let (quota, parts, _) = &mut self.all[s];
            let n = self.alive.len() as f64;
            for node in parts.active_nodes() {
                quota.scale_share(now, node, parts.share(now, node) * n);
            }
        }
    }

    fn seconds(&mut self, from: u64, count: u64) -> Vec<f64> {
        (0..count).map(|i| self.second((from + i) * S)).collect()
    }
}

fn mean(x: &[f64]) -> f64 {
    x.iter().sum::<f64>() / x.len() as f64
}

/// The whole share is 50 a second. A tenant whose traffic meets one of four schedulers gets a quarter without talk, and
/// nearly all of it with.
#[test]
fn talk_lets_parts_follow_uneven_traffic() {
    for meets in [vec![0.9, 0.1], vec![0.85, 0.05, 0.05, 0.05]] {
        let alone = mean(&Tier::new(&meets, false).seconds(0, 10)[5..]);
        let told = mean(&Tier::new(&meets, true).seconds(0, 10)[5..]);
        assert!(alone < 38.0, "{alone} without talk, {meets:?}");
        assert!(told > 44.0 && told <= 52.5, "{told} with talk, {meets:?}");
        assert!(told > alone + 5.0, "{told} with talk, {alone} without");
    }
}

/// A scheduler that dies takes no more than its equal part with it, and a partition holds no share twice.
#[test]
fn a_death_or_a_partition_neither_doubles_nor_loses_a_share() {
    let mut tier = Tier::new(&[0.25; 4], true);
    assert!((mean(&tier.seconds(0, 6)[3..]) - 50.0).abs() < 2.5);
    tier.alive[3] = false;
    let after = tier.seconds(6, 8);
    assert!(after.iter().all(|x| *x <= 52.5), "{after:?}");
    assert!(mean(&after[4..]) >= 50.0 * 0.75 - 2.5, "{after:?}");
    tier.alive[3] = true;
    let back = tier.seconds(14, 6);
    assert!((mean(&back[3..]) - 50.0).abs() < 3.0, "{back:?}");
    // Two and two that do not hear each other: each side holds half, whatever its traffic.
    tier.cut = vec![0, 1];
    let cut = tier.seconds(20, 8);
    assert!(cut.iter().all(|x| *x <= 53.0) && mean(&cut[4..]) > 45.0, "{cut:?}");
}

#[test]
fn what_is_no_digest_changes_nothing() {
    let mut parts = ShareSplit::new(2);
    parts.record_demand(S, node_number("a"), 1.0);
    for bytes in [&[][..], &[16], &[16, 0, 3, 1, 2], &[5, 0, 0], &[16, 0, 1, 1, 0, 0, 0, 0, 0, 0xc0, 0x7f]] {
        parts.apply_digest(S, 1, bytes);
    }
    assert!(!parts.apply_digest(S, 7, &[16, 0, 0]));
    assert!((parts.share(20 * S, node_number("a")) - 0.5).abs() < 1e-9);
    assert_eq!(parts.share(S, node_number("nobody")), 0.5);
    assert!(parts.invalid_digests >= 2);
}

//! Tests of admission, lending and repayment, replacement of the tree, and random sequences of events.

use loomlb_quota::{
    Limit, Measure, NodeSpec, Quota, QuotaRequest, ShareStatus, Spec, Ticket, Verdict, WindowSpec,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: u64 = 1_000_000_000;

fn rate(guarantee: f64) -> Limit {
    Limit { guarantee: Some(guarantee), ceiling: None }
}

fn node(name: &str, parent: &str, requests: f64) -> NodeSpec {
    let parent = (!parent.is_empty()).then(|| parent.to_string());
    NodeSpec { name: name.into(), parent, weight: 1.0, requests: rate(requests), ..NodeSpec::default() }
}

/// A tree with a capacity of 100 requests per second: two organisations, one of them with two departments.
fn organisation_tree(repay: f64) -> Spec {
    let nodes = vec![
        node("house", "", 100.0),
        node("harbour", "house", 73.0),
        node("meadow", "house", 27.0),
        node("harbour-north", "harbour", 50.0),
        node("harbour-south", "harbour", 23.0),
    ];
    Spec { repay, nodes, ..Spec::default() }
}

const REQUEST: QuotaRequest = QuotaRequest { slots: 1.0, work: 0.0, retry: false, jitter_seed: 1 };

/// Sends requests at the given rates. Returns the number admitted by second, sender and share status.
fn send(quota: &mut Quota, from: u64, seconds: u64, rates: &[(&str, u64)]) -> Vec<Vec<[u32; 3]>> {
    let mut admitted = vec![vec![[0; 3]; rates.len()]; seconds as usize];
    for ms in 0..seconds * 1000 {
        for (i, (name, rate)) in rates.iter().enumerate() {
            let due = (ms + 1) * rate / 1000 - ms * rate / 1000;
            for _ in 0..due {
                let now = from + ms * 1_000_000;
                if let Verdict::Admitted(ticket, status) = quota.admit(now, name, &REQUEST) {
                    admitted[(ms / 1000) as usize][i][status as usize] += 1;
                    quota.complete(now, ticket, 0.0);
                }
            }
        }
    }
    admitted
}

fn served(second: &[u32; 3]) -> f64 {
    f64::from(second[ShareStatus::Within as usize] + second[ShareStatus::Borrowed as usize])
}

/// A lender surges to 2.4 times its guarantee while a borrower uses everything that is lent.
#[test]
fn a_surging_lender_regains_its_share_at_once_and_the_borrower_keeps_most_of_its_own() {
    let mut quota = Quota::new(organisation_tree(0.05), 0).unwrap();
    let before_surge = send(&mut quota, 0, 10, &[("harbour-north", 120), ("meadow", 5)]);
    // The borrower uses its own 50, the 23 of the idle sibling and the 22 that meadow leaves unused.
    let last = served(&before_surge[9][0]);
    assert!((93.0..=100.0).contains(&last), "{last}");
    let (owed, lent) = quota.balance(10 * SECOND, Measure::Requests);
    assert!(owed > 300.0 && (owed - lent).abs() < 1e-6 * owed, "{owed} {lent}");

    let surge = send(&mut quota, 10 * SECOND, 10, &[("harbour-north", 120), ("meadow", 65)]);
    for (second, admitted) in surge.iter().enumerate().skip(2) {
        let (borrower, lender) = (served(&admitted[0]), served(&admitted[1]));
        // The borrower gets its own 50 and the idle sibling's 23 less the repayment; the lender its 27 and the
        // repayment.
        assert!((borrower - 73.0).abs() <= 0.05 * 73.0, "second {second}: borrower {borrower}");
        assert!(
            (27.0 * 0.95..=27.0 + 0.05 * 73.0 + 1.0).contains(&lender),
            "second {second}: lender {lender}"
        );
    }
    assert!(quota.counters.repaid[0] > 5.0, "{:?}", quota.counters);

    // Debts decay.
    let (owed, _) = quota.balance(20 * SECOND + 600 * SECOND, Measure::Requests);
    assert!(owed < 1.0, "{owed}");
}

#[test]
fn a_high_rate_of_repayment_never_starves_the_borrower() {
    let mut quota = Quota::new(organisation_tree(0.25), 0).unwrap();
    send(&mut quota, 0, 30, &[("harbour-north", 200), ("harbour-south", 23)]);
    let surge =
        send(&mut quota, 30 * SECOND, 10, &[("harbour-north", 200), ("harbour-south", 23), ("meadow", 65)]);
    for admitted in surge.iter().skip(2) {
        assert!(served(&admitted[0]) >= 50.0 * 0.75 - 1.0, "{admitted:?}");
        // A node that never borrowed repays nothing.
        assert!(served(&admitted[1]) >= 22.0, "{admitted:?}");
    }
    assert!(served(&surge[4][2]) > 35.0, "the lender is repaid: {surge:?}");
}

#[test]
fn borrowers_share_by_their_weights() {
    let mut spec = organisation_tree(0.05);
    spec.nodes.push(node("orchard", "house", 0.0));
    (spec.nodes[1].requests, spec.nodes[3].requests, spec.nodes[4].requests) =
        (rate(40.0), rate(20.0), rate(20.0));
    (spec.nodes[1].weight, spec.nodes[5].weight) = (3.0, 1.0);
    let mut quota = Quota::new(spec, 0).unwrap();
    let admitted =
        send(&mut quota, 0, 20, &[("harbour-north", 200), ("harbour-south", 200), ("orchard", 200)]);
    let average_borrowed = |i: usize| admitted[10..].iter().map(|s| f64::from(s[i][1])).sum::<f64>() / 10.0;
    let (harbour, orchard) = (average_borrowed(0) + average_borrowed(1), average_borrowed(2));
    assert!(harbour + orchard > 52.0 && harbour > 2.0 * orchard && orchard > 8.0, "{harbour} {orchard}");
}

/// Refusals also give retry times that are spread, and a retry isn't charged as another request.
#[test]
fn refusals_charge_nothing_and_retries_are_counted_once() {
    let mut spec = organisation_tree(0.05);
    spec.nodes[2].windows = vec![WindowSpec { measure: Measure::Requests, seconds: 10.0, limit: 20.0 }];
    let mut quota = Quota::new(spec, 0).unwrap();
    let mut retry_times = Vec::new();
    for i in 0..500u64 {
        match quota.admit(SECOND + i, "meadow", &QuotaRequest { jitter_seed: i, ..REQUEST }) {
            Verdict::Admitted(..) => assert!(i < 20),
            Verdict::Refused(r) => {
                assert!(
                    i >= 20
                        && r.node == "meadow"
                        && r.retry_after > 5 * SECOND
                        && r.retry_after < 14 * SECOND,
                    "{i} {r:?}"
                );
                retry_times.push(r.retry_after / 100_000_000);
            }
            Verdict::Unknown => panic!(),
        }
    }
    retry_times.sort_unstable();
    retry_times.dedup();
    assert!(retry_times.len() > 15, "spread over {} tenths", retry_times.len());
    assert_eq!(quota.window_usage(2 * SECOND, "meadow"), [(Measure::Requests, 20.0, 20.0)]);
    assert!(matches!(
        quota.admit(2 * SECOND, "meadow", &QuotaRequest { retry: true, ..REQUEST }),
        Verdict::Admitted(..)
    ));
    assert_eq!(quota.window_usage(2 * SECOND, "meadow")[0].1, 20.0);
    // A clock that steps back changes nothing and grants nothing.
    assert!(matches!(quota.admit(0, "meadow", &REQUEST), Verdict::Refused(_)));
    assert!(matches!(quota.admit(12 * SECOND, "meadow", &REQUEST), Verdict::Admitted(..)));
}

/// Jobs of a removed tenant are counted at the nearest remaining ancestor.
#[test]
fn actual_work_is_charged_even_after_the_tenant_was_removed() {
    let mut spec = organisation_tree(0.05);
    for n in &mut spec.nodes {
        n.work = n.requests;
        n.concurrency = Limit { guarantee: n.requests.guarantee, ceiling: Some(100.0) };
    }
    spec.nodes[4].windows = vec![WindowSpec { measure: Measure::Work, seconds: 60.0, limit: 1000.0 }];
    let mut quota = Quota::new(spec.clone(), 0).unwrap();
    let request = QuotaRequest { work: 2.0, slots: 4.0, ..REQUEST };
    let Verdict::Admitted(first, ShareStatus::Within) = quota.admit(SECOND, "harbour-south", &request) else {
        panic!()
    };
    let Verdict::Admitted(second, _) = quota.admit(SECOND, "harbour-south", &request) else { panic!() };
    assert_eq!((quota.in_use("harbour-south"), quota.in_use("house")), (Some(8.0), Some(8.0)));
    quota.complete(2 * SECOND, first, 54.0);
    assert_eq!(quota.window_usage(2 * SECOND, "harbour-south"), [(Measure::Work, 56.0, 1000.0)]);
    // 54 slot seconds at 23 per second exhaust the tenant's own share; the next request isn't refused.
    assert!(matches!(
        quota.admit(2 * SECOND, "harbour-south", &request),
        Verdict::Admitted(_, ShareStatus::Borrowed | ShareStatus::Over)
    ));
    spec.nodes.truncate(4);
    quota.replace_spec(3 * SECOND, spec.clone()).unwrap();
    assert_eq!(
        (quota.in_use("harbour-south"), quota.in_use("harbour"), quota.in_use("house")),
        (None, Some(8.0), Some(8.0))
    );
    assert_eq!(quota.admit(3 * SECOND, "harbour-south", &request), Verdict::Unknown);
    quota.complete(4 * SECOND, second, 1.0);
    quota.complete(4 * SECOND, second, 1.0);
    assert_eq!((quota.in_use("harbour"), quota.open_tickets()), (Some(4.0), 1));
    // A faulty tree changes nothing.
    spec.nodes[3].requests = rate(500.0);
    assert!(
        quota
            .replace_spec(5 * SECOND, spec)
            .unwrap_err()
            .to_string()
            .contains("node[1].requests: the guarantees of its children sum to 500")
    );
    assert_eq!(quota.in_use("harbour"), Some(4.0));
}

#[test]
fn an_invalid_tree_is_reported_with_node_key_and_reason() {
    let error_of = |change: &dyn Fn(&mut Spec)| {
        let mut spec = organisation_tree(0.05);
        change(&mut spec);
        Quota::new(spec, 0).unwrap_err().to_string()
    };
    let window = |seconds, most| vec![WindowSpec { measure: Measure::Work, seconds, limit: most }];
    let cases: [(String, &str); 9] = [
        (
            error_of(&|s| s.nodes[1].requests = rate(90.0)),
            "node[0].requests: the guarantees of its children sum to 117, more than its own 100",
        ),
        (
            error_of(&|s| s.nodes[2].requests.ceiling = Some(5.0)),
            "node[2].requests: the ceiling 5 is below the guarantee 27",
        ),
        (
            error_of(&|s| s.nodes[1].parent = Some("harbour-north".into())),
            "node[1].parent: \"harbour\" is its own ancestor",
        ),
        (error_of(&|s| s.nodes[2].parent = Some("sea".into())), "node[2].parent: no node is named \"sea\""),
        (
            error_of(&|s| s.nodes[2].parent = None),
            "node[2].parent: second node without a parent; only the root has none",
        ),
        (
            error_of(&|s| s.nodes[2].name = "harbour".into()),
            "node[2].name: \"harbour\" is also the name of node[1]",
        ),
        (
            error_of(&|s| s.nodes[2].windows = window(0.0, 5.0)),
            "node[2].window[0].seconds: must be above 0 and at most 31 days",
        ),
        (error_of(&|s| s.nodes[2].weight = -1.0), "node[2].weight: must be above 0"),
        (error_of(&|s| s.repay = 1.0), "repay: must be a fraction from 0 to 0.9"),
    ];
    for (actual, expected) in cases {
        assert_eq!(actual, expected);
    }
}

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Admit { leaf: usize, slots: u8, work: u8, retry: bool },
    Complete { nth: usize, work: u8 },
    ReadLoansInThePast(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => (1u64..800_000_000).prop_map(Op::Wait),
        10 => (0usize..100, 1u8..5, 0u8..20, any::<bool>())
            .prop_map(|(leaf, slots, work, retry)| Op::Admit { leaf, slots, work, retry }),
        8 => (0usize..100, 0u8..60).prop_map(|(nth, work)| Op::Complete { nth, work }),
        1 => (1u64..SECOND).prop_map(Op::ReadLoansInThePast),
    ];
    prop::collection::vec(op, 1..300)
}

/// A random tree: the parent of each node is an earlier one, which assigns a part of its remaining guarantee.
fn tree() -> impl Strategy<Value = Spec> {
    let nodes = prop::collection::vec((0usize..100, 0.0f64..0.7, 1u8..6), 1..14);
    (nodes, 0.0f64..0.5).prop_map(|(raw, repay)| {
        let mut spec = Spec { repay, fade_s: 20.0, ..Spec::default() };
        let mut left = vec![60.0];
        let mut depth = vec![0];
        spec.nodes.push(NodeSpec { work: rate(60.0), concurrency: rate(60.0), ..node("n0", "", 60.0) });
        for (i, (parent, part, weight)) in raw.into_iter().enumerate() {
            let parent = if depth[parent % depth.len()] < 7 { parent % depth.len() } else { 0 };
            let own = left[parent] * part;
            left[parent] -= own;
            left.push(own);
            depth.push(depth[parent] + 1);
            let mut n = node(&format!("n{}", i + 1), &format!("n{parent}"), own);
            (n.work, n.weight) = (rate(own), f64::from(weight));
            n.concurrency = Limit { guarantee: Some(own), ceiling: Some(own + 10.0) };
            n.windows = vec![WindowSpec { measure: Measure::Requests, seconds: 2.0, limit: 3.0 + 2.0 * own }];
            spec.nodes.push(n);
        }
        spec
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Debts equal credits and no ceiling is exceeded at any time, and nothing is in use after all requests completed.
    #[test]
    fn loans_balance_and_ceilings_hold_in_any_order(spec in tree(), ops in ops()) {
        let mut quota = Quota::new(spec.clone(), 0).unwrap();
        let (mut now, mut open): (u64, Vec<Ticket>) = (SECOND, Vec::new());
        for op in ops {
            match op {
                Op::Wait(t) => now += t,
                Op::Admit { leaf, slots, work, retry } => {
                    let name = &spec.nodes[leaf % spec.nodes.len()].name;
                    let request = QuotaRequest { slots: slots.into(), work: f64::from(work) / 4.0, retry, jitter_seed: now };
                    if let Verdict::Admitted(ticket, _) = quota.admit(now, name, &request) {
                        open.push(ticket);
                    }
                }
                Op::Complete { nth, work } if !open.is_empty() => {
                    let ticket = open.swap_remove(nth % open.len());
                    quota.complete(now, ticket, f64::from(work) / 4.0);
                }
                Op::Complete { .. } => {}
                Op::ReadLoansInThePast(t) => {
                    quota.loans(now.saturating_sub(t));
                }
            }
            for measure in [Measure::Requests, Measure::Work] {
                let (owes, owed) = quota.balance(now, measure);
                prop_assert!((owes - owed).abs() <= 1e-5 * (1.0 + owes.abs()), "{measure:?}: debts {owes}, credits {owed}");
            }
            for n in &spec.nodes {
                let most = n.concurrency.ceiling.unwrap_or(f64::MAX);
                prop_assert!(quota.in_use(&n.name).unwrap() <= most + 1e-6);
                for (measure, used, most) in quota.window_usage(now, &n.name) {
                    prop_assert!(used <= most + 1e-6, "{} {measure:?}: {used} of {most}", n.name);
                }
            }
        }
        open.drain(..).for_each(|t| quota.complete(now, t, 0.0));
        now += 400 * SECOND;
        for n in &spec.nodes {
            prop_assert!(quota.in_use(&n.name).unwrap().abs() < 1e-6);
            prop_assert!(quota.window_usage(now, &n.name).iter().all(|w| w.1.abs() < 1e-6));
        }
        let (owes, owed) = quota.balance(now, Measure::Work);
        prop_assert!(owes < 1e-3 && owed < 1e-3, "{owes} {owed}");
    }
}

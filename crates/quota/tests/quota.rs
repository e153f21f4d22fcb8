//! The quota core under surges, changes and any order of events.

use loomlb_quota::{
    Limit, Measure, NodeSpec, Quota, QuotaRequest, ShareStatus, Spec, Ticket, Verdict, WindowSpec,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const S: u64 = 1_000_000_000;

fn rate(guarantee: f64) -> Limit {
    Limit { guarantee: Some(guarantee), ceiling: None }
}

fn node(name: &str, parent: &str, requests: f64) -> NodeSpec {
    let parent = (!parent.is_empty()).then(|| parent.to_string());
    NodeSpec { name: name.into(), parent, weight: 1.0, requests: rate(requests), ..NodeSpec::default() }
}

/// Two organisations of a house that serves 100 requests a second, one with two parts.
fn house(repay: f64) -> Spec {
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

/// Sends at these rates for so many seconds from a moment on; what each got within share and on loan, by second.
fn send(q: &mut Quota, from: u64, seconds: u64, rates: &[(&str, u64)]) -> Vec<Vec<[u32; 3]>> {
    let mut got = vec![vec![[0; 3]; rates.len()]; seconds as usize];
    for ms in 0..seconds * 1000 {
        for (i, (name, rate)) in rates.iter().enumerate() {
            let due = (ms + 1) * rate / 1000 - ms * rate / 1000;
            for _ in 0..due {
                let now = from + ms * 1_000_000;
                if let Verdict::Admitted(ticket, status) = q.admit(now, name, &REQUEST) {
                    got[(ms / 1000) as usize][i][status as usize] += 1;
                    q.complete(now, ticket, 0.0);
                }
            }
        }
    }
    got
}

fn served(second: &[u32; 3]) -> f64 {
    f64::from(second[ShareStatus::Within as usize] + second[ShareStatus::Borrowed as usize])
}

/// The case that the operators fear: a borrower holds all lent room just as the lender surges to 2.4 times its usual.
#[test]
fn a_lender_that_surges_has_its_share_at_once_and_the_borrower_keeps_its_floor() {
    let mut q = Quota::new(house(0.05), 0).unwrap();
    let calm = send(&mut q, 0, 10, &[("harbour-north", 120), ("meadow", 5)]);
    // The borrower uses its own 50, its sister's 23 and the 22 that the meadow leaves.
    let last = served(&calm[9][0]);
    assert!((93.0..=100.0).contains(&last), "{last}");
    let (owed, lent) = q.balance(10 * S, Measure::Requests);
    assert!(owed > 300.0 && (owed - lent).abs() < 1e-6 * owed, "{owed} {lent}");

    let surge = send(&mut q, 10 * S, 10, &[("harbour-north", 120), ("meadow", 65)]);
    for (second, got) in surge.iter().enumerate().skip(2) {
        let (borrower, lender) = (served(&got[0]), served(&got[1]));
        // Its own 50 and the 23 that its sister leaves idle, less what it pays back; the meadow its 27 and that.
        assert!((borrower - 73.0).abs() <= 0.05 * 73.0, "second {second}: borrower {borrower}");
        assert!(
            (27.0 * 0.95..=27.0 + 0.05 * 73.0 + 1.0).contains(&lender),
            "second {second}: lender {lender}"
        );
    }
    assert!(q.counters.repaid[0] > 5.0, "{:?}", q.counters);

    // A debt is forgotten in time.
    let (owed, _) = q.balance(20 * S + 600 * S, Measure::Requests);
    assert!(owed < 1.0, "{owed}");
}

#[test]
fn a_high_rate_of_repayment_never_starves_the_borrower() {
    let mut q = Quota::new(house(0.25), 0).unwrap();
    send(&mut q, 0, 30, &[("harbour-north", 200), ("harbour-south", 23)]);
    let surge = send(&mut q, 30 * S, 10, &[("harbour-north", 200), ("harbour-south", 23), ("meadow", 65)]);
    for got in surge.iter().skip(2) {
        assert!(served(&got[0]) >= 50.0 * 0.75 - 1.0, "{got:?}");
        // One that never borrowed has nothing to pay.
        assert!(served(&got[1]) >= 22.0, "{got:?}");
    }
    assert!(served(&surge[4][2]) > 35.0, "the lender is paid: {surge:?}");
}

/// What is lent goes by weight to those that want it.
#[test]
fn borrowers_share_by_their_weights() {
    let mut spec = house(0.05);
    spec.nodes.push(node("orchard", "house", 0.0));
    (spec.nodes[1].requests, spec.nodes[3].requests, spec.nodes[4].requests) =
        (rate(40.0), rate(20.0), rate(20.0));
    (spec.nodes[1].weight, spec.nodes[5].weight) = (3.0, 1.0);
    let mut q = Quota::new(spec, 0).unwrap();
    let got = send(&mut q, 0, 20, &[("harbour-north", 200), ("harbour-south", 200), ("orchard", 200)]);
    let late = |i: usize| got[10..].iter().map(|s| f64::from(s[i][1])).sum::<f64>() / 10.0;
    let (harbour, orchard) = (late(0) + late(1), late(2));
    assert!(harbour + orchard > 52.0 && harbour > 2.0 * orchard && orchard > 8.0, "{harbour} {orchard}");
}

/// Refusals burn nothing, say when to come back, and do not send all back at once; a retry is the same demand.
#[test]
fn refusals_cost_nothing_and_retries_count_once() {
    let mut spec = house(0.05);
    spec.nodes[2].windows = vec![WindowSpec { measure: Measure::Requests, seconds: 10.0, limit: 20.0 }];
    let mut q = Quota::new(spec, 0).unwrap();
    let mut afters = Vec::new();
    for i in 0..500u64 {
        match q.admit(S + i, "meadow", &QuotaRequest { jitter_seed: i, ..REQUEST }) {
            Verdict::Admitted(..) => assert!(i < 20),
            Verdict::Refused(r) => {
                assert!(
                    i >= 20 && r.node == "meadow" && r.retry_after > 5 * S && r.retry_after < 14 * S,
                    "{i} {r:?}"
                );
                afters.push(r.retry_after / 100_000_000);
            }
            Verdict::Unknown => panic!(),
        }
    }
    afters.sort_unstable();
    afters.dedup();
    assert!(afters.len() > 15, "spread over {} tenths", afters.len());
    assert_eq!(q.window_usage(2 * S, "meadow"), [(Measure::Requests, 20.0, 20.0)]);
    assert!(matches!(
        q.admit(2 * S, "meadow", &QuotaRequest { retry: true, ..REQUEST }),
        Verdict::Admitted(..)
    ));
    assert_eq!(q.window_usage(2 * S, "meadow")[0].1, 20.0);
    // A clock that steps back changes nothing and grants nothing.
    assert!(matches!(q.admit(0, "meadow", &REQUEST), Verdict::Refused(_)));
    assert!(matches!(q.admit(12 * S, "meadow", &REQUEST), Verdict::Admitted(..)));
}

/// A job is charged what it cost, and counts where its tenant was once that is gone.
#[test]
fn work_is_settled_by_what_it_took_also_after_its_tenant_was_removed() {
    let mut spec = house(0.05);
    for n in &mut spec.nodes {
        n.work = n.requests;
        n.concurrency = Limit { guarantee: n.requests.guarantee, ceiling: Some(100.0) };
    }
    spec.nodes[4].windows = vec![WindowSpec { measure: Measure::Work, seconds: 60.0, limit: 1000.0 }];
    let mut q = Quota::new(spec.clone(), 0).unwrap();
    let request = QuotaRequest { work: 2.0, slots: 4.0, ..REQUEST };
    let Verdict::Admitted(first, ShareStatus::Within) = q.admit(S, "harbour-south", &request) else {
        panic!()
    };
    let Verdict::Admitted(second, _) = q.admit(S, "harbour-south", &request) else { panic!() };
    assert_eq!((q.in_use("harbour-south"), q.in_use("house")), (Some(8.0), Some(8.0)));
    q.complete(2 * S, first, 54.0);
    assert_eq!(q.window_usage(2 * S, "harbour-south"), [(Measure::Work, 56.0, 1000.0)]);
    // 54 of work at 23 a second: its own share is used up for a while, and it is not refused.
    assert!(matches!(
        q.admit(2 * S, "harbour-south", &request),
        Verdict::Admitted(_, ShareStatus::Borrowed | ShareStatus::Over)
    ));
    spec.nodes.truncate(4);
    q.replace_spec(3 * S, spec.clone()).unwrap();
    assert_eq!(
        (q.in_use("harbour-south"), q.in_use("harbour"), q.in_use("house")),
        (None, Some(8.0), Some(8.0))
    );
    assert_eq!(q.admit(3 * S, "harbour-south", &request), Verdict::Unknown);
    q.complete(4 * S, second, 1.0);
    q.complete(4 * S, second, 1.0);
    assert_eq!((q.in_use("harbour"), q.open_tickets()), (Some(4.0), 1));
    // A faulty tree changes nothing.
    spec.nodes[3].requests = rate(500.0);
    assert!(
        q.replace_spec(5 * S, spec)
            .unwrap_err()
            .to_string()
            .contains("node[1].requests: the guarantees below it sum to 500")
    );
    assert_eq!(q.in_use("harbour"), Some(4.0));
}

#[test]
fn a_faulty_tree_is_named_by_node_key_and_reason() {
    let said = |change: &dyn Fn(&mut Spec)| {
        let mut spec = house(0.05);
        change(&mut spec);
        Quota::new(spec, 0).unwrap_err().to_string()
    };
    let window = |seconds, most| vec![WindowSpec { measure: Measure::Work, seconds, limit: most }];
    let cases: [(String, &str); 9] = [
        (
            said(&|s| s.nodes[1].requests = rate(90.0)),
            "node[0].requests: the guarantees below it sum to 117, more than its own 100",
        ),
        (
            said(&|s| s.nodes[2].requests.ceiling = Some(5.0)),
            "node[2].requests: the ceiling 5 is below the guarantee 27",
        ),
        (
            said(&|s| s.nodes[1].parent = Some("harbour-north".into())),
            "node[1].parent: \"harbour\" is its own ancestor",
        ),
        (said(&|s| s.nodes[2].parent = Some("sea".into())), "node[2].parent: no node is named \"sea\""),
        (said(&|s| s.nodes[2].parent = None), "node[2].parent: a second root; only one node has no parent"),
        (
            said(&|s| s.nodes[2].name = "harbour".into()),
            "node[2].name: \"harbour\" is the name of node[1] as well",
        ),
        (
            said(&|s| s.nodes[2].windows = window(0.0, 5.0)),
            "node[2].window[0].seconds: a window is above 0 and at most 31 days",
        ),
        (said(&|s| s.nodes[2].weight = -1.0), "node[2].weight: a weight is above 0"),
        (said(&|s| s.repay = 1.0), "repay: a part from 0 to 0.9: a borrower keeps a floor"),
    ];
    for (said, wanted) in cases {
        assert_eq!(said, wanted);
    }
}

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Admit { leaf: usize, slots: u8, work: u8, retry: bool },
    Complete { nth: usize, work: u8 },
    Back(u64),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        3 => (1u64..800_000_000).prop_map(Op::Wait),
        10 => (0usize..100, 1u8..5, 0u8..20, any::<bool>())
            .prop_map(|(leaf, slots, work, retry)| Op::Admit { leaf, slots, work, retry }),
        8 => (0usize..100, 0u8..60).prop_map(|(nth, work)| Op::Complete { nth, work }),
        1 => (1u64..S).prop_map(Op::Back),
    ];
    prop::collection::vec(op, 1..300)
}

/// A random tree: each node hangs below an earlier one and is promised a part of what that has left.
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

    /// At every moment what is lent is what is owed, no ceiling is passed, and once all has ended nothing is in use.
    #[test]
    fn loans_balance_and_ceilings_hold_in_any_order(spec in tree(), ops in ops()) {
        let mut q = Quota::new(spec.clone(), 0).unwrap();
        let (mut now, mut open): (u64, Vec<Ticket>) = (S, Vec::new());
        for op in ops {
            match op {
                Op::Wait(t) => now += t,
                Op::Admit { leaf, slots, work, retry } => {
                    let name = &spec.nodes[leaf % spec.nodes.len()].name;
                    let request = QuotaRequest { slots: slots.into(), work: f64::from(work) / 4.0, retry, jitter_seed: now };
                    if let Verdict::Admitted(ticket, _) = q.admit(now, name, &request) {
                        open.push(ticket);
                    }
                }
                Op::Complete { nth, work } if !open.is_empty() => {
                    let ticket = open.swap_remove(nth % open.len());
                    q.complete(now, ticket, f64::from(work) / 4.0);
                }
                Op::Complete { .. } => {}
                Op::Back(t) => {
                    q.loans(now.saturating_sub(t));
                }
            }
            for measure in [Measure::Requests, Measure::Work] {
                let (owes, owed) = q.balance(now, measure);
                prop_assert!((owes - owed).abs() <= 1e-5 * (1.0 + owes.abs()), "{measure:?}: owes {owes}, owed {owed}");
            }
            for n in &spec.nodes {
                let most = n.concurrency.ceiling.unwrap_or(f64::MAX);
                prop_assert!(q.in_use(&n.name).unwrap() <= most + 1e-6);
                for (measure, used, most) in q.window_usage(now, &n.name) {
                    prop_assert!(used <= most + 1e-6, "{} {measure:?}: {used} of {most}", n.name);
                }
            }
        }
        open.drain(..).for_each(|t| q.complete(now, t, 0.0));
        now += 400 * S;
        for n in &spec.nodes {
            prop_assert!(q.in_use(&n.name).unwrap().abs() < 1e-6);
            prop_assert!(q.window_usage(now, &n.name).iter().all(|w| w.1.abs() < 1e-6));
        }
        let (owes, owed) = q.balance(now, Measure::Work);
        prop_assert!(owes < 1e-3 && owed < 1e-3, "{owes} {owed}");
    }
}

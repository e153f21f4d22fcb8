//! The decisions of a dispatcher, through its public interface.

mod harness;

use harness::*;
use loomlb_policy::rules::Network;
use loomlb_policy::*;

// ---- one final answer per request

/// Without advice a refused client would retry at once and be refused again.
#[test]
fn refusals_advise_a_retry_time_within_the_limit() {
    for max_retry_after in [0, 3 * MS, 60 * S] {
        let mut settings = test_settings(Idempotency::Idempotent);
        settings.limits.max_retry_after = max_retry_after;
        let mut harness = Harness::new(settings, &workers(1));
        let (id, _) = harness.request(2 * S);
        harness.end_attempt(id, 0, Outcome::Served);
        harness.update_list(ListKind::Complete, &[]);
        let (_, mut actions) = harness.request(2 * S);
        while final_answers(&actions).is_empty() {
            harness.now += 10 * MS;
            actions = harness.handle(Event::TimerFired(2));
        }
        let Action::Refuse { retry_after, .. } = final_answers(&actions)[0] else { panic!("{actions:?}") };
        assert!(
            *retry_after <= max_retry_after && (*retry_after > 0) == (max_retry_after > 0),
            "{retry_after} of {max_retry_after}"
        );
    }
}

#[test]
fn without_a_worker_requests_are_refused_before_their_client_times_out() {
    let mut harness = Harness::new(test_settings(Idempotency::AtMostOnce), &[]);
    let (id, mut actions) = harness.request(800 * MS);
    let mut answers = Vec::new();
    for _ in 0..200 {
        let timers: Vec<_> = actions
            .iter()
            .filter_map(
                |a| if let Action::SetTimer { after, token } = a { Some((*after, *token)) } else { None },
            )
            .collect();
        answers.extend(final_answers(&actions).into_iter().cloned());
        let Some((after, token)) = timers.first() else { break };
        harness.now += after;
        actions = harness.handle(Event::TimerFired(*token));
    }
    assert_eq!(answers, [Action::Refuse { id, retry_after: 0 }]);
    assert!(harness.now < S + 800 * MS);
}

#[test]
fn requests_without_time_left_are_refused_at_once() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(3));
    let (id, actions) = harness.request(0);
    assert_eq!(actions, [Action::Refuse { id, retry_after: 0 }]);
}

#[test]
fn attempts_time_out_before_the_client_does_and_the_request_fails() {
    let mut harness = Harness::new(test_settings(Idempotency::AtMostOnce), &workers(1));
    let (id, actions) = harness.request(3 * S);
    let Some(Action::Send { timeout, .. }) = actions.first() else { panic!("{actions:?}") };
    assert!(*timeout < 3 * S);
    harness.now += timeout;
    let actions = harness.end_attempt(id, 0, Outcome::Timeout);
    assert_eq!(final_answers(&actions), [&Action::Fail(id)]);
}

#[test]
fn abandoned_requests_are_cancelled_and_not_retried() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(3));
    let (id, _) = harness.request(3 * S);
    assert_eq!(harness.handle(Event::RequestAbandoned(id)), [Action::Cancel(id, 0)]);
    let actions = harness.end_attempt(id, 0, Outcome::Full);
    assert!(sent_to(&actions).is_empty() && final_answers(&actions).is_empty());
}

#[test]
fn cancelled_attempts_count_against_a_silent_worker() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(2));
    let silent = WorkerId(1);
    for _ in 0..40 {
        harness.now += 100 * MS;
        let (id, actions) = harness.request(4 * S);
        if sent_to(&actions) != [silent] {
            harness.end_attempt(id, 0, Outcome::Served);
            continue;
        }
        harness.now += S;
        harness.handle(Event::RequestAbandoned(id));
        harness.end_attempt(id, 0, Outcome::Cancelled);
        // Otherwise half of them would go there. A fourth one might, as the other worker is loaded by then.
        let next_requests: Vec<_> = (0..3).map(|_| harness.request(4 * S)).collect();
        assert!(next_requests.iter().all(|(_, actions)| sent_to(actions) != [silent]));
        return;
    }
    panic!("no job was sent to worker 1");
}

#[test]
fn requests_get_one_answer_after_their_last_attempt() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(9));
    let (id, _) = harness.request(4 * S);
    for attempt in 0..3 {
        assert_eq!(sent_to(&harness.end_attempt(id, attempt, Outcome::Full)).len(), 1);
    }
    assert_eq!(final_answers(&harness.end_attempt(id, 3, Outcome::Full)).len(), 1);
    assert!(harness.end_attempt(id, 3, Outcome::Full).is_empty());
}

// ---- retries

#[test]
fn retries_depend_on_outcome_and_idempotency() {
    use Outcome::*;
    for outcome in [Error, Full, Timeout, NoConnection, Reset, Cancelled, NotSent] {
        for idempotency in
            [Idempotency::Idempotent, Idempotency::Deduplicated(DedupScope::Zone), Idempotency::AtMostOnce]
        {
            let mut list = workers(6);
            list.iter_mut().skip(3).for_each(|w| w.zone = ZoneId(1));
            let mut harness = Harness::new(test_settings(idempotency), &list);
            let (id, actions) = harness.request(4 * S);
            let first = sent_to(&actions)[0];
            harness.now += 10 * MS;
            let actions = harness.end_attempt(id, 0, outcome);
            let retried = sent_to(&actions);
            if idempotency == Idempotency::AtMostOnce && !outcome.never_ran() {
                assert_eq!(actions, [Action::Fail(id)], "{outcome:?}");
            } else {
                assert_eq!(retried.len(), 1, "{idempotency:?} {outcome:?}: {actions:?}");
                if idempotency != Idempotency::Idempotent && !outcome.never_ran() {
                    assert_eq!(retried[0].0 > 3, first.0 > 3, "the retry left the zone");
                }
            }
        }
    }
}

#[test]
fn deduplicated_requests_are_not_retried_at_the_end_of_their_window() {
    let mut harness = Harness::new(test_settings(Idempotency::Deduplicated(DedupScope::Zone)), &workers(4));
    let (id, _) = harness.request(5 * S);
    harness.now += 2 * S - MS;
    assert_eq!(harness.end_attempt(id, 0, Outcome::Reset), [Action::Fail(id)]);
}

// ---- worker list

#[test]
fn draining_removed_and_unlisted_workers_get_no_attempts() {
    for case in 0..3 {
        let list = workers(2);
        let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &list);
        let mut removed = list[0].clone();
        match case {
            0 => removed.state = WorkerState::Draining,
            1 => removed.state = WorkerState::Removed,
            _ => {}
        }
        match case {
            2 => harness.update_list(ListKind::Complete, &list[1..]),
            _ => harness.update_list(ListKind::Partial, &[removed]),
        };
        for _ in 0..50 {
            let (_, actions) = harness.request(4 * S);
            assert!(!sent_to(&actions).contains(&WorkerId(1)));
        }
    }
}

#[test]
fn the_worker_list_is_requested_in_time_and_again_after_failures() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.list_needs_watch = true;
    settings.dispatcher_count = 50;
    let mut dispatcher = Dispatcher::new(settings, 5);
    let (mut now, mut out) = (S, Vec::new());
    dispatcher.handle(now, Event::WorkerList { kind: ListKind::Persisted, entries: workers(2) }, &mut out);
    for _ in 0..12 {
        let Some(Action::SetTimer { after, token }) = out.first().cloned() else {
            panic!("no timer was set: {out:?}")
        };
        assert!(after < 6 * S);
        now += after;
        out.clear();
        dispatcher.handle(now, Event::TimerFired(token), &mut out);
        assert_eq!(out, [Action::WatchList]);
        out.clear();
        dispatcher.handle(now, Event::ListRequestFailed, &mut out);
    }
}

// ---- cold workers

#[test]
fn many_dispatchers_together_stay_below_the_cold_limit_in_every_window() {
    let ungrouped = cold_worker_sends(test_settings(Idempotency::Idempotent));
    assert!(ungrouped > 20, "only {ungrouped} jobs were sent to the cold worker");
    // With groups the budget belongs to the group of the worker; divided among all dispatchers, most of it
    // would not be used.
    let mut grouped = test_settings(Idempotency::Idempotent);
    (grouped.zone_count, grouped.limits.peer_messages) = (1, true);
    let grouped = cold_worker_sends(grouped);
    assert!(grouped > 40, "{grouped} jobs with groups, {ungrouped} without");
}

/// Returns how many jobs 60 dispatchers without messages send to a worker while it is cold, and checks that
/// they are below the limit in every window.
fn cold_worker_sends(mut settings: Settings) -> usize {
    let (dispatchers, work_s) = (60u32, 0.1);
    settings.dispatcher_count = dispatchers;
    let cold = Worker { started_at: 10 * S, ..Worker::new(WorkerId(2)) };
    let mut send_times: Vec<Nanos> = Vec::new();
    for id in 0..dispatchers {
        let own_settings = Settings { own_id: PeerId(id), ..settings.clone() };
        let mut harness =
            Harness { dispatcher: Dispatcher::new(own_settings, u64::from(id)), now: 9 * S, last_id: 0 };
        harness.update_list(ListKind::Complete, &[Worker::new(WorkerId(1))]);
        // The dispatcher learns the running time of jobs before the cold worker is added.
        for _ in 0..20 {
            let (id, _) = harness.request(4 * S);
            harness.end_attempt(id, 0, Outcome::Served);
        }
        harness.now = 10 * S;
        harness.update_list(ListKind::Partial, std::slice::from_ref(&cold));
        // More requests than the cold worker can serve, while the other worker looks busy.
        while harness.now < 18 * S {
            let (_, actions) = harness.request(4 * S);
            send_times.extend(sent_to(&actions).iter().filter(|w| w.0 == 2).map(|_| harness.now));
            harness.now += 20 * MS;
        }
    }
    send_times.sort();
    for &from in &send_times {
        let in_window = send_times.iter().filter(|&&t| t >= from && t < from + S).count();
        let warmth = 0.3 + 0.7 * (from - 10 * S) as f64 / (8.0 * S as f64);
        assert!(in_window as f64 * work_s <= 3.0 * warmth, "{in_window} jobs in the second after {from}");
    }
    send_times.len()
}

// ---- neural network

#[test]
fn the_compact_network_equals_one_with_a_full_weight_matrix() {
    for n in [2usize, 3, 7] {
        let mut network = Network::default();
        (0..n).for_each(|w| network.join(w, KindId(0)));
        network.solve();
        let initial_weight = 1.0 / (2.0 * (n as f64 - 1.0));
        let (mut excitation, mut inhibition) =
            (vec![vec![initial_weight; n]; n], vec![vec![initial_weight; n]; n]);
        let mut threshold: Option<f64> = None;
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..200 {
            let (i, goal) = (rng.usize(..n), 1e8 * (0.2 + rng.f64()));
            network.learn(i, goal);
            network.solve();
            // The reference keeps every weight of the matrix.
            let payoff = 1.0 / goal;
            let t = threshold.map_or(payoff, |t| 0.95 * t + 0.05 * payoff);
            threshold = Some(t);
            let ratio = (if payoff > t { payoff / t } else { t / payoff }).min(4.0);
            let step = if payoff == t { 0.0 } else { STEP * ratio * initial_weight };
            for j in 0..n {
                for k in (0..n).filter(|&k| k != j) {
                    let share = step / (n as f64 - 2.0).max(1.0);
                    match (k == i, payoff > t) {
                        (true, true) => excitation[j][k] += step,
                        (false, true) => inhibition[j][k] += share,
                        (true, false) => inhibition[j][k] += step,
                        (false, false) => excitation[j][k] += share,
                    }
                }
            }
            let rate = |excitation: &[Vec<f64>], m: &[Vec<f64>], i: usize| -> f64 {
                (0..n).filter(|&j| j != i).map(|j| excitation[i][j] + m[i][j]).sum()
            };
            let mean = (0..n).map(|i| rate(&excitation, &inhibition, i)).sum::<f64>() / n as f64;
            for m in excitation.iter_mut().chain(&mut inhibition).flat_map(|r| r.iter_mut()) {
                *m /= mean;
            }
            let mut q = vec![0.5; n];
            for _ in 0..500 {
                for i in 0..n {
                    let sum =
                        |w: &[Vec<f64>]| (0..n).filter(|&j| j != i).map(|j| q[j] * w[j][i]).sum::<f64>();
                    q[i] = ((0.25 + sum(&excitation))
                        / (rate(&excitation, &inhibition, i) + sum(&inhibition)))
                    .clamp(1e-6, 1.0);
                }
            }
            for (i, q) in q.iter().enumerate() {
                assert!(
                    (network.q(i).unwrap() - q).abs() < 0.02,
                    "n {n}: {} against {q}",
                    network.q(i).unwrap()
                );
            }
        }
    }
}

/// `PAYOFF_STEP` of the network.
const STEP: f64 = 0.2;

#[test]
fn faster_and_healthier_workers_have_higher_q() {
    let mut network = Network::default();
    (0..4).for_each(|w| network.join(w, KindId(0)));
    for _ in 0..40 {
        for (w, goal) in [(0, 1e8), (1, 2e8), (2, 2e8), (3, 1e12)] {
            network.learn(w, goal);
        }
    }
    network.solve();
    assert!(network.q(0) > network.q(1) && network.q(1) > network.q(3));
}

#[test]
fn other_neurons_keep_what_they_learned_when_workers_join_and_leave() {
    let mut network = Network::default();
    (0..3).for_each(|w| network.join(w, KindId(0)));
    for _ in 0..30 {
        (0..3).for_each(|w| network.learn(w, [1e8, 3e8, 3e8][w]));
    }
    network.join(3, KindId(0));
    network.leave(1);
    network.solve();
    assert!(network.q(0) > network.q(3) && network.q(3) > network.q(2));
    assert_eq!(network.q(1), None);
}

#[test]
fn classes_bound_to_a_kind_use_only_workers_of_that_kind() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.kind_count = 2;
    settings.classes[0].kind = Some(KindId(1));
    let mut list = workers(6);
    list[4].kind = KindId(1);
    let mut harness = Harness::new(settings, &list);
    for _ in 0..30 {
        let (_, actions) = harness.request(4 * S);
        assert_eq!(sent_to(&actions), [WorkerId(5)]);
    }
}

// ---- invalid events

#[test]
fn invalid_and_unknown_events_are_tolerated() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(2));
    let invalid_report =
        LoadReport { in_flight: Some(f64::NAN), free_slots: Some(-1.0), ..LoadReport::default() };
    let result = AttemptResult {
        outcome: Outcome::Served,
        latency: 0,
        request_finished: true,
        load_report: Some(invalid_report),
    };
    assert!(harness.handle(Event::AttemptEnded { id: RequestId(99), attempt: 0, result }).is_empty());
    assert!(harness.handle(Event::RequestAbandoned(RequestId(99))).is_empty());
    assert!(harness.handle(Event::TimerFired(12345)).is_empty());
    assert!(harness.handle(Event::JobProgress(RequestId(99), 3, JobProgress::Fraction(f64::NAN))).is_empty());
    assert!(harness.handle(Event::PeerMessage(PeerId(7), vec![255; 300])).is_empty());
    harness.handle(Event::ProbeEnded { worker: WorkerId(77), result });
    let id = RequestId(5);
    let unknown_class = Request { class: ClassId(9), ..Request::new(id, ClassId(9), S) };
    assert_eq!(final_answers(&harness.handle(Event::Request(unknown_class))).len(), 1);
    let invalid_request =
        Request { slots: f64::NAN, tenant: Some(TenantId(4)), ..Request::new(RequestId(6), ClassId(0), S) };
    harness.handle(Event::Request(invalid_request));
    harness.handle(Event::AttemptEnded { id: RequestId(6), attempt: 0, result });
    let (id, actions) = harness.request(3 * S);
    assert_eq!(sent_to(&actions).len(), 1);
    harness.update_list(ListKind::Complete, &[]);
    harness.end_attempt(id, 0, Outcome::Error);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(20));
        let mut all_actions = Vec::new();
        for i in 0..300 {
            harness.now += 7 * MS;
            let (id, actions) = harness.request(4 * S);
            all_actions.extend(actions);
            let outcome = if i % 5 == 0 { Outcome::Error } else { Outcome::Served };
            all_actions.extend(harness.end_attempt(id, 0, outcome));
        }
        all_actions
    };
    assert_eq!(run(), run());
}

// ---- choice of a worker

#[test]
fn failing_workers_are_avoided() {
    let mut harness = Harness::new(test_settings(Idempotency::AtMostOnce), &workers(4));
    let mut failed = 0;
    for _ in 0..100 {
        harness.now += 20 * MS;
        let (id, actions) = harness.request(4 * S);
        let fails = sent_to(&actions)[0] == WorkerId(1);
        failed += usize::from(fails);
        harness.end_attempt(id, 0, if fails { Outcome::Error } else { Outcome::Served });
    }
    assert!(failed <= 10, "{failed} of 100 jobs were sent to the failing worker");
}

#[test]
fn the_own_zone_is_preferred_if_crossing_zones_costs() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.costs.cross_zone = 0.1;
    let mut list = workers(8);
    list.iter_mut().take(4).for_each(|w| w.zone = ZoneId(1));
    let mut harness = Harness::new(settings, &list);
    for _ in 0..20 {
        let (id, actions) = harness.request(4 * S);
        assert!(sent_to(&actions)[0].0 > 4);
        harness.end_attempt(id, 0, Outcome::Served);
    }
}

#[test]
fn workers_that_accept_jobs_without_responding_are_avoided() {
    let settings = Settings { free_slots_reported: true, ..test_settings(Idempotency::Idempotent) };
    let mut harness = Harness::new(settings, &workers(3));
    // So many free slots that a few jobs in flight hardly count as load.
    let report = LoadReport { in_flight: Some(0.0), free_slots: Some(90.0), ..LoadReport::default() };
    let mut late_jobs = 0;
    for i in 0..150 {
        harness.now += 50 * MS;
        let (id, actions) = harness.request(60 * S);
        let silent = sent_to(&actions)[0] == WorkerId(1);
        late_jobs += usize::from(silent && i >= 90);
        // The worker is the fastest one until it stops responding.
        if !silent || i < 40 {
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: if silent { 30 } else { 100 } * MS,
                request_finished: true,
                load_report: Some(report),
            };
            harness.handle(Event::AttemptEnded { id, attempt: 0, result });
        }
    }
    assert!(late_jobs <= 5, "{late_jobs} jobs were sent after seconds without a response");
}

#[test]
fn tenants_within_their_quota_keep_their_share_at_a_busy_dispatcher() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.dispatcher_count = 10;
    settings.over_share_worth = 0.05;
    settings.free_slots_reported = true;
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }; 3];
    let mut harness = Harness::new(settings, &workers(1));
    let idle_report = LoadReport { in_flight: Some(0.0), free_slots: Some(4.0), ..LoadReport::default() };
    let busy_report = LoadReport { in_flight: Some(3.0), free_slots: Some(1.0), ..LoadReport::default() };
    let (mut refused, mut last_id) = ([0; 3], 1000);
    for i in 0..2000u64 {
        harness.now += 10 * MS;
        // Two tenants with 20 requests per second each, four times an equal part of their quota, and one with
        // 60.
        let tenant = [0, 1, 2, 2, 2][i as usize % 5];
        last_id += 1;
        let request =
            Request { tenant: Some(TenantId(tenant)), ..Request::new(RequestId(last_id), ClassId(0), 4 * S) };
        let mut actions = harness.handle(Event::Request(request));
        actions.extend(harness.handle(Event::TimerFired(2)));
        for action in &actions {
            match action {
                Action::Refuse { id, .. } => refused[[0, 1, 2, 2, 2][(id.0 - 1001) as usize % 5]] += 1,
                Action::Send { id, .. } => {
                    let result = AttemptResult {
                        outcome: Outcome::Served,
                        latency: 100 * MS,
                        request_finished: true,
                        load_report: Some(if i == 0 { idle_report } else { busy_report }),
                    };
                    harness.handle(Event::AttemptEnded { id: *id, attempt: 0, result });
                }
                _ => {}
            }
        }
    }
    assert!(refused[2] > 600 && refused[0] + refused[1] < 280, "{refused:?}");
}

#[test]
fn group_members_announce_their_sends_and_spread_over_the_workers() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.limits.peer_messages = true;
    settings.dispatcher_count = 2;
    let mut pair: Vec<Harness> = (0..2)
        .map(|sender| {
            let settings = Settings { own_id: PeerId(sender), ..settings.clone() };
            Harness {
                dispatcher: Dispatcher::new(settings, u64::from(sender)),
                now: S,
                last_id: u64::from(sender) * 1000,
            }
        })
        .collect();
    let mut used_workers = Vec::new();
    for sender in 0..2 {
        let actions = pair[sender].update_list(ListKind::Persisted, &workers(8));
        let Some(Action::SendToPeers(Recipient::All, hello)) = actions.first() else { panic!("{actions:?}") };
        pair[1 - sender].handle(Event::PeerMessage(PeerId(sender as u32), hello.clone()));
    }
    for i in 0..8 {
        let sender = i % 2;
        let (_, actions) = pair[sender].request(4 * S);
        used_workers.extend(sent_to(&actions));
        for action in actions {
            if let Action::SendToPeers(Recipient::One(recipient), bytes) = action {
                assert_eq!(recipient, PeerId(1 - sender as u32));
                pair[1 - sender].handle(Event::PeerMessage(PeerId(sender as u32), bytes));
            }
        }
    }
    used_workers.sort();
    used_workers.dedup();
    assert!(used_workers.len() >= 7, "eight jobs of two dispatchers were sent to {used_workers:?}");
}

#[test]
fn workers_are_probed_where_load_is_reported_on_probe_and_the_free_one_is_used() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.limits.probing = true;
    settings.load_reporting = LoadReporting::OnProbe;
    settings.free_slots_reported = true;
    let mut sent_to_free_worker = 0;
    for seed in 0..20 {
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), seed), now: S, last_id: 0 };
        harness.update_list(ListKind::Complete, &workers(3));
        let (_, actions) = harness.request(4 * S);
        let probed: Vec<_> =
            actions.iter().filter_map(|a| if let Action::Probe(w) = a { Some(*w) } else { None }).collect();
        assert!(sent_to(&actions).is_empty() && probed.len() == 3);
        for worker in probed {
            let busy_slots = if worker == WorkerId(2) { 0.0 } else { 4.0 };
            let report = LoadReport {
                in_flight: Some(busy_slots),
                free_slots: Some(5.0 - busy_slots),
                ..LoadReport::default()
            };
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: MS,
                request_finished: false,
                load_report: Some(report),
            };
            harness.handle(Event::ProbeEnded { worker, result });
        }
        harness.now += 5 * MS;
        // Some requests explore instead.
        sent_to_free_worker += u32::from(sent_to(&harness.handle(Event::TimerFired(3))) == [WorkerId(2)]);
    }
    assert!(sent_to_free_worker >= 16, "{sent_to_free_worker} of 20");
}

#[test]
fn requests_leave_a_zone_with_long_waits() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.costs.cross_zone = 0.1;
    settings.job_starts_reported = true;
    let mut list = workers(8);
    list.iter_mut().take(4).for_each(|w| w.zone = ZoneId(1));
    let mut harness = Harness::new(settings, &list);
    let mut crossed = 0;
    for _ in 0..200 {
        harness.now += 20 * MS;
        let (id, actions) = harness.request(10 * S);
        let crosses_zone = sent_to(&actions)[0].0 <= 4;
        crossed += u32::from(crosses_zone);
        // In the own zone a job waits for three seconds before it starts, in the other zone it starts at
        // once.
        harness.now += if crosses_zone { 0 } else { 3 * S };
        harness.handle(Event::JobProgress(id, 0, JobProgress::Started));
        harness.now += 100 * MS;
        let latency = if crosses_zone { 100 * MS } else { 3100 * MS };
        let result =
            AttemptResult { outcome: Outcome::Served, latency, request_finished: true, load_report: None };
        harness.handle(Event::AttemptEnded { id, attempt: 0, result });
    }
    assert!(crossed > 20, "{crossed} jobs of 200 left the full zone");
}

#[test]
fn without_load_reports_requests_are_refused_if_waits_exceed_their_slack() {
    let mut settings = test_settings(Idempotency::AtMostOnce);
    settings.job_starts_reported = true;
    let mut harness = Harness::new(settings, &workers(2));
    let mut refused = [0, 0];
    for i in 0..120 {
        harness.now += 50 * MS;
        let (id, actions) = harness.request(30 * S);
        refused[usize::from(i >= 60)] += final_answers(&actions).len();
        if !sent_to(&actions).is_empty() {
            // In the second half a job waits for twenty seconds before it starts.
            harness.now += if i < 60 { 0 } else { 20 * S };
            harness.handle(Event::JobProgress(id, 0, JobProgress::Started));
            harness.now += 100 * MS;
            let latency = if i < 60 { 100 * MS } else { 20_100 * MS };
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency,
                request_finished: true,
                load_report: None,
            };
            harness.handle(Event::AttemptEnded { id, attempt: 0, result });
        }
    }
    assert!(refused[0] == 0 && refused[1] > 20, "{refused:?}");
}

#[test]
fn usage_announced_by_peers_counts_in_slots_and_load_reports_add_nothing() {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.load_reporting, settings.free_slots_reported) = (LoadReporting::Inline, true);
    (settings.dispatcher_count, settings.limits.peer_messages) = (2, true);
    let mut sent_to_reported = 0;
    for seed in 0..40 {
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), seed), now: S, last_id: 0 };
        harness.update_list(ListKind::Complete, &workers(2));
        harness.handle(Event::PeerMessage(PeerId(1), Message::HelloReply(ZoneId(0), Vec::new()).encode()));
        let reported = |taken: f64| {
            Some(LoadReport {
                in_flight: Some(taken),
                free_slots: Some(4.0 - taken),
                ..LoadReport::default()
            })
        };
        let mut last = WorkerId(0);
        for taken in [0.0, 0.0, 3.0] {
            let (id, actions) = harness.request(4 * S);
            last = sent_to(&actions)[0];
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: 100 * MS,
                request_finished: true,
                load_report: reported(taken),
            };
            harness.handle(Event::AttemptEnded { id, attempt: 0, result });
        }
        // The jobs in the last report have ended.
        let (id, actions) = harness.request(4 * S);
        sent_to_reported += u32::from(sent_to(&actions)[0] == last);
        harness.end_attempt(id, 0, Outcome::Served);
        let usage = SlotUsage { worker: last, slots: 4, sequence: 7, failed: false };
        harness.handle(Event::PeerMessage(PeerId(1), Message::SlotUsage(usage).encode()));
        // A duplicate, and an earlier message that arrives late.
        harness.handle(Event::PeerMessage(PeerId(1), Message::SlotUsage(usage).encode()));
        let outdated = SlotUsage { slots: 0, sequence: 6, ..usage };
        harness.handle(Event::PeerMessage(PeerId(1), Message::SlotUsage(outdated).encode()));
        // The usage lasts until the peer restarts.
        harness.now += 2 * S;
        let (id, actions) = harness.request(4 * S);
        assert_ne!(sent_to(&actions)[0], last);
        harness.end_attempt(id, 0, Outcome::Served);
        harness.handle(Event::PeerMessage(PeerId(1), Message::Hello(ZoneId(0)).encode()));
        let picks: Vec<_> = (0..5).flat_map(|_| sent_to(&harness.request(4 * S).1)).collect();
        assert!(picks.contains(&last));
    }
    assert!((10..=30).contains(&sent_to_reported), "{sent_to_reported} of 40");
}

/// A worker whose next job needs more slots than are free is full, however many slots are free. If its queued
/// jobs counted as slots, its estimated size would grow with its queue.
#[test]
fn jobs_queued_behind_a_large_one_are_not_counted_as_slots() {
    let settings = Settings {
        load_reporting: LoadReporting::Inline,
        free_slots_reported: true,
        ..test_settings(Idempotency::Idempotent)
    };
    let mut harness = Harness::new(settings, &workers(1));
    let large = Request { slots: 4.0, ..Request::new(RequestId(1000), ClassId(0), 4 * S) };
    harness.handle(Event::Request(large));
    let load_report = |in_flight: f64, free: f64| {
        Some(LoadReport { in_flight: Some(in_flight), free_slots: Some(free), ..LoadReport::default() })
    };
    let end_attempt = |harness: &mut Harness, id, load_report| {
        let result = AttemptResult {
            outcome: Outcome::Served,
            latency: 100 * MS,
            request_finished: true,
            load_report,
        };
        harness.handle(Event::AttemptEnded { id, attempt: 0, result });
    };
    end_attempt(&mut harness, RequestId(1000), load_report(0.0, 5.0));
    for _ in 0..20 {
        let (id, actions) = harness.request(4 * S);
        assert_eq!(sent_to(&actions).len(), 1);
        // Two jobs run, three of five slots are free, and twelve jobs wait behind one that needs four slots.
        end_attempt(&mut harness, id, load_report(14.0, 3.0));
    }
    let sent = (0..12).filter(|_| !sent_to(&harness.request(4 * S).1).is_empty()).count();
    assert!((4..=5).contains(&sent), "{sent} jobs were sent to a worker with five slots");
}

/// When all dispatchers start at once, messages cross and are lost, and full workers never show their size.
#[test]
fn new_dispatchers_know_peers_from_the_settings_and_worker_sizes_from_peers() {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.load_reporting, settings.free_slots_reported) = (LoadReporting::Inline, true);
    (settings.dispatcher_count, settings.zone_count, settings.limits.peer_messages) = (3, 1, true);
    let mut harness = Harness::new(settings.clone(), &workers(1));
    let (_, actions) = harness.request(4 * S);
    let to_peer = |a: &&Action| matches!(a, Action::SendToPeers(Recipient::One(_), _));
    assert_eq!(
        actions.iter().filter(to_peer).count(),
        2,
        "both peers are informed of a job before they have sent a message"
    );

    let mut sent = [0; 2];
    for (with_replies, sent) in sent.iter_mut().enumerate() {
        let mut harness = Harness::new(settings.clone(), &workers(1));
        if with_replies == 1 {
            harness.handle(Event::PeerMessage(PeerId(1), Message::HelloReply(ZoneId(0), vec![24]).encode()));
            // The size in the first reply is used, that in the second one ignored.
            harness.handle(Event::PeerMessage(PeerId(2), Message::HelloReply(ZoneId(0), vec![80]).encode()));
        }
        *sent = (0..20).filter(|_| !sent_to(&harness.request(4 * S).1).is_empty()).count();
    }
    assert_eq!(sent, [20, 3], "without replies, and with one of three slots");

    // It sends the sizes that it has learned to peers that start later.
    let mut harness = Harness::new(settings, &workers(1));
    let (id, _) = harness.request(4 * S);
    let report = Some(LoadReport { in_flight: Some(0.0), free_slots: Some(5.0), ..LoadReport::default() });
    let result = AttemptResult {
        outcome: Outcome::Served,
        latency: 100 * MS,
        request_finished: true,
        load_report: report,
    };
    harness.handle(Event::AttemptEnded { id, attempt: 0, result });
    harness.now += S;
    let actions = harness.handle(Event::PeerMessage(PeerId(2), Message::Hello(ZoneId(0)).encode()));
    let reply = Message::HelloReply(ZoneId(0), vec![40]).encode();
    assert!(actions.contains(&Action::SendToPeers(Recipient::One(PeerId(2)), reply)), "{actions:?}");
}

/// A dispatcher that is killed announces no end of its jobs. If its usage counted on, workers would look full
/// for a minute.
#[test]
fn usage_of_a_peer_is_dropped_once_it_is_unusually_silent() {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.load_reporting, settings.free_slots_reported) = (LoadReporting::Inline, true);
    (settings.dispatcher_count, settings.zone_count, settings.limits.peer_messages) = (3, 1, true);
    let mut harness = Harness::new(settings, &workers(1));
    harness.handle(Event::PeerMessage(PeerId(1), Message::HelloReply(ZoneId(0), vec![32]).encode()));
    let mut sequence = 0;
    let mut announce = |harness: &mut Harness, peer: u32, slots| {
        sequence += 1;
        let usage = SlotUsage { worker: WorkerId(1), slots, sequence, failed: false };
        harness.handle(Event::PeerMessage(PeerId(peer), Message::SlotUsage(usage).encode()));
    };
    let mut sent_steps = Vec::new();
    for step in 0..80 {
        harness.now += 100 * MS;
        announce(&mut harness, 2, 0);
        if step < 40 {
            announce(&mut harness, 1, 4);
        }
        let (id, actions) = harness.request(50 * MS);
        if !sent_to(&actions).is_empty() {
            sent_steps.push(step);
            harness.end_attempt(id, 0, Outcome::Served);
        }
        harness.now += 60 * MS;
        harness.handle(Event::TimerFired(2));
    }
    // Its messages came every 160 ms, so it counts as ended after about 2.3 s, 15 steps, and not before 1 s.
    let first = sent_steps.first().copied().unwrap_or(usize::MAX);
    assert!((47..=60).contains(&first), "the worker is used again from step {first}: {sent_steps:?}");
    assert!(sent_steps.len() > 15, "{sent_steps:?}");
}

/// The load of workers outside the own group is known late. If every job left a full group, queues outside
/// would grow until all answers are late.
#[test]
fn jobs_leave_a_full_group_as_often_as_recent_ones_found_room_outside() {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.load_reporting, settings.free_slots_reported) = (LoadReporting::Inline, true);
    (settings.dispatcher_count, settings.zone_count, settings.limits.peer_messages) = (32, 1, true);
    let jobs_outside_group = |wait: Nanos| {
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), 5), now: S, last_id: 0 };
        harness.update_list(ListKind::Complete, &workers(32));
        for peer in 1..32 {
            harness.handle(Event::PeerMessage(
                PeerId(peer),
                Message::HelloReply(ZoneId(0), Vec::new()).encode(),
            ));
        }
        let (mut group_workers, mut outside) = (std::collections::BTreeSet::new(), 0);
        for i in 0..400 {
            let (id, mut actions) = harness.request(4 * S);
            while sent_to(&actions).is_empty() && final_answers(&actions).is_empty() {
                harness.now += 20 * MS;
                actions = harness.handle(Event::TimerFired(2));
            }
            let Some(&worker) = sent_to(&actions).last() else { continue };
            outside += u32::from(i >= 200 && !group_workers.contains(&worker));
            if i < 120 {
                group_workers.insert(worker);
            }
            harness.now += wait;
            harness.handle(Event::JobProgress(id, 0, JobProgress::Started));
            // A peer announces that the group is full, from the 120th job on.
            for &worker in group_workers.iter().filter(|_| i >= 120) {
                let usage = SlotUsage { worker, slots: 9, sequence: i as u16, failed: false };
                harness.handle(Event::PeerMessage(PeerId(1), Message::SlotUsage(usage).encode()));
            }
            harness.now += 100 * MS;
            let report =
                Some(LoadReport { in_flight: Some(0.0), free_slots: Some(4.0), ..LoadReport::default() });
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: 100 * MS + wait,
                request_finished: true,
                load_report: report,
            };
            harness.handle(Event::AttemptEnded { id, attempt: 0, result });
        }
        assert!(
            (10..=11).contains(&group_workers.len()),
            "a group has a third of 32 workers: {group_workers:?}"
        );
        outside
    };
    let (with_room, without_room) = (jobs_outside_group(0), jobs_outside_group(200 * MS));
    assert!(with_room > 60, "{with_room} of 200 jobs left the group for workers with room");
    assert!(
        without_room < with_room / 2,
        "{without_room} of 200 jobs left for workers without room, {with_room} for workers with room"
    );
}

/// Dispatchers without contact to each other count only their own jobs and would all fill the same queues. Each
/// uses its share of recent traffic and refuses the rest before the latency objective has passed.
#[test]
fn isolated_dispatchers_use_their_own_share_and_refuse_the_rest_early() {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.load_reporting, settings.free_slots_reported) = (LoadReporting::Inline, true);
    (settings.dispatcher_count, settings.zone_count, settings.limits.peer_messages) = (12, 1, true);
    settings.limits.max_retry_after = 2 * S;
    let jobs_sent = |silent: bool, request_every: u32| {
        let mut harness =
            Harness { dispatcher: Dispatcher::new(settings.clone(), 5), now: 1_800_000_000 * S, last_id: 0 };
        harness.update_list(ListKind::Complete, &workers(8));
        let free = LoadReport { in_flight: Some(0.0), free_slots: Some(4.0), ..LoadReport::default() };
        let served = AttemptResult {
            outcome: Outcome::Served,
            latency: 100 * MS,
            request_finished: true,
            load_report: Some(free),
        };
        for i in 0..600u32 {
            harness.now += 5 * MS;
            let usage = SlotUsage {
                worker: WorkerId(u64::from(i % 8) + 1),
                slots: 0,
                sequence: i as u16,
                failed: false,
            };
            harness.handle(Event::PeerMessage(PeerId(1 + i % 11), Message::SlotUsage(usage).encode()));
            let mut actions = if i % request_every == 0 { harness.request(4 * S).1 } else { Vec::new() };
            while let Some(action) = actions.pop() {
                if let Action::Send { id, .. } = action {
                    actions.extend(harness.handle(Event::AttemptEnded { id, attempt: 0, result: served }));
                }
            }
        }
        harness.now += if silent { 2 * S } else { 5 * MS };
        let (mut sent, mut refused, start) = (0, 0, harness.now);
        harness.handle(Event::TimerFired(2));
        for _ in 0..30 {
            sent += sent_to(&harness.request(4 * S).1).len();
        }
        for _ in 0..60 {
            harness.now += 20 * MS;
            let actions = harness.handle(Event::TimerFired(2));
            sent += sent_to(&actions).len();
            let refusal = |a: &&Action| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0);
            refused += actions.iter().filter(refusal).count();
            assert!(refused == 0 || harness.now > start + 100 * MS);
        }
        assert_eq!(
            sent + refused,
            30,
            "requests that are not sent are refused within their latency objective"
        );
        sent
    };
    // Of 8 workers with 4 slots a twelfth is 2.7 and a third 10.7, each with room for random variation.
    let (twelfth, third, connected) = (jobs_sent(true, 20), jobs_sent(true, 4), jobs_sent(false, 20));
    assert!((3..=7).contains(&twelfth), "{twelfth} jobs sent with a twelfth of the traffic");
    assert!((9..=17).contains(&third), "{third} jobs sent with a third of the traffic");
    assert!(connected >= 18, "{connected} jobs sent with the others connected");
}

#[test]
fn jobs_wait_at_the_dispatcher_while_the_only_worker_is_full() {
    let settings = Settings {
        load_reporting: LoadReporting::Inline,
        free_slots_reported: true,
        ..test_settings(Idempotency::Idempotent)
    };
    let mut harness = Harness::new(settings, &workers(1));
    let free = LoadReport { in_flight: Some(0.0), free_slots: Some(5.0), ..LoadReport::default() };
    let (id, _) = harness.request(4 * S);
    let served = AttemptResult {
        outcome: Outcome::Served,
        latency: 100 * MS,
        request_finished: true,
        load_report: Some(free),
    };
    harness.handle(Event::AttemptEnded { id, attempt: 0, result: served });
    let sent: Vec<_> = (0..5).map(|_| harness.request(4 * S)).collect();
    assert!(sent.iter().all(|(_, actions)| sent_to(actions).len() == 1));
    assert!(sent_to(&harness.request(4 * S).1).is_empty());
    assert_eq!(sent_to(&harness.end_attempt(sent[0].0, 0, Outcome::Served)).len(), 1);
}

#[test]
fn workers_that_fail_most_jobs_are_avoided_although_they_serve_some() {
    let mut harness = Harness::new(test_settings(Idempotency::AtMostOnce), &workers(1));
    for i in 0..6 {
        let (id, _) = harness.request(4 * S);
        harness.end_attempt(id, 0, if i < 4 { Outcome::Error } else { Outcome::Served });
    }
    harness.update_list(ListKind::Complete, &workers(2));
    for _ in 0..8 {
        assert_eq!(sent_to(&harness.request(4 * S).1), [WorkerId(2)]);
    }
}

/// With few workers none may be within a fixed affinity range of a key. Its jobs must not wait while all
/// workers are idle.
#[test]
fn jobs_with_an_affinity_key_are_sent_at_once_if_workers_are_idle() {
    for n in [1, 2, 3, 5, 10, 14, 30] {
        let mut harness =
            Harness::new(Settings { zone_count: 1, ..test_settings(Idempotency::Idempotent) }, &workers(n));
        let mut same_worker = 0;
        for key in 0..200 {
            let mut sent_workers = Vec::new();
            for _ in 0..2 {
                let key = Some(AffinityKey(key * 0x9e37_79b9));
                let (id, actions) = harness.request_with(5 * S, |r| r.affinity_key = key);
                let workers_of_job = sent_to(&actions);
                assert_eq!(workers_of_job.len(), 1, "key {key:?} with {n} workers");
                harness.end_attempt(id, 0, Outcome::Served);
                sent_workers.extend(workers_of_job);
            }
            same_worker += u64::from(sent_workers[0] == sent_workers[1]);
        }
        // Jobs with the same key are sent to the same worker.
        assert!(n < 10 || same_worker >= 120, "{same_worker} of 200 keys had one of {n} workers");
    }
}

// ---- learned state and settings

/// Learned state is passed to the next process by worker ids and class names. So is the budget of cold
/// workers, or it would be spent twice.
#[test]
fn learned_state_is_restored_and_cold_budgets_are_not_spent_twice() {
    let mut settings = test_settings(Idempotency::Idempotent);
    settings.obligations.overload_factor = 1.0;
    let cold = |id: u64| Worker { started_at: S, ..Worker::new(WorkerId(id)) };
    let mut old = Harness::new(settings.clone(), &workers(2));
    // The first worker fails all jobs.
    for _ in 0..40 {
        old.now += 20 * MS;
        let (id, actions) = old.request(4 * S);
        let outcome = if sent_to(&actions) == [WorkerId(1)] { Outcome::Error } else { Outcome::Served };
        let retried = old.end_attempt(id, 0, outcome);
        if !sent_to(&retried).is_empty() {
            old.end_attempt(id, 1, Outcome::Served);
        }
    }
    let names = |classes: &[&str]| raw_settings::SettingNames {
        classes: classes.iter().map(|c| c.to_string()).collect(),
        zones: vec!["z".into(), "y".into()],
        kinds: vec!["k".into()],
        ..raw_settings::SettingNames::default()
    };
    // Serialized, as between processes, and restored under settings with an additional first class.
    let text = serde_json::to_string(&old.dispatcher.learned_state()).unwrap();
    let learned: LearnedState = serde_json::from_str(&text).unwrap();
    let learned = learned.remapped(&names(&["view"]), &names(&["other", "view"]));
    settings.classes.insert(0, settings.classes[0].clone());
    let picks_of_failing_worker = |learned: Option<LearnedState>| {
        let mut new = Harness::new(settings.clone(), &workers(2));
        new.now = old.now;
        learned.into_iter().for_each(|learned| new.dispatcher.restore(learned));
        let picks = (0..20).filter(|_| {
            let (id, actions) = new.request_with(4 * S, |r| r.class = ClassId(1));
            new.end_attempt(id, 0, Outcome::Served);
            sent_to(&actions) == [WorkerId(1)]
        });
        picks.count()
    };
    let (restored, fresh) = (picks_of_failing_worker(Some(learned)), picks_of_failing_worker(None));
    assert!(
        restored <= 3 && fresh >= 5,
        "jobs sent to the failing worker: {restored} with restored state, {fresh} without"
    );

    // Short jobs, so that the cold worker gets several.
    settings.classes[0].latency_objective = 20 * MS;
    let mut old = Harness::new(settings.clone(), &[cold(7)]);
    let count_sent =
        |harness: &mut Harness| (0..50).filter(|_| !sent_to(&harness.request(4 * S).1).is_empty()).count();
    old.now += 2 * S;
    let sent_before = count_sent(&mut old);
    let mut new = Harness::new(settings.clone(), &[cold(7)]);
    new.now = old.now;
    new.dispatcher.restore(old.dispatcher.learned_state());
    let sent_after = count_sent(&mut new);
    assert!(
        sent_before > 0 && sent_after == 0,
        "{sent_before} jobs sent to a cold worker, and {sent_after} more after the restart"
    );
}

#[test]
fn new_settings_keep_learned_state_and_open_requests_keep_their_class() {
    let mut harness = Harness::new(test_settings(Idempotency::Idempotent), &workers(2));
    for _ in 0..40 {
        harness.now += 20 * MS;
        let (id, actions) = harness.request(4 * S);
        let outcome = if sent_to(&actions) == [WorkerId(1)] { Outcome::Error } else { Outcome::Served };
        if !sent_to(&harness.end_attempt(id, 0, outcome)).is_empty() {
            harness.end_attempt(id, 1, Outcome::Served);
        }
    }
    let (open, actions) = harness.request(4 * S);
    let open_worker = sent_to(&actions)[0];
    // The class changes while it has an open request, which keeps the old class.
    let mut new_settings = test_settings(Idempotency::Idempotent);
    new_settings
        .classes
        .push(Class { idempotency: Idempotency::AtMostOnce, ..new_settings.classes[0].clone() });
    new_settings.limits.max_attempts = 1;
    harness.handle(Event::SettingsChanged(
        Box::new(new_settings.clone()),
        vec![ClassOrigin::Kept, ClassOrigin::LearnedFrom(ClassId(0))],
    ));
    assert_ne!(
        sent_to(&harness.end_attempt(open, 0, Outcome::Reset)),
        [open_worker],
        "an idempotent request is retried at another worker"
    );
    assert!(
        !final_answers(&harness.end_attempt(open, 1, Outcome::Served))
            .iter()
            .any(|a| matches!(a, Action::Fail(_)))
    );
    harness.now += 30 * S;
    let mut failing = 0;
    for _ in 0..20 {
        let (id, actions) = harness.request_with(4 * S, |r| r.class = ClassId(1));
        failing += usize::from(sent_to(&actions) == [WorkerId(1)]);
        harness.end_attempt(id, 0, Outcome::Served);
    }
    assert!(failing <= 6, "{failing} of 20 jobs sent to the worker that the old class had learned to avoid");
    // The new class doesn't allow to retry a request that may have run.
    let (id, _) = harness.request_with(4 * S, |r| r.class = ClassId(1));
    assert_eq!(final_answers(&harness.end_attempt(id, 0, Outcome::Reset)), [&Action::Fail(id)]);
}

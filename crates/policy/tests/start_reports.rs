//! Decisions without inline load reports: from reported job starts, hints of the work, and probes.

mod harness;

use harness::*;
use loomlb_policy::*;

/// Settings with reported job starts, and with load reports on probes of this cost.
fn start_reporting_settings(probe_cost: f64) -> Settings {
    let mut settings = test_settings(Idempotency::Deduplicated(DedupScope::Zone));
    (settings.load_reporting, settings.job_starts_reported, settings.free_slots_reported) =
        (LoadReporting::OnProbe, true, true);
    (settings.limits.probing, settings.costs.probe) = (true, probe_cost);
    settings
}

/// Returns a function that adds a hint of the work to a request.
fn with_expected_work(work: Nanos) -> impl Fn(&mut Request) {
    move |r| r.expected_work = Some(work)
}

/// Serves a job that starts after `wait` and runs for `run_time`.
fn run_to_completion(harness: &mut Harness, id: RequestId, wait: Nanos, run_time: Nanos) -> Vec<Action> {
    harness.now += wait;
    harness.handle(Event::JobProgress(id, 0, JobProgress::Started));
    harness.now += run_time;
    let result = AttemptResult {
        outcome: Outcome::Served,
        latency: wait + run_time,
        request_finished: true,
        load_report: None,
    };
    harness.handle(Event::AttemptEnded { id, attempt: 0, result })
}

/// Without known slots every worker seems to have room, and all answers would be late.
#[test]
fn jobs_are_sent_only_to_workers_where_they_will_end_in_time() {
    let mut harness = Harness::new(start_reporting_settings(1.0), &workers(1));
    let (id, actions) = harness.request_with(5 * S, with_expected_work(400 * MS));
    assert_eq!(sent_to(&actions).len(), 1);
    run_to_completion(&mut harness, id, 5 * MS, 400 * MS);
    // This job waits for 2 s before it starts, so the next one would be late.
    let (id, _) = harness.request_with(5 * S, with_expected_work(400 * MS));
    run_to_completion(&mut harness, id, 2 * S, 400 * MS);
    let (late, actions) = harness.request_with(5 * S, with_expected_work(400 * MS));
    assert!(sent_to(&actions).is_empty(), "{actions:?}");
    // It waits only until its latest start.
    let mut actions = Vec::new();
    for _ in 0..40 {
        harness.now += 20 * MS;
        actions.extend(harness.handle(Event::TimerFired(2)));
    }
    assert!(matches!(final_answers(&actions)[..], [Action::Refuse { id, .. }] if *id == late), "{actions:?}");
    // The queue has drained, and without a hint the end of a job is not estimated.
    assert_eq!(sent_to(&harness.request_with(5 * S, |_| ()).1).len(), 1);
}

/// After one slow job a worker must not be avoided for ever.
#[test]
fn slow_workers_are_tried_again_after_a_while() {
    let mut harness = Harness::new(start_reporting_settings(1.0), &workers(1));
    for _ in 0..8 {
        let (id, actions) = harness.request_with(5 * S, with_expected_work(400 * MS));
        assert_eq!(sent_to(&actions).len(), 1);
        run_to_completion(&mut harness, id, 5 * MS, 400 * MS);
    }
    while let (id, actions) = harness.request_with(5 * S, with_expected_work(400 * MS))
        && !sent_to(&actions).is_empty()
    {
        run_to_completion(&mut harness, id, 5 * MS, 2 * S);
    }
    harness.now += 12 * S;
    assert_eq!(sent_to(&harness.request_with(5 * S, with_expected_work(400 * MS)).1).len(), 1);
}

/// A process that shuts down answers sooner. That must not look like a client that has been waiting, whose
/// requests are refused.
#[test]
fn a_shutdown_is_no_sign_that_clients_have_been_waiting() {
    let mut harness = Harness::new(start_reporting_settings(1.0), &workers(2));
    let (id, _) = harness.request_with(6 * S, with_expected_work(300 * MS));
    run_to_completion(&mut harness, id, 5 * MS, 300 * MS);
    let with_shutdown = |r: &mut Request| (r.expected_work, r.answer_within) = (Some(300 * MS), Some(2 * S));
    let (_, actions) = harness.request_with(6 * S, with_shutdown);
    let Some(Action::Send { timeout, .. }) = actions.iter().find(|a| matches!(a, Action::Send { .. })) else {
        panic!("{actions:?}")
    };
    assert!(*timeout < 2 * S, "timeout {timeout}: the answer must come before the shutdown");
    // A client with little time left has been waiting: its answer would be late.
    assert!(sent_to(&harness.request_with(2 * S, with_expected_work(300 * MS)).1).is_empty());
}

#[test]
fn the_number_of_probes_depends_on_their_cost() {
    let count_probes = |probe_cost: f64, job_starts_reported: bool| {
        let mut settings = start_reporting_settings(probe_cost);
        settings.job_starts_reported = job_starts_reported;
        let mut harness = Harness::new(settings, &workers(6));
        let probe_actions =
            |actions: Vec<Action>| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
        (0..200)
            .map(|_| probe_actions(harness.request_with(5 * S, with_expected_work(100 * MS)).1))
            .sum::<usize>()
    };
    assert_eq!(count_probes(0.0001, true), 600);
    assert!(
        (40..80).contains(&count_probes(0.01, true)),
        "three in ten requests expected: {}",
        count_probes(0.01, true)
    );
    assert!(
        (250..350).contains(&count_probes(0.01, false)),
        "more expected without reported starts: {}",
        count_probes(0.01, false)
    );
    assert_eq!(count_probes(10.0, true), 0);
}

/// The affinity range is computed over all zones, or small zones would bind a key to many workers.
#[test]
fn jobs_with_the_same_key_go_to_one_worker_even_in_small_zones() {
    let mut settings = start_reporting_settings(1.0);
    settings.zone_count = 5;
    let mut list = workers(15);
    list.iter_mut().enumerate().for_each(|(i, w)| w.zone = ZoneId(i % 5));
    let mut harness = Harness::new(settings, &list);
    let mut same_worker = 0;
    for key in 0..200u64 {
        let with_key = |r: &mut Request| {
            (r.affinity_key, r.expected_work) = (Some(AffinityKey(key * 0x9e37_79b9)), Some(100 * MS))
        };
        let mut sent_workers = Vec::new();
        for _ in 0..2 {
            let (id, actions) = harness.request_with(5 * S, with_key);
            sent_workers.push(sent_to(&actions));
            run_to_completion(&mut harness, id, 5 * MS, 100 * MS);
        }
        same_worker += usize::from(sent_workers[0] == sent_workers[1]);
    }
    assert!(same_worker >= 120, "{same_worker} of 200 keys had one worker");
}

/// A request whose connection broke must not wait for other workers of its zone while the first one is idle.
#[test]
fn deduplicated_requests_may_be_retried_at_the_same_worker_after_a_reset() {
    let mut list = workers(3);
    list.iter_mut().skip(1).for_each(|w| w.zone = ZoneId(1));
    let mut harness = Harness::new(start_reporting_settings(1.0), &list);
    let mut first_worker_jobs = 0;
    for _ in 0..40 {
        harness.now += 700 * MS;
        let (id, actions) = harness.request_with(5 * S, with_expected_work(100 * MS));
        if sent_to(&actions) != [WorkerId(1)] {
            run_to_completion(&mut harness, id, 5 * MS, 100 * MS);
            continue;
        }
        // It is the only worker of its zone, within which repeats are dropped.
        assert_eq!(sent_to(&harness.end_attempt(id, 0, Outcome::Reset)), [WorkerId(1)]);
        first_worker_jobs += 1;
        harness.end_attempt(id, 1, Outcome::Served);
    }
    assert!(first_worker_jobs >= 2, "{first_worker_jobs} jobs sent to the first worker");
}

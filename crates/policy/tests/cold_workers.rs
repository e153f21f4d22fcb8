//! The load of a cold worker when all dispatchers of a fleet want to send to it at once, also just after
//! their own restart and after a long idle time.

mod harness;

use harness::*;
use loomlb_policy::*;
use std::collections::BinaryHeap;

const WORKER: WorkerId = WorkerId(1);
/// Slots of the worker, each as fast as a standard core.
const SLOTS: f64 = 4.0;
/// When its process started.
const STARTED: Nanos = 100 * S;

/// The parameters of a fleet.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Number of dispatchers.
    dispatchers: u32,
    /// Mean work of a job, much longer than the latency objective.
    mean_work: Nanos,
    /// Number of zones. In a single zone with peer messages only one group sends to the worker.
    zone_count: usize,
    /// Time from the worker's start to a restart of all dispatchers, without learned state.
    restart_after: Nanos,
    /// Time before the worker's start during which the dispatchers run idle with the worker listed as warm.
    idle_before: Nanos,
    seed: u64,
}

impl Fleet {
    /// Time between two requests of a dispatcher. In a large fleet each may send only rarely.
    fn request_interval(self) -> usize {
        (if self.dispatchers <= 30 { 20 * MS } else { 200 * MS }) as usize
    }
}

/// Thirty dispatchers in one zone that start together with the worker.
const THIRTY_DISPATCHERS: Fleet = Fleet {
    dispatchers: 30,
    mean_work: 200 * MS,
    zone_count: 1,
    restart_after: 13 * S,
    idle_before: 0,
    seed: 1,
};

/// Returns the settings of one dispatcher.
fn fleet_settings(fleet: Fleet, dispatcher: u32) -> Settings {
    let mut settings = test_settings(Idempotency::Idempotent);
    (settings.dispatcher_count, settings.own_id, settings.zone_count) =
        (fleet.dispatchers, PeerId(dispatcher), fleet.zone_count);
    settings.limits.peer_messages = fleet.zone_count == 1;
    settings.load_reporting = LoadReporting::Inline;
    settings.free_slots_reported = true;
    settings.classes[0].latency_objective = 20 * MS;
    settings.classes[0].client_timeout = 6 * S;
    settings.obligations = Obligations {
        warm_up_time: 12 * S,
        initial_capacity_share: 0.3,
        overload_factor: 2.5,
        overload_window: 2 * S,
        list_request_interval: 10 * S,
    };
    settings
}

/// Returns a dispatcher that starts at `now`.
fn harness_started_at(fleet: Fleet, now: Nanos, dispatcher: u32) -> Harness {
    let worker = Worker { started_at: STARTED, ..Worker::new(WORKER) };
    let mut harness = Harness::new(fleet_settings(fleet, dispatcher), &[]);
    harness.dispatcher =
        Dispatcher::new(fleet_settings(fleet, dispatcher), fleet.seed * 1000 + u64::from(dispatcher) + now);
    harness.now = now;
    harness.update_list(ListKind::Persisted, &[worker]);
    harness
}

/// Returns a dispatcher that runs when the worker starts, possibly since long before.
fn harness_before_worker_start(fleet: Fleet, dispatcher: u32) -> Harness {
    if fleet.idle_before == 0 {
        return harness_started_at(fleet, STARTED, dispatcher);
    }
    let mut harness = harness_started_at(fleet, STARTED - fleet.idle_before, dispatcher);
    harness.update_list(ListKind::Complete, &[Worker::new(WORKER)]);
    harness.now = STARTED;
    harness.update_list(ListKind::Partial, &[Worker { started_at: STARTED, ..Worker::new(WORKER) }]);
    harness
}

/// Returns when jobs were sent to the worker. Every dispatcher always has a request. Running times are
/// exponentially distributed, so that a first job says little about the mean.
fn send_times(fleet: Fleet) -> Vec<Nanos> {
    let mut rng = fastrand::Rng::with_seed(fleet.seed);
    let mut harnesses: Vec<Harness> =
        (0..fleet.dispatchers).map(|dispatcher| harness_before_worker_start(fleet, dispatcher)).collect();
    let (mut send_times, mut running) = (Vec::new(), BinaryHeap::new());
    let mut restarted = false;
    for now in (STARTED..STARTED + 12 * S).step_by(fleet.request_interval()) {
        if !restarted && now >= STARTED + fleet.restart_after {
            (restarted, harnesses) = (
                true,
                (0..fleet.dispatchers).map(|dispatcher| harness_started_at(fleet, now, dispatcher)).collect(),
            );
            running.clear();
        }
        while let Some((std::cmp::Reverse(at), dispatcher, id, sent)) = running.pop() {
            if at > now {
                running.push((std::cmp::Reverse(at), dispatcher, id, sent));
                break;
            }
            let harness: &mut Harness = &mut harnesses[dispatcher as usize];
            harness.now = now;
            let report =
                Some(LoadReport { free_slots: Some(SLOTS), in_flight: Some(0.0), ..LoadReport::default() });
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: now - sent,
                request_finished: true,
                load_report: report,
            };
            harness.handle(Event::AttemptEnded { id: RequestId(id), attempt: 0, result });
        }
        for (dispatcher, harness) in harnesses.iter_mut().enumerate() {
            harness.now = now;
            let (id, actions) = harness.request(6 * S);
            if sent_to(&actions).is_empty() {
                harness.handle(Event::RequestAbandoned(id));
                continue;
            }
            send_times.push(now);
            let work = (-(1.0 - rng.f64()).ln() * fleet.mean_work as f64) as Nanos;
            running.push((std::cmp::Reverse(now + work.max(MS)), dispatcher as u32, id.0, now));
        }
    }
    send_times
}

/// Returns the largest excess over the allowed sends in an overload window, in square roots of the allowed
/// number, with that number and the sends.
fn excess(fleet: Fleet, send_times: &[Nanos]) -> (f64, f64, usize) {
    let obligations = fleet_settings(fleet, 0).obligations;
    let window = |&from: &Nanos| {
        let warmth = obligations.initial_capacity_share
            + (1.0 - obligations.initial_capacity_share) * (from - STARTED) as f64
                / obligations.warm_up_time as f64;
        let allowed = obligations.overload_factor * SLOTS * warmth * obligations.overload_window as f64
            / fleet.mean_work as f64;
        let sends =
            send_times.iter().filter(|&&at| at >= from && at < from + obligations.overload_window).count();
        ((sends as f64 - allowed - 2.0) / allowed.sqrt(), allowed, sends)
    };
    send_times.iter().map(window).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0, 0))
}

/// At most 2 root N + 2 sends beyond the N allowed ones in a window are random variation. A new dispatcher
/// doesn't know the running time of jobs: if thirty of them relied on the latency objective, or on one short
/// job, they would send several times N.
#[test]
fn thirty_dispatchers_stay_within_the_budget_of_a_cold_worker_even_after_a_restart() {
    let mut total = 0;
    for mean_work in [200 * MS, 600 * MS] {
        for zone_count in [1, 3] {
            for restart_after in [2 * S, 13 * S] {
                for seed in 1..=2 {
                    let fleet = Fleet { mean_work, zone_count, restart_after, seed, ..THIRTY_DISPATCHERS };
                    let send_times = send_times(fleet);
                    let (excess_sigmas, allowed, sends) = excess(fleet, &send_times);
                    assert!(excess_sigmas <= 2.0, "{fleet:?}: {sends} sends where {allowed:.1} are allowed");
                    total += send_times.len();
                }
            }
        }
    }
    // The worker is used nevertheless.
    assert!(total > 16 * 50, "{total}");
}

/// The budget holds for a single dispatcher as well as for nine hundred that may each hardly send a job in a
/// window.
#[test]
fn fleets_of_one_to_nine_hundred_dispatchers_stay_within_the_budget() {
    for dispatchers in [1, 2, 5, 30, 300, 900] {
        let mut total = 0;
        for (mean_work, zone_count, restart_after) in [(200 * MS, 1, 2 * S), (600 * MS, 3, 13 * S)] {
            let fleet = Fleet { dispatchers, mean_work, zone_count, restart_after, ..THIRTY_DISPATCHERS };
            let send_times = send_times(fleet);
            let (excess_sigmas, allowed, sends) = excess(fleet, &send_times);
            assert!(excess_sigmas <= 2.0, "{fleet:?}: {sends} sends where {allowed:.1} are allowed");
            total += send_times.len();
        }
        // The worker is used nevertheless.
        assert!(total > 10, "{dispatchers} dispatchers: {total} sends");
    }
}

/// A restart of the worker resets its budget, so that no credit remains from an idle time.
#[test]
fn a_worker_that_restarts_after_an_idle_time_has_no_additional_credit() {
    for dispatchers in [1, 5, 30] {
        for zone_count in [1, 3] {
            let fleet = Fleet { dispatchers, zone_count, idle_before: 90 * S, ..THIRTY_DISPATCHERS };
            let send_times = send_times(fleet);
            let (excess_sigmas, allowed, sends) = excess(fleet, &send_times);
            assert!(excess_sigmas <= 2.0, "{fleet:?}: {sends} sends where {allowed:.1} are allowed");
            assert!(send_times.len() > 10, "{fleet:?}: {} sends", send_times.len());
        }
    }
}

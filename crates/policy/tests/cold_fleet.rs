//! Cold workers under the sum of a whole fleet, from one dispatcher to nine hundred that all want to send at once, also
//! just restarted, or after a long quiet time.

mod stage;

use loomlb_policy::*;
use stage::*;
use std::collections::BinaryHeap;

const WORKER: WorkerId = WorkerId(1);
/// Slots of the worker, each as fast as the yardstick.
const SLOTS: f64 = 4.0;
/// When its process started.
const STARTED: Nanos = 100 * S;

/// What a fleet is like.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Dispatchers.
    size: u32,
    /// Mean work of a job; the classes' aim is much shorter.
    work: Nanos,
    /// Zones; in one zone with talk the worker is its group's alone.
    zones: usize,
    /// All processes start anew this long after the worker, knowing nothing.
    restart: Nanos,
    /// How long before the worker's start all processes run and know it, warm, with nothing to send.
    quiet: Nanos,
    seed: u64,
}

impl Fleet {
    /// Time between two jobs of a dispatcher. In a large fleet none may send but now and then.
    fn step(self) -> usize {
        (if self.size <= 30 { 20 * MS } else { 200 * MS }) as usize
    }
}

/// Thirty dispatchers in one zone that start with the worker.
const THIRTY: Fleet = Fleet { size: 30, work: 200 * MS, zones: 1, restart: 13 * S, quiet: 0, seed: 1 };

fn rules(fleet: Fleet, me: u32) -> Settings {
    let mut set = settings(Idempotency::Idempotent);
    (set.dispatcher_count, set.own_id, set.zone_count) = (fleet.size, PeerId(me), fleet.zones);
    set.limits.peer_messages = fleet.zones == 1;
    set.load_reporting = LoadReporting::Inline;
    set.free_slots_reported = true;
    set.classes[0].latency_objective = 20 * MS;
    set.classes[0].client_timeout = 6 * S;
    set.obligations = Obligations {
        warm_up_time: 12 * S,
        initial_capacity_share: 0.3,
        overload_factor: 2.5,
        overload_window: 2 * S,
        list_request_interval: 10 * S,
    };
    set
}

fn start(fleet: Fleet, now: Nanos, me: u32) -> Stage {
    let worker = Worker { started_at: STARTED, ..Worker::new(WORKER) };
    let mut stage = Stage::new(rules(fleet, me), &[]);
    stage.dispatcher = Dispatcher::new(rules(fleet, me), fleet.seed * 1000 + u64::from(me) + now);
    stage.now = now;
    stage.list(ListKind::Persisted, &[worker]);
    stage
}

/// A dispatcher at the worker's start, which it is told of at once; it may have known the process before for long.
fn start_before(fleet: Fleet, me: u32) -> Stage {
    if fleet.quiet == 0 {
        return start(fleet, STARTED, me);
    }
    let mut stage = start(fleet, STARTED - fleet.quiet, me);
    stage.list(ListKind::Complete, &[Worker::new(WORKER)]);
    stage.now = STARTED;
    stage.list(ListKind::Partial, &[Worker { started_at: STARTED, ..Worker::new(WORKER) }]);
    stage
}

/// When each call of the fleet reached the worker. Every dispatcher always has a job to send; jobs run for times of an
/// exponential law, so that the first one seen tells next to nothing.
fn calls(fleet: Fleet) -> Vec<Nanos> {
    let mut rng = fastrand::Rng::with_seed(fleet.seed);
    let mut all: Vec<Stage> = (0..fleet.size).map(|me| start_before(fleet, me)).collect();
    let (mut sent_at, mut ends) = (Vec::new(), BinaryHeap::new());
    let mut restarted = false;
    for now in (STARTED..STARTED + 12 * S).step_by(fleet.step()) {
        if !restarted && now >= STARTED + fleet.restart {
            (restarted, all) = (true, (0..fleet.size).map(|me| start(fleet, now, me)).collect());
            ends.clear();
        }
        while let Some((std::cmp::Reverse(at), me, id, sent)) = ends.pop() {
            if at > now {
                ends.push((std::cmp::Reverse(at), me, id, sent));
                break;
            }
            let stage: &mut Stage = &mut all[me as usize];
            stage.now = now;
            let report =
                Some(LoadReport { free_slots: Some(SLOTS), in_flight: Some(0.0), ..LoadReport::default() });
            let ended = AttemptResult {
                outcome: Outcome::Served,
                latency: now - sent,
                request_finished: true,
                load_report: report,
            };
            stage.event(Event::AttemptEnded { id: RequestId(id), attempt: 0, result: ended });
        }
        for (me, stage) in all.iter_mut().enumerate() {
            stage.now = now;
            let (id, actions) = stage.request(6 * S);
            if sent(&actions).is_empty() {
                stage.event(Event::RequestAbandoned(id));
                continue;
            }
            sent_at.push(now);
            let work = (-(1.0 - rng.f64()).ln() * fleet.work as f64) as Nanos;
            ends.push((std::cmp::Reverse(now + work.max(MS)), me as u32, id.0, now));
        }
    }
    sent_at
}

/// The most calls in a window of the rule beyond what the settings allow then, in roots of that; with what is allowed.
fn excess(fleet: Fleet, calls: &[Nanos]) -> (f64, f64, usize) {
    let rules = rules(fleet, 0).obligations;
    let window = |&from: &Nanos| {
        let warmth = rules.initial_capacity_share
            + (1.0 - rules.initial_capacity_share) * (from - STARTED) as f64 / rules.warm_up_time as f64;
        let n = rules.overload_factor * SLOTS * warmth * rules.overload_window as f64 / fleet.work as f64;
        let got = calls.iter().filter(|&&at| at >= from && at < from + rules.overload_window).count();
        ((got as f64 - n - 2.0) / n.sqrt(), n, got)
    };
    calls.iter().map(window).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0, 0))
}

/// Beyond the N calls that the settings allow in a window only 2 root N + 2 are put down to chance, whoever sent them. A
/// process that has just started knows the aim of a class and not what its jobs take; of thirty that each go by the aim, or
/// by the one short job that they have seen, a cold worker gets several times N.
#[test]
fn thirty_dispatchers_stay_within_a_cold_workers_budget_also_when_all_have_just_restarted() {
    let mut some = 0;
    for work in [200 * MS, 600 * MS] {
        for zones in [1, 3] {
            for restart in [2 * S, 13 * S] {
                for seed in 1..=2 {
                    let fleet = Fleet { work, zones, restart, seed, ..THIRTY };
                    let calls = calls(fleet);
                    let (beyond, n, got) = excess(fleet, &calls);
                    assert!(beyond <= 2.0, "{fleet:?}: {got} calls where {n:.1} are allowed");
                    some += calls.len();
                }
            }
        }
    }
    // It is used all the same.
    assert!(some > 16 * 50, "{some}");
}

/// The bound holds for a fleet of any size: it binds one dispatcher that has the worker for itself as well as nine hundred
/// of which each may hardly send a job in a window.
#[test]
fn a_cold_workers_budget_binds_fleets_of_one_to_nine_hundred_dispatchers() {
    for size in [1, 2, 5, 30, 300, 900] {
        let mut some = 0;
        for (work, zones, restart) in [(200 * MS, 1, 2 * S), (600 * MS, 3, 13 * S)] {
            let fleet = Fleet { size, work, zones, restart, ..THIRTY };
            let calls = calls(fleet);
            let (beyond, n, got) = excess(fleet, &calls);
            assert!(beyond <= 2.0, "{fleet:?}: {got} calls where {n:.1} are allowed");
            some += calls.len();
        }
        // It is used all the same.
        assert!(some > 10, "{size} dispatchers: {some} calls");
    }
}

/// What nobody sent in a long quiet time is no credit: the worker's process starts anew, and its budget with it.
#[test]
fn a_worker_that_restarts_after_a_long_quiet_time_gets_no_more_than_a_cold_workers_budget() {
    for size in [1, 5, 30] {
        for zones in [1, 3] {
            let fleet = Fleet { size, zones, quiet: 90 * S, ..THIRTY };
            let calls = calls(fleet);
            let (beyond, n, got) = excess(fleet, &calls);
            assert!(beyond <= 2.0, "{fleet:?}: {got} calls where {n:.1} are allowed");
            assert!(calls.len() > 10, "{fleet:?}: {} calls", calls.len());
        }
    }
}

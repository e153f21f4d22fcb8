//! Cold workers under the sum of a whole fleet: thirty dispatchers that all want to send at once, also just restarted.

mod stage;

use loomlb_decide::*;
use stage::*;
use std::collections::BinaryHeap;

const FLEET: u32 = 30;
const WORKER: WorkerId = WorkerId(1);
/// Slots of the worker, each as fast as the yardstick.
const SLOTS: f64 = 4.0;
/// When its process started.
const STARTED: Nanos = 100 * S;

/// What a fleet is like.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    /// Mean work of a job; the classes' aim is much shorter.
    work: Nanos,
    /// Zones; in one zone with talk the worker is its group's alone.
    zones: usize,
    /// All processes start anew this long after the worker, knowing nothing.
    restart: Nanos,
    seed: u64,
}

fn rules(fleet: Fleet, me: u32) -> Settings {
    let mut set = settings(Effect::Safe);
    (set.dispatchers, set.me, set.zones) = (FLEET, PeerId(me), fleet.zones);
    set.limits.peers = fleet.zones == 1;
    set.reports = Reports::Answers;
    set.free_slots_reported = true;
    set.classes[0].aim = 20 * MS;
    set.classes[0].deadline = 6 * S;
    set.rules = Rules { cold: 12 * S, cold_from: 0.3, fall_multiple: 2.5, fall: 2 * S, ask_within: 10 * S };
    set
}

fn start(fleet: Fleet, now: Nanos, me: u32) -> Stage {
    let worker = Worker { started: STARTED, ..Worker::new(WORKER) };
    let mut stage = Stage::new(rules(fleet, me), &[]);
    stage.dispatcher = Dispatcher::new(rules(fleet, me), fleet.seed * 1000 + u64::from(me) + now);
    stage.now = now;
    stage.list(ListKind::Persisted, &[worker]);
    stage
}

/// When each call of the fleet reached the worker. Every dispatcher always has a job to send; jobs run for times of an
/// exponential law, so that the first one seen tells next to nothing.
fn calls(fleet: Fleet) -> Vec<Nanos> {
    let mut rng = fastrand::Rng::with_seed(fleet.seed);
    let mut all: Vec<Stage> = (0..FLEET).map(|me| start(fleet, STARTED, me)).collect();
    let (mut sent_at, mut ends) = (Vec::new(), BinaryHeap::new());
    let mut restarted = false;
    for now in (STARTED..STARTED + 12 * S).step_by(20 * MS as usize) {
        if !restarted && now >= STARTED + fleet.restart {
            (restarted, all) = (true, (0..FLEET).map(|me| start(fleet, now, me)).collect());
            ends.clear();
        }
        while let Some((std::cmp::Reverse(at), me, id, sent)) = ends.pop() {
            if at > now {
                ends.push((std::cmp::Reverse(at), me, id, sent));
                break;
            }
            let stage: &mut Stage = &mut all[me as usize];
            stage.now = now;
            let report = Some(Report { free_slots: Some(SLOTS), in_flight: Some(0.0), ..Report::default() });
            let ended = Ended { outcome: Outcome::Served, latency: now - sent, closed: true, report };
            stage.event(Event::Ended { id: RequestId(id), attempt: 0, ended });
        }
        for (me, stage) in all.iter_mut().enumerate() {
            stage.now = now;
            let (id, actions) = stage.request(6 * S);
            if sent(&actions).is_empty() {
                stage.event(Event::Gone(id));
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
    let rules = rules(fleet, 0).rules;
    let window = |&from: &Nanos| {
        let warmth = rules.cold_from + (1.0 - rules.cold_from) * (from - STARTED) as f64 / rules.cold as f64;
        let n = rules.fall_multiple * SLOTS * warmth * rules.fall as f64 / fleet.work as f64;
        let got = calls.iter().filter(|&&at| at >= from && at < from + rules.fall).count();
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
                    let fleet = Fleet { work, zones, restart, seed };
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

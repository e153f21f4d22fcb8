//! Property tests of workers and random streams.

use loomlb_policy::QueueOrder;
use loomlb_simulation::seed::RandomStreams;
use loomlb_simulation::worker::{Job, JobEvent, Spec, Worker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    Offer { slots: u32, work_ms: u32 },
    Cancel(u64),
    Pause(u64),
    AddOverhead(u32),
    TakeQueued,
    Restart,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let op = prop_oneof![
        6 => (1u64..400_000_000).prop_map(Op::Wait),
        8 => (1u32..6, 1u32..300).prop_map(|(slots, work_ms)| Op::Offer { slots, work_ms }),
        2 => (1u64..60).prop_map(Op::Cancel),
        1 => (1u64..200_000_000).prop_map(Op::Pause),
        1 => (1u32..10).prop_map(Op::AddOverhead),
        1 => Just(Op::TakeQueued),
        1 => Just(Op::Restart),
    ];
    prop::collection::vec(op, 1..120)
}

fn spec(order: u8, cancel_stops_running: bool) -> Spec {
    Spec {
        cores: 4.0,
        slots: 5,
        queue: 12,
        speed: 0.9,
        order: [QueueOrder::Fifo, QueueOrder::Backfill, QueueOrder::Priority][order as usize % 3],
        thrash: 0.1,
        thrash_at: 2.0,
        initial_capacity_share: 0.2,
        warm_up_time: 2_000_000_000,
        progress_interval: 50_000_000,
        cancel_stops_running,
        connections: 100,
        overload_factor: 0.0,
        overload_window: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Slots and queue stay within their limits, time never runs backwards, a job starts before it ends and ends once,
    /// and all work done belongs to jobs that completed, were cancelled, or are running.
    #[test]
    fn a_worker_keeps_its_limits_and_accounts_for_all_work(ops in ops(), order in 0u8..3, cancel_stops_running in any::<bool>()) {
        let mut w = Worker::new(spec(order, cancel_stops_running), 0, 0);
        let (mut now, mut events, mut last_id, mut last_event_time) = (0, Vec::new(), 0, 0);
        let mut state: BTreeMap<u64, &str> = BTreeMap::new();
        for op in ops {
            match op {
                Op::Wait(t) => now += t,
                Op::Offer { slots, work_ms } => {
                    last_id += 1;
                    let (held, waiting) = (w.job_count(), w.queue_length());
                    let job = Job { id: last_id, slots, work: f64::from(work_ms) * 1e6, priority: (slots % 2) as i32 };
                    if w.offer(job, &mut events) {
                        state.insert(last_id, "waits");
                        prop_assert!(w.job_count() == held + 1);
                    } else {
                        prop_assert!(slots > 5 || waiting == 12, "rejected although the queue is not full: {slots} {waiting}");
                    }
                }
                Op::Cancel(id) => {
                    if w.cancel(id) {
                        state.remove(&id);
                    }
                }
                Op::Pause(t) => w.pause(now + t),
                Op::AddOverhead(ms) => w.add_overhead(f64::from(ms) * 1e6),
                Op::TakeQueued => w.take_queued().iter().for_each(|id| {
                    state.remove(id);
                }),
                Op::Restart => {
                    w.stop().iter().for_each(|id| {
                        state.remove(id);
                    });
                    w.start(now);
                }
            }
            w.advance(now, &mut events);
            prop_assert!(w.used_slots() <= 5 && w.queue_length() <= 12);
            prop_assert!(w.next_event_time().is_none_or(|t| t >= now));
            for (at, event) in events.drain(..) {
                prop_assert!(at >= last_event_time && at <= now, "{at} after {last_event_time}, by {now}");
                last_event_time = at;
                match event {
                    JobEvent::Started(id) => prop_assert_eq!(state.insert(id, "runs"), Some("waits")),
                    JobEvent::Progress(id, x) => prop_assert!(state[&id] == "runs" && (0.0..=1.0).contains(&x)),
                    JobEvent::Done(id) => prop_assert_eq!(state.remove(&id), Some("runs")),
                }
            }
            prop_assert_eq!(state.len(), w.job_count());
            let sum = w.finished + w.wasted + w.unfinished_work();
            prop_assert!((w.delivered - sum).abs() < 1e-3 * w.delivered.max(1.0), "{} {sum}", w.delivered);
        }
        // Without further operations the worker finishes all its jobs.
        for _ in 0..100_000 {
            let Some(t) = w.next_event_time() else { break };
            w.advance(t, &mut events);
        }
        prop_assert_eq!(w.job_count(), 0);
    }

    /// Additional draws from one stream don't change the others.
    #[test]
    fn random_streams_are_independent(seed in any::<u64>(), extra in 0usize..5) {
        let streams = RandomStreams::new(seed);
        let (mut a, mut b) = (streams.stream("a"), streams.stream("b"));
        (0..extra).for_each(|_| { a.next_u64(); });
        prop_assert_eq!(b.next_u64(), streams.stream("b").next_u64());
        prop_assert_ne!(streams.stream("a").next_u64(), streams.stream("b").next_u64());
        prop_assert_ne!(streams.numbered_stream("a", 1).next_u64(), streams.stream("a").next_u64());
    }
}

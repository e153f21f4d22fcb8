//! The cost of a decision: a request that is received, sent, started and served, with a constant number in
//! flight.

#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use loomlb_policy::*;
use std::collections::VecDeque;
use std::hint::black_box;

const MS: Nanos = 1_000_000;

/// A dispatcher with workers and requests in flight.
struct LoadedDispatcher {
    dispatcher: Dispatcher,
    in_flight: VecDeque<RequestId>,
    actions: Vec<Action>,
    now: Nanos,
    last_id: u64,
    tenants: usize,
}

impl LoadedDispatcher {
    fn new(workers: u64, tenants: usize) -> LoadedDispatcher {
        let class = Class {
            latency_objective: 150 * MS,
            objective_stretch: 2.0,
            client_timeout: 5_000 * MS,
            worth: 1.0,
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        };
        let settings = Settings {
            dispatcher_count: 1,
            zone_count: 1,
            kind_count: 1,
            tick: MS,
            classes: vec![class],
            tenants: vec![Tenant { quota_per_s: 50.0 }; tenants],
            load_reporting: LoadReporting::Inline,
            free_slots_reported: true,
            limits: Limits { max_attempts: 4, cancel: true, ..Limits::default() },
            ..Settings::default()
        };
        let mut loaded = LoadedDispatcher {
            dispatcher: Dispatcher::new(settings, 1),
            in_flight: VecDeque::new(),
            actions: Vec::new(),
            now: 1_000 * MS,
            last_id: 0,
            tenants,
        };
        let entries = (1..=workers).map(|i| Worker::new(WorkerId(i))).collect();
        loaded.handle(Event::WorkerList { kind: ListKind::Complete, entries });
        // Two requests in flight for each worker, so that workers differ in their load.
        (0..2 * workers).for_each(|_| loaded.request());
        (0..4 * workers).for_each(|_| loaded.step());
        loaded
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
    }

    fn request(&mut self) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let tenant = (self.tenants > 0).then(|| TenantId(self.last_id as usize % self.tenants));
        self.handle(Event::Request(Request { tenant, ..Request::new(id, ClassId(0), 5_000 * MS) }));
        self.in_flight.push_back(id);
    }

    /// Ends the oldest request and hands in a new one.
    fn step(&mut self) {
        self.now += MS / 4;
        if let Some(id) = self.in_flight.pop_front() {
            let report = LoadReport { in_flight: Some(2.0), free_slots: Some(3.0), ..LoadReport::default() };
            let result = AttemptResult {
                outcome: Outcome::Served,
                latency: 200 * MS,
                request_finished: true,
                load_report: Some(report),
            };
            self.handle(Event::JobProgress(id, 0, JobProgress::Started));
            self.handle(Event::AttemptEnded { id, attempt: 0, result });
        }
        self.request();
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.sample_size(10);
    group.warm_up_time(std::time::Duration::from_millis(500));
    group.measurement_time(std::time::Duration::from_secs(2));
    for (workers, tenants) in [(14, 2), (100, 2), (1_000, 2), (10_000, 2), (14, 10_000)] {
        let name = format!("{workers} workers, {tenants} tenants");
        // Created outside the closure, which is called for every sample, as a large fleet takes seconds to
        // set up.
        let mut loaded = LoadedDispatcher::new(workers, tenants);
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| {
                loaded.step();
                black_box(&loaded.actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);

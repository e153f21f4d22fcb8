//! The cost of a decision: one request fed, sent, started and served, with a steady number in flight.

#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use loomlb_policy::*;
use std::collections::VecDeque;
use std::hint::black_box;

const MS: Nanos = 1_000_000;

/// A dispatcher with its fleet, and the requests that are out.
struct Probe {
    dispatcher: Dispatcher,
    out: VecDeque<RequestId>,
    actions: Vec<Action>,
    now: Nanos,
    next: u64,
    tenants: usize,
}

impl Probe {
    fn new(workers: u64, tenants: usize) -> Probe {
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
        let mut probe = Probe {
            dispatcher: Dispatcher::new(settings, 1),
            out: VecDeque::new(),
            actions: Vec::new(),
            now: 1_000 * MS,
            next: 0,
            tenants,
        };
        let entries = (1..=workers).map(|i| Worker::new(WorkerId(i))).collect();
        probe.tell(Event::WorkerList { kind: ListKind::Complete, entries });
        // As many in flight as two for each worker, so that choices are real.
        (0..2 * workers).for_each(|_| probe.request());
        (0..4 * workers).for_each(|_| probe.step());
        probe
    }

    fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
    }

    fn request(&mut self) {
        self.next += 1;
        let id = RequestId(self.next);
        let tenant = (self.tenants > 0).then(|| TenantId(self.next as usize % self.tenants));
        self.tell(Event::Request(Request { tenant, ..Request::new(id, ClassId(0), 5_000 * MS) }));
        self.out.push_back(id);
    }

    /// The oldest request ends and a new one comes.
    fn step(&mut self) {
        self.now += MS / 4;
        if let Some(id) = self.out.pop_front() {
            let report = LoadReport { in_flight: Some(2.0), free_slots: Some(3.0), ..LoadReport::default() };
            let ended = AttemptResult {
                outcome: Outcome::Served,
                latency: 200 * MS,
                request_finished: true,
                load_report: Some(report),
            };
            self.tell(Event::JobProgress(id, 0, JobProgress::Started));
            self.tell(Event::AttemptEnded { id, attempt: 0, result: ended });
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
        // Made once: a closure is called for every sample, and a large fleet takes seconds to fill.
        let mut probe = Probe::new(workers, tenants);
        group.bench_function(BenchmarkId::from_parameter(name), |b| {
            b.iter(|| {
                probe.step();
                black_box(&probe.actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);

//! The decision module under a steady load, as `crates/policy/benches/decision.rs` drives it, and real entries of the list.

use loomlb_policy::{
    Action, AttemptResult, Class, ClassId, Dispatcher, Event, Idempotency, JobProgress, Limits, ListKind,
    LoadReport, LoadReporting, Nanos, Outcome, Request, RequestId, Settings, Tenant, TenantId, Worker,
    WorkerId,
};
use loomlb_simulation::Scenario;
use loomlb_simulation::settings::discovery_entry;
use loomlb_simulation::world::{Health, WorkerEntry, World};
use serde_json::Value;
use std::collections::VecDeque;

const MS: Nanos = 1_000_000;

/// A dispatcher with its fleet, and the requests that are out.
#[derive(Debug)]
pub struct Probe {
    /// The module.
    pub dispatcher: Dispatcher,
    /// What it did last.
    pub actions: Vec<Action>,
    out: VecDeque<RequestId>,
    now: Nanos,
    next: u64,
    tenants: usize,
}

/// Settings of one class and so many tenants, at one of so many schedulers.
fn settings(tenants: usize, schedulers: u32) -> Settings {
    let class = Class {
        latency_objective: 150 * MS,
        objective_stretch: 2.0,
        client_timeout: 5_000 * MS,
        worth: 1.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    Settings {
        dispatcher_count: schedulers,
        zone_count: 1,
        kind_count: 1,
        tick: MS,
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: 50.0 }; tenants],
        load_reporting: LoadReporting::Inline,
        free_slots_reported: true,
        limits: Limits { max_attempts: 4, cancel: true, peer_messages: schedulers > 1, ..Limits::default() },
        ..Settings::default()
    }
}

/// Workers as the module takes them.
pub fn workers(count: usize) -> Vec<Worker> {
    (1..=count as u64).map(|i| Worker::new(WorkerId(i))).collect()
}

impl Probe {
    /// A module with its whole list and nothing to do.
    pub fn idle(workers: usize, tenants: usize, schedulers: u32) -> Probe {
        let mut probe = Probe {
            dispatcher: Dispatcher::new(settings(tenants, schedulers), 1),
            actions: Vec::new(),
            out: VecDeque::new(),
            now: 1_000 * MS,
            next: 0,
            tenants,
        };
        probe.tell(Event::WorkerList { kind: ListKind::Complete, entries: self::workers(workers) });
        probe
    }

    /// The same with so many requests in flight, after as many have ended.
    pub fn busy(workers: usize, tenants: usize, schedulers: u32, in_flight: usize) -> Probe {
        let mut probe = Probe::idle(workers, tenants, schedulers);
        (0..in_flight).for_each(|_| probe.request());
        (0..in_flight).for_each(|_| probe.step());
        probe
    }

    /// Tells the module.
    pub fn tell(&mut self, event: Event) {
        self.actions.clear();
        self.dispatcher.handle(self.now, event, &mut self.actions);
    }

    /// A request comes.
    pub fn request(&mut self) {
        self.next += 1;
        let id = RequestId(self.next);
        let tenant = (self.tenants > 0).then(|| TenantId(self.next as usize % self.tenants));
        self.tell(Event::Request(Request { tenant, ..Request::new(id, ClassId(0), 5_000 * MS) }));
        self.out.push_back(id);
    }

    /// The oldest request ends. Bytes that the module had its peers told.
    pub fn end(&mut self) -> usize {
        self.now += MS / 4;
        let Some(id) = self.out.pop_front() else { return 0 };
        let report = LoadReport { in_flight: Some(2.0), free_slots: Some(3.0), ..LoadReport::default() };
        let ended = AttemptResult {
            outcome: Outcome::Served,
            latency: 200 * MS,
            request_finished: true,
            load_report: Some(report),
        };
        self.tell(Event::JobProgress(id, 0, JobProgress::Started));
        let started = self.told();
        self.tell(Event::AttemptEnded { id, attempt: 0, result: ended });
        started + self.told()
    }

    /// Bytes that the module has its peers told by its last actions.
    pub fn told(&self) -> usize {
        let told = |action: &Action| if let Action::SendToPeers(_, bytes) = action { bytes.len() } else { 0 };
        self.actions.iter().map(told).sum()
    }

    /// The oldest request ends and a new one comes.
    pub fn step(&mut self) {
        self.end();
        self.request();
    }

    /// All that is out ends.
    pub fn drain(&mut self) {
        while !self.out.is_empty() {
            self.end();
        }
        (self.out, self.actions) = (VecDeque::new(), Vec::new());
    }
}

/// A fleet of so many workers in 27 zones, as the model makes it.
pub fn world(workers: usize) -> Result<World, String> {
    let text = format!(
        "name = \"capacity\"\nabout = \"A list.\"\nseconds = 1\n[fleet]\nworkers = {workers}\nzones = 27\n[schedulers]\ncount = 1\n[load]\npart = 0.5\n"
    );
    let day = Scenario::read(&text).map_err(|e| e.to_string())?;
    Ok(World::new(day, 1, 0))
}

/// An entry of the list as discovery words it.
pub fn listed(world: &World, worker: usize) -> Value {
    // An address as long as most are in a network of this size, and the birth of a process that was started once.
    let dial =
        format!("10.{}.{}.{}:8080", 100 + worker / 40_000, 100 + worker / 150 % 150, 100 + worker % 150);
    let said = WorkerEntry { worker, health: Health::Active, weight: 1.0, started_at: 3_600_000_000_000 };
    discovery_entry(world, &said, &dial, 1_790_000_000_000)
}

//! A dispatcher on a stage of its own, for tests that play a short story through the public interface.
#![allow(dead_code)]

use loomlb_policy::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

/// Settings of one class, with the rest as a plain site would have it.
pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        dispatcher_count: 1,
        zone_count: 2,
        kind_count: 1,
        tick: MS,
        classes: vec![Class {
            latency_objective: 500 * MS,
            objective_stretch: 2.0,
            client_timeout: 5 * S,
            worth: 1.0,
            idempotency: effect,
            dedup_window: 2 * S,
            ..Class::default()
        }],
        limits: Limits { max_attempts: 4, cancel: true, hedging: true, ..Limits::default() },
        obligations: Obligations {
            warm_up_time: 8 * S,
            initial_capacity_share: 0.3,
            overload_factor: 3.0,
            overload_window: S,
            list_request_interval: 10 * S,
        },
        ..Settings::default()
    }
}

/// A dispatcher with a clock, for tests that play a short story.
pub struct Stage {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    pub next: u64,
}

impl Stage {
    pub fn new(settings: Settings, workers: &[Worker]) -> Self {
        let mut stage = Stage { dispatcher: Dispatcher::new(settings, 1), now: S, next: 0 };
        stage.list(ListKind::Persisted, workers);
        stage
    }
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        out
    }
    pub fn list(&mut self, kind: ListKind, workers: &[Worker]) -> Vec<Action> {
        self.event(Event::WorkerList { kind, entries: workers.to_vec() })
    }
    pub fn request(&mut self, remaining: Nanos) -> (RequestId, Vec<Action>) {
        self.asks(remaining, |_| ())
    }
    /// A request of the first class, as `with` has it.
    pub fn asks(&mut self, remaining: Nanos, with: impl Fn(&mut Request)) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let mut request = Request::new(id, ClassId(0), remaining);
        with(&mut request);
        (id, self.event(Event::Request(request)))
    }
    pub fn ends(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let closed = outcome == Outcome::Served;
        let ended = AttemptResult { outcome, latency: 100 * MS, request_finished: closed, load_report: None };
        self.event(Event::AttemptEnded { id, attempt, result: ended })
    }
}

pub fn workers(n: u64) -> Vec<Worker> {
    (1..=n).map(|i| Worker::new(WorkerId(i))).collect()
}

pub fn sent(actions: &[Action]) -> Vec<WorkerId> {
    actions
        .iter()
        .filter_map(|a| if let Action::Send { worker, .. } = a { Some(*worker) } else { None })
        .collect()
}

pub fn answers(actions: &[Action]) -> Vec<&Action> {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).collect()
}

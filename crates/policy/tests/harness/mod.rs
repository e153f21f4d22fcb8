//! A dispatcher with a simulated clock, for tests through the public interface.
#![allow(dead_code)]

use loomlb_policy::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

/// Returns settings with one class.
pub fn test_settings(idempotency: Idempotency) -> Settings {
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
            idempotency,
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

/// A dispatcher and its clock.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    /// The id of the last request.
    pub last_id: u64,
}

impl Harness {
    /// Starts a dispatcher with a persisted list of workers.
    pub fn new(settings: Settings, workers: &[Worker]) -> Self {
        let mut harness = Harness { dispatcher: Dispatcher::new(settings, 1), now: S, last_id: 0 };
        harness.update_list(ListKind::Persisted, workers);
        harness
    }
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, event, &mut out);
        out
    }
    pub fn update_list(&mut self, kind: ListKind, workers: &[Worker]) -> Vec<Action> {
        self.handle(Event::WorkerList { kind, entries: workers.to_vec() })
    }
    /// Hands in a request of the first class.
    pub fn request(&mut self, remaining: Nanos) -> (RequestId, Vec<Action>) {
        self.request_with(remaining, |_| ())
    }
    /// Hands in a request of the first class as changed by `change`.
    pub fn request_with(
        &mut self,
        remaining: Nanos,
        change: impl Fn(&mut Request),
    ) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let mut request = Request::new(id, ClassId(0), remaining);
        change(&mut request);
        (id, self.handle(Event::Request(request)))
    }
    /// Ends an attempt after 100 ms; a served one finishes its request.
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        let result = AttemptResult { outcome, latency: 100 * MS, request_finished, load_report: None };
        self.handle(Event::AttemptEnded { id, attempt, result })
    }
}

/// Returns workers with the ids 1 to `n`.
pub fn workers(n: u64) -> Vec<Worker> {
    (1..=n).map(|i| Worker::new(WorkerId(i))).collect()
}

/// Returns the workers to which attempts are sent.
pub fn sent_to(actions: &[Action]) -> Vec<WorkerId> {
    actions
        .iter()
        .filter_map(|a| if let Action::Send { worker, .. } = a { Some(*worker) } else { None })
        .collect()
}

/// Returns the refusals and failures.
pub fn final_answers(actions: &[Action]) -> Vec<&Action> {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).collect()
}

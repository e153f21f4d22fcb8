//! Each invariant can be violated, and the checker reports a scheduler with a defect.

use loomlb_policy::{
    Action, AttemptResult, CellId, Event, Idempotency, ListKind, Nanos, Outcome, Request, RequestId,
    Settings, Worker, WorkerId, WorkerState,
};
use loomlb_simulation::invariants::{AttemptEnd, FinalResponse, Invariant, InvariantChecker, SchedulerExit};
use loomlb_simulation::simulate::{self, Decider};
use loomlb_simulation::{FaultKind, Scenario};
use std::collections::BTreeMap;

/// The defect of a scheduler; without it the same scheduler violates no invariant.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    ForgetsRequests,
    AnswersLate,
    RepeatsUnsafe,
    RepeatsAcrossCells,
    SendsTwoCopies,
    RefusesRequestsThatRan,
    IgnoresDrains,
    OverloadsColdWorkers,
}

/// A simple scheduler: sends each job once, to the next usable worker, and reports failures.
struct SimpleScheduler {
    defect: Defect,
    settings: Settings,
    workers: BTreeMap<WorkerId, Worker>,
    /// Each request with the workers and cells that it was sent to.
    jobs: BTreeMap<RequestId, (Request, Vec<(WorkerId, CellId)>)>,
    next_worker: usize,
    now: Nanos,
}

impl SimpleScheduler {
    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (defect, now, cold) = (self.defect, self.now, self.settings.obligations.warm_up_time);
        let Some((request, sent)) = self.jobs.get_mut(&id) else { return };
        let is_cold = |w: &Worker| w.started_at > 0 && now < w.started_at + cold;
        let fresh = self.workers.values().filter(|w| sent.iter().all(|s| s.0 != w.id));
        let usable: Vec<&Worker> = match defect {
            Defect::OverloadsColdWorkers if self.workers.values().any(is_cold) => {
                self.workers.values().filter(|w| is_cold(w)).collect()
            }
            Defect::RepeatsAcrossCells => fresh.filter(|w| sent.iter().all(|s| s.1 != w.cell)).collect(),
            _ => fresh.filter(|w| !is_cold(w)).collect(),
        };
        if usable.is_empty() {
            self.jobs.remove(&id);
            return out.push(Action::Fail(id));
        }
        self.next_worker += 1;
        let to = usable[self.next_worker % usable.len()];
        sent.push((to.id, to.cell));
        out.push(Action::Send { id, worker: to.id, timeout: request.remaining.min(4_000_000_000) });
    }

    fn ended(&mut self, id: RequestId, ended: AttemptResult, out: &mut Vec<Action>) {
        let Some((request, sent)) = self.jobs.get(&id) else { return };
        if ended.request_finished || ended.outcome == Outcome::Served {
            self.jobs.remove(&id);
            return;
        }
        let effect = self.settings.classes[request.class.0].idempotency;
        let resend = ended.outcome == Outcome::Full
            || match self.defect {
                Defect::RepeatsUnsafe => effect == Idempotency::AtMostOnce,
                Defect::RepeatsAcrossCells => matches!(effect, Idempotency::Deduplicated(_)),
                _ => false,
            };
        if resend && sent.len() < self.settings.limits.max_attempts as usize {
            return self.send(id, out);
        }
        let refuses = self.defect == Defect::RefusesRequestsThatRan || ended.outcome.never_ran();
        self.jobs.remove(&id);
        out.push(if refuses { Action::Refuse { id, retry_after: 0 } } else { Action::Fail(id) });
    }
}

impl Decider for SimpleScheduler {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::WorkerList { kind, entries } => {
                for e in entries {
                    let known = self.workers.contains_key(&e.id);
                    if e.state == WorkerState::Ready {
                        self.workers.insert(e.id, e);
                    } else if self.defect != Defect::IgnoresDrains || !known || kind != ListKind::Partial {
                        self.workers.remove(&e.id);
                    }
                }
            }
            Event::Request(request) => {
                let (id, remaining) = (request.id, request.remaining);
                let forgets = self.defect == Defect::ForgetsRequests && id.0 % 7 == 0;
                if self.defect == Defect::AnswersLate {
                    return out.push(Action::SetTimer { after: remaining + 300_000_000, token: id.0 });
                }
                if !forgets {
                    self.jobs.insert(id, (request, Vec::new()));
                    self.send(id, out);
                    if self.defect == Defect::SendsTwoCopies {
                        self.send(id, out);
                    }
                }
            }
            Event::TimerFired(id) => out.push(Action::Fail(RequestId(id))),
            Event::AttemptEnded { id, result: ended, .. } => self.ended(id, ended, out),
            Event::RequestAbandoned(id) => {
                self.jobs.remove(&id);
            }
            _ => {}
        }
    }
}

fn scenario(faults: &str) -> Scenario {
    let text = format!(
        "name = \"faults\"\nseconds = 12\n[fleet]\nworkers = 12\ncell_size = 4\n[schedulers]\ncount = 2\nrestart_ms = 300\n\
         [load]\npart = 0.4\n[discovery]\nnotice_ms = [100, 300]\n[terms]\nsecond_copies = false\n{faults}"
    );
    Scenario::read(&text).unwrap()
}

const FAULTS: &str = "[[trouble]]\nkind = \"fast_errors\"\nat_s = 1\nfor_s = 6\npart = 0.4\n\
    [[trouble]]\nkind = \"drain\"\nat_s = 2\nfor_s = 5\npart = 0.2\n";
const SHUTDOWN: &str = "[[trouble]]\nkind = \"scheduler_term\"\nat_s = 5\n";

fn violated_invariants(defect: Defect, faults: &str) -> Vec<Invariant> {
    let make = move |settings: Settings, _: u64| -> Box<dyn Decider> {
        Box::new(SimpleScheduler {
            defect,
            settings,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_worker: 0,
            now: 0,
        })
    };
    let result = simulate::run_with(&scenario(faults), 5, 0, &make);
    let mut invariants: Vec<Invariant> = result.first_violations.iter().map(|v| v.invariant).collect();
    invariants.sort();
    invariants.dedup();
    for violation in &result.first_violations {
        assert!(
            violation.invariant == Invariant::ColdWorker || !violation.history.is_empty(),
            "no history: {violation}"
        );
    }
    invariants
}

#[test]
fn a_defective_scheduler_violates_the_corresponding_invariant() {
    let all_faults = format!("{FAULTS}{SHUTDOWN}");
    assert_eq!(violated_invariants(Defect::None, &all_faults), []);
    assert_eq!(violated_invariants(Defect::ForgetsRequests, ""), [Invariant::AnsweredOnce]);
    assert_eq!(violated_invariants(Defect::AnswersLate, ""), [Invariant::InTime]);
    assert_eq!(violated_invariants(Defect::RepeatsUnsafe, FAULTS), [Invariant::AtMostOnce]);
    assert_eq!(violated_invariants(Defect::RepeatsAcrossCells, FAULTS), [Invariant::KeyedRepeat]);
    // Two attempts for a job that must run once violate two invariants.
    assert!(violated_invariants(Defect::SendsTwoCopies, "").contains(&Invariant::SecondCopy));
    assert_eq!(violated_invariants(Defect::RefusesRequestsThatRan, FAULTS), [Invariant::HonestRefusal]);
    assert_eq!(violated_invariants(Defect::IgnoresDrains, FAULTS), [Invariant::Drain]);
    assert_eq!(violated_invariants(Defect::OverloadsColdWorkers, FAULTS), [Invariant::ColdWorker]);
}

/// Events that only occur on sockets, reported directly to the checker.
#[test]
fn duplicate_responses_late_repeats_and_unknown_results_are_violations() {
    let scenario = scenario("");
    let ms = 1_000_000;
    let violations = |report: &dyn Fn(&mut InvariantChecker)| {
        let mut checker = InvariantChecker::new(&scenario, 0);
        checker.request_accepted(0, 1, 0, 1, 5_000 * ms);
        report(&mut checker);
        checker.violations.iter().map(|v| v.invariant).collect::<Vec<_>>()
    };
    let served = |r: &mut InvariantChecker, result: &str| {
        r.attempt_received(10 * ms, 9 * ms, 1, 3, 0, 7, None);
        r.job_started(11 * ms, 1, 3, 7);
        r.result_produced(1, "result");
        r.attempt_ended(20 * ms, 1, 7, AttemptEnd::MayHaveRun);
        r.response_sent(21 * ms, 1, FinalResponse::Served(result.into()));
    };
    assert_eq!(violations(&|r| served(r, "result")), []);
    assert_eq!(violations(&|r| served(r, "made up")), [Invariant::MadeByWorker]);
    assert_eq!(
        violations(&|r| {
            served(r, "result");
            r.response_sent(30 * ms, 1, FinalResponse::Failed)
        }),
        [Invariant::AnsweredOnce]
    );
    assert_eq!(
        violations(&|r| r.response_sent(30 * ms, 2, FinalResponse::Failed)),
        [Invariant::AnsweredOnce]
    );
    // Accepted requests are lost if the scheduler exits, and not if it is killed.
    let end = |exit: SchedulerExit| violations(&move |r| r.scheduler_ended(5_000 * ms, 0, exit));
    assert_eq!(end(SchedulerExit::Exited), [Invariant::NothingLostAtEnd]);
    assert_eq!(end(SchedulerExit::Killed), []);
    assert_eq!(end(SchedulerExit::ShutdownTimedOut(1_300 * ms)), []);
    let late = |r: &mut InvariantChecker| {
        r.request_accepted(2_100 * ms, 2, 0, 0, 9_000 * ms);
        r.scheduler_ended(5_000 * ms, 0, SchedulerExit::ShutdownTimedOut(1_300 * ms));
    };
    assert_eq!(violations(&late), [Invariant::NothingLostAtEnd]);
    // A repeat within the cell is permitted within the deduplication window only.
    let repeat = |after: Nanos| {
        violations(&move |r| {
            r.attempt_received(10 * ms, 9 * ms, 1, 3, 0, 7, None);
            r.attempt_ended(20 * ms, 1, 7, AttemptEnd::MayHaveRun);
            r.attempt_received(after + 1, after, 1, 4, 0, 8, None);
        })
    };
    assert_eq!(repeat(7_000 * ms), []);
    assert_eq!(repeat(7_510 * ms), [Invariant::KeyedRepeat]);
}

/// Nothing is sent for a client that has left, apart from two attempts, and from a quarter of the requests that had no
/// attempt yet.
#[test]
fn attempts_for_clients_that_have_left_are_violations() {
    let scenario = scenario("");
    let ms = 1_000_000;
    // The clients leave at 100 ms. Some requests are sent before that, and those in `after` are sent later.
    let violations = |slack: Nanos, sent_before: bool, after: &[Nanos], without_later_attempt: u64| {
        let mut checker = InvariantChecker::new(&scenario, slack);
        for n in 0..after.len() as u64 + without_later_attempt {
            checker.request_accepted(0, 1 + n, 0, 0, 5_000 * ms);
            if sent_before {
                checker.attempt_received(10 * ms, 9 * ms, 1 + n, 3, 0, 100 + n, None);
                checker.attempt_ended(20 * ms, 1 + n, 100 + n, AttemptEnd::NeverRan);
            }
            checker.client_left(100 * ms, 1 + n);
        }
        for (n, after) in after.iter().enumerate() {
            let sent = 100 * ms + after;
            checker.attempt_received(sent + ms, sent, 1 + n as u64, 4, 0, 200 + n as u64, None);
        }
        checker.finish(9_000 * ms);
        checker.violations.iter().map(|v| v.invariant).collect::<Vec<_>>()
    };
    assert_eq!(violations(0, true, &[150 * ms; 2], 0), []);
    assert_eq!(violations(0, true, &[150 * ms; 3], 0), [Invariant::ClientGone]);
    assert_eq!(violations(0, true, &[100 * ms; 9], 0), [], "within the grace period");
    assert_eq!(violations(50 * ms, true, &[150 * ms; 9], 0), [], "within the slack");
    assert_eq!(violations(50 * ms, true, &[151 * ms; 4], 0), [Invariant::ClientGone; 2]);
    // Two late attempts are tolerated, unless they are more than a quarter of the waiting requests.
    assert_eq!(violations(0, false, &[300 * ms; 2], 5), [Invariant::ClientGone]);
    assert_eq!(violations(0, false, &[300 * ms; 2], 6), []);
    assert_eq!(violations(0, false, &[299 * ms; 2], 0), []);
}

/// The counters by which faults are checked stay at 0 without faults.
#[test]
fn a_scenario_without_faults_counts_no_faults() {
    let result = simulate::run(&scenario(""), 3, 0);
    for kind in FaultKind::ALL {
        assert_eq!(result.counters.of(kind), 0, "{}", kind.name());
    }
    assert_eq!((result.violations, result.seen.taken > 300), (0, true));
}

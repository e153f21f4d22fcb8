//! Each rule of the invariants is able to fail: a scheduler with one defect is caught by the rule it breaks.

use loomlb_policy::{
    Action, AttemptResult, CellId, Event, Idempotency, ListKind, Nanos, Outcome, Request, RequestId,
    Settings, Worker, WorkerId, WorkerState,
};
use loomlb_simulation::invariants::{AttemptEnd, FinalResponse, Invariant, InvariantChecker, SchedulerExit};
use loomlb_simulation::simulate::{self, Decider};
use loomlb_simulation::{FaultKind, Scenario};
use std::collections::BTreeMap;

/// The one defect of a scheduler; without it the same scheduler breaks no rule.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    ForgetsRequests,
    AnswersLate,
    RepeatsUnsafe,
    RepeatsAcrossCells,
    SendsTwoCopies,
    RefusesWhatRan,
    IgnoresDrains,
    PoursOnColdWorkers,
}

/// A plain scheduler: each job once, to the next usable worker; what fails is failed.
struct Plain {
    defect: Defect,
    set: Settings,
    workers: BTreeMap<WorkerId, Worker>,
    /// Each job with the cells it was sent to and its deadline.
    jobs: BTreeMap<RequestId, (Request, Vec<(WorkerId, CellId)>)>,
    turn: usize,
    now: Nanos,
}

impl Plain {
    fn send(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (defect, now, cold) = (self.defect, self.now, self.set.obligations.warm_up_time);
        let Some((request, sent)) = self.jobs.get_mut(&id) else { return };
        let is_cold = |w: &Worker| w.started_at > 0 && now < w.started_at + cold;
        let fresh = self.workers.values().filter(|w| sent.iter().all(|s| s.0 != w.id));
        let usable: Vec<&Worker> = match defect {
            Defect::PoursOnColdWorkers if self.workers.values().any(is_cold) => {
                self.workers.values().filter(|w| is_cold(w)).collect()
            }
            Defect::RepeatsAcrossCells => fresh.filter(|w| sent.iter().all(|s| s.1 != w.cell)).collect(),
            _ => fresh.filter(|w| !is_cold(w)).collect(),
        };
        if usable.is_empty() {
            self.jobs.remove(&id);
            return out.push(Action::Fail(id));
        }
        self.turn += 1;
        let to = usable[self.turn % usable.len()];
        sent.push((to.id, to.cell));
        out.push(Action::Send { id, worker: to.id, timeout: request.remaining.min(4_000_000_000) });
    }

    fn ended(&mut self, id: RequestId, ended: AttemptResult, out: &mut Vec<Action>) {
        let Some((request, sent)) = self.jobs.get(&id) else { return };
        if ended.request_finished || ended.outcome == Outcome::Served {
            self.jobs.remove(&id);
            return;
        }
        let effect = self.set.classes[request.class.0].idempotency;
        let again = ended.outcome == Outcome::Full
            || match self.defect {
                Defect::RepeatsUnsafe => effect == Idempotency::AtMostOnce,
                Defect::RepeatsAcrossCells => matches!(effect, Idempotency::Deduplicated(_)),
                _ => false,
            };
        if again && sent.len() < self.set.limits.max_attempts as usize {
            return self.send(id, out);
        }
        let refuses = self.defect == Defect::RefusesWhatRan || ended.outcome.never_ran();
        self.jobs.remove(&id);
        out.push(if refuses { Action::Refuse { id, retry_after: 0 } } else { Action::Fail(id) });
    }
}

impl Decider for Plain {
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
const END: &str = "[[trouble]]\nkind = \"scheduler_term\"\nat_s = 5\n";

fn caught(defect: Defect, faults: &str) -> Vec<Invariant> {
    let make = move |set: Settings, _: u64| -> Box<dyn Decider> {
        Box::new(Plain { defect, set, workers: BTreeMap::new(), jobs: BTreeMap::new(), turn: 0, now: 0 })
    };
    let played = simulate::run_with(&scenario(faults), 5, 0, &make);
    let mut rules: Vec<Invariant> = played.first_violations.iter().map(|b| b.invariant).collect();
    rules.sort();
    rules.dedup();
    for b in &played.first_violations {
        assert!(b.invariant == Invariant::ColdWorker || !b.history.is_empty(), "no story: {b}");
    }
    rules
}

#[test]
fn a_scheduler_with_one_fault_is_caught_by_the_rule_that_it_breaks() {
    let both = format!("{FAULTS}{END}");
    assert_eq!(caught(Defect::None, &both), []);
    assert_eq!(caught(Defect::ForgetsRequests, ""), [Invariant::AnsweredOnce]);
    assert_eq!(caught(Defect::AnswersLate, ""), [Invariant::InTime]);
    assert_eq!(caught(Defect::RepeatsUnsafe, FAULTS), [Invariant::AtMostOnce]);
    assert_eq!(caught(Defect::RepeatsAcrossCells, FAULTS), [Invariant::KeyedRepeat]);
    // Two copies of a job that must run once break two rules.
    assert!(caught(Defect::SendsTwoCopies, "").contains(&Invariant::SecondCopy));
    assert_eq!(caught(Defect::RefusesWhatRan, FAULTS), [Invariant::HonestRefusal]);
    assert_eq!(caught(Defect::IgnoresDrains, FAULTS), [Invariant::Drain]);
    assert_eq!(caught(Defect::PoursOnColdWorkers, FAULTS), [Invariant::ColdWorker]);
}

/// What the virtual host itself never does, and a host on sockets may see: told to the invariants directly.
#[test]
fn second_answers_late_repeats_and_made_up_results_are_caught() {
    let scenario = scenario("");
    let ms = 1_000_000;
    let seen = |tell: &dyn Fn(&mut InvariantChecker)| {
        let mut invariants = InvariantChecker::new(&scenario, 0);
        invariants.request_accepted(0, 1, 0, 1, 5_000 * ms);
        tell(&mut invariants);
        invariants.violations.iter().map(|b| b.invariant).collect::<Vec<_>>()
    };
    let served = |r: &mut InvariantChecker, result: &str| {
        r.attempt_received(10 * ms, 9 * ms, 1, 3, 0, 7, None);
        r.job_started(11 * ms, 1, 3, 7);
        r.result_produced(1, "result");
        r.attempt_ended(20 * ms, 1, 7, AttemptEnd::MayHaveRun);
        r.response_sent(21 * ms, 1, FinalResponse::Served(result.into()));
    };
    assert_eq!(seen(&|r| served(r, "result")), []);
    assert_eq!(seen(&|r| served(r, "made up")), [Invariant::MadeByWorker]);
    assert_eq!(
        seen(&|r| {
            served(r, "result");
            r.response_sent(30 * ms, 1, FinalResponse::Failed)
        }),
        [Invariant::AnsweredOnce]
    );
    assert_eq!(seen(&|r| r.response_sent(30 * ms, 2, FinalResponse::Failed)), [Invariant::AnsweredOnce]);
    // What a scheduler took is lost if it ends by itself, and not if it is killed in its time.
    let end = |exit: SchedulerExit| seen(&move |r| r.scheduler_ended(5_000 * ms, 0, exit));
    assert_eq!(end(SchedulerExit::Exited), [Invariant::NothingLostAtEnd]);
    assert_eq!(end(SchedulerExit::Killed), []);
    assert_eq!(end(SchedulerExit::ShutdownTimedOut(1_300 * ms)), []);
    let late = |r: &mut InvariantChecker| {
        r.request_accepted(2_100 * ms, 2, 0, 0, 9_000 * ms);
        r.scheduler_ended(5_000 * ms, 0, SchedulerExit::ShutdownTimedOut(1_300 * ms));
    };
    assert_eq!(seen(&late), [Invariant::NothingLostAtEnd]);
    // A repeat within the cell is fine within the window and not after it.
    let repeat = |after: Nanos| {
        seen(&move |r| {
            r.attempt_received(10 * ms, 9 * ms, 1, 3, 0, 7, None);
            r.attempt_ended(20 * ms, 1, 7, AttemptEnd::MayHaveRun);
            r.attempt_received(after + 1, after, 1, 4, 0, 8, None);
        })
    };
    assert_eq!(repeat(7_000 * ms), []);
    assert_eq!(repeat(7_510 * ms), [Invariant::KeyedRepeat]);
}

/// A client that has gone is sent nothing for: two cases are chance, and of those that waited for their first attempt no more
/// than a quarter may be sent on.
#[test]
fn attempts_for_clients_that_have_gone_are_caught() {
    let scenario = scenario("");
    let ms = 1_000_000;
    // Requests whose clients leave at 100 ms, each sent before or not, and then after so long.
    let seen = |slack: Nanos, sent_before: bool, after: &[Nanos], quiet: u64| {
        let mut invariants = InvariantChecker::new(&scenario, slack);
        for n in 0..after.len() as u64 + quiet {
            invariants.request_accepted(0, 1 + n, 0, 0, 5_000 * ms);
            if sent_before {
                invariants.attempt_received(10 * ms, 9 * ms, 1 + n, 3, 0, 100 + n, None);
                invariants.attempt_ended(20 * ms, 1 + n, 100 + n, AttemptEnd::NeverRan);
            }
            invariants.client_left(100 * ms, 1 + n);
        }
        for (n, after) in after.iter().enumerate() {
            let sent = 100 * ms + after;
            invariants.attempt_received(sent + ms, sent, 1 + n as u64, 4, 0, 200 + n as u64, None);
        }
        invariants.finish(9_000 * ms);
        invariants.violations.iter().map(|b| b.invariant).collect::<Vec<_>>()
    };
    assert_eq!(seen(0, true, &[150 * ms; 2], 0), []);
    assert_eq!(seen(0, true, &[150 * ms; 3], 0), [Invariant::ClientGone]);
    assert_eq!(seen(0, true, &[100 * ms; 9], 0), [], "in time");
    assert_eq!(seen(50 * ms, true, &[150 * ms; 9], 0), [], "the slack of sockets");
    assert_eq!(seen(50 * ms, true, &[151 * ms; 4], 0), [Invariant::ClientGone; 2]);
    // Two that waited are chance by their number, and over a quarter of seven, not of eight.
    assert_eq!(seen(0, false, &[300 * ms; 2], 5), [Invariant::ClientGone]);
    assert_eq!(seen(0, false, &[300 * ms; 2], 6), []);
    assert_eq!(seen(0, false, &[299 * ms; 2], 0), []);
}

/// The counters that tell whether a fault did what its name says start at nothing.
#[test]
fn a_calm_day_moves_no_counter_of_any_trouble() {
    let played = simulate::run(&scenario(""), 3, 0);
    for kind in FaultKind::ALL {
        assert_eq!(played.counters.of(kind), 0, "{}", kind.name());
    }
    assert_eq!((played.violations, played.seen.taken > 300), (0, true));
}

//! Attempts as the standing test counts them: over drawn events no worker gets a second one of a request while its first
//! is open, none begins or is told a time beyond what its client has left, and a dispatcher in trouble goes on trying.

mod stage;

use loomlb_policy::*;
use stage::*;
use std::collections::{BTreeMap, BinaryHeap};

/// One request of a drawn story, as its client and the workers see it.
#[derive(Debug, Default)]
struct Drawn {
    deadline: Nanos,
    /// The worker of each attempt, and whether it has neither ended nor been given up.
    attempts: Vec<(WorkerId, bool)>,
    over: bool,
}

/// What a drawn story had in it: a story without the crossing forces nothing.
#[derive(Debug, Default)]
struct Seen {
    further: usize,
    same_worker: usize,
    left_while_open: usize,
    given_up: usize,
}

struct Story {
    stage: Stage,
    all: BTreeMap<RequestId, Drawn>,
    seen: Seen,
}

impl Story {
    /// Carries out what the dispatcher does, and holds each attempt against the rules.
    fn take(&mut self, actions: Vec<Action>) {
        let mut given_up = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, worker, timeout } => {
                    let now = self.stage.now;
                    let drawn = self.all.get_mut(&id).expect("a request that came");
                    assert!(!drawn.over, "an attempt of {id:?}, for which nobody waits");
                    let open = drawn.attempts.contains(&(worker, true));
                    assert!(!open, "a second attempt of {id:?} at {worker:?} while the first is open");
                    assert!(now + timeout <= drawn.deadline, "{id:?}: told {timeout} at {now}: {drawn:?}");
                    self.seen.further += usize::from(!drawn.attempts.is_empty());
                    self.seen.same_worker += usize::from(drawn.attempts.contains(&(worker, false)));
                    drawn.attempts.push((worker, true));
                }
                Action::Cancel(id, attempt) => given_up.push((id, attempt)),
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    self.all.get_mut(&id).expect("a request that came").over = true;
                }
                _ => {}
            }
        }
        for (id, attempt) in given_up {
            self.seen.given_up += 1;
            let drawn = self.all.get_mut(&id).expect("a request that came");
            (drawn.attempts[attempt as usize].1, drawn.over) = (false, true);
            let ended = AttemptResult {
                outcome: Outcome::Cancelled,
                latency: 50 * MS,
                request_finished: true,
                load_report: None,
            };
            self.event(Event::AttemptEnded { id, attempt, result: ended });
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.stage.event(event);
        self.take(actions);
    }
}

/// Second copies are allowed in all of these stories, and hardly any worker is there: the same one is near at hand.
#[test]
fn no_worker_gets_a_second_attempt_while_its_first_is_open_though_copies_are_allowed() {
    use Outcome::*;
    let mut seen = Seen::default();
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let effects = [
            Idempotency::Idempotent,
            Idempotency::Deduplicated(DedupScope::All),
            Idempotency::Deduplicated(DedupScope::Cell),
            Idempotency::Deduplicated(DedupScope::Zone),
        ];
        let mut set = settings(effects[seed as usize % 4]);
        set.limits.hedging = true;
        set.limits.cancel = rng.bool();
        set.job_starts_reported = rng.bool();
        set.load_reporting = if rng.bool() { LoadReporting::Inline } else { LoadReporting::None };
        let mut list = workers(rng.u64(1..=4));
        list.iter_mut().for_each(|w| w.cell = CellId(w.id.0 % 2));
        let stage = Stage { dispatcher: Dispatcher::new(set, seed), now: S, next: 0 };
        let mut story = Story { stage, all: BTreeMap::new(), seen: Seen::default() };
        story.event(Event::WorkerList { kind: ListKind::Complete, entries: list.clone() });
        for _ in 0..300 {
            story.stage.now += rng.u64(0..60) * MS;
            let open: Vec<(RequestId, u32)> = story
                .all
                .iter()
                .flat_map(|(id, d)| {
                    let of = d.attempts.iter().enumerate().filter(|(_, a)| a.1);
                    of.map(|(n, _)| (*id, n as u32)).collect::<Vec<_>>()
                })
                .collect();
            match rng.u32(0..10) {
                0..=2 => {
                    story.stage.next += 1;
                    let (id, remaining) = (RequestId(story.stage.next), rng.u64(1..3000) * MS);
                    let deadline = story.stage.now + remaining;
                    story.all.insert(id, Drawn { deadline, ..Drawn::default() });
                    story.event(Event::Request(Request::new(id, ClassId(0), remaining)));
                }
                3..=6 if !open.is_empty() => {
                    let (id, attempt) = open[rng.usize(..open.len())];
                    let outcome =
                        [Served, Error, Full, Timeout, NoConnection, Reset, NotSent][rng.usize(..7)];
                    let drawn = story.all.get_mut(&id).expect("it is open");
                    drawn.attempts[attempt as usize].1 = false;
                    drawn.over |= outcome == Served;
                    let closed = drawn.over;
                    let ended = AttemptResult {
                        outcome,
                        latency: 50 * MS,
                        request_finished: closed,
                        load_report: None,
                    };
                    story.event(Event::AttemptEnded { id, attempt, result: ended });
                }
                7 if !open.is_empty() => {
                    let (id, _) = open[rng.usize(..open.len())];
                    if !std::mem::replace(&mut story.all.get_mut(&id).expect("it is open").over, true) {
                        story.seen.left_while_open += 1;
                        story.event(Event::RequestAbandoned(id));
                    }
                }
                8 => {
                    let mut one = list[rng.usize(..list.len())].clone();
                    one.state = if rng.bool() { WorkerState::Ready } else { WorkerState::Draining };
                    story.event(Event::WorkerList { kind: ListKind::Partial, entries: vec![one] });
                }
                _ => story.event(Event::TimerFired(2)),
            }
        }
        seen.further += story.seen.further;
        seen.same_worker += story.seen.same_worker;
        seen.left_while_open += story.seen.left_while_open;
        seen.given_up += story.seen.given_up;
    }
    assert!(seen.further > 1000 && seen.same_worker > 10, "{seen:?}");
    assert!(seen.left_while_open > 500 && seen.given_up > 100, "{seen:?}");
}

/// How all workers of a fleet are in trouble.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Each attempt ends like this, soon.
    Ends(Outcome),
    /// Each job waits at its worker for long, starts, and is served at last.
    Slow,
    /// Half of the workers say nothing until the attempt's time is over, the others turn all away.
    Hang,
}

/// Plays requests at fifty a second for twenty seconds, after a time in which nothing came; the longest time in which all
/// that came was turned away, 15 at the least, with no attempt in between.
fn longest_without_an_attempt(set: &Settings, trouble: Trouble, quiet: Nanos, seed: u64) -> Nanos {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut stage = Stage { dispatcher: Dispatcher::new(set.clone(), seed), now: S, next: 0 };
    stage.list(ListKind::Complete, &workers(4));
    // What is to come: its time, its number, and the event. The heap's greatest is the first.
    let mut due: BinaryHeap<(std::cmp::Reverse<Nanos>, usize)> = BinaryHeap::new();
    let mut events: Vec<Event> = Vec::new();
    let mut attempts: BTreeMap<RequestId, u32> = BTreeMap::new();
    let begins = S + quiet;
    stage.now = begins;
    let (mut last, mut turned_away, mut longest, mut next) = (begins, 0, 0, begins);
    while stage.now < begins + 20 * S {
        let first = due.peek().map(|d| d.0.0).filter(|at| *at <= next);
        let actions = match first {
            Some(at) => {
                stage.now = at;
                let (_, n) = due.pop().expect("it was there");
                let event = std::mem::replace(&mut events[n], Event::TimerFired(u64::MAX));
                stage.event(event)
            }
            None => {
                stage.now = next;
                next += 20 * MS;
                stage.request(2 * S).1
            }
        };
        let now = stage.now;
        let mut plan = |after: Nanos, event: Event| {
            events.push(event);
            due.push((std::cmp::Reverse(now + after), events.len() - 1));
        };
        for action in actions {
            match action {
                Action::Send { id, worker, timeout } => {
                    (last, turned_away) = (now, 0);
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let end = |outcome, latency| {
                        let closed = outcome == Outcome::Served;
                        Event::AttemptEnded {
                            id,
                            attempt,
                            result: AttemptResult {
                                outcome,
                                latency,
                                request_finished: closed,
                                load_report: None,
                            },
                        }
                    };
                    let soon = rng.u64(1..20) * MS;
                    match trouble {
                        Trouble::Ends(outcome) => plan(soon, end(outcome, soon)),
                        Trouble::Slow => {
                            let begins = timeout * 9 / 10;
                            plan(begins, Event::JobProgress(id, attempt, JobProgress::Started));
                            plan(timeout - MS, end(Outcome::Served, timeout - MS));
                        }
                        Trouble::Hang if worker.0 % 2 == 0 => plan(timeout, end(Outcome::Timeout, timeout)),
                        Trouble::Hang => plan(soon, end(Outcome::Full, soon)),
                    }
                }
                Action::SetTimer { after, token } => plan(after, Event::TimerFired(token)),
                Action::Probe(worker) => {
                    let ended = AttemptResult {
                        outcome: Outcome::Error,
                        latency: MS,
                        request_finished: false,
                        load_report: None,
                    };
                    plan(MS, Event::ProbeEnded { worker, result: ended });
                }
                Action::Refuse { .. } | Action::Fail(_) => turned_away += 1,
                _ => {}
            }
        }
        if turned_away >= 15 {
            longest = longest.max(now - last);
        }
    }
    longest
}

/// On its calm days the standing test lets one dispatcher in ten turn away all that it gets for 4 s with no attempt. None does
/// here, though all of its workers are in trouble all the time.
#[test]
fn a_dispatcher_whose_workers_are_all_in_trouble_goes_on_trying() {
    use Outcome::*;
    let troubles = [Error, Full, Reset, NoConnection].map(Trouble::Ends);
    let mut silent = Vec::new();
    for trouble in troubles.into_iter().chain([Trouble::Slow, Trouble::Hang]) {
        for reports in [LoadReporting::None, LoadReporting::Inline, LoadReporting::OnProbe] {
            for (tells_start, peers) in [(false, false), (true, false), (true, true)] {
                let mut set = settings(Idempotency::Idempotent);
                (set.load_reporting, set.job_starts_reported, set.limits.probing) =
                    (reports, tells_start, true);
                (set.zone_count, set.limits.peer_messages, set.dispatcher_count) = (1, peers, 12);
                for seed in 0..2 {
                    let longest = longest_without_an_attempt(&set, trouble, 0, seed);
                    let case = format!("{trouble:?}, {reports:?}, starts {tells_start}, peers {peers}");
                    silent
                        .extend((longest >= 4 * S).then(|| format!("{case}: none for {} ms", longest / MS)));
                }
            }
        }
    }
    assert!(silent.is_empty(), "{silent:#?}");
}

/// The same where the trouble begins after a long time in which nothing came.
#[test]
fn a_dispatcher_whose_workers_fall_into_trouble_after_a_long_quiet_time_goes_on_trying() {
    use Outcome::*;
    for trouble in [Trouble::Ends(Error), Trouble::Ends(Reset), Trouble::Slow, Trouble::Hang] {
        for reports in [LoadReporting::None, LoadReporting::Inline] {
            for peers in [false, true] {
                let mut set = settings(Idempotency::Idempotent);
                (set.load_reporting, set.job_starts_reported) = (reports, peers);
                (set.zone_count, set.limits.peer_messages, set.dispatcher_count) = (1, peers, 12);
                let longest = longest_without_an_attempt(&set, trouble, 90 * S, 1);
                assert!(
                    longest < 4 * S,
                    "{trouble:?}, {reports:?}, peers {peers}: none for {} ms",
                    longest / MS
                );
            }
        }
    }
}

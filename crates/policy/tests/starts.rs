//! What a site's other words are worth where no answer tells of room: start words, hints of work, probes by their price.

mod stage;

use loomlb_policy::*;
use stage::*;

/// A site that tells of load by probes alone, at this price, and of starts; jobs carry hints.
fn orders(probe: f64) -> Settings {
    let mut set = settings(Idempotency::Deduplicated(DedupScope::Zone));
    (set.load_reporting, set.job_starts_reported, set.free_slots_reported) =
        (LoadReporting::OnProbe, true, true);
    (set.limits.probing, set.costs.probe) = (true, probe);
    set
}

fn hinted(work: Nanos) -> impl Fn(&mut Request) {
    move |r| r.expected_work = Some(work)
}

/// Plays a job through: it starts after `wait` and runs for `run`.
fn plays(stage: &mut Stage, id: RequestId, wait: Nanos, run: Nanos) -> Vec<Action> {
    stage.now += wait;
    stage.event(Event::JobProgress(id, 0, JobProgress::Started));
    stage.now += run;
    let ended = AttemptResult {
        outcome: Outcome::Served,
        latency: wait + run,
        request_finished: true,
        load_report: None,
    };
    stage.event(Event::AttemptEnded { id, attempt: 0, result: ended })
}

/// All answers were late on such a site: no slots were known, so every worker had room.
#[test]
fn a_job_goes_only_where_its_start_words_let_it_end_in_time() {
    let mut stage = Stage::new(orders(1.0), &workers(1));
    let (id, actions) = stage.asks(5 * S, hinted(400 * MS));
    assert_eq!(sent(&actions).len(), 1);
    plays(&mut stage, id, 5 * MS, 400 * MS);
    // The next waits for 2 s before it starts: one sent after it would be late.
    let (id, _) = stage.asks(5 * S, hinted(400 * MS));
    plays(&mut stage, id, 2 * S, 400 * MS);
    let (late, actions) = stage.asks(5 * S, hinted(400 * MS));
    assert!(sent(&actions).is_empty(), "{actions:?}");
    // Nor is it kept beyond the time at which it could still start.
    let mut said = Vec::new();
    for _ in 0..40 {
        stage.now += 20 * MS;
        said.extend(stage.event(Event::TimerFired(2)));
    }
    assert!(matches!(answers(&said)[..], [Action::Refuse { id, .. }] if *id == late), "{said:?}");
    // A queue that nobody adds to shrinks; and without a hint nothing is said of a job's end.
    assert_eq!(sent(&stage.asks(5 * S, |_| ()).1).len(), 1);
}

/// One job that a worker took long for had it left alone for the rest of the day.
#[test]
fn a_worker_that_was_slow_is_tried_again_once_the_news_is_old() {
    let mut stage = Stage::new(orders(1.0), &workers(1));
    for _ in 0..8 {
        let (id, actions) = stage.asks(5 * S, hinted(400 * MS));
        assert_eq!(sent(&actions).len(), 1);
        plays(&mut stage, id, 5 * MS, 400 * MS);
    }
    while let (id, actions) = stage.asks(5 * S, hinted(400 * MS))
        && !sent(&actions).is_empty()
    {
        plays(&mut stage, id, 5 * MS, 2 * S);
    }
    stage.now += 12 * S;
    assert_eq!(sent(&stage.asks(5 * S, hinted(400 * MS)).1).len(), 1);
}

/// A process that ends clips what it takes to its own end. The module took that for a client that had waited for
/// seconds before, and refused all of it: 45 % of five seconds on the reload day.
#[test]
fn a_process_that_ends_soon_says_nothing_of_how_long_its_client_has_waited() {
    let mut stage = Stage::new(orders(1.0), &workers(2));
    let (id, _) = stage.asks(6 * S, hinted(300 * MS));
    plays(&mut stage, id, 5 * MS, 300 * MS);
    let ending = |r: &mut Request| (r.expected_work, r.answer_within) = (Some(300 * MS), Some(2 * S));
    let (_, actions) = stage.asks(6 * S, ending);
    let Some(Action::Send { timeout, .. }) = actions.iter().find(|a| matches!(a, Action::Send { .. })) else {
        panic!("{actions:?}")
    };
    assert!(*timeout < 2 * S, "{timeout}: it is to be answered before the process ends");
    // A client that says itself that it has little time left has waited before: its answer would be late.
    assert!(sent(&stage.asks(2 * S, hinted(300 * MS)).1).is_empty());
}

#[test]
fn probes_are_sent_as_their_price_lets() {
    let probes = |price: f64, starts: bool| {
        let mut set = orders(price);
        set.job_starts_reported = starts;
        let mut stage = Stage::new(set, &workers(6));
        let probed = |actions: Vec<Action>| actions.iter().filter(|a| matches!(a, Action::Probe(_))).count();
        (0..200).map(|_| probed(stage.asks(5 * S, hinted(100 * MS)).1)).sum::<usize>()
    };
    assert_eq!(probes(0.0001, true), 600);
    assert!((40..80).contains(&probes(0.01, true)), "three in ten requests: {}", probes(0.01, true));
    assert!((250..350).contains(&probes(0.01, false)), "nothing else tells: {}", probes(0.01, false));
    assert_eq!(probes(10.0, true), 0);
}

/// With five zones of three workers half of the fleet was in reach of a subject at first, so none kept its data.
#[test]
fn a_subject_meets_at_one_worker_though_zones_are_small() {
    let mut set = orders(1.0);
    set.zone_count = 5;
    let mut list = workers(15);
    list.iter_mut().enumerate().for_each(|(i, w)| w.zone = ZoneId(i % 5));
    let mut stage = Stage::new(set, &list);
    let mut again = 0;
    for key in 0..200u64 {
        let subject = |r: &mut Request| {
            (r.affinity_key, r.expected_work) = (Some(AffinityKey(key * 0x9e37_79b9)), Some(100 * MS))
        };
        let mut went = Vec::new();
        for _ in 0..2 {
            let (id, actions) = stage.asks(5 * S, subject);
            went.push(sent(&actions));
            plays(&mut stage, id, 5 * MS, 100 * MS);
        }
        again += usize::from(went[0] == went[1]);
    }
    assert!(again >= 120, "{again} of 200 subjects met at one worker");
}

/// A connection broke under a request, and the two other workers of its zone were too slow: the job was kept until it
/// was late, with the first worker idle.
#[test]
fn a_keyed_job_whose_connection_broke_may_go_to_the_same_worker_again() {
    let mut list = workers(3);
    list.iter_mut().skip(1).for_each(|w| w.zone = ZoneId(1));
    let mut stage = Stage::new(orders(1.0), &list);
    let mut seen = 0;
    for _ in 0..40 {
        stage.now += 700 * MS;
        let (id, actions) = stage.asks(5 * S, hinted(100 * MS));
        if sent(&actions) != [WorkerId(1)] {
            plays(&mut stage, id, 5 * MS, 100 * MS);
            continue;
        }
        // No other worker of its zone would drop a repeat.
        assert_eq!(sent(&stage.ends(id, 0, Outcome::Reset)), [WorkerId(1)]);
        seen += 1;
        stage.ends(id, 1, Outcome::Served);
    }
    assert!(seen >= 2, "{seen} jobs at the first worker");
}

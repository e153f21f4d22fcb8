//! Workers' ages, whatever the wall clocks of the schedulers and of the list say.

use super::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const HOUR: Nanos = 3_600 * SECOND;
/// Our scale at the start of each story.
const START: Nanos = 1_700_000_000 * SECOND;

/// The list's date of a moment of our scale, where the list's clock is so far ahead of ours.
fn date(at: Nanos, ahead: i64) -> u64 {
    at.saturating_add_signed(ahead) / MS
}

/// Has one worker appear, as the only news of an answer.
fn appears(starts: &mut WorkerStarts, now: Nanos, host: &str, born_ms: u64) -> Nanos {
    starts.observe(now, [(host, born_ms)].into_iter());
    let started = starts.assign(now, host, born_ms);
    starts.record_response(now);
    started
}

/// The scheduler's wall clock is ahead or behind by an hour or by seconds: a worker that restarts while we watch is as
/// old as it is, short by the delay of the news.
#[test]
fn a_worker_that_appears_has_its_true_age_whatever_the_wall_clock_says() {
    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -5 * SECOND as i64, 0] {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let (born, told) = (START + SECOND, START + SECOND + 40 * MS);
        let started = appears(&mut starts, told, "a", date(born, ahead));
        assert_eq!(started, told, "{ahead} ns");
        // Half an hour without news, then one that took a minute longer: it is dated by the first.
        let (born, told) = (START + HOUR / 2, START + HOUR / 2 + 60 * SECOND);
        let started = appears(&mut starts, told, "b", date(born, ahead));
        assert!(
            (born..born + SECOND).contains(&started),
            "{ahead} ns: {} ns late",
            started as i64 - born as i64
        );
    }
}

#[test]
fn a_first_list_is_read_with_the_wall_clock_and_no_worker_is_born_in_the_future() {
    let mut starts = WorkerStarts::default();
    let births = [0, date(START - 60 * SECOND, 0), date(START, HOUR as i64)];
    starts.observe(START, births.iter().map(|born_ms| ("a", *born_ms)));
    let read = births.map(|born_ms| starts.assign(START, "a", born_ms));
    assert_eq!(read, [0, START - 60 * SECOND, START]);
    assert_eq!(starts, WorkerStarts::default(), "it tells nothing of the offset");
}

#[test]
fn a_worker_that_comes_back_with_the_same_birth_is_as_old_as_before() {
    let mut starts = WorkerStarts::default();
    starts.record_response(START);
    let known = Incarnation { born_ms: 77, started: START - HOUR };
    starts.record_departures(START, ["a", "b"].map(|host| (host.to_string(), known)));
    let now = START + DEPARTED_FOR / 2;
    assert_eq!(appears(&mut starts, now, "a", 77), START - HOUR);
    assert!(appears(&mut starts, now, "b", date(now, 0)) > START, "another incarnation");
    starts.record_departures(now, [("c".to_string(), known)]);
    starts.record_departures(now + DEPARTED_FOR, [("d".to_string(), known)]);
    assert_eq!(starts.departed.len(), 1, "it is forgotten after a while");
}

#[test]
fn departed_workers_are_remembered_up_to_a_bound_and_the_first_is_forgotten_first() {
    let mut starts = WorkerStarts::default();
    let known = Incarnation { born_ms: 77, started: START };
    starts.record_departures(START, [("first".to_string(), known)]);
    starts.record_departures(START + 1, (0..MOST_DEPARTED).map(|n| (n.to_string(), known)));
    assert_eq!(starts.departed.len(), MOST_DEPARTED);
    assert!(!starts.departed.contains_key("first"));
}

/// One date an hour in the future, or a step of the list's clock, would make all later ones an hour old: the next worker
/// that appears shows it.
#[test]
fn a_wrong_date_or_a_stepped_list_clock_is_found_out_by_the_next_worker() {
    let mut starts = WorkerStarts::default();
    starts.record_response(START);
    appears(&mut starts, START + SECOND, "ahead", date(START + SECOND, HOUR as i64));
    let now = START + 2 * SECOND;
    let started = appears(&mut starts, now, "right", date(now, 0));
    assert!(started >= START + SECOND, "no older than the answer before");
    // Discovery is silent for ten minutes, in which the third one starts.
    let born = START + 300 * SECOND;
    let started = appears(&mut starts, START + 600 * SECOND, "third", date(born, 0));
    assert!(started >= born, "{} s early", (born - started) / SECOND);
}

#[test]
fn a_successor_gives_every_listed_worker_the_start_that_it_had() {
    let mut predecessor = WorkerStarts::default();
    predecessor.record_response(START);
    let born_ms = date(START + SECOND, HOUR as i64);
    let started = appears(&mut predecessor, START + 2 * SECOND, "a", born_ms);
    let listed = [("a".to_string(), Incarnation { born_ms, started })];
    let now = START + 3 * SECOND;
    let mut successor = predecessor.for_successor(now, listed);
    successor.observe(now, [("a", born_ms)].into_iter());
    assert_eq!(successor.assign(now, "a", born_ms), started);
    assert_eq!(successor, predecessor, "nothing is learned from what was known");
}

/// A worker that appears: how long after the one before, how long after its birth.
fn news() -> impl Strategy<Value = Vec<(Nanos, Nanos)>> {
    prop::collection::vec((0..600 * SECOND, 0..90 * SECOND), 1..40)
}

proptest! {
    /// Whatever the offset and the drift within the allowance, no worker counts as older than it is, and each as no
    /// younger than by the delay of its own news.
    #[test]
    fn an_age_is_never_more_than_the_true_one_and_short_by_the_delay_of_the_news_at_most(
        ahead in -2 * HOUR as i64..2 * HOUR as i64,
        drift_ppm in -200i64..=200,
        news in news(),
    ) {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let mut now = START;
        for (n, (pause, delay)) in news.into_iter().enumerate() {
            now += pause;
            let born = now - delay.min(now - START);
            let drifted = ahead + (born - START) as i64 / 1_000_000 * drift_ppm;
            let started = appears(&mut starts, now, &format!("{n}"), date(born, drifted));
            // Dates are whole milliseconds, and the drift within one delay is not seen.
            let error = MS + delay / 1_000_000 * 2 * DRIFT_PPM;
            prop_assert!(started + error >= born, "{} ns older than it is", born - started);
            prop_assert!(started <= now, "born after it was seen");
        }
    }

    /// With dates that say nothing at all, no worker that appears counts as older than our previous answer.
    #[test]
    fn no_worker_that_appears_is_older_than_the_answer_before(
        answers in prop::collection::vec((0..600 * SECOND, prop::collection::vec(1..u64::MAX, 0..4)), 1..30),
    ) {
        let mut starts = WorkerStarts::default();
        let (mut now, mut before) = (START, START);
        starts.record_response(START);
        for (n, (pause, births)) in answers.into_iter().enumerate() {
            now += pause;
            starts.observe(now, births.iter().map(|born_ms| ("new", *born_ms)));
            for (at, born_ms) in births.into_iter().enumerate() {
                let started = starts.assign(now, &format!("{n} {at}"), born_ms);
                prop_assert!((before..=now).contains(&started));
            }
            starts.record_response(now);
            before = now;
        }
    }

    /// The written form loses nothing, and what a later build adds to it does no harm.
    #[test]
    fn what_is_known_goes_over_to_a_successor(ahead in any::<i32>(), news in news()) {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let mut now = START;
        for (n, (pause, delay)) in news.into_iter().enumerate() {
            now += pause;
            appears(&mut starts, now, &format!("{n}"), date(now - delay, i64::from(ahead)));
        }
        let mut written = serde_json::to_value(&starts).unwrap();
        written["later"] = 1.into();
        prop_assert_eq!(serde_json::from_value::<WorkerStarts>(written).unwrap(), starts);
    }
}

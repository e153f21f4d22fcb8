//! Ages of workers must be right whatever the wall clocks of the schedulers and of the list show.

use super::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const HOUR: Nanos = 3_600 * SECOND;
/// Our time at the start of each test.
const START: Nanos = 1_700_000_000 * SECOND;

/// Returns the list's date of a time of our clock, for a list clock that is `ahead` nanoseconds ahead.
fn list_date(at: Nanos, ahead: i64) -> u64 {
    at.saturating_add_signed(ahead) / MS
}

/// Reports a single new worker in a response and returns its assigned start.
fn add_worker(starts: &mut WorkerStarts, now: Nanos, host: &str, born_ms: u64) -> Nanos {
    starts.observe(now, [(host, born_ms)].into_iter());
    let started = starts.assign(now, host, born_ms);
    starts.record_response(now);
    started
}

/// A worker that restarts while we watch is as old as it is, less the delay of the response, if the wall
/// clock is off by an hour or by seconds.
#[test]
fn a_new_worker_has_its_true_age_whatever_the_wall_clock_shows() {
    for ahead in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -5 * SECOND as i64, 0] {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let (born, seen) = (START + SECOND, START + SECOND + 40 * MS);
        let started = add_worker(&mut starts, seen, "a", list_date(born, ahead));
        assert_eq!(started, seen, "{ahead} ns");
        // No changes for half an hour, then a delay of a minute: the bound from the first worker dates the
        // second.
        let (born, seen) = (START + HOUR / 2, START + HOUR / 2 + 60 * SECOND);
        let started = add_worker(&mut starts, seen, "b", list_date(born, ahead));
        assert!(
            (born..born + SECOND).contains(&started),
            "{ahead} ns: {} ns late",
            started as i64 - born as i64
        );
    }
}

#[test]
fn a_first_list_is_read_by_the_wall_clock_and_no_start_lies_in_the_future() {
    let mut starts = WorkerStarts::default();
    let births = [0, list_date(START - 60 * SECOND, 0), list_date(START, HOUR as i64)];
    starts.observe(START, births.iter().map(|born_ms| ("a", *born_ms)));
    let assigned = births.map(|born_ms| starts.assign(START, "a", born_ms));
    assert_eq!(assigned, [0, START - 60 * SECOND, START]);
    assert_eq!(starts, WorkerStarts::default(), "a first list says nothing about the offset");
}

#[test]
fn a_worker_that_returns_with_the_same_birth_keeps_its_start() {
    let mut starts = WorkerStarts::default();
    starts.record_response(START);
    let incarnation = Incarnation { born_ms: 77, started: START - HOUR };
    starts.record_departures(START, ["a", "b"].map(|host| (host.to_string(), incarnation)));
    let now = START + DEPARTED_RETENTION / 2;
    assert_eq!(add_worker(&mut starts, now, "a", 77), START - HOUR);
    assert!(add_worker(&mut starts, now, "b", list_date(now, 0)) > START, "another incarnation");
    starts.record_departures(now, [("c".to_string(), incarnation)]);
    starts.record_departures(now + DEPARTED_RETENTION, [("d".to_string(), incarnation)]);
    assert_eq!(starts.departed.len(), 1, "departed workers expire");
}

#[test]
fn departed_workers_are_bounded_and_the_earliest_is_dropped_first() {
    let mut starts = WorkerStarts::default();
    let incarnation = Incarnation { born_ms: 77, started: START };
    starts.record_departures(START, [("first".to_string(), incarnation)]);
    starts.record_departures(START + 1, (0..MAX_DEPARTED).map(|n| (n.to_string(), incarnation)));
    assert_eq!(starts.departed.len(), MAX_DEPARTED);
    assert!(!starts.departed.contains_key("first"));
}

/// A date an hour in the future, or a step of the list's clock, would make all later workers an hour older.
/// The next worker that appears corrects it.
#[test]
fn a_wrong_date_or_a_stepped_list_clock_is_corrected_by_the_next_worker() {
    let mut starts = WorkerStarts::default();
    starts.record_response(START);
    add_worker(&mut starts, START + SECOND, "ahead", list_date(START + SECOND, HOUR as i64));
    let now = START + 2 * SECOND;
    let started = add_worker(&mut starts, now, "right", list_date(now, 0));
    assert!(started >= START + SECOND, "no older than the previous response");
    // Discovery does not respond for ten minutes, in which the third worker starts.
    let born = START + 300 * SECOND;
    let started = add_worker(&mut starts, START + 600 * SECOND, "third", list_date(born, 0));
    assert!(started >= born, "{} s early", (born - started) / SECOND);
}

#[test]
fn a_successor_keeps_the_start_of_every_listed_worker() {
    let mut predecessor = WorkerStarts::default();
    predecessor.record_response(START);
    let born_ms = list_date(START + SECOND, HOUR as i64);
    let started = add_worker(&mut predecessor, START + 2 * SECOND, "a", born_ms);
    let listed = [("a".to_string(), Incarnation { born_ms, started })];
    let now = START + 3 * SECOND;
    let mut successor = predecessor.for_successor(now, listed);
    successor.observe(now, [("a", born_ms)].into_iter());
    assert_eq!(successor.assign(now, "a", born_ms), started);
    assert_eq!(successor, predecessor, "known incarnations change nothing");
}

/// For each new worker: time since the previous one, and delay after its start.
fn new_workers() -> impl Strategy<Value = Vec<(Nanos, Nanos)>> {
    prop::collection::vec((0..600 * SECOND, 0..90 * SECOND), 1..40)
}

proptest! {
    /// For any offset, and any drift within the limit, no worker counts as older than it is, and none as
    /// younger by more than the delay of its response.
    #[test]
    fn an_age_is_never_too_high_and_too_low_by_at_most_the_delay_of_the_response(
        ahead in -2 * HOUR as i64..2 * HOUR as i64,
        drift_ppm in -200i64..=200,
        workers in new_workers(),
    ) {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let mut now = START;
        for (n, (pause, delay)) in workers.into_iter().enumerate() {
            now += pause;
            let born = now - delay.min(now - START);
            let drifted = ahead + (born - START) as i64 / 1_000_000 * drift_ppm;
            let started = add_worker(&mut starts, now, &format!("{n}"), list_date(born, drifted));
            // Dates are whole milliseconds, and drift within one delay is not observed.
            let error = MS + delay / 1_000_000 * 2 * DRIFT_PPM;
            prop_assert!(started + error >= born, "{} ns older than it is", born - started);
            prop_assert!(started <= now, "born after it was seen");
        }
    }

    /// With arbitrary dates no worker that appears counts as older than the previous response.
    #[test]
    fn no_new_worker_is_older_than_the_previous_response(
        responses in prop::collection::vec((0..600 * SECOND, prop::collection::vec(1..u64::MAX, 0..4)), 1..30),
    ) {
        let mut starts = WorkerStarts::default();
        let (mut now, mut previous) = (START, START);
        starts.record_response(START);
        for (n, (pause, births)) in responses.into_iter().enumerate() {
            now += pause;
            starts.observe(now, births.iter().map(|born_ms| ("new", *born_ms)));
            for (at, born_ms) in births.into_iter().enumerate() {
                let started = starts.assign(now, &format!("{n} {at}"), born_ms);
                prop_assert!((previous..=now).contains(&started));
            }
            starts.record_response(now);
            previous = now;
        }
    }

    /// Serialization preserves everything, and unknown fields of a later build are ignored.
    #[test]
    fn serialized_starts_are_read_back_unchanged(ahead in any::<i32>(), workers in new_workers()) {
        let mut starts = WorkerStarts::default();
        starts.record_response(START);
        let mut now = START;
        for (n, (pause, delay)) in workers.into_iter().enumerate() {
            now += pause;
            add_worker(&mut starts, now, &format!("{n}"), list_date(now - delay, i64::from(ahead)));
        }
        let mut encoded = serde_json::to_value(&starts).unwrap();
        encoded["later"] = 1.into();
        prop_assert_eq!(serde_json::from_value::<WorkerStarts>(encoded).unwrap(), starts);
    }
}

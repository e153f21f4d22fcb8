//! Steps of the wall clock must not move the scheduler's time, neither within a process nor across a hot
//! restart.

use super::*;

const HOUR: Nanos = 3_600 * NANOS_PER_SECOND;
const STEPS_SECONDS: [i64; 4] = [3_600, -3_600, 5, -5];

/// More than two consecutive readings of a clock take on a loaded machine, and far less than any step.
const TOLERANCE: Nanos = NANOS_PER_SECOND;

#[test]
fn a_successor_reads_its_predecessors_time_after_a_step_of_the_wall_clock() {
    let wall = 1_700_000_000 * NANOS_PER_SECOND;
    for step in STEPS_SECONDS {
        let predecessor = Clock::starting_at(wall);
        // The time that a process reads without its predecessor's offset.
        let without_offset = Clock::starting_at(wall.saturating_add_signed(step * NANOS_PER_SECOND as i64));
        let successor = Clock::with_offset(predecessor.offset());
        let before = predecessor.now();
        let difference = successor.now() - before;
        assert!(difference < TOLERANCE, "{step} s: {difference} ns apart");
        assert!(
            without_offset.now().abs_diff(before) > TOLERANCE,
            "{step} s: without the offset the step shows"
        );
    }
}

#[test]
fn a_clock_starts_at_the_wall_time_and_never_below_one_day() {
    for wall in [0, NANOS_PER_SECOND, 1_700_000_000 * NANOS_PER_SECOND] {
        let clock = Clock::starting_at(wall);
        let start = wall.max(EARLIEST_START);
        assert!((start..start + TOLERANCE).contains(&clock.now()), "{wall}");
    }
}

#[test]
fn an_instant_is_never_earlier_than_the_clock_time_it_represents() {
    let clock = Clock::starting_at(HOUR);
    let at = clock.now() + HOUR;
    let wait = clock.instant(at) - tokio::time::Instant::now();
    assert!(wait <= Duration::from_nanos(HOUR) && wait > Duration::from_nanos(HOUR - TOLERANCE), "{wait:?}");
    assert!(clock.instant(0) <= tokio::time::Instant::now(), "a time in the past is not waited for");
}

#[test]
fn a_negative_offset_survives_serialization() {
    let offset = ClockOffset::between(EARLIEST_START, 400 * EARLIEST_START);
    let text = serde_json::to_string(&offset).unwrap();
    assert_eq!(serde_json::from_str::<ClockOffset>(&text).unwrap(), offset);
    assert_eq!(offset.apply(401 * EARLIEST_START), 2 * EARLIEST_START);
}

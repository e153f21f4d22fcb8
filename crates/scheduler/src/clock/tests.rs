//! A step of the wall clock, between two processes or within one, moves no time on the scheduler's scale.

use super::*;

const HOUR: Nanos = 3_600 * NANOS_PER_SECOND;
const STEPS: [i64; 4] = [3_600, -3_600, 5, -5];

/// Longer than two readings of a clock in a row take on a loaded machine, far shorter than any step.
const SOON: Nanos = NANOS_PER_SECOND;

#[test]
fn a_successor_whose_wall_clock_was_stepped_reads_its_predecessors_scale() {
    let wall = 1_700_000_000 * NANOS_PER_SECOND;
    for step in STEPS {
        let predecessor = Clock::starting_at(wall);
        // What it would read without its predecessor's offset.
        let anew = Clock::starting_at(wall.saturating_add_signed(step * NANOS_PER_SECOND as i64));
        let successor = Clock::with_offset(predecessor.offset());
        let before = predecessor.now();
        let apart = successor.now() - before;
        assert!(apart < SOON, "{step} s: {apart} ns apart");
        assert!(anew.now().abs_diff(before) > SOON, "{step} s: the step is one");
    }
}

#[test]
fn a_scale_starts_at_the_wall_time_and_never_below_one_day() {
    for wall in [0, NANOS_PER_SECOND, 1_700_000_000 * NANOS_PER_SECOND] {
        let clock = Clock::starting_at(wall);
        let start = wall.max(EARLIEST_START);
        assert!((start..start + SOON).contains(&clock.now()), "{wall}");
    }
}

#[test]
fn an_instant_is_no_earlier_than_the_time_that_it_stands_for() {
    let clock = Clock::starting_at(HOUR);
    let at = clock.now() + HOUR;
    let wait = clock.instant(at) - tokio::time::Instant::now();
    assert!(wait <= Duration::from_nanos(HOUR) && wait > Duration::from_nanos(HOUR - SOON), "{wait:?}");
    assert!(clock.instant(0) <= tokio::time::Instant::now(), "what has passed is not waited for");
}

#[test]
fn an_offset_below_zero_goes_through_its_written_form() {
    let offset = ClockOffset::between(EARLIEST_START, 400 * EARLIEST_START);
    let text = serde_json::to_string(&offset).unwrap();
    assert_eq!(serde_json::from_str::<ClockOffset>(&text).unwrap(), offset);
    assert_eq!(offset.apply(401 * EARLIEST_START), 2 * EARLIEST_START);
}

//! A store that fails for a while, and one that fails again right after it came back.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_pause_between_two_attempts_grows_to_its_bound_and_a_run_is_told_of_once() {
    let mut health = StoreHealth::default();
    let mut now = ms(1000);
    let mut pauses = Vec::new();
    for failure in 0..8 {
        assert_eq!(health.failed(now), failure == 0);
        assert!(!health.retry_is_due(now));
        pauses.push(health.pause(now));
        now += health.pause(now);
        assert!(health.retry_is_due(now));
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1600, 3000, 3000, 3000].map(ms));
    assert_eq!(health.ended_run(now), None);
    health.recovered(now);
    assert_eq!(health.ended_run(now + STEADY - ms(1)), None);
    assert_eq!(health.ended_run(now + STEADY), Some(now - ms(1000)));
    assert_eq!(health.ended_run(now + STEADY), None);
    assert!(health.failed(now + STEADY), "another run");
    assert_eq!(health.pause(now + STEADY), FIRST_PAUSE);
    assert_eq!((health.failures, health.recoveries), (9, 1));
}

#[test]
fn a_store_that_fails_again_at_once_is_in_the_same_run_and_its_pause_grows_on() {
    let mut health = StoreHealth::default();
    assert!(health.failed(ms(0)));
    health.recovered(ms(100));
    assert!(!health.failed(ms(200)));
    assert_eq!(health.pause(ms(200)), 2 * FIRST_PAUSE);
    assert_eq!(health.ended_run(ms(60_000)), None, "it does not work");
}

//! A store that fails for a while, and one that fails again soon after a recovery.

use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_retry_delay_grows_to_its_maximum_and_each_run_is_reported_once() {
    let mut health = StoreHealth::default();
    let mut now = ms(1000);
    let mut delays = Vec::new();
    for failure in 0..8 {
        assert_eq!(health.record_failure(now), failure == 0);
        assert!(!health.is_retry_due(now));
        delays.push(health.time_until_retry(now));
        now += health.time_until_retry(now);
        assert!(health.is_retry_due(now));
    }
    assert_eq!(delays, [100, 200, 400, 800, 1600, 3000, 3000, 3000].map(ms));
    assert_eq!(health.take_ended_run(now), None);
    health.record_recovery(now);
    assert_eq!(health.take_ended_run(now + STABLE_AFTER - ms(1)), None);
    assert_eq!(health.take_ended_run(now + STABLE_AFTER), Some(now - ms(1000)));
    assert_eq!(health.take_ended_run(now + STABLE_AFTER), None);
    assert!(health.record_failure(now + STABLE_AFTER), "a new run");
    assert_eq!(health.time_until_retry(now + STABLE_AFTER), INITIAL_BACKOFF);
    assert_eq!((health.failures, health.recoveries), (9, 1));
}

#[test]
fn a_failure_soon_after_a_recovery_continues_the_run_and_its_backoff() {
    let mut health = StoreHealth::default();
    assert!(health.record_failure(ms(0)));
    health.record_recovery(ms(100));
    assert!(!health.record_failure(ms(200)));
    assert_eq!(health.time_until_retry(ms(200)), 2 * INITIAL_BACKOFF);
    assert_eq!(health.take_ended_run(ms(60_000)), None, "the store still fails");
}

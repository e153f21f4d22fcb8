use super::*;

fn error(errno: i32) -> io::Error {
    io::Error::from_raw_os_error(errno)
}

#[test]
fn connection_errors_are_retried_without_delay_up_to_a_limit() {
    let mut retry = AcceptRetry::default();
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryNow);
    }
    assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryAfter(INITIAL_BACKOFF));
    retry.record_success();
    assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryNow);
}

#[test]
fn delays_after_repeated_errors_grow_to_the_maximum() {
    let mut retry = AcceptRetry::default();
    let delays: Vec<u128> = (0..6)
        .map(|_| match retry.record_error(&error(libc::EINVAL)) {
            AcceptAction::RetryAfter(delay) => delay.as_millis(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(delays, [10, 20, 40, 80, 160, 160]);
}

#[test]
fn repeated_errors_are_logged_once_and_connection_errors_never() {
    let mut retry = AcceptRetry::default();
    let mut is_logged = |errno| {
        let action = retry.record_error(&error(errno));
        retry.should_log(action)
    };
    assert_eq!(
        [is_logged(libc::ECONNABORTED), is_logged(libc::EMFILE), is_logged(libc::EMFILE)],
        [false, true, false]
    );
}

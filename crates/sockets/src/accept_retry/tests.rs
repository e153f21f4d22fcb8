use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn connections_that_are_gone_pass_at_once_until_they_prove_to_last() {
    let mut retry = AcceptRetry::default();
    for _ in 0..GONE_IN_A_ROW {
        assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryNow);
    }
    assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryAfter(PAUSE));
    retry.record_success();
    assert_eq!(retry.record_error(&error(libc::ECONNABORTED)), AcceptAction::RetryNow);
}

#[test]
fn pauses_after_what_lasts_grow_to_their_bound() {
    let mut retry = AcceptRetry::default();
    let pauses: Vec<u128> = (0..6)
        .map(|_| match retry.record_error(&error(libc::EINVAL)) {
            AcceptAction::RetryAfter(pause) => pause.as_millis(),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(pauses, [10, 20, 40, 80, 160, 160]);
}

#[test]
fn a_row_of_faults_is_worth_one_line_and_gone_connections_none() {
    let mut retry = AcceptRetry::default();
    let mut line = |number| {
        let next = retry.record_error(&error(number));
        retry.should_log(next)
    };
    assert_eq!([line(libc::ECONNABORTED), line(libc::EMFILE), line(libc::EMFILE)], [false, true, false]);
}

use super::*;

/// Fails with one of these error numbers per attempt, then succeeds.
fn failing(errnos: &'static [i32]) -> impl AsyncFnMut() -> io::Result<()> {
    let mut remaining = errnos.iter().copied();
    async move || remaining.next().map_or(Ok(()), |errno| Err(io::Error::from_raw_os_error(errno)))
}

const TRANSIENT: [i32; 7] = [
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
];

#[tokio::test(start_paused = true)]
async fn transient_errors_are_retried_until_the_socket_is_open() {
    let opened = OpenRetry::start().open("listen", "a:1", OnAddressInUse::Retry, failing(&TRANSIENT)).await;
    opened.unwrap();
}

#[tokio::test(start_paused = true)]
async fn persistent_errors_are_returned_with_advice_within_the_time_limit() {
    for errno in TRANSIENT {
        let start = Instant::now();
        let always_fails = async || Err::<(), _>(io::Error::from_raw_os_error(errno));
        let error =
            OpenRetry::start().open("listen", "a:1", OnAddressInUse::Retry, always_fails).await.unwrap_err();
        assert!(start.elapsed() <= OPEN_TIMEOUT, "{error}");
        assert!(start.elapsed() > OPEN_TIMEOUT / 2, "{error}");
        let text = error.to_string();
        assert!(text.starts_with("listen: a:1: ") && text.ends_with(error.kind.advice()), "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn errors_that_are_not_retried_are_returned_after_one_attempt() {
    let retry = OpenRetry::start();
    for (errnos, on_address_in_use) in [
        (&[libc::EACCES], OnAddressInUse::Retry),
        (&[libc::EAFNOSUPPORT], OnAddressInUse::Retry),
        (&[libc::EADDRINUSE], OnAddressInUse::Fail),
    ] {
        let error = retry.open("listen", "a:1", on_address_in_use, failing(errnos)).await.unwrap_err();
        assert_eq!(error.attempts, 1, "{error}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_sockets_of_one_start_share_the_time_limit() {
    let (start, retry) = (Instant::now(), OpenRetry::start());
    for _ in 0..4 {
        let always_fails = async || Err::<(), _>(io::Error::from_raw_os_error(libc::ENFILE));
        retry.open("listen", "a:1", OnAddressInUse::Retry, always_fails).await.unwrap_err();
    }
    assert!(start.elapsed() <= OPEN_TIMEOUT);
}

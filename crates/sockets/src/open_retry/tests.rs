use super::*;

/// Fails with these numbers, one a try, then opens.
fn failing(numbers: &'static [i32]) -> impl AsyncFnMut() -> io::Result<()> {
    let mut left = numbers.iter().copied();
    async move || left.next().map_or(Ok(()), |number| Err(io::Error::from_raw_os_error(number)))
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
async fn what_fails_for_a_moment_is_opened_in_the_end() {
    let opened = OpenRetry::start().open("listen", "a:1", OnAddressInUse::Retry, failing(&TRANSIENT)).await;
    opened.unwrap();
}

#[tokio::test(start_paused = true)]
async fn what_lasts_is_reported_within_the_limit_with_its_advice() {
    for number in TRANSIENT {
        let begun = Instant::now();
        let always = async || Err::<(), _>(io::Error::from_raw_os_error(number));
        let error =
            OpenRetry::start().open("listen", "a:1", OnAddressInUse::Retry, always).await.unwrap_err();
        assert!(begun.elapsed() <= LIMIT, "{error}");
        assert!(begun.elapsed() > LIMIT / 2, "{error}");
        let text = error.to_string();
        assert!(text.starts_with("listen: a:1: ") && text.ends_with(error.kind.advice()), "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_no_retry_helps_is_reported_at_once() {
    let retry = OpenRetry::start();
    for (numbers, in_use) in [
        (&[libc::EACCES], OnAddressInUse::Retry),
        (&[libc::EAFNOSUPPORT], OnAddressInUse::Retry),
        (&[libc::EADDRINUSE], OnAddressInUse::Fail),
    ] {
        let error = retry.open("listen", "a:1", in_use, failing(numbers)).await.unwrap_err();
        assert_eq!(error.attempts, 1, "{error}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_sockets_of_one_start_share_one_limit() {
    let (begun, retry) = (Instant::now(), OpenRetry::start());
    for _ in 0..4 {
        let always = async || Err::<(), _>(io::Error::from_raw_os_error(libc::ENFILE));
        retry.open("listen", "a:1", OnAddressInUse::Retry, always).await.unwrap_err();
    }
    assert!(begun.elapsed() <= LIMIT);
}

use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn only_a_want_of_descriptors_or_memory_calls_for_room_at_an_accept() {
    let exhausted = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let connection = [
        libc::ECONNABORTED,
        libc::ECONNRESET,
        libc::EINTR,
        libc::EPERM,
        libc::ENETDOWN,
        libc::EPROTO,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::ETIMEDOUT,
    ];
    for number in 1..=133 {
        let expected = match number {
            number if exhausted.contains(&number) => AcceptErrorKind::ResourceExhausted,
            number if connection.contains(&number) => AcceptErrorKind::Connection,
            _ => AcceptErrorKind::Other,
        };
        assert_eq!(classify_accept_error(&error(number)), expected, "{}", error(number));
    }
    assert_eq!(classify_accept_error(&io::Error::other("no number")), AcceptErrorKind::Other);
}

#[test]
fn a_worker_is_blamed_for_no_connect_that_failed_on_this_machine() {
    let local = [
        libc::EADDRNOTAVAIL,
        libc::EADDRINUSE,
        libc::EAGAIN,
        libc::EINTR,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    let path = [libc::ENETUNREACH, libc::ENETDOWN, libc::EHOSTUNREACH, libc::EHOSTDOWN];
    for number in 1..=133 {
        let expected = match number {
            number if local.contains(&number) => ConnectErrorKind::Local,
            number if path.contains(&number) => ConnectErrorKind::Path,
            _ => ConnectErrorKind::Remote,
        };
        assert_eq!(classify_connect_error(&error(number)), expected, "{}", error(number));
    }
    for remote in [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::ECONNRESET] {
        assert_eq!(classify_connect_error(&error(remote)), ConnectErrorKind::Remote);
    }
}

#[test]
fn an_operator_finds_the_code_and_the_advice_of_every_fault_on_the_page() {
    let page = include_str!("../../../../docs/operate/errors.md");
    for kind in OpenErrorKind::ALL {
        assert!(page.contains(&format!("| `{}` |", kind.code())), "{kind:?}");
        assert!(!kind.advice().is_empty());
    }
}

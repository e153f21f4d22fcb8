use super::*;

fn error(errno: i32) -> io::Error {
    io::Error::from_raw_os_error(errno)
}

#[test]
fn accept_errors_are_classified_by_errno() {
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
    for errno in 1..=133 {
        let expected = match errno {
            errno if exhausted.contains(&errno) => AcceptErrorKind::ResourceExhausted,
            errno if connection.contains(&errno) => AcceptErrorKind::Connection,
            _ => AcceptErrorKind::Other,
        };
        assert_eq!(classify_accept_error(&error(errno)), expected, "{}", error(errno));
    }
    assert_eq!(classify_accept_error(&io::Error::other("no errno")), AcceptErrorKind::Other);
}

#[test]
fn connect_errors_of_this_machine_are_not_classified_as_remote() {
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
    for errno in 1..=133 {
        let expected = match errno {
            errno if local.contains(&errno) => ConnectErrorKind::Local,
            errno if path.contains(&errno) => ConnectErrorKind::Path,
            _ => ConnectErrorKind::Remote,
        };
        assert_eq!(classify_connect_error(&error(errno)), expected, "{}", error(errno));
    }
    for remote in [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::ECONNRESET] {
        assert_eq!(classify_connect_error(&error(remote)), ConnectErrorKind::Remote);
    }
}

#[test]
fn every_open_error_has_advice_and_its_code_is_documented() {
    let page = include_str!("../../../../docs/operate/errors.md");
    for kind in OpenErrorKind::ALL {
        assert!(page.contains(&format!("| `{}` |", kind.code())), "{kind:?}");
        assert!(!kind.advice().is_empty());
    }
}

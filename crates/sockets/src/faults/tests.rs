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
            number if exhausted.contains(&number) => AcceptFault::Exhausted,
            number if connection.contains(&number) => AcceptFault::Connection,
            _ => AcceptFault::Other,
        };
        assert_eq!(accept_fault(&error(number)), expected, "{}", error(number));
    }
    assert_eq!(accept_fault(&io::Error::other("no number")), AcceptFault::Other);
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
            number if local.contains(&number) => ConnectFault::Local,
            number if path.contains(&number) => ConnectFault::Path,
            _ => ConnectFault::Remote,
        };
        assert_eq!(connect_fault(&error(number)), expected, "{}", error(number));
    }
    for remote in [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::ECONNRESET] {
        assert_eq!(connect_fault(&error(remote)), ConnectFault::Remote);
    }
}

#[test]
fn an_operator_finds_the_code_and_the_advice_of_every_fault_on_the_page() {
    let page = include_str!("../../../../docs/operate/errors.md");
    for fault in OpenFault::ALL {
        assert!(page.contains(&format!("| `{}` |", fault.code())), "{fault:?}");
        assert!(!fault.advice().is_empty());
    }
}

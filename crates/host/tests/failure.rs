//! What errors of system calls are taken for.

use std::io::{self, ErrorKind};

use mothpier_host::failure::{AcceptFailure, BindFailure, ConnectFailure, ReceiveFailure};

/// The failure that each of these numbers is read as.
fn each<F>(of: impl Fn(&io::Error) -> F, numbers: &[i32]) -> Vec<F> {
    numbers.iter().map(|number| of(&io::Error::from_raw_os_error(*number))).collect()
}

/// Whether all of them are read as this.
fn all<F: PartialEq + std::fmt::Debug>(of: impl Fn(&io::Error) -> F, numbers: &[i32], expected: F) {
    for (number, failure) in numbers.iter().zip(each(of, numbers)) {
        assert_eq!(failure, expected, "errno {number}");
    }
}

#[test]
fn errors_of_bind_pass_or_last() {
    let passing = [libc::ENOBUFS, libc::ENOMEM, libc::EMFILE, libc::ENFILE, libc::EINTR];
    all(BindFailure::of, &passing, BindFailure::Passing);
    all(BindFailure::of, &[libc::EADDRINUSE], BindFailure::AddressInUse);
    all(BindFailure::of, &[libc::EADDRNOTAVAIL], BindFailure::AddressUnavailable);
    all(BindFailure::of, &[libc::EACCES, libc::EAFNOSUPPORT, libc::EINVAL], BindFailure::Lasting);
}

#[test]
fn errors_of_accept_concern_a_connection_or_the_machine() {
    let connection = [
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::EPERM,
        libc::EINTR,
    ];
    all(AcceptFailure::from_error, &connection, AcceptFailure::ThisConnection);
    let short = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    all(AcceptFailure::from_error, &short, AcceptFailure::OutOfResources);
    all(AcceptFailure::from_error, &[libc::EINVAL, libc::EBADF], AcceptFailure::Other);
}

#[test]
fn errors_of_connect_are_this_machines_or_the_other_sides() {
    let local = [
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EINTR,
    ];
    all(ConnectFailure::from_error, &local, ConnectFailure::Local);
    let remote = [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    all(ConnectFailure::from_error, &remote, ConnectFailure::Remote);
}

#[test]
fn errors_of_a_datagram_that_was_sent_earlier_are_told_once() {
    all(ReceiveFailure::of, &[libc::ECONNREFUSED, libc::EINTR], ReceiveFailure::EarlierDatagram);
    all(ReceiveFailure::of, &[libc::ENOBUFS, libc::ENOMEM, libc::EBADF], ReceiveFailure::Other);
}

#[test]
fn an_error_without_a_number_is_read_by_its_kind() {
    assert_eq!(BindFailure::of(&ErrorKind::AddrInUse.into()), BindFailure::AddressInUse);
    assert_eq!(
        AcceptFailure::from_error(&ErrorKind::ConnectionAborted.into()),
        AcceptFailure::ThisConnection
    );
    assert_eq!(ConnectFailure::from_error(&ErrorKind::AddrNotAvailable.into()), ConnectFailure::Local);
    assert_eq!(ConnectFailure::from_error(&ErrorKind::ConnectionRefused.into()), ConnectFailure::Remote);
    assert_eq!(ConnectFailure::from_error(&io::Error::other("no number")), ConnectFailure::Remote);
}

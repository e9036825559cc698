//! Classification of errors of system calls.

use std::io::{self, ErrorKind};

use mothpier_host::failure::{AcceptFailure, BindFailure, ConnectFailure, ReceiveFailure};

/// The failures that these errnos are classified as.
fn classify_each<F>(classify: impl Fn(&io::Error) -> F, errnos: &[i32]) -> Vec<F> {
    errnos.iter().map(|errno| classify(&io::Error::from_raw_os_error(*errno))).collect()
}

/// Checks that all of these errnos are classified as one failure.
fn assert_all<F: PartialEq + std::fmt::Debug>(
    classify: impl Fn(&io::Error) -> F,
    errnos: &[i32],
    expected: F,
) {
    for (errno, failure) in errnos.iter().zip(classify_each(classify, errnos)) {
        assert_eq!(failure, expected, "errno {errno}");
    }
}

#[test]
fn errors_of_bind_are_transient_or_permanent() {
    let transient = [libc::ENOBUFS, libc::ENOMEM, libc::EMFILE, libc::ENFILE, libc::EINTR];
    assert_all(BindFailure::from_error, &transient, BindFailure::Transient);
    assert_all(BindFailure::from_error, &[libc::EADDRINUSE], BindFailure::AddressInUse);
    assert_all(BindFailure::from_error, &[libc::EADDRNOTAVAIL], BindFailure::AddressUnavailable);
    assert_all(
        BindFailure::from_error,
        &[libc::EACCES, libc::EAFNOSUPPORT, libc::EINVAL],
        BindFailure::Permanent,
    );
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
    assert_all(AcceptFailure::from_error, &connection, AcceptFailure::ThisConnection);
    let out_of_resources = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    assert_all(AcceptFailure::from_error, &out_of_resources, AcceptFailure::OutOfResources);
    assert_all(AcceptFailure::from_error, &[libc::EINVAL, libc::EBADF], AcceptFailure::Other);
}

#[test]
fn errors_of_connect_are_local_or_remote() {
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
    assert_all(ConnectFailure::from_error, &local, ConnectFailure::Local);
    let remote = [libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
    assert_all(ConnectFailure::from_error, &remote, ConnectFailure::Remote);
}

#[test]
fn errors_of_an_earlier_datagram_are_retried_at_once() {
    assert_all(
        ReceiveFailure::from_error,
        &[libc::ECONNREFUSED, libc::EINTR],
        ReceiveFailure::EarlierDatagram,
    );
    assert_all(
        ReceiveFailure::from_error,
        &[libc::ENOBUFS, libc::ENOMEM, libc::EBADF],
        ReceiveFailure::Other,
    );
}

#[test]
fn an_error_without_errno_is_classified_by_its_kind() {
    assert_eq!(BindFailure::from_error(&ErrorKind::AddrInUse.into()), BindFailure::AddressInUse);
    assert_eq!(
        AcceptFailure::from_error(&ErrorKind::ConnectionAborted.into()),
        AcceptFailure::ThisConnection
    );
    assert_eq!(ConnectFailure::from_error(&ErrorKind::AddrNotAvailable.into()), ConnectFailure::Local);
    assert_eq!(ConnectFailure::from_error(&ErrorKind::ConnectionRefused.into()), ConnectFailure::Remote);
    assert_eq!(ConnectFailure::from_error(&io::Error::other("no errno")), ConnectFailure::Remote);
}

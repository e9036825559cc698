//! Classification of failed system calls on sockets: where the failure lies, and whether it is transient.
//!
//! Each type classifies the errors of one kind of call by the reaction that they need. Errors without an errno (a
//! simulated host may make them from an [`ErrorKind`] alone) are classified by their kind.

use std::io::{self, ErrorKind};

/// Why a socket couldn't be opened at an address: the errors of `socket(2)`, `bind(2)` and `listen(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindFailure {
    /// The machine is short of a resource for a while, or a signal interrupted the call: a later try may succeed.
    Transient,
    /// Another socket has the address. It may belong to a process that is about to end.
    AddressInUse,
    /// The machine does not have this address, or has no free port: that may change, or never.
    AddressUnavailable,
    /// No later try would succeed.
    Permanent,
}

impl BindFailure {
    /// Classifies the error of a call that opens a socket.
    pub fn from_error(error: &io::Error) -> BindFailure {
        match errno(error) {
            // No memory for the socket or its buffers, no free descriptor (of this process or of the machine), a
            // signal, or a resource for which the system asks to try again.
            Some(libc::ENOBUFS | libc::ENOMEM | libc::EMFILE | libc::ENFILE | libc::EINTR | libc::EAGAIN) => {
                BindFailure::Transient
            }
            Some(libc::EADDRINUSE) => BindFailure::AddressInUse,
            Some(libc::EADDRNOTAVAIL) => BindFailure::AddressUnavailable,
            // EACCES and EPERM: not permitted. EAFNOSUPPORT, EINVAL, EPROTONOSUPPORT and all others: not possible.
            _ => BindFailure::Permanent,
        }
    }
}

/// Why no connection was accepted: the errors of `accept(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// It concerns the next connection in the queue only, and that one is gone: the call is made again at once.
    ThisConnection,
    /// The process or the machine is short of descriptors or memory: something must be closed first.
    OutOfResources,
    /// Any other error: it may be transient.
    Other,
}

impl AcceptFailure {
    /// Classifies the error of a call that accepts a connection.
    pub fn from_error(error: &io::Error) -> AcceptFailure {
        match errno(error) {
            // The client closed the connection before it was accepted, or a signal interrupted the call.
            Some(libc::ECONNABORTED | libc::ECONNRESET | libc::EINTR) => AcceptFailure::ThisConnection,
            // "Linux accept() passes already-pending network errors on the new socket as an error code from accept().
            // For reliable operation the application should detect the network errors defined for the protocol after
            // accept() and treat them like EAGAIN by retrying" (accept(2)): these are the errors that it names for
            // TCP/IP.
            Some(
                libc::ENETDOWN
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH,
            ) => AcceptFailure::ThisConnection,
            // A firewall rule forbids this connection.
            Some(libc::EPERM) => AcceptFailure::ThisConnection,
            // No free descriptor (of this process or of the machine), no memory for the socket, no room in epoll's
            // table.
            Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::ENOSPC) => {
                AcceptFailure::OutOfResources
            }
            _ => AcceptFailure::Other,
        }
    }
}

/// Where a failure to connect lies: the errors of `socket(2)` and `connect(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// On this machine: it tells nothing about the remote end, and any other address might fail in the same way.
    Local,
    /// At the remote end or on the path to it.
    Remote,
}

impl ConnectFailure {
    /// Classifies the error of a call that connects.
    pub fn from_error(error: &io::Error) -> ConnectFailure {
        match errno(error) {
            // No memory for the socket or its buffers, no free descriptor (of this process or of the machine), no room
            // in epoll's table.
            Some(libc::ENOBUFS | libc::ENOMEM | libc::EMFILE | libc::ENFILE | libc::ENOSPC) => {
                ConnectFailure::Local
            }
            // Every ephemeral port is taken (EAGAIN on older systems, EADDRINUSE for a bound one).
            Some(libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN) => ConnectFailure::Local,
            // This machine's own interface is down, or its routing table has no route.
            Some(libc::ENETDOWN | libc::ENETUNREACH) => ConnectFailure::Local,
            // A firewall rule of this machine, or an address that this socket can't be used for.
            Some(libc::EACCES | libc::EPERM | libc::EAFNOSUPPORT | libc::EINVAL) => ConnectFailure::Local,
            // A signal interrupted the call.
            Some(libc::EINTR) => ConnectFailure::Local,
            // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET and all others: a server that can't be reached for an
            // unknown reason is not one to use.
            _ => ConnectFailure::Remote,
        }
    }
}

/// The reaction to an error of a UDP socket: the errors of `recvfrom(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveFailure {
    /// It reports the fate of an earlier datagram, and is reported once: the call is made again at once.
    EarlierDatagram,
    /// Any other error may occur again at the next call: a pause comes first.
    Other,
}

impl ReceiveFailure {
    /// Classifies the error of a call that receives a datagram.
    pub fn from_error(error: &io::Error) -> ReceiveFailure {
        match errno(error) {
            // ICMP messages about a datagram that was sent earlier; a signal.
            Some(
                libc::ECONNREFUSED | libc::EHOSTUNREACH | libc::ENETUNREACH | libc::EMSGSIZE | libc::EINTR,
            ) => ReceiveFailure::EarlierDatagram,
            _ => ReceiveFailure::Other,
        }
    }
}

/// The errno of an error, or one that stands for its kind.
fn errno(error: &io::Error) -> Option<i32> {
    error.raw_os_error().or_else(|| {
        Some(match error.kind() {
            ErrorKind::AddrInUse => libc::EADDRINUSE,
            ErrorKind::AddrNotAvailable => libc::EADDRNOTAVAIL,
            ErrorKind::ConnectionAborted => libc::ECONNABORTED,
            ErrorKind::ConnectionRefused => libc::ECONNREFUSED,
            ErrorKind::ConnectionReset => libc::ECONNRESET,
            ErrorKind::HostUnreachable => libc::EHOSTUNREACH,
            ErrorKind::Interrupted => libc::EINTR,
            ErrorKind::NetworkDown => libc::ENETDOWN,
            ErrorKind::NetworkUnreachable => libc::ENETUNREACH,
            ErrorKind::OutOfMemory => libc::ENOMEM,
            ErrorKind::PermissionDenied => libc::EACCES,
            ErrorKind::TimedOut => libc::ETIMEDOUT,
            ErrorKind::WouldBlock => libc::EAGAIN,
            _ => return None,
        })
    })
}

//! What a failed system call on a socket tells: whose failure it is, and whether it passes.
//!
//! Each function takes the error of one kind of call and names the reaction that it asks for. Errors that carry no number
//! of the system (a simulated machine may make them from an [`ErrorKind`] alone) are read by their kind.

use std::io::{self, ErrorKind};

/// Why a socket couldn't be opened at an address: the errors of `socket(2)`, `bind(2)` and `listen(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindFailure {
    /// The machine is short of something for a while, or a signal came between: a later try may succeed.
    Passing,
    /// Another socket has the address. It may be that of a process which is about to end.
    AddressInUse,
    /// The machine has no such address, or has no free port: it may get one, or never.
    AddressUnavailable,
    /// No later try would succeed.
    Lasting,
}

impl BindFailure {
    /// Reads the error of a call that opens a socket.
    pub fn of(error: &io::Error) -> BindFailure {
        match number(error) {
            // No memory for the socket or its buffers, no descriptor free (of this process, of the machine), a signal,
            // or a resource that the system asks to be tried for again.
            Some(libc::ENOBUFS | libc::ENOMEM | libc::EMFILE | libc::ENFILE | libc::EINTR | libc::EAGAIN) => {
                BindFailure::Passing
            }
            Some(libc::EADDRINUSE) => BindFailure::AddressInUse,
            Some(libc::EADDRNOTAVAIL) => BindFailure::AddressUnavailable,
            // EACCES and EPERM: not allowed here. EAFNOSUPPORT, EINVAL, EPROTONOSUPPORT and all others: not possible.
            _ => BindFailure::Lasting,
        }
    }
}

/// Why no connection was accepted: the errors of `accept(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// It concerns the connection that was next in the queue, and that one is gone: the call is made again at once.
    ThisConnection,
    /// The process or the machine is short of descriptors or memory: something must be closed first.
    OutOfResources,
    /// Anything else: it may pass.
    Other,
}

impl AcceptFailure {
    /// Reads the error of a call that accepts.
    pub fn from_error(error: &io::Error) -> AcceptFailure {
        match number(error) {
            // The client closed before it was accepted, or a signal came.
            Some(libc::ECONNABORTED | libc::ECONNRESET | libc::EINTR) => AcceptFailure::ThisConnection,
            // "Linux accept() passes already-pending network errors on the new socket as an error code from accept(). For
            // reliable operation the application should detect the network errors defined for the protocol after accept()
            // and treat them like EAGAIN by retrying" (accept(2)): these are the ones that it names for TCP/IP.
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
            // A rule of the firewall forbids this connection.
            Some(libc::EPERM) => AcceptFailure::ThisConnection,
            // No descriptor free (of this process, of the machine), no memory for the socket, no place in epoll's table.
            Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::ENOSPC) => {
                AcceptFailure::OutOfResources
            }
            _ => AcceptFailure::Other,
        }
    }
}

/// Where a connection that couldn't be made failed: the errors of `socket(2)` and `connect(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// On this machine: it tells nothing about the other side, and any other address might fail alike.
    Local,
    /// At the other side or on the way to it.
    Remote,
}

impl ConnectFailure {
    /// Reads the error of a call that connects.
    pub fn from_error(error: &io::Error) -> ConnectFailure {
        match number(error) {
            // No memory for the socket or its buffers, no descriptor free (of this process, of the machine), no place in
            // epoll's table.
            Some(libc::ENOBUFS | libc::ENOMEM | libc::EMFILE | libc::ENFILE | libc::ENOSPC) => {
                ConnectFailure::Local
            }
            // Every port for outgoing connections is taken (EAGAIN on older systems, EADDRINUSE for a bound one).
            Some(libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN) => ConnectFailure::Local,
            // This machine's own interface or table of routes has no way out.
            Some(libc::ENETDOWN | libc::ENETUNREACH) => ConnectFailure::Local,
            // A rule of this machine's firewall, or an address that this socket can't be used for.
            Some(libc::EACCES | libc::EPERM | libc::EAFNOSUPPORT | libc::EINVAL) => ConnectFailure::Local,
            // A signal came between.
            Some(libc::EINTR) => ConnectFailure::Local,
            // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET and all others: a server that can't be reached for a
            // reason that is not known is not one to use.
            _ => ConnectFailure::Remote,
        }
    }
}

/// What an error of a socket for datagrams asks for: those of `recvfrom(2)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveFailure {
    /// It tells of a datagram that was sent earlier, and is told once: the call is made again at once.
    EarlierDatagram,
    /// Anything else may be there at the next call, too: a pause comes first.
    Other,
}

impl ReceiveFailure {
    /// Reads the error of a call that receives.
    pub fn of(error: &io::Error) -> ReceiveFailure {
        match number(error) {
            // Messages of ICMP about a datagram that was sent; a signal.
            Some(
                libc::ECONNREFUSED | libc::EHOSTUNREACH | libc::ENETUNREACH | libc::EMSGSIZE | libc::EINTR,
            ) => ReceiveFailure::EarlierDatagram,
            _ => ReceiveFailure::Other,
        }
    }
}

/// The system's number of an error.
fn number(error: &io::Error) -> Option<i32> {
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

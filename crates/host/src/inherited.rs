//! A listening socket that the parent process has left open for this one.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

use socket2::{Domain, SockRef, Type};

/// The first descriptor behind standard input, output and error.
const FIRST_INHERITABLE: RawFd = 3;

/// Takes over the listener with the descriptor that a text names. Works once in a process, which calls it before it
/// opens anything else. The socket is only accepted from: other processes share it, and shutting it down would end it
/// for all of them.
///
/// # Errors
/// One line: the text is no descriptor, the descriptor is not open, or it is no listening TCP socket.
pub fn listener(text: &str) -> Result<TcpListener, String> {
    let descriptor = text.parse::<RawFd>().ok().filter(|n| *n >= FIRST_INHERITABLE);
    let descriptor = descriptor.ok_or_else(|| format!("{text:?} is no number of an inherited descriptor"))?;
    let owned =
        take_descriptor(descriptor).map_err(|e| format!("descriptor {descriptor} can't be taken: {e}"))?;
    let socket = SockRef::from(&owned);
    let listens = socket.is_listener().map_err(|e| format!("descriptor {descriptor} is no socket: {e}"))?;
    let stream = socket.r#type().is_ok_and(|t| t == Type::STREAM);
    let internet = socket.domain().is_ok_and(|d| d == Domain::IPV4 || d == Domain::IPV6);
    if !(listens && stream && internet) {
        return Err(format!("descriptor {descriptor} is no TCP socket that listens"));
    }
    // All processes that share the socket want it non-blocking: two of them woken for one connection must not block on
    // it.
    socket.set_nonblocking(true).map_err(|e| format!("descriptor {descriptor}: {e}"))?;
    Ok(owned.into())
}

/// Takes ownership of a descriptor that was open when the process began.
#[allow(unsafe_code)]
fn take_descriptor(descriptor: RawFd) -> io::Result<OwnedFd> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(io::Error::other("an inherited descriptor was taken before"));
    }
    // SAFETY: the call reads a flag of the descriptor or fails; it touches no memory of this process.
    if unsafe { libc::fcntl(descriptor, libc::F_GETFD) } == -1 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is open, as was just checked. Nothing else in the process owns it: it was there before the
    // process opened its first, and the flag above lets this happen once.
    Ok(unsafe { OwnedFd::from_raw_fd(descriptor) })
}

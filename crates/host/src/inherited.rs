//! A listening socket that the one who started the process left open for it.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

use socket2::{Domain, SockRef, Type};

/// Standard input, output and error are no listener of ours.
const FIRST: RawFd = 3;

/// Takes over the listener whose descriptor a text names. Works once in the life of a process, which calls it before it
/// opens anything. The socket is only accepted from: it belongs to other processes, too, and to shut it down would end it
/// for all of them.
///
/// # Errors
/// One plain line: the text is no number of a descriptor, none is open under it, or it is no TCP socket that listens.
pub fn listener(text: &str) -> Result<TcpListener, String> {
    let number = text.parse::<RawFd>().ok().filter(|n| *n >= FIRST);
    let number = number.ok_or_else(|| format!("{text:?} is no number of an inherited descriptor"))?;
    let owned = take(number).map_err(|e| format!("descriptor {number} can't be taken: {e}"))?;
    let socket = SockRef::from(&owned);
    let listens = socket.is_listener().map_err(|e| format!("descriptor {number} is no socket: {e}"))?;
    let stream = socket.r#type().is_ok_and(|t| t == Type::STREAM);
    let internet = socket.domain().is_ok_and(|d| d == Domain::IPV4 || d == Domain::IPV6);
    if !(listens && stream && internet) {
        return Err(format!("descriptor {number} is no TCP socket that listens"));
    }
    // Shared by all that hold it, and wanted so by all: two that are woken for one connection must not block on it.
    socket.set_nonblocking(true).map_err(|e| format!("descriptor {number}: {e}"))?;
    Ok(owned.into())
}

/// Takes a descriptor that was open when the process began.
#[allow(unsafe_code)]
fn take(number: RawFd) -> io::Result<OwnedFd> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(io::Error::other("one was taken before"));
    }
    // SAFETY: the call reads a flag of the descriptor or fails; it touches no memory of ours.
    if unsafe { libc::fcntl(number, libc::F_GETFD) } == -1 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is open, as was just seen. Nothing else in the process owns it: it was there before the
    // process opened its first, and the flag above lets this happen once.
    Ok(unsafe { OwnedFd::from_raw_fd(number) })
}

//! What Linux reports about a TCP connection (`TCP_INFO`, tcp(7)).

use std::mem::{MaybeUninit, offset_of, size_of};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use libc::tcp_info;

/// The least length of the structure, in bytes, that includes the time of the last arrival.
const MIN_LENGTH_BYTES: usize = offset_of!(tcp_info, tcpi_last_data_recv) + size_of::<u32>();

/// States of a connection that has received a FIN or a reset (`include/net/tcp_states.h`): TIME_WAIT, CLOSE, CLOSE_WAIT,
/// LAST_ACK and CLOSING.
const REMOTE_CLOSED_STATES: [u8; 5] = [6, 7, 8, 9, 11];

/// How long ago the last segment with data arrived; `None` where the system doesn't report it.
pub(crate) fn since_last_data(socket: BorrowedFd<'_>) -> Option<Duration> {
    Some(Duration::from_millis(read(socket)?.tcpi_last_data_recv.into()))
}

/// Whether the remote end has shut down writing or reset the connection, though there may be data left to read; `None`
/// where the system doesn't report it.
pub(crate) fn remote_end_closed(socket: BorrowedFd<'_>) -> Option<bool> {
    Some(REMOTE_CLOSED_STATES.contains(&read(socket)?.tcpi_state))
}

#[allow(unsafe_code)]
fn read(socket: BorrowedFd<'_>) -> Option<tcp_info> {
    let mut info = MaybeUninit::<tcp_info>::zeroed();
    let mut length = size_of::<tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as it is borrowed. The kernel writes no more than `length` bytes, the
    // size of the structure that the pointer refers to.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result == -1 || (length as usize) < MIN_LENGTH_BYTES {
        return None;
    }
    // SAFETY: all fields are integers and were zeroed before, so fields that the kernel left out are valid too.
    Some(unsafe { info.assume_init() })
}

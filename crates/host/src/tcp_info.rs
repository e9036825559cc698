//! What Linux reports about a TCP connection (`TCP_INFO`, tcp(7)).

use std::mem::{MaybeUninit, offset_of, size_of};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use libc::tcp_info;

/// The least length of the structure, in bytes, that includes the time of the last arrival.
const MIN_LENGTH_BYTES: usize = offset_of!(tcp_info, tcpi_last_data_recv) + size_of::<u32>();

/// How long ago the last segment with data arrived; `None` where the system doesn't report it.
#[allow(unsafe_code)]
pub(crate) fn since_last_data(socket: BorrowedFd<'_>) -> Option<Duration> {
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
    let info = unsafe { info.assume_init() };
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

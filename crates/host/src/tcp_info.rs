//! What Linux tells of a TCP connection (`TCP_INFO`, tcp(7)).

use std::mem::{MaybeUninit, offset_of, size_of};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use libc::tcp_info;

/// How many bytes of the structure there must be for the time of the last arrival to be among them.
const NEEDED: usize = offset_of!(tcp_info, tcpi_last_data_recv) + size_of::<u32>();

/// How long ago the last segment with data arrived; `None` where the system doesn't say.
#[allow(unsafe_code)]
pub(crate) fn since_last_data(socket: BorrowedFd<'_>) -> Option<Duration> {
    let mut info = MaybeUninit::<tcp_info>::zeroed();
    let mut length = size_of::<tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open for as long as it is borrowed. The kernel writes no more than `length` bytes, which is
    // the size of the structure that the pointer leads to.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result == -1 || (length as usize) < NEEDED {
        return None;
    }
    // SAFETY: all fields are integers, which were zeroed before, so that those which the kernel left out are valid too.
    let info = unsafe { info.assume_init() };
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

//! Opening the addresses of a node at its start: what hinders that for a moment is tried again.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::Host;
use crate::failure::BindFailure;

/// How long an address is tried for while the machine is short of something, or another socket has the address. A node has
/// to be ready within 6 s nine times in ten and within 30 s always, and opens four addresses at most, one after the
/// other: this leaves it 10 s for all else.
pub const PASSING_LIMIT: Duration = Duration::from_secs(5);
/// How long an address is tried for that the machine doesn't have. An interface that comes up late has it in a second or
/// two; a wrong address in a configuration is to be told soon.
pub const UNAVAILABLE_LIMIT: Duration = Duration::from_secs(2);
/// The pause after the first failure; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause: what is free again is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Listens for connections as [`Host::listen`], and tries again for a while where the failure may pass.
///
/// # Errors
/// One that lasts, or the last of those that didn't pass in time.
pub async fn listen_with_retry<H: Host>(host: &H, at: SocketAddr) -> io::Result<H::Listener> {
    open_with_retry(host, at, false, || host.listen(at)).await
}

/// Opens a socket for datagrams as [`Host::datagrams`], and tries again for a while where the failure may pass. Where the
/// address is `shared`, one that another socket has is an error at once.
///
/// # Errors
/// One that lasts, or the last of those that didn't pass in time.
pub async fn datagrams_with_retry<H: Host>(
    host: &H,
    at: SocketAddr,
    shared: bool,
) -> io::Result<H::Datagrams> {
    open_with_retry(host, at, shared, || host.datagrams(at)).await
}

async fn open_with_retry<H: Host, T, O: Future<Output = io::Result<T>>>(
    host: &H,
    at: SocketAddr,
    shared: bool,
    mut open: impl FnMut() -> O,
) -> io::Result<T> {
    let began = Instant::now();
    let mut pause = FIRST_PAUSE;
    loop {
        let error = match open().await {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        let Some(limit) = limit_of(&error, shared) else { return Err(error) };
        if began.elapsed() + pause > limit {
            return Err(error);
        }
        if pause == FIRST_PAUSE {
            host.log(format_args!("cannot open {at} yet: {error}"));
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// How long an address is tried for that fails so; `None` where it is not tried again.
fn limit_of(error: &io::Error, shared: bool) -> Option<Duration> {
    match BindFailure::of(error) {
        BindFailure::Passing => Some(PASSING_LIMIT),
        BindFailure::AddressInUse => (!shared).then_some(PASSING_LIMIT),
        BindFailure::AddressUnavailable => Some(UNAVAILABLE_LIMIT),
        BindFailure::Lasting => None,
    }
}

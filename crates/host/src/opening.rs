//! Opening the addresses of a node at its start, with retries of transient failures.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::Host;
use crate::failure::BindFailure;

/// How long an address is retried while the machine is short of a resource, or another socket has the address. A node
/// must be ready within 6 s in nine of ten starts and within 30 s always, and opens at most four addresses, one after
/// the other: this leaves 10 s for everything else.
pub const TRANSIENT_RETRY_LIMIT: Duration = Duration::from_secs(5);
/// How long an address is retried that the machine doesn't have. An interface that comes up late has it in a second or
/// two; a wrong address in a configuration should be reported soon.
pub const UNAVAILABLE_RETRY_LIMIT: Duration = Duration::from_secs(2);
/// The pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause: an address that becomes free is noticed soon.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Listens for connections as [`Host::listen`], and retries transient failures for a while.
///
/// # Errors
/// A permanent failure, or the last of the transient ones.
pub async fn listen_with_retry<H: Host>(host: &H, at: SocketAddr) -> io::Result<H::Listener> {
    open_with_retry(host, at, false, || host.listen(at)).await
}

/// Opens a UDP socket as [`Host::datagrams`], and retries transient failures for a while. Where the address is
/// `shared`, an address in use is an error at once.
///
/// # Errors
/// A permanent failure, or the last of the transient ones.
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
        let Some(limit) = retry_limit(&error, shared) else { return Err(error) };
        if began.elapsed() + pause > limit {
            return Err(error);
        }
        if pause == FIRST_PAUSE {
            host.log(format_args!("cannot open {at} yet, trying again: {error}"));
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// How long an address with this error is retried; `None` where it is not retried.
fn retry_limit(error: &io::Error, shared: bool) -> Option<Duration> {
    match BindFailure::from_error(error) {
        BindFailure::Transient => Some(TRANSIENT_RETRY_LIMIT),
        BindFailure::AddressInUse => (!shared).then_some(TRANSIENT_RETRY_LIMIT),
        BindFailure::AddressUnavailable => Some(UNAVAILABLE_RETRY_LIMIT),
        BindFailure::Permanent => None,
    }
}

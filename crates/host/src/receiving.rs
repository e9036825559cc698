//! Receiving datagrams despite occasional or lasting failures.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::sleep;

use crate::Datagrams;
use crate::failure::ReceiveFailure;

/// Failures in a row that are retried at once. Each reports one datagram sent earlier to one of the other nodes; more
/// in a row mean a lasting failure.
const MAX_IMMEDIATE_RETRIES: usize = 512;
/// The first pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Receives the next datagram as [`Datagrams::recv_from`] and retries failures: at once if the failure reports a
/// datagram sent earlier, after a growing pause otherwise.
pub async fn receive_with_backoff(socket: &impl Datagrams, buffer: &mut [u8]) -> (usize, SocketAddr) {
    let (mut failures, mut pause) = (0, FIRST_PAUSE);
    loop {
        let error = match socket.recv_from(buffer).await {
            Ok(received) => return received,
            Err(error) => error,
        };
        failures += 1;
        if ReceiveFailure::from_error(&error) == ReceiveFailure::EarlierDatagram
            && failures <= MAX_IMMEDIATE_RETRIES
        {
            yield_now().await;
            continue;
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

//! Receiving datagrams although that fails now and then, or for a while.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::sleep;

use crate::Datagrams;
use crate::failure::ReceiveFailure;

/// Failures in a row that are each followed by another try at once. Each tells of one datagram that was sent, to one of
/// the other nodes; more of them than that is a failure that lasts.
const AT_ONCE: usize = 512;
/// The first pause, and the longest; it doubles with each failure. Messages of other nodes are a second old at most.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// Takes the next datagram as [`Datagrams::recv_from`], and goes on behind failures: at once behind one that tells of a
/// datagram sent earlier, after a growing pause behind others.
pub async fn receive_with_backoff(socket: &impl Datagrams, buffer: &mut [u8]) -> (usize, SocketAddr) {
    let (mut in_a_row, mut pause) = (0, FIRST_PAUSE);
    loop {
        let error = match socket.recv_from(buffer).await {
            Ok(received) => return received,
            Err(error) => error,
        };
        in_a_row += 1;
        if ReceiveFailure::of(&error) == ReceiveFailure::EarlierDatagram && in_a_row <= AT_ONCE {
            yield_now().await;
            continue;
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

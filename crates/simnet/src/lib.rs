//! A simulated network under a virtual clock.
//!
//! A [`Net`] connects machines, each with an IP address in a zone. Programs on a machine use a [`SimHost`],
//! which implements [`Host`](mothpier_host::Host): the same code runs on real sockets and here. One task
//! delivers all packets in the order of arrival, then of sending; with tokio's paused clock and a single
//! thread, everything that happens follows from a seed. [`run`] sets that up.
//!
//! Modelled parts of TCP: connects that succeed after one round trip, are refused, or never complete (the
//! machine is silent); half-close; resets, after which data that had arrived is still readable, as on Linux;
//! a close with unread data, which resets; data for a closed socket, which is answered with a reset;
//! back-pressure by a window; killed processes, whose connections are all reset, and machines that lose
//! power, which send nothing; links that are cut in one or both directions, whose packets wait for the link
//! as retransmissions do.
//!
//! Not modelled: other loss and reordering inside TCP, congestion, limited bandwidth, and times below the 1
//! ms resolution of tokio's clock (packets within a millisecond keep their order).

mod net;
mod socket;
mod traffic;

use std::future::Future;
use std::time::Duration;

pub use net::{Links, Net, ProcessId};
pub use socket::{SimDatagrams, SimHost, SimListener, SimReading, SimStream};
pub use traffic::{Traffic, TrafficKind};

/// Runs a future to its end on a virtual clock, which advances only when all tasks wait.
///
/// # Panics
/// If the runtime cannot be created, for which only memory can be missing.
pub fn run<F: Future>(make: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { make().await })
}

/// Bytes that one direction of a connection holds between the write and the read at the other side.
pub const WINDOW_BYTES: usize = 128 * 1024;
/// Connections that a listener queues until they are accepted; further ones are dropped without an answer.
pub const BACKLOG: usize = 4096;
/// Datagrams that a socket queues until they are read; further ones are dropped.
pub const DATAGRAM_QUEUE_LENGTH: usize = 256;
/// The longest wait of the delivery task when no packet is queued.
pub(crate) const IDLE_WAIT: Duration = Duration::from_secs(3600);

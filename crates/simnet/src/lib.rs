//! A simulated network under a virtual clock.
//!
//! A [`Net`] joins machines, each an IP address with a zone. A program on one of them sees it as a
//! [`SimHost`], which implements [`Host`](mothpier_host::Host): the same code that runs on real sockets runs here.
//! One task, the *wire*, carries every packet in the order of its arrival time, then of its sending; together with
//! tokio's paused clock and a single thread, a seed decides everything that happens. [`run`] sets that up.
//!
//! What of TCP is there: connections that come up one way and are known at the other, are refused, or never come up
//! (a machine that is silent); half-close; reset, with what had arrived before it still readable, as on Linux; a
//! close with unread bytes, which resets; bytes for a socket that is closed, which are answered with a reset;
//! back-pressure by a window; a process that is killed (all its connections are reset) and a machine that vanishes
//! (nothing is said); links cut in one or both directions, whose packets wait for the link, as retransmissions do.
//! What is not: loss and reordering inside TCP beyond that, congestion, the cost of bandwidth, and times under 1 ms,
//! the grain of tokio's clock (packets within it keep their order).

mod net;
mod socket;
mod tally;

use std::future::Future;
use std::time::Duration;

pub use net::{Links, Net, ProcessId};
pub use socket::{SimDatagrams, SimHost, SimListener, SimReading, SimStream};
pub use tally::{Traffic, TrafficKind};

/// Runs a world to its end on a virtual clock: time passes only when everything waits.
///
/// # Panics
/// Where a runtime can't be made, which needs no more than memory.
pub fn run<F: Future>(make: impl FnOnce() -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { make().await })
}

/// How much one direction of a connection holds between a write and the read at the other side.
pub const WINDOW: usize = 128 * 1024;
/// Connections that a listener holds before its program accepts them; more are dropped, as if never sent.
pub const BACKLOG: usize = 4096;
/// Datagrams that a socket holds before its program reads them; more are dropped.
pub const DATAGRAMS: usize = 256;
/// The longest wait that a machine's log, or another part without better knowledge, needs: one hour.
pub(crate) const LONG: Duration = Duration::from_secs(3600);

//! Server of the operations endpoint: reads the operator's HTTP calls and answers them. It may run on its own
//! runtime, since it shares only the endpoint's state and a channel with the node.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_host::{Host, Listener, Stream};
use mothpier_ops::{CallEffect, CallResult, MAX_HEAD_BYTES, OpsEndpoint};
use tokio::io::AsyncWriteExt;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

use crate::Control;
use crate::accept_failures::{self, AcceptFailureTracker, Reaction};
use crate::discarding::Discarding;
use crate::stream::{close_gracefully, read_some};

/// One connection per this many descriptors: enough for a handful of callers and some that never finish.
const DESCRIPTORS_PER_CONNECTION: usize = 24;
/// Least number of connections.
const MIN_CONNECTIONS: usize = 4;
/// Largest number of connections.
const MAX_CONNECTIONS: usize = 32;
/// Descriptors of the listener and of the runtime.
const OWN_DESCRIPTORS: usize = 8;
/// Descriptors in use with only a few callers.
pub const IDLE_DESCRIPTORS: usize = OWN_DESCRIPTORS + 4;
/// Time within which the head of a request must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the client must have read the response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections in a process with this many descriptors.
fn max_connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_CONNECTION).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// Number of descriptors to reserve for the endpoint.
pub fn reserved_descriptors(process_limit: usize) -> usize {
    max_connections(process_limit) + OWN_DESCRIPTORS
}

/// Connections without a complete request, oldest first, and the number of all connections.
#[derive(Default)]
struct OpenConnections {
    unfinished: RefCell<BTreeMap<u64, AbortHandle>>,
    count: Cell<usize>,
    closed: Notify,
}

/// Counts as one open connection until it is dropped.
struct ConnectionGuard(Rc<OpenConnections>, u64);

impl ConnectionGuard {
    /// The request is complete and is answered whatever else arrives.
    fn request_complete(&self) {
        self.0.unfinished.borrow_mut().remove(&self.1);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.request_complete();
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Serves the operations endpoint until dropped. Must run inside a [`LocalSet`](tokio::task::LocalSet).
pub async fn serve<H: Host>(
    host: H,
    listener: H::Listener,
    endpoint: Arc<OpsEndpoint>,
    control: mpsc::Sender<Control>,
    descriptors: usize,
) {
    let max = max_connections(descriptors);
    let open = Rc::new(OpenConnections::default());
    let mut failures = AcceptFailureTracker::default();
    for number in 0.. {
        while open.count.get() >= max {
            // Evict the oldest connection without a complete request; all others end within a known time.
            if let Some((_, oldest)) = open.unfinished.borrow_mut().pop_first() {
                oldest.abort();
            }
            open.closed.notified().await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Closing the few connections here would not cure a shortage of descriptors.
                match failures.record_failure(&host, "ops", &error) {
                    Reaction::RetryImmediately => yield_now().await,
                    Reaction::Pause | Reaction::EvictAndPause => sleep(accept_failures::RETRY_DELAY).await,
                }
                continue;
            }
        };
        failures.record_success();
        open.count.set(open.count.get() + 1);
        let guard = ConnectionGuard(open.clone(), number);
        let task = spawn_local(handle_connection::<H>(
            stream,
            guard,
            endpoint.clone(),
            control.clone(),
            host.clone(),
        ));
        open.unfinished.borrow_mut().insert(number, task.abort_handle());
    }
}

async fn handle_connection<H: Host>(
    stream: H::Stream,
    guard: ConnectionGuard,
    endpoint: Arc<OpsEndpoint>,
    control: mpsc::Sender<Control>,
    host: H,
) {
    let (reading, mut writing) = stream.into_halves();
    let mut head = BytesMut::new();
    let request = async {
        loop {
            if !read_some(&reading, &mut head).await {
                return None;
            }
            head.truncate(MAX_HEAD_BYTES);
            if let CallResult::Answer { bytes, effect } = endpoint.handle_call(&head) {
                return Some((bytes, effect));
            }
        }
    };
    let (bytes, effect) = match timeout(HEAD_TIMEOUT, request).await {
        Ok(Some(answer)) => answer,
        Ok(None) => return,
        Err(_) => (endpoint.timeout_response(), None),
    };
    guard.request_complete();
    match effect {
        Some(CallEffect::PhaseChanged(step, phase)) => {
            host.log(format_args!("ops: {step:?}; the node is now {phase:?}"));
            // Client connections follow; the lifecycle itself has already changed.
            let _ = control.send(Control::LifecycleChanged).await;
        }
        Some(CallEffect::Order(order)) => drop(control.send(Control::ZoneOrder(order)).await),
        None => {}
    }
    if let Ok(Ok(())) = timeout(WRITE_TIMEOUT, writing.write_all(&bytes)).await {
        close_gracefully(&reading, &mut writing, Discarding::default()).await;
    }
}

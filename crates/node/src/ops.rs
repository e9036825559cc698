//! The second address: calls of staff, from the socket to the desk and back. Its own runtime may drive it, for it shares
//! nothing with the node but the desk and a channel.

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
use crate::stream::{close_gracefully, read_some};

/// One in so many descriptors is for a connection here: a handful of callers and those that never finish.
const DESCRIPTORS_PER_CONNECTION: usize = 24;
/// Connections at once, at least and at most.
const LEAST_CONNECTIONS: usize = 4;
const MOST_CONNECTIONS: usize = 32;
/// Descriptors of the listener and of the runtime.
const OWN_DESCRIPTORS: usize = 8;
/// Descriptors that it holds while nobody but a few callers is there.
pub const IDLE_DESCRIPTORS: usize = OWN_DESCRIPTORS + 4;
/// A head must come whole within this time, and an answer be taken.
const HEAD: Duration = Duration::from_secs(2);
const TAKEN: Duration = Duration::from_secs(1);

/// How many connections it may have, of a process that may hold so many descriptors.
fn connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_CONNECTION).clamp(LEAST_CONNECTIONS, MOST_CONNECTIONS)
}

/// Descriptors to set aside for it.
pub fn reserved_descriptors(all: usize) -> usize {
    connections(all) + OWN_DESCRIPTORS
}

/// The connections without a whole call, oldest first, and the number of all.
#[derive(Default)]
struct Open {
    unfinished: RefCell<BTreeMap<u64, AbortHandle>>,
    all: Cell<usize>,
    closed: Notify,
}

/// One of them; dropping it gives its place back.
struct Place(Rc<Open>, u64);

impl Place {
    /// Its call is whole: it is answered, whoever else comes.
    fn finished(&self) {
        self.0.unfinished.borrow_mut().remove(&self.1);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.finished();
        self.0.all.set(self.0.all.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Answers staff until it is dropped. Must run inside a [`LocalSet`](tokio::task::LocalSet).
pub async fn serve<H: Host>(
    host: H,
    listener: H::Listener,
    desk: Arc<OpsEndpoint>,
    control: mpsc::Sender<Control>,
    descriptors: usize,
) {
    let most = connections(descriptors);
    let open = Rc::new(Open::default());
    let mut failures = AcceptFailureTracker::default();
    for number in 0.. {
        while open.all.get() >= most {
            // The oldest that has asked nothing gives way; all others end within a known time.
            if let Some((_, oldest)) = open.unfinished.borrow_mut().pop_first() {
                oldest.abort();
            }
            open.closed.notified().await;
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // What descriptors are short of is not in its few connections.
                match failures.record_failure(&host, "ops", &error) {
                    Reaction::RetryImmediately => yield_now().await,
                    Reaction::Pause | Reaction::EvictAndPause => sleep(accept_failures::RETRY_DELAY).await,
                }
                continue;
            }
        };
        failures.record_success();
        open.all.set(open.all.get() + 1);
        let place = Place(open.clone(), number);
        let task = spawn_local(answer::<H>(stream, place, desk.clone(), control.clone(), host.clone()));
        open.unfinished.borrow_mut().insert(number, task.abort_handle());
    }
}

async fn answer<H: Host>(
    stream: H::Stream,
    place: Place,
    desk: Arc<OpsEndpoint>,
    control: mpsc::Sender<Control>,
    host: H,
) {
    let (reading, mut writing) = stream.into_halves();
    let mut head = BytesMut::new();
    let called = async {
        loop {
            if !read_some(&reading, &mut head).await {
                return None;
            }
            head.truncate(MAX_HEAD_BYTES);
            if let CallResult::Answer { bytes, effect: follows } = desk.handle_call(&head) {
                return Some((bytes, follows));
            }
        }
    };
    let (bytes, follows) = match timeout(HEAD, called).await {
        Ok(Some(answer)) => answer,
        Ok(None) => return,
        Err(_) => (desk.timeout_response(), None),
    };
    place.finished();
    match follows {
        Some(CallEffect::PhaseChanged(step, phase)) => {
            host.log(format_args!("staff: {step:?}, the node is {phase:?} now"));
            // Its connections follow; what is asked of the node changed with the step itself.
            let _ = control.send(Control::LifecycleChanged).await;
        }
        Some(CallEffect::Order(wish)) => drop(control.send(Control::ZoneOrder(wish)).await),
        None => {}
    }
    if let Ok(Ok(())) = timeout(TAKEN, writing.write_all(&bytes)).await {
        close_gracefully(&reading, &mut writing).await;
    }
}

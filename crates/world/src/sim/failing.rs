//! System calls of a node that fail in a run, and whether it is ready in time after its start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothpier_ops::Phase;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::{World, node_ip};
use crate::observe::{NodeIndex, ObservedEvent};
use crate::system_calls::{FailingCall, FailingCalls, SystemCall};

/// Where a node listens for clients.
const PORT: u16 = 6379;

/// A node whose sockets can't be opened at first is away for as long before that.
const DOWN: Duration = Duration::from_millis(100);
/// Between looks whether a node is ready.
const LOOK: Duration = Duration::from_millis(10);
/// Longer than any node may take: it is reported as it is then.
const PATIENCE: Duration = Duration::from_secs(4);

impl World {
    /// Lets a part of a node's calls fail for a while. Where they open sockets the node is killed, and starts meanwhile.
    pub(super) async fn fail_calls(self: &Rc<Self>, failing: FailingCall, span: Duration) {
        let Some(calls) = &self.failing else { return };
        let FailingCall { node, call, failure, .. } = failing;
        // A node that can't connect can't reach discovery; one that is short of descriptors or memory leaves connections in
        // the queue, where their time runs unseen.
        let connect = call == SystemCall::Connect;
        let accept = call == SystemCall::Accept && failure.is_shortage();
        if connect {
            self.sound(false);
        }
        if accept {
            self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: true });
        }
        calls.begin(failing);
        let restart = call.opens().then(|| {
            let world = self.clone();
            spawn_local(async move { world.restart_node(node, false, DOWN).await })
        });
        sleep(span).await;
        calls.end(failing);
        if accept {
            self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: false });
        }
        if connect {
            self.sound(true);
        }
        if let Some(restart) = restart {
            let _ = restart.await;
        }
    }

    /// Reports how long a node that starts now takes until it is ready and listens.
    pub(super) fn watch_start(self: &Rc<Self>, node: NodeIndex, life: u64) {
        if self.failing.is_none() {
            return;
        }
        let (world, began) = (self.clone(), Instant::now());
        let address = SocketAddr::new(node_ip(node), PORT);
        spawn_local(async move {
            loop {
                sleep(LOOK).await;
                let nodes = world.nodes.borrow();
                // Another process has taken its place, or it was killed.
                let Some(run) = nodes.get(&node).filter(|run| run.number == life) else { return };
                let ready = run.desk.lifecycle.phase() != Phase::Starting && world.net.listens(address);
                drop(nodes);
                if ready || began.elapsed() >= PATIENCE {
                    let after = began.elapsed();
                    return world.fleet.observer.record(ObservedEvent::StartupChecked {
                        node,
                        elapsed: after,
                        ready,
                    });
                }
            }
        });
    }
}

/// The calls that fail in a world, where any may.
pub(super) fn calls(plan: &super::RunPlan, fleet: &crate::fleet::Fleet) -> Option<FailingCalls> {
    let named = plan.scenario.faults.kinds.contains(&crate::faults::Kind::SystemCalls);
    let played = || plan.script().iter().any(|f| matches!(f.what, crate::faults::What::SystemCalls { .. }));
    (named || played()).then(|| FailingCalls::new(fleet.observer.clone(), fleet.rng("system calls", 0)))
}

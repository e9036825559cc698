//! Failing system calls of a node in a simulated run, and how long its start takes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothpier_ops::Phase;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::{SimulatedEnvironment, node_ip};
use crate::observe::{NodeIndex, ObservedEvent};
use crate::system_calls::{FailingCall, FailingCalls, SystemCall};

const CLIENT_PORT: u16 = 6379;

/// A node whose sockets will fail to open stays down for this long before its start.
const DOWN_BEFORE_START: Duration = Duration::from_millis(100);
/// Interval of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A node that is not ready by then is reported as such; longer than any node may take.
const CHECK_TIMEOUT: Duration = Duration::from_secs(4);

impl SimulatedEnvironment {
    /// Makes some of a node's system calls fail for a while. For calls that open sockets, the node is killed
    /// and started meanwhile.
    pub(super) async fn fail_calls(self: &Rc<Self>, failing: FailingCall, duration: Duration) {
        let Some(calls) = &self.failing_calls else { return };
        let FailingCall { node, call, failure, .. } = failing;
        // A node that cannot connect cannot reach discovery. One that is short of descriptors or memory
        // leaves connections in the accept queue, where their time-out runs without its knowledge.
        let connect = call == SystemCall::Connect;
        let accept = call == SystemCall::Accept && failure.is_shortage();
        if connect {
            self.report_discovery_health(false);
        }
        if accept {
            self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: true });
        }
        calls.begin(failing);
        let restart = call.opens_socket().then(|| {
            let environment = self.clone();
            spawn_local(async move { environment.restart_node(node, false, DOWN_BEFORE_START).await })
        });
        sleep(duration).await;
        calls.end(failing);
        if accept {
            self.fleet.observer.record(ObservedEvent::ConnectionPressure { begins: false });
        }
        if connect {
            self.report_discovery_health(true);
        }
        if let Some(restart) = restart {
            let _ = restart.await;
        }
    }

    /// Reports how long a node that starts now takes until it is ready and listens.
    pub(super) fn watch_startup(self: &Rc<Self>, node: NodeIndex, incarnation: u64) {
        if self.failing_calls.is_none() {
            return;
        }
        let (environment, start) = (self.clone(), Instant::now());
        let address = SocketAddr::new(node_ip(node), CLIENT_PORT);
        spawn_local(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                let nodes = environment.nodes.borrow();
                // It was replaced or killed.
                let Some(run) = nodes.get(&node).filter(|run| run.incarnation == incarnation) else { return };
                let ready =
                    run.ops_endpoint.lifecycle.phase() != Phase::Starting && environment.net.listens(address);
                drop(nodes);
                if ready || start.elapsed() >= CHECK_TIMEOUT {
                    let elapsed = start.elapsed();
                    return environment.fleet.observer.record(ObservedEvent::StartupChecked {
                        node,
                        elapsed,
                        ready,
                    });
                }
            }
        });
    }
}

/// The failing system calls of a run, if its faults include any.
pub(super) fn failing_calls(plan: &super::RunPlan, fleet: &crate::fleet::Fleet) -> Option<FailingCalls> {
    let named = plan.scenario.faults.kinds.contains(&crate::faults::Kind::SystemCalls);
    let played = || plan.script().iter().any(|f| matches!(f.what, crate::faults::What::SystemCalls { .. }));
    (named || played()).then(|| FailingCalls::new(fleet.observer.clone(), fleet.rng("system calls", 0)))
}

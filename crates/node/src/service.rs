//! The life cycle of a node: its components are assembled ([`assembly`]), it handles control messages, and it shuts down
//! ([`shutdown`]).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mothpier_host::Host;
use mothpier_ops::{OpsEndpoint, Phase};
use mothpier_plan::ZoneOrder;
use mothpier_record::Recorder;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::Instant;

use crate::clients::RetirementPlan;
use crate::config::Config;
use crate::handover::Handover;
use crate::input::Input;

mod assembly;
mod shutdown;

use assembly::RunningNode;

/// After SIGTERM new connections may arrive for 0.4 s; they are accepted for this long.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(600);

/// Control messages from the owner of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Shut down: soon accept nothing new, and answer what was accepted.
    Stop,
    /// The lifecycle of the operations endpoint has changed, and the connections of clients are to follow.
    LifecycleChanged,
    /// Discovery is at this address from now on.
    SetDiscoveryAddress(SocketAddr),
    /// An operator's order about a zone.
    ZoneOrder(ZoneOrder),
    /// Switch recording on or off if the node has a recorder.
    SetRecording(bool),
}

/// What a node starts with beside its configuration.
pub struct StartOptions<H: Host> {
    /// Records the events of the decision module.
    pub recorder: Option<Recorder>,
    /// The listener for clients if it is shared with other processes; otherwise one is opened.
    pub listener: Option<H::Listener>,
    /// The other processes of this node, if there can be any.
    pub handover: Option<Handover>,
}

impl<H: Host> Default for StartOptions<H> {
    fn default() -> Self {
        StartOptions { recorder: None, listener: None, handover: None }
    }
}

/// Runs a node until it is told to stop and has answered the requests that it accepted. The events of the decision module
/// are recorded if there is a recorder. Must run inside a [`LocalSet`](tokio::task::LocalSet): dropping that ends the node
/// at once, as a kill would.
///
/// # Errors
/// One line of text: an address that cannot be opened, or the end of a component.
pub async fn run<H: Host>(
    host: H,
    config: Config,
    ops_endpoint: Arc<OpsEndpoint>,
    mut control: mpsc::Receiver<Control>,
    start: StartOptions<H>,
) -> Result<(), String> {
    let mut running = assembly::assemble(host, config, ops_endpoint, start).await?;
    running.handle_control(&mut control).await?;
    running.end().await;
    Ok(())
}

impl<H: Host> RunningNode<H> {
    /// Handles control messages until the node is told to stop.
    ///
    /// # Errors
    /// The node's own task has ended.
    async fn handle_control(&mut self, control: &mut mpsc::Receiver<Control>) -> Result<(), String> {
        let mut log_task: Option<AbortHandle> = None;
        loop {
            let message = tokio::select! {
                biased;
                message = control.recv() => message,
                () = self.lifecycle_changed.notified() => Some(Control::LifecycleChanged),
                ended = &mut self.node => return Err(format!("the node task ended: {ended:?}")),
            };
            match message {
                Some(Control::SetDiscoveryAddress(address)) => self.set_discovery_address(address),
                // Without a recorder nobody needs the message.
                Some(Control::SetRecording(on)) if self.has_recorder => {
                    let _ = self.events.send(Input::SetRecording(on)).await;
                }
                Some(Control::SetRecording(_)) => {}
                Some(Control::LifecycleChanged) => self.apply_lifecycle(&mut log_task),
                Some(Control::ZoneOrder(order)) => {
                    let _ = self.events.send(Input::ZoneOrder(order)).await;
                }
                Some(Control::Stop) | None => return Ok(()),
            }
        }
    }

    fn set_discovery_address(&self, address: SocketAddr) {
        let changed = self.discovery_address.send_if_modified(|a| std::mem::replace(a, address) != address);
        let verb = if changed { "now" } else { "still" };
        self.host.log(format_args!("configuration read again: discovery is {verb} at {address}"));
    }

    /// Retires the connections of clients, or keeps those still open, according to the lifecycle. A repeated drain does not
    /// restart the retirement.
    fn apply_lifecycle(&self, log_task: &mut Option<AbortHandle>) {
        let is_drained = self.ops_endpoint.lifecycle.phase() == Phase::Drained;
        if is_drained && log_task.is_none() {
            let plan = RetirementPlan::drain(Instant::now(), self.longest_deadline);
            self.retirement.set_drain_plan(Some(plan));
            let log = spawn_local(self.clients.clone().log_retirement(plan));
            *log_task = Some(log.abort_handle());
        } else if !is_drained && let Some(log_task) = log_task.take() {
            log_task.abort();
            self.retirement.set_drain_plan(None);
        }
    }
}

//! A node from its start to its end: its parts are put together ([`assembly`]), it follows what it is told, and it ends in
//! order ([`ending`]).

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

use crate::clients::Plan;
use crate::config::Config;
use crate::handover::Handover;
use crate::input::Input;

mod assembly;
mod ending;

use assembly::Running;

/// After SIGTERM new connections come for 0.4 s at most; this much longer they are still taken.
const KEEP_ACCEPTING: Duration = Duration::from_millis(600);

/// What the one who started a node tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// End: take nothing new soon, answer what was taken.
    Stop,
    /// The lifecycle at the desk took a step that its connections are to follow.
    LifecycleChanged,
    /// Discovery is at this address from now on.
    SetDiscoveryAddress(SocketAddr),
    /// Staff have ordered something of a zone.
    ZoneOrder(ZoneOrder),
    /// Recording goes on or off, where the node has a recorder.
    SetRecording(bool),
}

/// What a node begins with beside its configuration.
pub struct StartOptions<H: Host> {
    /// Where the decision module's events are recorded.
    pub recorder: Option<Recorder>,
    /// The listener for clients, where it is one that other processes hold, too; else one is opened.
    pub listener: Option<H::Listener>,
    /// The other processes of this node, where there can be any.
    pub handover: Option<Handover>,
}

impl<H: Host> Default for StartOptions<H> {
    fn default() -> Self {
        StartOptions { recorder: None, listener: None, handover: None }
    }
}

/// Runs a node until it is told to stop and has answered what it took. What the decision module is told goes to the
/// recorder, where one is given. Must run inside a
/// [`LocalSet`](tokio::task::LocalSet): dropping that ends the node at once, as a kill would.
///
/// # Errors
/// One plain line: an address that cannot be opened, or the end of one of the node's parts.
pub async fn run<H: Host>(
    host: H,
    config: Config,
    desk: Arc<OpsEndpoint>,
    mut control: mpsc::Receiver<Control>,
    start: StartOptions<H>,
) -> Result<(), String> {
    let mut running = assembly::assemble(host, config, desk, start).await?;
    running.follow(&mut control).await?;
    running.end().await;
    Ok(())
}

impl<H: Host> Running<H> {
    /// Does what the node is told, until it is told to stop.
    ///
    /// # Errors
    /// The node's own part has ended.
    async fn follow(&mut self, control: &mut mpsc::Receiver<Control>) -> Result<(), String> {
        let mut watching: Option<AbortHandle> = None;
        loop {
            let told = tokio::select! {
                biased;
                told = control.recv() => told,
                () = self.moved.notified() => Some(Control::LifecycleChanged),
                ended = &mut self.node => return Err(format!("the node ended: {ended:?}")),
            };
            match told {
                Some(Control::SetDiscoveryAddress(address)) => self.move_discovery(address),
                // With no recorder there is nobody to tell.
                Some(Control::SetRecording(on)) if self.recorded => {
                    let _ = self.events.send(Input::SetRecording(on)).await;
                }
                Some(Control::SetRecording(_)) => {}
                Some(Control::LifecycleChanged) => self.follow_lifecycle(&mut watching),
                Some(Control::ZoneOrder(wish)) => {
                    let _ = self.events.send(Input::ZoneOrder(wish)).await;
                }
                Some(Control::Stop) | None => return Ok(()),
            }
        }
    }

    fn move_discovery(&self, address: SocketAddr) {
        let moved = self.discovery.send_if_modified(|a| std::mem::replace(a, address) != address);
        let what = if moved { "now" } else { "still" };
        self.host.log(format_args!("configuration read again: discovery is {what} at {address}"));
    }

    /// Lets the connections of clients go, or keeps those that have not gone, as the lifecycle says. A drain that is told again
    /// goes on as it is.
    fn follow_lifecycle(&self, watching: &mut Option<AbortHandle>) {
        let drained = self.desk.lifecycle.phase() == Phase::Drained;
        if drained && watching.is_none() {
            let plan = Plan::drain(Instant::now(), self.longest_deadline);
            self.retiring.drain(Some(plan));
            let watch = spawn_local(self.clients.clone().watch_retirement(plan));
            *watching = Some(watch.abort_handle());
        } else if !drained && let Some(watching) = watching.take() {
            watching.abort();
            self.retiring.drain(None);
        }
    }
}

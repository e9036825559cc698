//! The node's handle of one connection to a cache server, and the task that runs the connection.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::ServerId;
use mothpier_host::Host;
use mothpier_ops::Metrics;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::driver::run_connection;
use super::payload::AttemptCommand;
use super::pipeline::{InFlightCommand, Pipeline, WriteState};
use super::{ConnectionEnd, ConnectionEvent, InterruptedCommand};
use crate::duplicate_responses::{Doubt, VerificationState};
use crate::input::Input;
use crate::memory::MemoryBudget;

/// State shared between a connection and its task.
pub(super) struct Shared {
    pub pipeline: RefCell<Pipeline>,
    pub work_available: Notify,
    /// Aborts the write in progress.
    pub abort_write: Notify,
    pub metrics: Arc<Metrics>,
    /// What is known about the responses of the server.
    pub verification: Rc<RefCell<VerificationState>>,
    /// Memory for responses that are being received.
    pub memory: Rc<MemoryBudget>,
}

/// A connection; its task ends when this is dropped.
pub(super) struct Connection {
    pub number: u64,
    pub shared: Rc<Shared>,
    task: AbortHandle,
    pub last_used: Instant,
    /// It leads to a former address of the server: outstanding commands finish, and it gets no new ones.
    pub retired: bool,
    /// Number of connections to all servers.
    total_connections: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.total_connections.set(self.total_connections.get() - 1);
        self.task.abort();
    }
}

impl Connection {
    pub fn load(&self) -> usize {
        self.shared.pipeline.borrow().load()
    }

    pub fn is_connected(&self) -> bool {
        self.shared.pipeline.borrow().connected
    }

    /// Whether a command sent now would be answered without waiting for others.
    pub fn is_available(&self) -> bool {
        self.is_connected() && self.load() == 0 && !self.retired && !self.shared.pipeline.borrow().closing
    }

    pub fn push(&mut self, command: AttemptCommand) {
        self.last_used = Instant::now();
        self.shared.pipeline.borrow_mut().queued.push_back(command);
        self.shared.work_available.notify_one();
    }
}

/// The command for which a connection is opened.
pub(super) struct FirstCommand {
    pub command: AttemptCommand,
    /// The doubt that its response resolves; as the first on a connection, that response cannot be a duplicate.
    pub resolves: Option<Doubt>,
}

/// What all connections to cache servers are opened with.
pub(super) struct Connector<H> {
    pub host: H,
    pub connect_timeout: Duration,
    pub events: mpsc::Sender<Input>,
    pub metrics: Arc<Metrics>,
    /// Number of connections to all servers.
    pub total_connections: Rc<Cell<usize>>,
    /// Memory for responses that are being received.
    pub memory: Rc<MemoryBudget>,
}

impl<H: Host> Connector<H> {
    /// Opens a connection. `first` is sent on it before anything else.
    pub fn open(
        &self,
        server: ServerId,
        number: u64,
        address: SocketAddr,
        verification: Rc<RefCell<VerificationState>>,
        first: Option<FirstCommand>,
    ) -> Connection {
        self.total_connections.set(self.total_connections.get() + 1);
        self.metrics.connect_started();
        let mut pipeline = Pipeline::default();
        if let Some(first) = first {
            pipeline.resolves = first.resolves.map(|doubt| (first.command.attempt, doubt));
            pipeline.queued.push_back(first.command);
        }
        let shared = Rc::new(Shared {
            pipeline: RefCell::new(pipeline),
            work_available: Notify::new(),
            abort_write: Notify::new(),
            metrics: self.metrics.clone(),
            verification,
            memory: self.memory.clone(),
        });
        let (host, task_shared, events, connect_timeout) =
            (self.host.clone(), shared.clone(), self.events.clone(), self.connect_timeout);
        let task = tokio::task::spawn_local(async move {
            let end =
                run_connection(&host, server, number, address, connect_timeout, &task_shared, &events).await;
            let pipeline = std::mem::take(&mut *task_shared.pipeline.borrow_mut());
            let event = down_event(end, pipeline);
            let read_at = Instant::now();
            let _ = events.send(Input::Server { server, connection: number, event, read_at }).await;
        });
        let (task, last_used) = (task.abort_handle(), Instant::now());
        Connection {
            number,
            shared,
            task,
            last_used,
            retired: false,
            total_connections: self.total_connections.clone(),
        }
    }
}

/// Reports the fate of the commands of a connection that has ended.
fn down_event(end: ConnectionEnd, pipeline: Pipeline) -> ConnectionEvent {
    let partial = match pipeline.write_state {
        WriteState::Partial(attempt) => Some(attempt),
        WriteState::Idle | WriteState::Abandoned => None,
    };
    let (mut written, mut unwritten) = (Vec::new(), Vec::from_iter(partial));
    let mut interrupted = Vec::new();
    if let ConnectionEnd::OutOfSync(doubt) = end {
        for (index, sent) in pipeline.in_flight.into_iter().enumerate().filter(|(_, sent)| !sent.given_up) {
            // The doubted response was assigned to the first of them.
            let doubt = doubt.filter(|_| index == 0);
            interrupted.push(InterruptedCommand { command: sent.command, was_written: true, doubt });
        }
    } else {
        written.extend(pipeline.in_flight.iter().map(InFlightCommand::attempt));
    }
    if pipeline.has_responded {
        // The connection failed, not the server: other connections or a new one may still serve these.
        let unsent = pipeline.queued.into_iter();
        interrupted.extend(unsent.map(|command| InterruptedCommand {
            command,
            was_written: false,
            doubt: None,
        }));
    } else {
        unwritten.extend(pipeline.queued.iter().map(|command| command.attempt));
    }
    ConnectionEvent::Down { end, written, unwritten, interrupted }
}

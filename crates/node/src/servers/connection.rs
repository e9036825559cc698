//! One connection to a cache server, as the node knows it, and the task that carries its commands.

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

use super::driver::drive;
use super::line::{Line, Sent, Writing};
use super::payload::AttemptCommand;
use super::{ConnectionEnd, ConnectionEvent, InterruptedCommand};
use crate::duplicate_responses::{Doubt, VerificationState};
use crate::input::Input;

/// What a connection shares with its task.
pub(super) struct Shared {
    pub line: RefCell<Line>,
    pub wake: Notify,
    /// What is being written is abandoned.
    pub halt: Notify,
    pub figures: Arc<Metrics>,
    /// What is known of the answers of its server.
    pub findings: Rc<RefCell<VerificationState>>,
}

/// A connection; its task ends with it.
pub(super) struct Connection {
    pub number: u64,
    pub shared: Rc<Shared>,
    task: AbortHandle,
    pub used: Instant,
    /// It leads to an address that its server has left: it ends what it carries and gets nothing new.
    pub retired: bool,
    /// How many connections there are to all servers.
    all: Rc<Cell<usize>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
        self.task.abort();
    }
}

impl Connection {
    pub fn load(&self) -> usize {
        self.shared.line.borrow().load()
    }

    pub fn up(&self) -> bool {
        self.shared.line.borrow().up
    }

    /// Whether a command could be answered on it at once.
    pub fn free(&self) -> bool {
        self.up() && self.load() == 0 && !self.retired && !self.shared.line.borrow().ending
    }

    pub fn push(&mut self, command: AttemptCommand) {
        self.used = Instant::now();
        self.shared.line.borrow_mut().unsent.push_back(command);
        self.shared.wake.notify_one();
    }
}

/// The first command of a connection that is made for it.
pub(super) struct First {
    pub command: AttemptCommand,
    /// What its answer settles, which can't be a repeat.
    pub settles: Option<Doubt>,
}

/// What all connections of a node to cache servers are made with.
pub(super) struct Connector<H> {
    pub host: H,
    pub connect_timeout: Duration,
    pub events: mpsc::Sender<Input>,
    pub figures: Arc<Metrics>,
    /// How many connections there are to all servers.
    pub all: Rc<Cell<usize>>,
}

impl<H: Host> Connector<H> {
    /// Begins a connection. `first` goes out on it before anything else.
    pub fn begin(
        &self,
        server: ServerId,
        number: u64,
        address: SocketAddr,
        findings: Rc<RefCell<VerificationState>>,
        first: Option<First>,
    ) -> Connection {
        self.all.set(self.all.get() + 1);
        self.figures.connect_started();
        let mut line = Line::default();
        if let Some(first) = first {
            line.settles = first.settles.map(|doubt| (first.command.attempt, doubt));
            line.unsent.push_back(first.command);
        }
        let shared = Rc::new(Shared {
            line: RefCell::new(line),
            wake: Notify::new(),
            halt: Notify::new(),
            figures: self.figures.clone(),
            findings,
        });
        let (host, task_shared, events, within) =
            (self.host.clone(), shared.clone(), self.events.clone(), self.connect_timeout);
        let task = tokio::task::spawn_local(async move {
            let end = drive(&host, server, number, address, within, &task_shared, &events).await;
            let line = std::mem::take(&mut *task_shared.line.borrow_mut());
            let event = ended(end, line);
            let _ = events.send(Input::Server { server, connection: number, event }).await;
        });
        let (task, used) = (task.abort_handle(), Instant::now());
        Connection { number, shared, task, used, retired: false, all: self.all.clone() }
    }
}

/// Tells what has become of the commands of a connection that has ended.
fn ended(end: ConnectionEnd, line: Line) -> ConnectionEvent {
    let begun = match line.writing {
        Writing::Begun(attempt) => Some(attempt),
        Writing::Nothing | Writing::Abandoned => None,
    };
    let (mut written, mut unwritten) = (Vec::new(), Vec::from_iter(begun));
    let mut displaced = Vec::new();
    if let ConnectionEnd::OutOfStep(doubt) = end {
        for (place, sent) in line.sent.into_iter().enumerate().filter(|(_, sent)| !sent.given_up) {
            // It was the answer to the first of them that was doubted.
            let doubt = doubt.filter(|_| place == 0);
            displaced.push(InterruptedCommand { command: sent.command, was_written: true, doubt });
        }
    } else {
        written.extend(line.sent.iter().map(Sent::attempt));
    }
    if line.has_answered {
        // It was the connection that failed, not the server: others may still serve these, or a new one.
        let unsent = line.unsent.into_iter();
        displaced.extend(unsent.map(|command| InterruptedCommand {
            command,
            was_written: false,
            doubt: None,
        }));
    } else {
        unwritten.extend(line.unsent.iter().map(|command| command.attempt));
    }
    ConnectionEvent::Down { end, written, unwritten, displaced }
}

//! Executes the commands that a client has sent, a few in each turn of its connection.

use mothpier_host::{Host, Reading};
use mothpier_resp::{self as resp, MAX_VALUE_BYTES, Malformed};
use tokio::time::Instant;

use super::inbox::Inbox;
use super::session::Session;
use super::timing::Progress;
use super::work::Amount;
use crate::event_log::EventKind;

/// Limit of the pending replies of one connection, including errors; refusals in a row count as one. A client that exceeds
/// it, or whose queue finds no memory, is disconnected.
const MAX_PENDING_REPLIES: usize = 1024;

/// Reads of what has arrived by the time when open requests fail: a client may go on sending at full speed.
const MAX_LATE_READS: usize = 64;

impl<H: Host> Session<H> {
    /// Whether it may have a complete command to be executed.
    pub(super) fn has_unexecuted_input<R: Reading>(&self, inbox: &Inbox<'_, R>) -> bool {
        self.input.reads_commands() && inbox.may_hold_command()
    }

    /// Executes complete commands, as many as one turn allows.
    pub(super) async fn execute_in_turn<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        progress: &mut Progress,
    ) {
        self.account.begin_turn();
        while self.account.has_work_left() && self.has_unexecuted_input(inbox) {
            self.execute_next(inbox, progress).await;
        }
    }

    /// Executes all complete commands.
    pub(super) async fn execute_all<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        progress: &mut Progress,
    ) {
        while self.has_unexecuted_input(inbox) {
            self.execute_next(inbox, progress).await;
        }
    }

    /// Executes the complete commands that have arrived and were not read yet, since nothing is read while much is unread
    /// behind a large value.
    pub(super) async fn execute_unread<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        progress: &mut Progress,
    ) {
        let clients = self.clients.clone();
        for _ in 0..MAX_LATE_READS {
            if !inbox.read_late(|| (clients.now)()).await {
                return;
            }
            self.settle_input(inbox, progress);
            self.execute_all(inbox, progress).await;
        }
    }

    /// Executes the command at the front of the buffer, if it is complete.
    async fn execute_next<R: Reading>(&mut self, inbox: &mut Inbox<'_, R>, progress: &mut Progress) {
        let length = inbox.buffer.len();
        match resp::take_frame(&mut inbox.buffer, MAX_VALUE_BYTES) {
            Ok(Some(frame)) => {
                let command_bytes = length - inbox.buffer.len();
                inbox.command_taken(command_bytes);
                progress.command_complete();
                self.work.count_command();
                self.clients.ops_endpoint.metrics.client_command();
                let reserved = self.input.command_complete();
                let forwarded_before = self.forwarded_requests;
                self.execute(frame, inbox.received_at(), reserved).await;
                let is_forwarded = self.forwarded_requests > forwarded_before;
                self.account.count_command(command_bytes, is_forwarded);
            }
            Ok(None) => self.handle_incomplete_command(inbox),
            Err(e) => self.protocol_error(e),
        }
        if self.pending.len() > MAX_PENDING_REPLIES || self.reserve_queue().is_err() {
            self.protocol_error(Malformed("too many commands at once"));
        }
    }

    /// Accounts for what was read and is no command yet: the rest of a refused value, what is behind the last command, and
    /// the beginning of the next one.
    pub(super) fn settle_input<R: Reading>(&mut self, inbox: &mut Inbox<'_, R>, progress: &mut Progress) {
        self.count_read_bytes(inbox);
        // Discarded wherever it was read, because none of it is a command.
        self.input.discard_refused(&mut inbox.buffer);
        let between_commands = inbox.buffer.is_empty() && !self.input.awaits_value();
        if between_commands || !self.input.reads_commands() {
            // An idle connection must not keep the buffer that its largest command needed.
            inbox.clear();
            progress.clear_partial_command();
        } else if !self.has_unexecuted_input(inbox) {
            progress.record_partial_command();
        }
        inbox.count_held();
    }

    /// Counts what was read, and logs a connection that was busy.
    fn count_read_bytes<R: Reading>(&mut self, inbox: &mut Inbox<'_, R>) {
        let bytes = inbox.take_read_bytes();
        self.work.count_bytes(bytes);
        self.clients.ops_endpoint.metrics.client_bytes_read(bytes);
        let Some(Amount { commands, bytes }) = self.work.take_busy_period(Instant::now()) else { return };
        self.clients.log.write(
            EventKind::ConnectionBusy,
            format_args!(
                "connection={} commands={commands} bytes={bytes} pending={}",
                self.number,
                self.pending.len()
            ),
        );
    }
}

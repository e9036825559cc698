//! Attempts and probes from their start to their outcome.

use std::cmp::Reverse;
use std::time::Duration;

use brassrouter::{Event, Micros, Outcome, RequestId, ServerId, Status};
use mothpier_host::Host;
use mothpier_ops::RetryReason;
use tokio::time::Instant;

use super::{InFlightAttempt, Node, ScheduledTask};
use crate::attempt_result::{AttemptResult, unexpected_error};
use crate::command::{AttemptId, Reply};
use crate::servers::{self, AttemptOutcome, InterruptedCommand, RESPONSE_STALL_TIMEOUT, SendError};

/// A probe without a reply within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before a probe is repeated that failed on this machine: shortages of descriptors or ports are short.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl<H: Host> Node<H> {
    pub(super) fn send_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, Instant::now());
        let Some(pending) = self.pending.get_mut(&request) else {
            return self.host.log(format_args!(
                "the decision module sent an attempt of request {request}, which is already finished"
            ));
        };
        let (number, counted_attempts) = (pending.attempts, pending.counted_attempts());
        pending.attempts = pending.attempts.saturating_add(1);
        let retry = if pending.in_flight.is_empty() {
            pending.last_status.map(retry_reason)
        } else {
            Some(RetryReason::Hedge)
        };
        pending.in_flight.push(id);
        let (command, was_reset) = (pending.command.clone(), pending.reset_by == Some(server));
        let may_run_twice = pending.may_run_twice;
        let runs_once = (!may_run_twice).then_some(pending.client_id);
        let deadline = match timeout {
            0 => pending.deadline,
            after => pending.deadline.min(sent + Duration::from_micros(after)),
        };
        if let Some(reason) = retry {
            self.report_retry(request, number, server, reason);
        }
        if let Some(client_id) = runs_once {
            self.components.forwarded_ids.attempt_sent(client_id);
        }
        self.in_flight.insert(
            id,
            InFlightAttempt { attempt: Some((request, number)), server, sent, origin_call: None, runs_once },
        );
        if u32::from(counted_attempts) >= self.settings.policy.max_attempts || deadline <= sent {
            return self.finish_attempt(id, Status::NotSent.into());
        }
        if was_reset {
            // Whatever reset that connection may also have dropped the idle connections beside it, so this
            // attempt opens a new one.
            self.close_idle_of(server);
        }
        let extras = command.attempt_extras(deadline);
        let result = if self.origin_ids.contains(&server) {
            let call = self.components.origins.send(server, id, &command, extras, may_run_twice);
            let result = call.as_ref().map(|_| ()).ok_or(SendError::NoConnection);
            self.in_flight.entry(id).and_modify(|f| f.origin_call = call);
            result
        } else {
            if let Some(locality) = &mut self.components.locality {
                locality.attempt_sent(id, server);
            }
            let payload = servers::Payload::Request { command, extras, may_run_twice };
            self.components.servers.send(server, servers::AttemptCommand::new(id, payload))
        };
        match result {
            Ok(()) => self.schedule.push(Reverse((deadline, ScheduledTask::AttemptTimeout(id)))),
            Err(error) => self.finish_attempt(id, send_error_status(error).into()),
        }
    }

    pub(super) fn send_probe(&mut self, server: ServerId) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, Instant::now());
        let is_origin = self.origin_ids.contains(&server);
        let call = if is_origin { self.components.origins.probe(server, id) } else { None };
        let command = servers::AttemptCommand::new(id, servers::Payload::Probe);
        let result = match (is_origin, &call) {
            (true, Some(_)) => Ok(()),
            (true, None) => Err(SendError::NoConnection),
            (false, _) => self.components.servers.send(server, command),
        };
        self.in_flight
            .insert(id, InFlightAttempt { attempt: None, server, sent, origin_call: call, runs_once: None });
        match result {
            Ok(()) => self.schedule_after(PROBE_TIMEOUT, ScheduledTask::AttemptTimeout(id)),
            Err(error) => self.finish_attempt(id, send_error_status(error).into()),
        }
    }

    /// Abandons an attempt that has timed out. The server may have dropped it silently, and other attempts
    /// may wait behind it.
    pub(super) fn time_out_attempt(&mut self, id: AttemptId) {
        let Some(server) = self.in_flight.get(&id).map(|attempt| attempt.server) else { return };
        self.abandon_attempt(id, Status::TimedOut);
        if self.components.servers.blocks_others(server, id) {
            self.schedule_after(RESPONSE_STALL_TIMEOUT, ScheduledTask::ReleaseBlocked(server, id));
        }
    }

    /// Stops waiting for an attempt. One that was not fully written cannot have been executed.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId, status: Status) {
        let Some(attempt) = self.in_flight.get_mut(&id) else { return };
        let (server, call) = (attempt.server, attempt.origin_call.take());
        let written = match call {
            Some(call) => call.cancel(),
            None => {
                let abandoned = self.components.servers.give_up(server, id);
                abandoned
                    .ended
                    .into_iter()
                    .for_each(|(other, outcome)| self.handle_server_outcome(other, outcome));
                !abandoned.unwritten
            }
        };
        let status = if written { status } else { Status::NotSent };
        self.finish_attempt(id, status.into());
    }

    /// Handles what a cache server or its connection reports about an attempt.
    pub(super) fn handle_server_outcome(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let result = match outcome {
            AttemptOutcome::Interrupted(interrupted) => return self.resend(attempt, interrupted),
            AttemptOutcome::Reset => Status::Reset.into(),
            AttemptOutcome::NotConnected => Status::ConnectFailed.into(),
            AttemptOutcome::LocalFailure => Status::LocalFailure.into(),
            // The command was executed, although the response is unusable.
            AttemptOutcome::InvalidResponse => Status::Error.into(),
            AttemptOutcome::StreamStarted(value) => AttemptResult::of_large_value(value),
            AttemptOutcome::Answered(response) => {
                if let Some(line) = unexpected_error(&response) {
                    self.host.log(format_args!("a cache server replied with an unexpected error: {line:?}"));
                }
                AttemptResult::of_response(response, &self.settings)
            }
        };
        self.finish_attempt(attempt, result);
    }

    /// Repeats an attempt whose connection has ended, unless it may have been executed and must not run
    /// twice. For the decision module it remains the same attempt.
    fn resend(&mut self, id: AttemptId, interrupted: InterruptedCommand) {
        let Some(attempt) = self.in_flight.get(&id) else { return };
        let (server, request) = (attempt.server, attempt.attempt.map(|(request, _)| request));
        let was_written = interrupted.was_written;
        let max_attempts = self.settings.policy.max_attempts;
        let is_allowed = match request.map(|request| self.pending.get_mut(&request)) {
            // A probe.
            None => true,
            Some(None) => false,
            Some(Some(pending)) if was_written => {
                let is_allowed =
                    pending.may_run_twice && u32::from(pending.counted_attempts()) < max_attempts;
                pending.resends += u16::from(is_allowed);
                is_allowed
            }
            Some(Some(_)) => true,
        };
        let sent = match is_allowed {
            true => self.components.servers.resend(server, interrupted).map_err(send_error_status),
            false => Err(Status::NotSent),
        };
        if let Err(status) = sent {
            let status = if was_written { Status::Reset } else { status };
            self.finish_attempt(id, status.into());
        }
    }

    /// Completes an attempt or probe. The first value served is the reply to the request.
    pub(super) fn finish_attempt(&mut self, id: AttemptId, result: AttemptResult) {
        let AttemptResult { status, cache_result, load, reply } = result;
        let Some(in_flight) = self.in_flight.remove(&id) else { return };
        if let Some(client_id) = in_flight.runs_once.filter(|_| status.proves_not_run()) {
            self.components.forwarded_ids.attempt_never_ran(client_id);
        }
        if let Some(locality) = &mut self.components.locality {
            locality.attempt_ended(id, status);
        }
        let (server, duration) = (in_flight.server, in_flight.sent.elapsed().as_micros() as Micros);
        let Some((request, attempt)) = in_flight.attempt else {
            // A probe that never left this machine says nothing about the server; it is repeated later.
            if status == Status::LocalFailure {
                return self.schedule_after(PROBE_RETRY_DELAY, ScheduledTask::RetryProbe(server));
            }
            return self.events.push_back(Event::Probed {
                server,
                succeeded: status == Status::Served,
                duration,
                load,
            });
        };
        let was_sent = !matches!(status, Status::NotSent | Status::LocalFailure);
        self.counters.call_ended(
            in_flight.origin_call.is_some() || self.origin_ids.contains(&server),
            status,
            duration,
        );
        if let Some(monitor) = self.components.storm_monitor.as_mut().filter(|_| was_sent) {
            monitor.attempt_ended(duration, self.pending.contains_key(&request));
        }
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.in_flight.retain(|out| *out != id);
            pending.last_status = Some(status);
            pending.reset_by = (status == Status::Reset).then_some(server);
            let failures = u16::from(status == Status::LocalFailure);
            pending.local_failures = pending.local_failures.saturating_add(failures);
        }
        let others = match status {
            Status::Served => self.send_reply(request, reply.unwrap_or(Reply::Failed)),
            _ => Vec::new(),
        };
        let request_finished = !self.pending.contains_key(&request);
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            request_finished,
            cache_result,
            duration,
            load,
        }));
        // After the outcome that finished the request.
        self.withdraw_attempts(others);
    }
}

/// The reason of a further attempt, given how the previous one ended.
fn retry_reason(status: Status) -> RetryReason {
    match status {
        // A served request gets no further attempt.
        Status::Served | Status::Miss => RetryReason::Miss,
        Status::Error => RetryReason::Error,
        Status::Full => RetryReason::Full,
        Status::TimedOut => RetryReason::TimedOut,
        Status::ConnectFailed => RetryReason::NotConnected,
        Status::Reset => RetryReason::Reset,
        Status::Cancelled => RetryReason::Cancelled,
        Status::NotSent => RetryReason::NotSent,
        Status::LocalFailure => RetryReason::LocalFailure,
    }
}

/// Status of an attempt that could not be sent.
fn send_error_status(error: SendError) -> Status {
    match error {
        SendError::NoConnection => Status::ConnectFailed,
        SendError::LocalFailure => Status::LocalFailure,
    }
}

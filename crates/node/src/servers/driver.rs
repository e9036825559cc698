//! Runs one connection to a cache server: commands are written in order, and responses are read in the same order.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use brassrouter::ServerId;
use bytes::{Bytes, BytesMut};
use mothpier_host::failure::ConnectFailure;
use mothpier_host::{Host, Reading, Stream};
use mothpier_resp::{self as resp, FrameExtent};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::connection::Shared;
use super::fence::{take_fence_replies, write_requested_fences};
use super::payload::{AttemptCommand, CommandKind};
use super::pipeline::{InFlightCommand, WriteState};
use super::relaying::{RelayResult, relay_large_value};
use super::verification::{MAX_FENCES_IN_ADVANCE, verify, will_be_doubted};
use super::{ConnectionEnd, ConnectionEvent, RESPONSE_STALL_TIMEOUT, Response};
use crate::duplicate_responses::Fingerprint;
use crate::input::Input;
use crate::memory::{OutOfMemory, ReceiveMemory};
use crate::memory_shortage::RetryingStream;
use crate::stream::{READ_SIZE_BYTES, read_more, read_more_within};

/// A response for which there is no memory waits in its socket for this long, as if its server were slow. The deadlines
/// of attempts end most waits before.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(10);
/// A buffer with less room than this is enlarged before the next read.
const MIN_READ_BYTES: usize = 512;

/// A command whose first byte has been written.
struct StartedWrite {
    command: AttemptCommand,
    bytes: Bytes,
    /// Number of bytes written.
    written: usize,
}

/// Whether a frame can be the response to a command: an array of the value or null, the cache result and the load
/// report, whose format only the decision module checks; or an error line. A probe is answered with the load report
/// alone.
fn is_valid_response(frame: &BytesFrame, probe: bool) -> bool {
    match frame {
        BytesFrame::Error(_) => true,
        BytesFrame::BulkString(_) => probe,
        BytesFrame::Array(parts) if !probe => {
            let [value, cache_result, _report] = parts.as_slice() else { return false };
            matches!(value, BytesFrame::BulkString(_) | BytesFrame::Null) && is_cache_result(cache_result)
        }
        _ => false,
    }
}

/// Whether a frame can tell how a read went at a cache server.
pub(super) fn is_cache_result(frame: &BytesFrame) -> bool {
    matches!(frame, BytesFrame::BulkString(_) | BytesFrame::SimpleString(_) | BytesFrame::Null)
}

/// Opens a connection and carries its commands until it ends; returns how it ended.
pub(super) async fn run_connection<H: Host>(
    host: &H,
    server: ServerId,
    connection_number: u64,
    address: SocketAddr,
    connect_timeout: Duration,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> ConnectionEnd {
    let stream = match timeout(connect_timeout, host.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return connect_failure(error),
        Err(_) => return ConnectionEnd::TimedOut,
    };
    shared.pipeline.borrow_mut().connected = true;
    let input =
        |event| Input::Server { server, connection: connection_number, event, read_at: Instant::now() };
    if events.send(input(ConnectionEvent::Up)).await.is_err() {
        return ConnectionEnd::Broken;
    }
    let (reading, writing) = stream.into_halves();
    let mut writing = RetryingStream::new(writing);
    let reader = read_responses(host, server, connection_number, address, &reading, shared, events);
    let writer = async {
        loop {
            // Yield to the runtime once, so that a received close is read before anything more is written.
            tokio::task::yield_now().await;
            if write_requested_fences(&mut writing, shared).await.is_err() {
                return;
            }
            let StartedWrite { command, bytes, written } = match start_next_write(&mut writing, shared).await
            {
                Ok(Some(started)) => started,
                Ok(None) => {
                    shared.work_available.notified().await;
                    continue;
                }
                Err(_) => return,
            };
            // Skip the await if nothing is left to write.
            if written < bytes.len() {
                let rest = tokio::select! {
                    biased;
                    // The reader ends the connection once the commands sent before have been answered.
                    () = shared.abort_write.notified() => std::future::pending().await,
                    rest = writing.write_all(&bytes[written..]) => rest,
                };
                if rest.is_err() {
                    return;
                }
            }
            // No await since the last byte was written: the command is recorded before a response can be read.
            let mut pipeline = shared.pipeline.borrow_mut();
            pipeline.write_state = WriteState::Idle;
            if command.payload.kind() != CommandKind::Probe {
                shared.metrics.attempt_sent();
            }
            let will_be_doubted = will_be_doubted(&command, &pipeline, shared);
            pipeline.in_flight.push_back(InFlightCommand {
                command,
                written_at: Instant::now(),
                given_up: false,
                fences_behind: 0,
            });
            if will_be_doubted {
                pipeline.request_fences(MAX_FENCES_IN_ADVANCE);
            }
        }
    };
    // Poll the reader first: a close by the server is noticed before anything more is written to it.
    tokio::select! { biased; end = reader => end, () = writer => ConnectionEnd::Broken }
}

/// Reads responses, each for the oldest command in flight, until the connection ends; returns how it ended.
async fn read_responses<H: Host>(
    host: &H,
    server: ServerId,
    connection_number: u64,
    address: SocketAddr,
    reading: &impl Reading,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> ConnectionEnd {
    let notify = |event| {
        let read_at = Instant::now();
        events.send(Input::Server { server, connection: connection_number, event, read_at })
    };
    let mut buffer = BytesMut::new();
    let mut memory = ReceiveMemory::new(shared.memory.clone());
    loop {
        if take_fence_replies(&mut buffer, shared).is_err() {
            return ConnectionEnd::OutOfSync(None);
        }
        let (nothing_in_flight, writing) = {
            let pipeline = shared.pipeline.borrow();
            (pipeline.in_flight.is_empty() && pipeline.fences.awaited == 0, pipeline.write_state)
        };
        if nothing_in_flight && writing == WriteState::Abandoned {
            return ConnectionEnd::Broken;
        }
        // Bytes behind the last expected response belong to no command and would be taken for the start of the next
        // response: the connection is closed before anything more is written.
        if !buffer.is_empty() && nothing_in_flight {
            host.log(format_args!("{address}: closing the connection after an unexpected response"));
            shared.metrics.unasked_answer();
            if matches!(resp::take_frame(&mut buffer, resp::MAX_BUFFERED_VALUE_BYTES), Ok(Some(_))) {
                shared.verification.borrow_mut().record_duplicate();
            }
            return ConnectionEnd::OutOfSync(None);
        }
        // End the connection for all commands on it: on retry each response can be matched to its command.
        if !buffer.is_empty() && shared.pipeline.borrow().next_response_is_ambiguous() {
            return ConnectionEnd::Broken;
        }
        let fence_awaited = shared.pipeline.borrow().fences.awaited > 0;
        if let Some(large) = resp::large_value_header(&buffer).filter(|_| !fence_awaited) {
            match relay_large_value(large, reading, &mut buffer, shared, notify).await {
                RelayResult::Complete => continue,
                RelayResult::Aborted => return ConnectionEnd::Broken,
                RelayResult::Unreadable(reason) => {
                    host.log(format_args!(
                        "{address}: closing the connection within a large value: {reason}"
                    ));
                    return ConnectionEnd::Broken;
                }
                RelayResult::Doubted(doubt) => return ConnectionEnd::OutOfSync(Some(doubt)),
            }
        }
        let received_bytes = buffer.len();
        let received = match fence_awaited {
            // No complete fence reply has arrived.
            true => Ok(None),
            false => resp::take_frame(&mut buffer, resp::MAX_BUFFERED_VALUE_BYTES),
        };
        if let Ok(None) = received {
            if buffer.is_empty() {
                buffer = BytesMut::new();
            }
            let started = !buffer.is_empty();
            if reserve_for_read(&mut buffer, &mut memory).await.is_err() {
                host.log(format_args!(
                    "{address}: closing the connection for lack of memory for its response"
                ));
                return ConnectionEnd::Broken;
            }
            let read = match started {
                true => read_more_within(reading, &mut buffer, 1, RESPONSE_STALL_TIMEOUT).await,
                false => read_more(reading, &mut buffer, READ_SIZE_BYTES).await,
            };
            match read {
                Ok(()) => continue,
                Err(e) if e.kind() == ErrorKind::TimedOut && started => {}
                Err(_) => return ConnectionEnd::Broken,
            }
        }
        let mut may_be_duplicate = false;
        if let Ok(Some(frame)) = &received {
            let value = Fingerprint::of_response(frame);
            let response_bytes = received_bytes - buffer.len();
            let input = (&mut buffer, &mut memory);
            if let Err(end) = verify((value, response_bytes), reading, input, shared).await {
                return end;
            }
            // Load reports are equal as often as loads are, so equality proves nothing.
            may_be_duplicate = value.is_none()
                && !matches!(frame, BytesFrame::BulkString(_))
                && shared.pipeline.borrow_mut().push_without_value(&resp::encode(frame));
        }
        let Some(sent) = shared.pipeline.borrow_mut().pop_answered() else { return ConnectionEnd::Broken };
        // A refusal can't be trusted here: a command that must not run twice might have run.
        let is_untrusted_refusal = may_be_duplicate && !sent.command.payload.may_run_twice();
        let (event, is_valid) = match received {
            Ok(Some(frame))
                if !is_untrusted_refusal && is_valid_response(&frame, sent.kind() == CommandKind::Probe) =>
            {
                let response = Response { frame, memory: memory.take() };
                (ConnectionEvent::Response(sent.attempt(), response), true)
            }
            _ => (ConnectionEvent::InvalidResponse(sent.attempt()), false),
        };
        let in_order = take_fence_replies(&mut buffer, shared).is_ok();
        // Update the state before the node is notified, because the node may write more commands at once.
        {
            let mut pipeline = shared.pipeline.borrow_mut();
            let response_expected = !pipeline.in_flight.is_empty() || pipeline.fences.awaited > 0;
            pipeline.closing = !is_valid || !in_order || !(buffer.is_empty() || response_expected);
            pipeline.has_responded |= is_valid;
        }
        let notified = notify(event).await;
        if notified.is_err() || !is_valid {
            host.log(format_args!("{address}: closing the connection after an invalid response"));
            return ConnectionEnd::Broken;
        }
        if !in_order {
            return ConnectionEnd::OutOfSync(None);
        }
    }
}

/// Makes room in a buffer for the next read: for the rest of a value that has begun, in one piece, or for a read of the
/// usual size.
///
/// # Errors
/// There is no memory for it.
async fn reserve_for_read(buffer: &mut BytesMut, memory: &mut ReceiveMemory) -> Result<(), OutOfMemory> {
    if buffer.is_empty() {
        drop(memory.take());
        return Ok(());
    }
    let spare = buffer.capacity() - buffer.len();
    let capacity = match resp::frame_extent(buffer, resp::MAX_BUFFERED_VALUE_BYTES) {
        // What follows the value fits into one more read.
        Ok(FrameExtent::InValue { end, .. }) => end + READ_SIZE_BYTES,
        _ if spare >= MIN_READ_BYTES => buffer.capacity(),
        _ => buffer.len() + READ_SIZE_BYTES,
    };
    memory.reserve(capacity.max(buffer.capacity()), MEMORY_TIMEOUT).await?;
    buffer.reserve(capacity - buffer.len());
    Ok(())
}

/// Classifies a connect error.
fn connect_failure(error: std::io::Error) -> ConnectionEnd {
    match ConnectFailure::from_error(&error) {
        ConnectFailure::Local => ConnectionEnd::LocalFailure(error),
        ConnectFailure::Remote => ConnectionEnd::Refused,
    }
}

/// Writes the first bytes of the first queued command that has time left; `None` if there is none.
///
/// The command is encoded anew each time the socket may accept bytes, so that it carries the time left when its first
/// byte is written, which may be late if the server has much left to read. A command with no time left stays queued,
/// unwritten, until the node gives it up at its deadline.
async fn start_next_write(
    writing: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
) -> std::io::Result<Option<StartedWrite>> {
    poll_fn(|context| {
        let next = {
            let pipeline = shared.pipeline.borrow();
            pipeline.queued.iter().enumerate().find_map(|(index, c)| Some((index, c.payload.encode_now()?)))
        };
        let Some((index, bytes)) = next else { return Poll::Ready(Ok(None)) };
        let written = ready!(Pin::new(&mut *writing).poll_write(context, &bytes))?;
        if written == 0 {
            return Poll::Ready(Err(ErrorKind::WriteZero.into()));
        }
        let mut pipeline = shared.pipeline.borrow_mut();
        let Some(command) = pipeline.queued.remove(index) else {
            return Poll::Ready(Ok(None));
        };
        pipeline.write_state = WriteState::Partial(command.attempt);
        Poll::Ready(Ok(Some(StartedWrite { command, bytes, written })))
    })
    .await
}

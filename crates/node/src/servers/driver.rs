//! One connection to a cache server: commands are written in order, and answers are read in the same order.

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
use mothpier_resp as resp;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::connection::Shared;
use super::fence::{take_answers, write_wanted};
use super::judging::{MOST_FENCES_AHEAD, believe, believe_large, expects_doubt};
use super::line::{Sent, Writing};
use super::payload::{AttemptCommand, Kind};
use super::{ConnectionEnd, ConnectionEvent, RESPONSE_STALL_TIMEOUT};
use crate::command::{LargeValue, MAX_CHUNK_BYTES, STREAM_STALL_TIMEOUT};
use crate::duplicate_responses::{Doubt, Fingerprint, LARGE_PREFIX, LargeFingerprint};
use crate::input::Input;
use crate::memory_shortage::RetryingStream;
use crate::stream::{READ, more, more_within};

/// A command of which the first byte has been written.
struct Begun {
    command: AttemptCommand,
    bytes: Bytes,
    /// How many of the bytes have been written.
    written: usize,
}

/// Whether a frame can be the answer to a command: an array of the value or null, how it went and the load report,
/// whose form matters to nobody but the module; or an error line. A probe is answered with the report alone.
fn fits(frame: &BytesFrame, probe: bool) -> bool {
    match frame {
        BytesFrame::Error(_) => true,
        BytesFrame::BulkString(_) => probe,
        BytesFrame::Array(parts) if !probe => {
            let [value, how, _report] = parts.as_slice() else { return false };
            matches!(value, BytesFrame::BulkString(_) | BytesFrame::Null)
                && matches!(how, BytesFrame::BulkString(_) | BytesFrame::SimpleString(_) | BytesFrame::Null)
        }
        _ => false,
    }
}

/// Makes a connection and carries its commands until it ends; how it did.
pub(super) async fn drive<H: Host>(
    host: &H,
    server: ServerId,
    number: u64,
    address: SocketAddr,
    within: Duration,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> ConnectionEnd {
    let stream = match timeout(within, host.connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return not_made(error),
        Err(_) => return ConnectionEnd::TimedOut,
    };
    shared.line.borrow_mut().up = true;
    if events.send(Input::Server { server, connection: number, event: ConnectionEvent::Up }).await.is_err() {
        return ConnectionEnd::Broken;
    }
    let (reading, writing) = stream.into_halves();
    let mut writing = RetryingStream::new(writing);
    let reader = read_answers(host, server, number, address, &reading, shared, events);
    let writer = async {
        loop {
            // Once round the runtime: a close that has come in is read before anything more is written.
            tokio::task::yield_now().await;
            if write_wanted(&mut writing, shared).await.is_err() {
                return;
            }
            let Begun { command, bytes, written } = match begin_next(&mut writing, shared).await {
                Ok(Some(begun)) => begun,
                Ok(None) => {
                    shared.wake.notified().await;
                    continue;
                }
                Err(_) => return,
            };
            // Not awaited where nothing is left to be written.
            if written < bytes.len() {
                let rest = tokio::select! {
                    biased;
                    // The reader ends the connection once what was sent before has been answered.
                    () = shared.halt.notified() => std::future::pending().await,
                    rest = writing.write_all(&bytes[written..]) => rest,
                };
                if rest.is_err() {
                    return;
                }
            }
            // No await since the last byte was written: it is on record before an answer can be read.
            let mut line = shared.line.borrow_mut();
            line.writing = Writing::Nothing;
            if command.payload.kind() != Kind::Probe {
                shared.figures.attempt_sent();
            }
            let expects_doubt = expects_doubt(&command, &line, shared);
            line.sent.push_back(Sent { command, written: Instant::now(), given_up: false, fences: 0 });
            if expects_doubt {
                line.want_fence(MOST_FENCES_AHEAD);
            }
        }
    };
    // The reader first: a close by the server is noticed before anything more is written to it.
    tokio::select! { biased; end = reader => end, () = writer => ConnectionEnd::Broken }
}

/// Reads the answers of a connection, each for the command that has waited longest, until it ends; how it did.
async fn read_answers<H: Host>(
    host: &H,
    server: ServerId,
    number: u64,
    address: SocketAddr,
    reading: &impl Reading,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> ConnectionEnd {
    let tell = |event| events.send(Input::Server { server, connection: number, event });
    let mut buffer = BytesMut::new();
    loop {
        if take_answers(&mut buffer, shared).is_err() {
            return ConnectionEnd::OutOfStep(None);
        }
        let (nothing_sent, writing) = {
            let line = shared.line.borrow();
            (line.sent.is_empty() && line.fences.due == 0, line.writing)
        };
        if nothing_sent && writing == Writing::Abandoned {
            return ConnectionEnd::Broken;
        }
        // What lies behind an answer that nothing waits behind belongs to no command, and would be taken for the
        // beginning of the next answer: the connection is closed before anything more is written.
        if !buffer.is_empty() && nothing_sent {
            host.log(format_args!("{address}: more than was asked for"));
            shared.figures.unasked_answer();
            if matches!(resp::take_frame(&mut buffer, resp::MAX_BUFFERED_VALUE_BYTES), Ok(Some(_))) {
                shared.findings.borrow_mut().repeated();
            }
            return ConnectionEnd::OutOfStep(None);
        }
        // It has ended, then, for all that wait on it: a retry can tell whose answer it gets.
        if !buffer.is_empty() && shared.line.borrow().next_answer_is_ambiguous() {
            return ConnectionEnd::Broken;
        }
        let fences_due = shared.line.borrow().fences.due > 0;
        if let Some(large) = resp::large_value_header(&buffer).filter(|_| !fences_due) {
            match pass_on(large, reading, &mut buffer, shared, tell).await {
                Passed::Whole => continue,
                Passed::Cut => return ConnectionEnd::Broken,
                Passed::Doubted(doubt) => return ConnectionEnd::OutOfStep(Some(doubt)),
            }
        }
        let taken = match fences_due {
            // None of their answers has come whole.
            true => Ok(None),
            false => resp::take_frame(&mut buffer, resp::MAX_BUFFERED_VALUE_BYTES),
        };
        if let Ok(None) = taken {
            if buffer.is_empty() {
                buffer = BytesMut::new();
            }
            let begun = !buffer.is_empty();
            let read = match begun {
                true => more_within(reading, &mut buffer, READ, RESPONSE_STALL_TIMEOUT).await,
                false => more(reading, &mut buffer, READ).await,
            };
            match read {
                Ok(()) => continue,
                Err(e) if e.kind() == ErrorKind::TimedOut && begun => {}
                Err(_) => return ConnectionEnd::Broken,
            }
        }
        let mut may_repeat = false;
        if let Ok(Some(frame)) = &taken {
            let value = Fingerprint::of_answer(frame);
            if let Err(end) = believe(value, reading, &mut buffer, shared).await {
                return end;
            }
            // Load reports are equal as often as loads are.
            may_repeat = value.is_none()
                && !matches!(frame, BytesFrame::BulkString(_))
                && shared.line.borrow_mut().push_empty(&resp::encode(frame));
        }
        let Some(sent) = shared.line.borrow_mut().take_answered() else { return ConnectionEnd::Broken };
        // That it was turned away can't be believed then: what may not run twice would.
        let misleads = may_repeat && !sent.command.payload.may_run_twice();
        let (event, good) = match taken {
            Ok(Some(frame)) if !misleads && fits(&frame, sent.kind() == Kind::Probe) => {
                (ConnectionEvent::Answer(sent.attempt(), frame), true)
            }
            _ => (ConnectionEvent::Spoilt(sent.attempt()), false),
        };
        let in_order = take_answers(&mut buffer, shared).is_ok();
        // Before the node hears of it, which may have something more to write.
        {
            let mut line = shared.line.borrow_mut();
            let waits = !line.sent.is_empty() || line.fences.due > 0;
            line.ending = !good || !in_order || !(buffer.is_empty() || waits);
            line.has_answered |= good;
        }
        let told = tell(event).await;
        if told.is_err() || !good {
            host.log(format_args!("{address}: an answer that can't be read"));
            return ConnectionEnd::Broken;
        }
        if !in_order {
            return ConnectionEnd::OutOfStep(None);
        }
    }
}

/// Reads why a connection was not made.
fn not_made(error: std::io::Error) -> ConnectionEnd {
    match ConnectFailure::from_error(&error) {
        ConnectFailure::Local => ConnectionEnd::LocalFailure(error),
        ConnectFailure::Remote => ConnectionEnd::Refused,
    }
}

/// Writes the first bytes of the first queued command that has time left; `None` where there is none.
///
/// The bytes are made anew whenever the socket may take some, so that they tell the time left when the first of them is
/// written: behind much that the server has not read yet that may be late. One without time left stays queued, unwritten,
/// until the node gives it up, which it does when that time ends.
async fn begin_next(
    writing: &mut (impl AsyncWrite + Unpin),
    shared: &Shared,
) -> std::io::Result<Option<Begun>> {
    poll_fn(|context| {
        let next = {
            let line = shared.line.borrow();
            line.unsent.iter().enumerate().find_map(|(index, c)| Some((index, c.payload.encode_now()?)))
        };
        let Some((index, bytes)) = next else { return Poll::Ready(Ok(None)) };
        let written = ready!(Pin::new(&mut *writing).poll_write(context, &bytes))?;
        if written == 0 {
            return Poll::Ready(Err(ErrorKind::WriteZero.into()));
        }
        let mut line = shared.line.borrow_mut();
        let Some(command) = line.unsent.remove(index) else {
            return Poll::Ready(Ok(None));
        };
        line.writing = Writing::Begun(command.attempt);
        Poll::Ready(Ok(Some(Begun { command, bytes, written })))
    })
    .await
}

/// What has become of a large value.
enum Passed {
    /// It has come whole; the connection can be used again.
    Whole,
    /// It has not, or nobody wants it any more: the connection ends.
    Cut,
    /// It may be another one's. Nothing of it was passed on.
    Doubted(Doubt),
}

/// Passes a large value on as it comes, as fast as its client takes it, and takes what stands behind it off the buffer. The
/// attempt stays among those sent until then, so that a connection that ends meanwhile ends it.
async fn pass_on<T: Future<Output = Result<(), mpsc::error::SendError<Input>>>>(
    large: resp::LargeValue,
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
    tell: impl Fn(ConnectionEvent) -> T,
) -> Passed {
    let Some(attempt) =
        shared.line.borrow().sent.front().filter(|s| s.kind() != Kind::Probe).map(Sent::attempt)
    else {
        return Passed::Cut;
    };
    let mut fingerprint = Some(LargeFingerprint::new(large.length));
    // As much of it is held back as tells it from others of its length.
    if shared.line.borrow().may_be_another(large.length) {
        let held_back = large.header_length + large.length.min(LARGE_PREFIX);
        while buffer.len() < held_back {
            if more_within(reading, buffer, MAX_CHUNK_BYTES, RESPONSE_STALL_TIMEOUT).await.is_err() {
                return Passed::Cut;
            }
        }
        let value = fingerprint.take().and_then(|mut f| f.update(&buffer[large.header_length..]));
        if let Err(doubt) = believe_large(value, shared) {
            return Passed::Doubted(doubt);
        }
    }
    let (into, value) = LargeValue::new(large.length);
    shared.line.borrow_mut().streaming = true;
    if tell(ConnectionEvent::Began(attempt, value)).await.is_err() {
        return Passed::Cut;
    }
    let _ = buffer.split_to(large.header_length);
    let mut left = large.length;
    let mut wanted = true;
    while left > 0 {
        if buffer.is_empty() {
            *buffer = BytesMut::new();
            let more = more_within(reading, buffer, MAX_CHUNK_BYTES, STREAM_STALL_TIMEOUT);
            if tell_if_held_up(more, shared, &tell).await.is_err() {
                return Passed::Cut;
            }
        }
        let piece = buffer.split_to(buffer.len().min(left).min(MAX_CHUNK_BYTES)).freeze();
        left -= piece.len();
        if let Some(value) = fingerprint.as_mut().and_then(|f| f.update(&piece)) {
            // Of a length that none had before it: it can't be doubted.
            let _ = believe_large(Some(value), shared);
        }
        wanted = wanted && tell_if_held_up(into.send(piece), shared, &tell).await.is_ok();
        // Its client has gone. The rest is read for the sake of those behind it alone.
        if !wanted && !shared.line.borrow().others_wait() {
            return Passed::Cut;
        }
    }
    drop(into);
    // The end of the value, how it went, and the load report: none of it is owed to anyone any more, but it must come
    // for the next answer to be found.
    let mut behind = 0;
    while behind < 3 {
        let taken = match behind {
            0 => resp::take_line_end(buffer).map(|end| end.is_some()),
            _ => resp::take_frame(buffer, resp::MAX_BUFFERED_VALUE_BYTES).map(|frame| frame.is_some()),
        };
        match taken {
            Ok(true) => behind += 1,
            Ok(false) => {
                let more = more_within(reading, buffer, READ, STREAM_STALL_TIMEOUT);
                if tell_if_held_up(more, shared, &tell).await.is_err() {
                    return Passed::Cut;
                }
            }
            Err(_) => return Passed::Cut,
        }
    }
    let mut line = shared.line.borrow_mut();
    line.take_answered();
    (line.streaming, line.held_up, line.has_answered) = (false, false, true);
    Passed::Whole
}

/// Waits for a large value to go on. Where it stands still longer than an answer may, the node is told once, so that nothing
/// else waits for it.
async fn tell_if_held_up<T, Told>(
    going_on: impl Future<Output = T>,
    shared: &Shared,
    tell: &impl Fn(ConnectionEvent) -> Told,
) -> T
where
    Told: Future<Output = Result<(), mpsc::error::SendError<Input>>>,
{
    let mut going_on = std::pin::pin!(going_on);
    if let Ok(done) = timeout(RESPONSE_STALL_TIMEOUT, going_on.as_mut()).await {
        return done;
    }
    if !shared.line.borrow().held_up {
        // Where the node is gone, this task ends with it.
        let _ = tell(ConnectionEvent::HeldUp).await;
    }
    going_on.await
}

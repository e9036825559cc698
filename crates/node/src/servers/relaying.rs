//! Relays large values from a cache server to its clients as they arrive.

use bytes::BytesMut;
use mothpier_host::Reading;
use mothpier_resp::{self as resp, Malformed};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::connection::Shared;
use super::driver::is_cache_result;
use super::payload::CommandKind;
use super::pipeline::InFlightCommand;
use super::verification::verify_large;
use super::{ConnectionEvent, RESPONSE_STALL_TIMEOUT};
use crate::command::{LargeValue, LargeValuePart, MAX_CHUNK_BYTES, STREAM_STALL_TIMEOUT};
use crate::duplicate_responses::{Doubt, LARGE_VALUE_PREFIX_BYTES, LargeFingerprint};
use crate::input::Input;
use crate::stream::{READ_SIZE_BYTES, read_more_within};

/// Result of relaying a large value.
pub(super) enum RelayResult {
    /// Its response was received completely; the connection can be reused.
    Complete,
    /// It was cut off, or nobody wants it any more: the connection ends.
    Aborted,
    /// What follows the value can't be the rest of its response: neither the value nor the connection can be trusted.
    Unreadable(Malformed),
    /// It may belong to another command. Nothing of it was relayed.
    Doubted(Doubt),
}

/// Relays a large value as it arrives, as fast as its client reads it. The client is told the end of the value only once
/// the rest of the response has been read: until then the stated length may be wrong. The attempt stays in flight
/// meanwhile, so that it ends with the connection.
pub(super) async fn relay_large_value<T: Future<Output = Result<(), mpsc::error::SendError<Input>>>>(
    large: resp::LargeValue,
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
    notify: impl Fn(ConnectionEvent) -> T,
) -> RelayResult {
    let Some(attempt) = shared
        .pipeline
        .borrow()
        .in_flight
        .front()
        .filter(|s| s.kind() != CommandKind::Probe)
        .map(InFlightCommand::attempt)
    else {
        return RelayResult::Aborted;
    };
    let mut fingerprint = Some(LargeFingerprint::new(large.length));
    // Hold back as many bytes as are needed to tell it from other values of this length.
    if shared.pipeline.borrow().may_be_mismatched(large.length) {
        let held_back = large.header_length + large.length.min(LARGE_VALUE_PREFIX_BYTES);
        while buffer.len() < held_back {
            if read_more_within(reading, buffer, MAX_CHUNK_BYTES, RESPONSE_STALL_TIMEOUT).await.is_err() {
                return RelayResult::Aborted;
            }
        }
        let value = fingerprint.take().and_then(|mut f| f.update(&buffer[large.header_length..]));
        if let Err(doubt) = verify_large(value, shared) {
            return RelayResult::Doubted(doubt);
        }
    }
    let (sender, value) = LargeValue::new(large.length);
    shared.pipeline.borrow_mut().streaming = true;
    if notify(ConnectionEvent::StreamStarted(attempt, value)).await.is_err() {
        return RelayResult::Aborted;
    }
    let _ = buffer.split_to(large.header_length);
    let mut remaining = large.length;
    let mut is_wanted = true;
    while remaining > 0 {
        if buffer.is_empty() {
            *buffer = BytesMut::new();
            let more = read_more_within(reading, buffer, MAX_CHUNK_BYTES, STREAM_STALL_TIMEOUT);
            if report_stall(more, shared, &notify).await.is_err() {
                return RelayResult::Aborted;
            }
        }
        let chunk = buffer.split_to(buffer.len().min(remaining).min(MAX_CHUNK_BYTES)).freeze();
        remaining -= chunk.len();
        if let Some(value) = fingerprint.as_mut().and_then(|f| f.update(&chunk)) {
            // No earlier value has this length, so it can't be doubted.
            let _ = verify_large(Some(value), shared);
        }
        is_wanted = is_wanted
            && report_stall(sender.send(LargeValuePart::Chunk(chunk)), shared, &notify).await.is_ok();
        // The client has gone. The rest is read only for the sake of the commands behind it.
        if !is_wanted && !shared.pipeline.borrow().others_waiting() {
            return RelayResult::Aborted;
        }
    }
    if let Err(result) = read_rest_of_response(reading, buffer, shared, &notify).await {
        return result;
    }
    if is_wanted {
        // If it fails, the client has gone.
        let _ = report_stall(sender.send(LargeValuePart::End), shared, &notify).await;
    }
    let mut pipeline = shared.pipeline.borrow_mut();
    pipeline.pop_answered();
    (pipeline.streaming, pipeline.stream_stalled, pipeline.has_responded) = (false, false, true);
    RelayResult::Complete
}

/// The parts of a response behind its value, in their order.
#[derive(Clone, Copy)]
enum ResponsePart {
    EndOfValue,
    CacheResult,
    LoadReport,
}

impl ResponsePart {
    /// Takes it off a buffer; returns whether it was complete.
    ///
    /// # Errors
    /// The buffer begins with something else.
    fn take(self, buffer: &mut BytesMut) -> Result<bool, Malformed> {
        match self {
            ResponsePart::EndOfValue => Ok(resp::take_line_end(buffer)?.is_some()),
            ResponsePart::CacheResult => match take_frame(buffer)? {
                Some(frame) if !is_cache_result(&frame) => Err(Malformed("bad cache result")),
                frame => Ok(frame.is_some()),
            },
            // Only the decision module checks the format of a load report.
            ResponsePart::LoadReport => Ok(take_frame(buffer)?.is_some()),
        }
    }
}

fn take_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    resp::take_frame(buffer, resp::MAX_BUFFERED_VALUE_BYTES)
}

/// Reads what follows the value of a response.
///
/// # Errors
/// How the relaying ends because it can't be read.
async fn read_rest_of_response<T: Future<Output = Result<(), mpsc::error::SendError<Input>>>>(
    reading: &impl Reading,
    buffer: &mut BytesMut,
    shared: &Shared,
    notify: &impl Fn(ConnectionEvent) -> T,
) -> Result<(), RelayResult> {
    for part in [ResponsePart::EndOfValue, ResponsePart::CacheResult, ResponsePart::LoadReport] {
        while !part.take(buffer).map_err(RelayResult::Unreadable)? {
            let more = read_more_within(reading, buffer, READ_SIZE_BYTES, STREAM_STALL_TIMEOUT);
            report_stall(more, shared, notify).await.map_err(|_| RelayResult::Aborted)?;
        }
    }
    Ok(())
}

/// Waits for a large value to progress. If it stalls for longer than a response may, the node is notified once, so
/// that nothing else waits behind it.
async fn report_stall<T, Notified>(
    progress: impl Future<Output = T>,
    shared: &Shared,
    notify: &impl Fn(ConnectionEvent) -> Notified,
) -> T
where
    Notified: Future<Output = Result<(), mpsc::error::SendError<Input>>>,
{
    let mut progress = std::pin::pin!(progress);
    if let Ok(done) = timeout(RESPONSE_STALL_TIMEOUT, progress.as_mut()).await {
        return done;
    }
    if !shared.pipeline.borrow().stream_stalled {
        // If the node has gone, this task ends with it.
        let _ = notify(ConnectionEvent::Stalled).await;
    }
    progress.await
}

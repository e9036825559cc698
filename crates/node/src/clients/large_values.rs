//! Relaying large values to a client as they arrive.

use mothpier_host::{Host, Reading};
use mothpier_ops::{CloseReason, RequestEnd};
use mothpier_resp as resp;
use tokio::time::{Instant, timeout};

use super::ClientWriting;
use super::connection_state::ConnectionState;
use super::inbox::Inbox;
use super::pending_replies::{PendingReply, ReplyState};
use super::session::Session;
use super::writing::{WriteKind, WriteResult};
use crate::command::{LargeValue, LargeValuePart, STREAM_STALL_TIMEOUT};

impl<H: Host> Session<H> {
    /// Relays the large value at the front as it arrives. If it is cut off, the connection must end, because nothing else
    /// tells the client so.
    pub(super) async fn stream_large_value<R: Reading>(
        &mut self,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> WriteResult {
        let Some(PendingReply { state: ReplyState::Stream(mut value), forwarded, memory, ticket }) =
            self.pending.pop_front()
        else {
            return Err(CloseReason::ValueCut);
        };
        self.forwarded_requests -= usize::from(forwarded);
        self.publish_state(ConnectionState::LargeValue);
        let result = self.relay_parts(&mut value, inbox, writing).await;
        self.large_value_ended_at = Some(Instant::now());
        drop(memory);
        let end = match result {
            Ok(()) => Some(RequestEnd::Served),
            Err(CloseReason::ValueCut) => Some(RequestEnd::Failed),
            // A request whose client stopped reading was abandoned.
            Err(_) => None,
        };
        if let (Some((ticket, _)), Some(end)) = (ticket, end) {
            self.replies += u64::from(result.is_ok());
            ticket.end(end);
        }
        result
    }

    /// Writes a large value as its parts arrive, and its end of line once its response is known to be whole.
    async fn relay_parts<R: Reading>(
        &mut self,
        value: &mut LargeValue,
        inbox: &mut Inbox<'_, R>,
        writing: &mut ClientWriting<H>,
    ) -> WriteResult {
        let mut remaining = value.length;
        self.write_bytes(&resp::value_header(remaining), WriteKind::LargeValue, inbox, writing).await?;
        loop {
            // Longer than the stall time-out of its server, which ends the value there.
            let next = timeout(STREAM_STALL_TIMEOUT * 2, value.parts.recv());
            match self.read_while_waiting(inbox, WriteKind::AwaitsPiece, next).await {
                Some(Ok(Some(LargeValuePart::Chunk(chunk)))) if chunk.len() <= remaining => {
                    remaining -= chunk.len();
                    self.write_bytes(&chunk, WriteKind::LargeValue, inbox, writing).await?;
                }
                Some(Ok(Some(LargeValuePart::End))) if remaining == 0 => {
                    return self.write_bytes(resp::END_OF_LINE, WriteKind::LargeValue, inbox, writing).await;
                }
                None if self.input.client_has_closed() => return Err(CloseReason::Client),
                _ => return Err(CloseReason::ValueCut),
            }
        }
    }
}

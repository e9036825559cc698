//! An HTTP/1.1 connection, for the origin and for discovery. Requests are never repeated here.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use mothpier_host::Host;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::memory_shortage::RetryingStream;

/// Limit of the read buffer, and so of the head of a response.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// An open connection. Dropping it closes the socket, even with a request in flight.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection within `connect_timeout`.
pub async fn connect<H: Host>(
    host: &H,
    address: SocketAddr,
    connect_timeout: Duration,
) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(connect_timeout, host.connect(address)).await??;
    let stream = TokioIo::new(RetryingStream::new(stream));
    let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    // Driven also while idle, so that a close by the server is noticed.
    let driver = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { sender, driver })
}

/// Reads a body of at most `max_bytes`. If `stall_timeout` is given, each part must arrive within it.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    stall_timeout: Option<Duration>,
) -> Result<Bytes, String> {
    let expected = body.size_hint().exact().map_or(0, |bytes| bytes.min(max_bytes as u64));
    let mut collected = BytesMut::with_capacity(expected as usize);
    loop {
        let frame = match stall_timeout {
            Some(stall_timeout) => {
                timeout(stall_timeout, body.frame()).await.map_err(|_| "response body stalled")?
            }
            None => body.frame().await,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| e.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        if collected.len() + data.len() > max_bytes {
            return Err(format!("response body exceeds {max_bytes} bytes"));
        }
        collected.extend_from_slice(data);
    }
    Ok(collected.freeze())
}

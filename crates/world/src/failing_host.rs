//! A host whose system calls fail for a while.
//!
//! It wraps [`SimHost`] in the test programs alone; the daemon does not contain it. Short reads and writes
//! carry all bytes in the end. A failed `accept` leaves the connection in the queue, as Linux does where the
//! process is short of descriptors; the connection of an `ECONNABORTED` is one that never existed.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use chalksill_simnet::{SimDatagrams, SimHost, SimListener, SimReading, SimStream};
use mothpier_host::{Datagrams, Host, Listener, Reading, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::spawn_local;
use tokio::time::{Sleep, sleep};

use crate::mutant::Mutant;
use crate::observe::NodeIndex;
use crate::system_calls::{CLOCK_RESOLUTION, FailingCalls, Failure, SystemCall};

/// Most bytes of a short write.
const SHORT_WRITE_MAX_BYTES: usize = 8;
/// After a short write the socket takes nothing for 1 to this many milliseconds, as its buffer was full.
const FULL_BUFFER_MAX_MS: usize = 3;

/// The host of a node whose calls may fail.
#[derive(Clone)]
pub struct FailingHost {
    host: SimHost,
    node: NodeIndex,
    calls: FailingCalls,
    mutant: Option<Mutant>,
}

impl FailingHost {
    /// Wraps the host of a node; `mutant` alters how errors are reported.
    pub fn new(host: SimHost, node: NodeIndex, calls: FailingCalls, mutant: Option<Mutant>) -> FailingHost {
        FailingHost { host, node, calls, mutant }
    }

    /// Wraps a listener that the program inherits.
    pub fn listener(&self, listener: SimListener) -> FailingListener {
        FailingListener { listener, host: self.clone() }
    }

    /// The error of a call that is made now, if it fails.
    fn error(&self, call: SystemCall) -> Option<io::Error> {
        let failure = self.calls.failure(self.node, call)?;
        Some(
            self.mutant
                .and_then(|mutant| mutant.altered_error(call, failure))
                .unwrap_or_else(|| failure.error()),
        )
    }

    /// Fails an asynchronous call, or lets it through.
    async fn may_fail(&self, call: SystemCall) -> io::Result<()> {
        while let Some(error) = self.error(call) {
            if self.calls.is_busy_loop(self.node, call) {
                sleep(CLOCK_RESOLUTION).await;
            }
            if !self.mutant.is_some_and(|mutant| mutant.retries_at_once(call)) {
                return Err(error);
            }
        }
        Ok(())
    }

    fn is_short(&self, call: SystemCall) -> bool {
        self.calls.failure(self.node, call) == Some(Failure::Short)
    }

    fn stream(&self, stream: SimStream) -> FailingStream {
        FailingStream { stream, host: self.clone(), buffer_full: None, last_write_short: false }
    }
}

impl Host for FailingHost {
    type Stream = FailingStream;
    type Listener = FailingListener;
    type Datagrams = FailingDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<FailingStream> {
        self.may_fail(SystemCall::Connect).await?;
        Ok(self.stream(self.host.connect(to).await?))
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<FailingListener> {
        self.may_fail(SystemCall::Listen).await?;
        Ok(self.listener(self.host.listen(at).await?))
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<FailingDatagrams> {
        self.may_fail(SystemCall::BindDatagrams).await?;
        Ok(FailingDatagrams { datagrams: self.host.datagrams(at).await?, host: self.clone() })
    }

    fn unix_time(&self) -> Duration {
        self.host.unix_time()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        self.host.log(line);
    }
}

/// A listener of a failing host.
pub struct FailingListener {
    listener: SimListener,
    host: FailingHost,
}

impl Listener for FailingListener {
    type Stream = FailingStream;

    async fn accept(&self) -> io::Result<(FailingStream, SocketAddr)> {
        std::future::poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(FailingStream, SocketAddr)>> {
        // As in a real program, `accept` is called only when a connection waits.
        ready!(self.listener.poll_pending_connection(cx));
        let Some(error) = self.host.error(SystemCall::Accept) else {
            return self.listener.poll_accept(cx).map_ok(|(stream, from)| (self.host.stream(stream), from));
        };
        if !self.host.calls.is_busy_loop(self.host.node, SystemCall::Accept) {
            return Poll::Ready(Err(error));
        }
        let waker = cx.waker().clone();
        spawn_local(async move {
            sleep(CLOCK_RESOLUTION).await;
            waker.wake();
        });
        Poll::Pending
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection of a failing host, or its write half.
pub struct FailingStream {
    stream: SimStream,
    host: FailingHost,
    /// Set while the socket buffer is full.
    buffer_full: Option<Pin<Box<Sleep>>>,
    /// The last write was short, so the next one is not.
    last_write_short: bool,
}

/// The read half of a connection.
pub struct FailingReading {
    reading: SimReading,
    host: FailingHost,
}

impl Stream for FailingStream {
    type Reading = FailingReading;
    type Writing = FailingStream;

    fn into_halves(self) -> (FailingReading, FailingStream) {
        let (reading, writing) = self.stream.into_halves();
        let reading = FailingReading { reading, host: self.host.clone() };
        (reading, FailingStream { stream: writing, ..self })
    }
}

impl Reading for FailingReading {
    async fn readable(&self) -> io::Result<()> {
        self.reading.readable().await
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        if buffer.capacity() == buffer.len() || !self.host.is_short(SystemCall::Read) {
            return self.reading.try_read_buf(buffer);
        }
        let mut one = BytesMut::with_capacity(1);
        let read = self.reading.try_read_buf(&mut one)?;
        buffer.extend_from_slice(&one);
        Ok(read)
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        self.reading.since_last_arrival()
    }

    fn acknowledge_at_once(&self) {
        self.reading.acknowledge_at_once();
    }

    fn remote_end_closed(&self) -> bool {
        self.reading.remote_end_closed()
    }
}

impl AsyncRead for FailingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 || !self.host.is_short(SystemCall::Read) {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        }
        let mut one = [0];
        let mut one = ReadBuf::new(&mut one);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut one))?;
        buffer.put_slice(one.filled());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FailingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(full) = &mut self.buffer_full {
            ready!(full.as_mut().poll(cx));
            self.buffer_full = None;
        }
        let was_short = std::mem::take(&mut self.last_write_short);
        if was_short || bytes.len() < 2 || !self.host.is_short(SystemCall::Write) {
            return Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        let few = 1 + self.host.calls.below(SHORT_WRITE_MAX_BYTES.min(bytes.len() - 1));
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &bytes[..few]))?;
        let full = Duration::from_millis(1 + self.host.calls.below(FULL_BUFFER_MAX_MS) as u64);
        (self.buffer_full, self.last_write_short) = (Some(Box::pin(sleep(full))), true);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Where it fails the remote side has just closed, and there is nothing left to shut down.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        Poll::Ready(self.host.error(SystemCall::Shutdown).map_or(Ok(()), Err))
    }
}

/// A UDP socket of a failing host.
pub struct FailingDatagrams {
    datagrams: SimDatagrams,
    host: FailingHost,
}

impl Datagrams for FailingDatagrams {
    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.host.may_fail(SystemCall::Receive).await?;
        self.datagrams.recv_from(buffer).await
    }

    /// A datagram whose sending fails is lost.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.host.error(SystemCall::Send).map_or(Ok(()), Err)?;
        self.datagrams.try_send_to(bytes, to)
    }
}

//! Handover connections between the successive processes of one node, over a Unix socket in a shared folder.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;

use brassrouter::STATE_VERSION;
use mothpier_handover::{Decoder, Message, PredecessorState, encode};
use mothpier_host::Host;
use mothpier_node::handover::{Handover, Link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::HOST;

/// File name of the socket in the shared folder.
const SOCKET_NAME: &str = "mothpier-handover.sock";
/// How long a starting process waits for its predecessor's state before it starts without. The whole start may take
/// 6 s.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of a link's message queues, in messages.
const LINK_QUEUE_CAPACITY: usize = 4;
/// Size of a link's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A link is closed when its other end does not take a message within this time.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Asks the predecessor process, if there is one, for its state, and starts to listen for successor processes.
pub async fn begin(folder: PathBuf, name: &str) -> Handover {
    let path = folder.join(SOCKET_NAME);
    let (ended, has_ended) = oneshot::channel();
    let predecessor = match timeout(STATE_TIMEOUT, request_state(&path, name, ended)).await {
        Ok(Ok(predecessor)) => predecessor,
        Ok(Err(reason)) => {
            HOST.log(format_args!("handover: {reason}; starting without the predecessor's state"));
            None
        }
        Err(_) => {
            HOST.log(format_args!("handover: no answer; starting without the predecessor's state"));
            None
        }
    };
    let (links, successors) = mpsc::channel(1);
    let is_alone = predecessor.is_none();
    spawn_local(async move {
        if !is_alone {
            // The socket stays the predecessor's until it ends: if this process dies first, the predecessor must
            // answer the next successor.
            let _ = has_ended.await;
        }
        if let Err(e) = listen(&path, links).await {
            HOST.log(format_args!("handover: {}: {e}; no successor process can take over", path.display()));
        }
    });
    Handover { predecessor, successors }
}

/// Asks the process that listens at `path` for its state. `Ok(None)` if no process listens there.
async fn request_state(
    path: &Path,
    name: &str,
    ended: oneshot::Sender<()>,
) -> Result<Option<(PredecessorState, Link)>, String> {
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut link = open_link(stream, Some(ended));
    let _ = link.outbox.send(Message::Hello { node_name: name.into(), state_layout: STATE_VERSION }).await;
    match link.inbox.recv().await {
        Some(Message::State(state)) => Ok(Some((state, link))),
        Some(Message::Declined(reason)) => Err(reason),
        Some(_) => Err("unexpected message from the predecessor".into()),
        None => Err("the predecessor closed the connection".into()),
    }
}

/// Listens for successor processes until this process ends. Replaces the stale socket of a killed process; fails if a
/// live process listens at `path`.
async fn listen(path: &Path, links: mpsc::Sender<Link>) -> std::io::Result<()> {
    let listener = match UnixListener::bind(path) {
        Err(e) if e.kind() == ErrorKind::AddrInUse => {
            if UnixStream::connect(path).await.is_ok() {
                return Err(e);
            }
            std::fs::remove_file(path)?;
            UnixListener::bind(path)?
        }
        bound => bound?,
    };
    loop {
        match listener.accept().await {
            // Only one successor at a time: the link of another is dropped, which closes its connection.
            Ok((stream, _)) => {
                if let Ok(permit) = links.try_reserve() {
                    permit.send(open_link(stream, None));
                }
            }
            Err(e) => {
                HOST.log(format_args!("handover: accepting failed: {e}"));
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Carries messages over a connection until either side closes it, then notifies `ended`.
fn open_link(stream: UnixStream, ended: Option<oneshot::Sender<()>>) -> Link {
    let (mut reading, mut writing) = stream.into_split();
    let (received, inbox) = mpsc::channel(LINK_QUEUE_CAPACITY);
    let (outbox, mut outgoing) = mpsc::channel(LINK_QUEUE_CAPACITY);
    let read_messages = async move {
        let (mut decoder, mut buffer) = (Decoder::default(), vec![0; READ_BUFFER_BYTES]);
        while let Ok(length @ 1..) = reading.read(&mut buffer).await {
            decoder.push(&buffer[..length]);
            loop {
                match decoder.next_message() {
                    Ok(Some(message)) => {
                        if received.send(message).await.is_err() {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => return HOST.log(format_args!("handover: {e}")),
                }
            }
        }
    };
    let write_messages = async move {
        while let Some(message) = outgoing.recv().await {
            let frame = match encode(&message) {
                Ok(frame) => frame,
                Err(e) => return HOST.log(format_args!("handover: {e}")),
            };
            if !matches!(timeout(SEND_TIMEOUT, writing.write_all(&frame)).await, Ok(Ok(()))) {
                return;
            }
        }
    };
    spawn_local(async move {
        tokio::select! { biased; () = read_messages => {}, () = write_messages => {} }
        if let Some(ended) = ended {
            let _ = ended.send(());
        }
    });
    Link { inbox, outbox }
}

//! The links between the processes of one node: a Unix socket in the folder that they share.

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

/// The socket's name in the folder.
const NAME: &str = "mothpier-handover.sock";
/// An old process answers within this time, or a new one begins without it: it has 6 s for all.
const ANSWER: Duration = Duration::from_secs(1);
/// Messages of a link that may wait.
const QUEUE: usize = 4;
/// Read from a link at once.
const READ: usize = 64 * 1024;
/// A message is taken within this time, or its link has ended.
const TAKEN: Duration = Duration::from_secs(2);
/// Between tries to accept after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks the process whose place this one takes, where there is one, and lets those ask that will take this one's.
pub async fn begin(folder: PathBuf, name: &str) -> Handover {
    let path = folder.join(NAME);
    let (ended, has_ended) = oneshot::channel();
    let before = match timeout(ANSWER, ask(&path, name, ended)).await {
        Ok(Ok(before)) => before,
        Ok(Err(why)) => {
            HOST.log(format_args!("handover: {why}; this process begins from nothing"));
            None
        }
        Err(_) => {
            HOST.log(format_args!("handover: no answer; this process begins from nothing"));
            None
        }
    };
    let (found, successors) = mpsc::channel(1);
    let alone = before.is_none();
    spawn_local(async move {
        if !alone {
            // The old process may outlive this one, and is asked again then.
            let _ = has_ended.await;
        }
        if let Err(e) = listen(&path, found).await {
            HOST.log(format_args!("handover: {}: {e}; no other process can take over", path.display()));
        }
    });
    Handover { predecessor: before, successors }
}

/// Asks who listens at a path; none is no error.
async fn ask(
    path: &Path,
    name: &str,
    ended: oneshot::Sender<()>,
) -> Result<Option<(PredecessorState, Link)>, String> {
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut link = link(stream, Some(ended));
    let _ = link.outbox.send(Message::Hello { node_name: name.into(), state_layout: STATE_VERSION }).await;
    match link.inbox.recv().await {
        Some(Message::State(state)) => Ok(Some((state, link))),
        Some(Message::Declined(why)) => Err(why),
        Some(_) => Err("an answer out of turn".into()),
        None => Err("the other process has closed".into()),
    }
}

/// Listens until the process ends. What a process that was killed left at the path goes; what one that lives has there
/// stays.
async fn listen(path: &Path, found: mpsc::Sender<Link>) -> std::io::Result<()> {
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
            // One at a time; another is told so by the end of its link.
            Ok((stream, _)) => {
                if let Ok(place) = found.try_reserve() {
                    place.send(link(stream, None));
                }
            }
            Err(e) => {
                HOST.log(format_args!("handover: accepting failed: {e}"));
                sleep(PAUSE).await;
            }
        }
    }
}

/// Carries messages over a connection until either side ends; that is told, where someone wants to know.
fn link(stream: UnixStream, ended: Option<oneshot::Sender<()>>) -> Link {
    let (mut reading, mut writing) = stream.into_split();
    let (heard, inbox) = mpsc::channel(QUEUE);
    let (outbox, mut to_say) = mpsc::channel(QUEUE);
    let reads = async move {
        let (mut decoder, mut buffer) = (Decoder::default(), vec![0; READ]);
        while let Ok(length @ 1..) = reading.read(&mut buffer).await {
            decoder.push(&buffer[..length]);
            loop {
                match decoder.next_message() {
                    Ok(Some(message)) => {
                        if heard.send(message).await.is_err() {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => return HOST.log(format_args!("handover: {e}")),
                }
            }
        }
    };
    let writes = async move {
        while let Some(message) = to_say.recv().await {
            let frame = match encode(&message) {
                Ok(frame) => frame,
                Err(e) => return HOST.log(format_args!("handover: {e}")),
            };
            if !matches!(timeout(TAKEN, writing.write_all(&frame)).await, Ok(Ok(()))) {
                return;
            }
        }
    };
    spawn_local(async move {
        tokio::select! { biased; () = reads => {}, () = writes => {} }
        if let Some(ended) = ended {
            let _ = ended.send(());
        }
    });
    Link { inbox, outbox }
}

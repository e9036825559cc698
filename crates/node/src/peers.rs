//! Datagrams exchanged with the other nodes of the tier.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mothpier_host::opening::datagrams_with_retry;
use mothpier_host::receiving::receive_with_backoff;
use mothpier_host::{Datagrams, Host};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::input::Input;

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 256;

/// Interval between attempts to open an address that the predecessor process has not released.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Sends datagrams to the other nodes and receives theirs.
pub struct Peers<H: Host> {
    host: H,
    /// `None` while another process of this node owns the address.
    socket: Rc<RefCell<Option<Rc<H::Datagrams>>>>,
    receive_task: AbortHandle,
    /// By node index.
    addresses: Arc<[SocketAddr]>,
    broadcast: Option<SocketAddr>,
}

impl<H: Host> Peers<H> {
    /// Opens the socket and starts to receive. If `shared`, a predecessor process may still have the address
    /// open, and opening is retried until it is free. Messages from unknown senders and oversized ones are
    /// dropped.
    pub async fn open(
        host: H,
        listen: SocketAddr,
        shared: bool,
        addresses: Arc<[SocketAddr]>,
        broadcast: Option<SocketAddr>,
        events: mpsc::Sender<Input>,
    ) -> std::io::Result<Self> {
        let first = match datagrams_with_retry(&host, listen, shared).await {
            Ok(socket) => Some(Rc::new(socket)),
            Err(e) if shared && e.kind() == ErrorKind::AddrInUse => None,
            Err(e) => return Err(e),
        };
        let socket = Rc::new(RefCell::new(first.clone()));
        let (senders, shared_socket, opener) = (addresses.clone(), socket.clone(), host.clone());
        let task = tokio::task::spawn_local(async move {
            let receiver = match first {
                Some(socket) => socket,
                None => loop {
                    sleep(OPEN_RETRY_INTERVAL).await;
                    if let Ok(socket) = opener.datagrams(listen).await {
                        opener.log(format_args!("messages of peers come here from now on"));
                        break Rc::new(socket);
                    }
                },
            };
            *shared_socket.borrow_mut() = Some(receiver.clone());
            let mut buffer = [0; MAX_MESSAGE_BYTES + 1];
            loop {
                let (length, sender) = receive_with_backoff(&*receiver, &mut buffer).await;
                let Some(from) = senders.iter().position(|a| *a == sender) else { continue };
                if length <= MAX_MESSAGE_BYTES {
                    let bytes = buffer[..length].to_vec();
                    // Dropped if the queue is full, as any datagram may be.
                    let _ = events.try_send(Input::Peer { from: from as u32, bytes });
                }
                tokio::task::yield_now().await;
            }
        });
        Ok(Peers { host, socket, receive_task: task.abort_handle(), addresses, broadcast })
    }

    /// Releases the address for the successor process.
    pub fn close(&mut self) {
        self.receive_task.abort();
        self.socket.borrow_mut().take();
    }

    /// Sends a message to one node, or to all. A message that cannot be sent at once is lost.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(index) => self.addresses.get(index as usize).copied(),
            None => self.broadcast,
        };
        match address {
            Some(address) if bytes.len() <= MAX_MESSAGE_BYTES => {
                if let Some(socket) = self.socket.borrow().as_ref() {
                    let _ = socket.try_send_to(bytes, address);
                }
            }
            _ => self.host.log(format_args!("cannot send a message of {} bytes to peer {to:?}", bytes.len())),
        }
    }
}

//! Datagrams between the nodes of the tier.

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

/// The longest message that may be sent.
const MAX_MESSAGE: usize = 256;

/// Between two tries to open an address that another process of this node has not let go of.
const AGAIN: Duration = Duration::from_millis(20);

/// The way to the other nodes.
pub struct Peers<H: Host> {
    host: H,
    /// None while another process of this node has the address.
    socket: Rc<RefCell<Option<Rc<H::Datagrams>>>>,
    inbox: AbortHandle,
    /// By their numbers.
    addresses: Arc<[SocketAddr]>,
    all: Option<SocketAddr>,
}

impl<H: Host> Peers<H> {
    /// Opens the socket and begins to listen; where `shared`, another process may have it open still, and it is tried for
    /// until it is free. Messages of strangers and overlong ones are dropped.
    pub async fn open(
        host: H,
        listen: SocketAddr,
        shared: bool,
        addresses: Arc<[SocketAddr]>,
        all: Option<SocketAddr>,
        events: mpsc::Sender<Input>,
    ) -> std::io::Result<Self> {
        let first = match datagrams_with_retry(&host, listen, shared).await {
            Ok(socket) => Some(Rc::new(socket)),
            Err(e) if shared && e.kind() == ErrorKind::AddrInUse => None,
            Err(e) => return Err(e),
        };
        let socket = Rc::new(RefCell::new(first.clone()));
        let (known, place, opener) = (addresses.clone(), socket.clone(), host.clone());
        let task = tokio::task::spawn_local(async move {
            let inbox = match first {
                Some(socket) => socket,
                None => loop {
                    sleep(AGAIN).await;
                    if let Ok(socket) = opener.datagrams(listen).await {
                        opener.log(format_args!("messages of peers come here from now on"));
                        break Rc::new(socket);
                    }
                },
            };
            *place.borrow_mut() = Some(inbox.clone());
            let mut buffer = [0; MAX_MESSAGE + 1];
            loop {
                let (length, sender) = receive_with_backoff(&*inbox, &mut buffer).await;
                let Some(from) = known.iter().position(|a| *a == sender) else { continue };
                if length <= MAX_MESSAGE {
                    let bytes = buffer[..length].to_vec();
                    // One that finds the queue full is dropped, as it might have been on its way.
                    let _ = events.try_send(Input::Peer { from: from as u32, bytes });
                }
                tokio::task::yield_now().await;
            }
        });
        Ok(Peers { host, socket, inbox: task.abort_handle(), addresses, all })
    }

    /// Lets go of the address: another process of this node speaks for it.
    pub fn close(&mut self) {
        self.inbox.abort();
        self.socket.borrow_mut().take();
    }

    /// Sends a message to one node, or to all; one that can't go at once is lost.
    pub fn tell(&self, to: Option<u32>, bytes: &[u8]) {
        let address = match to {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.all,
        };
        match address {
            Some(address) if bytes.len() <= MAX_MESSAGE => {
                if let Some(socket) = self.socket.borrow().as_ref() {
                    let _ = socket.try_send_to(bytes, address);
                }
            }
            _ => self.host.log(format_args!("a message of {} bytes to {to:?} can't be sent", bytes.len())),
        }
    }
}

//! A tally of traffic by machine and way, for those that ask for it. It takes no part in what happens on the network, nor in
//! its digest.

use std::collections::HashMap;
use std::net::IpAddr;

/// A kind of traffic of a machine, by the port of the side that is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficKind {
    /// TCP connections that the machine opened to this port elsewhere.
    Opened(u16),
    /// TCP connections that it accepted on this port of its own.
    Accepted(u16),
    /// Datagrams to this port, its own or that of another machine.
    Datagrams(u16),
}

/// Messages and their bytes. A message is one datagram, or what one write gives to a TCP connection; bytes are without
/// headers of IP, TCP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages received. A datagram that finds its queue full, or no socket, is not received.
    pub messages_in: u64,
    /// Messages sent, those included that are lost on their way.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl Traffic {
    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic {
            messages_in: self.messages_in + other.messages_in,
            messages_out: self.messages_out + other.messages_out,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
        }
    }
}

/// All traffic since the tally began.
#[derive(Default)]
pub(crate) struct Tally(HashMap<(IpAddr, TrafficKind), Traffic>);

impl Tally {
    pub fn sent(&mut self, ip: IpAddr, way: TrafficKind, bytes: usize) {
        let traffic = self.0.entry((ip, way)).or_default();
        traffic.messages_out += 1;
        traffic.bytes_out += bytes as u64;
    }

    pub fn received(&mut self, ip: IpAddr, way: TrafficKind, bytes: usize) {
        let traffic = self.0.entry((ip, way)).or_default();
        traffic.messages_in += 1;
        traffic.bytes_in += bytes as u64;
    }

    pub fn traffic(&self, ip: IpAddr, way: TrafficKind) -> Traffic {
        self.0.get(&(ip, way)).copied().unwrap_or_default()
    }
}

//! Counters of traffic by machine and kind, on request. They affect neither the network nor its digest.

use std::collections::HashMap;
use std::net::IpAddr;

/// A kind of traffic of a machine, by the port of the side that is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficKind {
    /// TCP connections that the machine opened to this port.
    Opened(u16),
    /// TCP connections that the machine accepted on this port.
    Accepted(u16),
    /// Datagrams to this port, on this machine or another one.
    Datagrams(u16),
}

/// Messages and bytes. A message is a datagram, or the data of one write to a TCP connection; bytes exclude
/// headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages received. Datagrams for a full queue or a missing socket are not received.
    pub messages_in: u64,
    /// Messages sent, including lost ones.
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

/// All traffic since counting started.
#[derive(Default)]
pub(crate) struct TrafficCounters(HashMap<(IpAddr, TrafficKind), Traffic>);

impl TrafficCounters {
    pub fn count_sent(&mut self, ip: IpAddr, way: TrafficKind, bytes: usize) {
        let traffic = self.0.entry((ip, way)).or_default();
        traffic.messages_out += 1;
        traffic.bytes_out += bytes as u64;
    }

    pub fn count_received(&mut self, ip: IpAddr, way: TrafficKind, bytes: usize) {
        let traffic = self.0.entry((ip, way)).or_default();
        traffic.messages_in += 1;
        traffic.bytes_in += bytes as u64;
    }

    pub fn traffic(&self, ip: IpAddr, way: TrafficKind) -> Traffic {
        self.0.get(&(ip, way)).copied().unwrap_or_default()
    }
}

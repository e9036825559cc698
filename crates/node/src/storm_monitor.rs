//! The detector of storms in the node: what it is told of requests, attempts, connections and peers, and what peers are
//! told of it. It judges; the decision module alone acts on it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::{Micros, Request};
use mothpier_storm::{Detector, LoadStateChange};
use xxhash_rust::xxh3::xxh3_64;

use crate::operator::Storm;

/// How often the signs are read.
pub const LOOK: Duration = Duration::from_millis(100);
/// What comes before the servers in a message of the module, without the rates: and one server in it. A message is
/// followed by one byte of ours, which a node without a detector passes over.
const MESSAGE: (usize, usize, usize) = (4, 2, 6);

/// The detector, and how to feed it.
pub struct StormMonitor {
    detector: Detector,
    /// Connections of clients since the start.
    connections: Rc<Cell<u64>>,
    counted: u64,
    /// Where the servers begin in a message of the module.
    header: usize,
}

impl StormMonitor {
    /// One that has seen nothing; `None` where it is switched off.
    pub fn new(storm: &Storm, tenants: usize, connections: Rc<Cell<u64>>) -> Option<StormMonitor> {
        storm.detect.then(|| StormMonitor {
            detector: Detector::new(storm.tuning.clone(), tenants),
            connections,
            counted: 0,
            header: MESSAGE.0 + MESSAGE.1 * tenants.min(64),
        })
    }

    /// A request has come on a connection: it counts as a repeat, too, where it says nothing of that but an earlier try
    /// on the connection ended unserved. Its fingerprint.
    pub fn arrived(&mut self, now: Micros, connection: u64, request: &mut Request) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&request.key.to_le_bytes());
        bytes[8..16].copy_from_slice(&connection.to_le_bytes());
        bytes[16] = request.class as u8;
        let fingerprint = xxh3_64(&bytes).max(1);
        request.is_retry =
            self.detector.request_arrived(span(now), request.tenant, fingerprint, request.is_retry);
        fingerprint
    }

    /// A request ended unserved.
    pub fn unserved(&mut self, now: Micros, fingerprint: u64) {
        self.detector.request_unserved(span(now), fingerprint);
    }

    /// An attempt has ended.
    pub fn worked(&mut self, took: Micros, wanted: bool) {
        self.detector.attempt_ended(span(took), wanted);
    }

    /// Reads the signs; `capacity` is what the fleet can do as a part of what it can when warm.
    pub fn look(&mut self, now: Micros, capacity: f64) -> Option<LoadStateChange> {
        let connections = self.connections.get();
        (self.counted..connections).for_each(|_| self.detector.connection_opened());
        self.counted = connections;
        self.detector.evaluate(span(now), capacity)
    }

    /// A message for a peer, with what the weather is here.
    pub fn tell(&self, mut message: Vec<u8>) -> Vec<u8> {
        message.push(u8::from(self.detector.state().is_storm()));
        message
    }

    /// A message of a peer, without what it told of the weather.
    pub fn told(&mut self, now: Micros, from: u32, mut message: Vec<u8>) -> Vec<u8> {
        let ours = message.len().checked_sub(self.header).is_some_and(|rest| rest % MESSAGE.2 == 1);
        if let Some(storm) = message.pop_if(|_| ours) {
            self.detector.peer_reported(span(now), from, storm == 1);
        }
        message
    }
}

fn span(time: Micros) -> Duration {
    Duration::from_micros(time)
}

//! Connects the node to the storm detector: reports requests, attempts, connections and the state of peers to
//! it, and adds the state of this node to messages for peers. The detector only judges; the decision module
//! acts on the result.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::{Micros, Request};
use mothpier_storm::{Detector, LoadStateChange};
use xxhash_rust::xxh3::xxh3_64;

use crate::operator::StormConfig;

/// Interval at which the indicators are evaluated.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Layout of a message of the decision module: a header, a rate for each tenant and an entry for each server.
/// The storm state follows as a single byte, which a node without a detector ignores.
const MESSAGE_HEADER_BYTES: usize = 4;
const TENANT_RATE_BYTES: usize = 2;
const SERVER_ENTRY_BYTES: usize = 6;

/// The detector and the state needed to feed it.
pub struct StormMonitor {
    detector: Detector,
    /// Client connections accepted since the start.
    connections: Rc<Cell<u64>>,
    counted_connections: u64,
    /// Offset of the server entries in a message of the decision module.
    entries_offset: usize,
}

impl StormMonitor {
    /// Creates a monitor without observations; `None` if detection is disabled.
    pub fn new(storm: &StormConfig, tenants: usize, connections: Rc<Cell<u64>>) -> Option<StormMonitor> {
        storm.detect.then(|| StormMonitor {
            detector: Detector::new(storm.tuning.clone(), tenants),
            connections,
            counted_connections: 0,
            entries_offset: MESSAGE_HEADER_BYTES + TENANT_RATE_BYTES * tenants.min(64),
        })
    }

    /// Records a request and returns its fingerprint. The request is also marked as a retry if it does not
    /// say so itself but an earlier request with the same fingerprint ended unserved.
    pub fn request_arrived(&mut self, now: Micros, connection: u64, request: &mut Request) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&request.key.to_le_bytes());
        bytes[8..16].copy_from_slice(&connection.to_le_bytes());
        bytes[16] = request.class as u8;
        let fingerprint = xxh3_64(&bytes).max(1);
        request.is_retry =
            self.detector.request_arrived(duration(now), request.tenant, fingerprint, request.is_retry);
        fingerprint
    }

    /// A request ended unserved.
    pub fn request_unserved(&mut self, now: Micros, fingerprint: u64) {
        self.detector.request_unserved(duration(now), fingerprint);
    }

    /// An attempt has ended; `is_wanted` if its request still awaited a reply.
    pub fn attempt_ended(&mut self, attempt_duration: Micros, is_wanted: bool) {
        self.detector.attempt_ended(duration(attempt_duration), is_wanted);
    }

    /// Evaluates the indicators; `capacity` is the capacity of the fleet relative to that of a warm fleet.
    pub fn check(&mut self, now: Micros, capacity: f64) -> Option<LoadStateChange> {
        let connections = self.connections.get();
        (self.counted_connections..connections).for_each(|_| self.detector.connection_opened());
        self.counted_connections = connections;
        self.detector.evaluate(duration(now), capacity)
    }

    /// Appends the storm state of this node to a message for peers.
    pub fn append_state(&self, mut message: Vec<u8>) -> Vec<u8> {
        message.push(u8::from(self.detector.state().is_storm()));
        message
    }

    /// Removes the storm state from a peer's message and records it.
    pub fn take_peer_state(&mut self, now: Micros, from: u32, mut message: Vec<u8>) -> Vec<u8> {
        let has_state_byte =
            message.len().checked_sub(self.entries_offset).is_some_and(|rest| rest % SERVER_ENTRY_BYTES == 1);
        if let Some(state_byte) = message.pop_if(|_| has_state_byte) {
            self.detector.peer_reported(duration(now), from, state_byte == 1);
        }
        message
    }
}

fn duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}

//! Account of the memory that a node holds, by what it is held for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::reasons::{Reason, reasons};

reasons! {
    /// What memory is held for.
    MemoryUse {
        /// Bytes from clients that are not yet a complete command.
        ClientInput = "client_input",
        /// Values of writes.
        WriteValues = "write_values",
        /// Buffers for responses of cache servers and origins.
        ServerInput = "server_input",
        /// Replies that are complete and not yet written.
        Replies = "replies",
    }
}

/// Bytes held for one use, now and at the most.
#[derive(Debug, Default)]
struct Gauge {
    current: AtomicU64,
    peak: AtomicU64,
}

/// Bytes held by a process, by what they are held for.
#[derive(Debug)]
pub struct MemoryGauges {
    uses: Vec<Gauge>,
    /// The most that may be reserved now.
    pub(crate) limit: AtomicU64,
}

impl Default for MemoryGauges {
    fn default() -> Self {
        let uses = MemoryUse::ALL.iter().map(|_| Gauge::default()).collect();
        MemoryGauges { uses, limit: AtomicU64::new(0) }
    }
}

impl MemoryGauges {
    /// Bytes held now, by use.
    pub fn current(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.values(|gauge| &gauge.current)
    }

    /// The most bytes that were held at one time, by use.
    pub fn peak(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.values(|gauge| &gauge.peak)
    }

    /// Bytes held now for all uses together.
    pub fn total(&self) -> u64 {
        self.uses.iter().map(|gauge| gauge.current.load(Relaxed)).sum()
    }

    /// Sets the most bytes that may be reserved.
    pub fn set_limit(&self, bytes: u64) {
        self.limit.store(bytes, Relaxed);
    }

    fn values(&self, value: fn(&Gauge) -> &AtomicU64) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let names = MemoryUse::ALL.iter().map(|use_| use_.name());
        names.zip(self.uses.iter().map(move |gauge| value(gauge).load(Relaxed)))
    }
}

/// Bytes held for one use; no longer counted once this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    gauges: Arc<MemoryGauges>,
    use_: MemoryUse,
    bytes: u64,
}

impl HeldBytes {
    /// Counts bytes as held.
    pub fn new(gauges: &Arc<MemoryGauges>, use_: MemoryUse, bytes: usize) -> Self {
        let mut held = HeldBytes { gauges: gauges.clone(), use_, bytes: 0 };
        held.set(bytes);
        held
    }

    /// Changes the number of bytes held.
    pub fn set(&mut self, bytes: usize) {
        let (before, bytes) = (self.bytes, bytes as u64);
        self.bytes = bytes;
        let Some(gauge) = self.gauges.uses.get(self.use_.index()) else { return };
        if bytes < before {
            gauge.current.fetch_sub(before - bytes, Relaxed);
        } else if bytes > before {
            let current = gauge.current.fetch_add(bytes - before, Relaxed) + (bytes - before);
            gauge.peak.fetch_max(current, Relaxed);
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_are_counted_while_they_are_held_and_the_peak_stays() {
        let gauges = Arc::new(MemoryGauges::default());
        let value = |mut values: Box<dyn Iterator<Item = (&'static str, u64)> + '_>| {
            values.find(|(name, _)| *name == "replies").map(|(_, bytes)| bytes)
        };
        let mut first = HeldBytes::new(&gauges, MemoryUse::Replies, 100);
        let second = HeldBytes::new(&gauges, MemoryUse::Replies, 50);
        let _other = HeldBytes::new(&gauges, MemoryUse::ClientInput, 7);
        first.set(20);
        assert_eq!(value(Box::new(gauges.current())), Some(70));
        drop(second);
        drop(first);
        assert_eq!(value(Box::new(gauges.current())), Some(0));
        assert_eq!(value(Box::new(gauges.peak())), Some(150));
    }
}

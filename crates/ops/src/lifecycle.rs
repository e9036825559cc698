//! The lifecycle of a node: four flags, and the phase that follows from them.

use std::sync::atomic::{AtomicU8, Ordering};

/// The node has had a usable list of servers.
const FLAG_READY: u8 = 1;
/// An operator has drained the node.
const FLAG_DRAINED: u8 = 2;
/// The process has been told to end.
const FLAG_STOPPING: u8 = 4;
/// An operator has drained the node's whole zone.
const FLAG_ZONE_DRAINED: u8 = 8;

/// An event in the life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The node can serve from now on.
    Ready,
    /// An operator drains the node.
    Drain,
    /// An operator undoes the drain of the node.
    Undrain,
    /// An operator drains the node's zone.
    Leave,
    /// An operator undoes the drain of the zone.
    Return,
    /// The process is to end. This can't be undone.
    Stop,
}

/// The phase of a node as clients and operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It runs, and wants no clients.
    Drained,
    /// It is ending.
    Stopping,
}

/// The lifecycle state of a node. Other threads see a change at once.
#[derive(Debug, Default)]
pub struct Lifecycle(AtomicU8);

impl Lifecycle {
    /// The present phase.
    pub fn phase(&self) -> Phase {
        phase_of(self.0.load(Ordering::Acquire))
    }

    /// Whether new requests are served. A node that is ending still serves whatever reaches it, so this stays true for
    /// as long as it listens; only a node that is drained, by itself or with its zone, turns clients away.
    pub fn accepts_clients(&self) -> bool {
        self.0.load(Ordering::Acquire) & (FLAG_READY | FLAG_DRAINED | FLAG_ZONE_DRAINED) == FLAG_READY
    }

    /// Applies an event and returns the phases before and after it. One that has been applied already, or that is no
    /// longer possible, changes nothing.
    pub fn apply(&self, event: LifecycleEvent) -> (Phase, Phase) {
        let change = |flags: u8| match event {
            LifecycleEvent::Ready => flags | FLAG_READY,
            LifecycleEvent::Drain => flags | FLAG_DRAINED,
            LifecycleEvent::Undrain => flags & !FLAG_DRAINED,
            LifecycleEvent::Leave => flags | FLAG_ZONE_DRAINED,
            LifecycleEvent::Return => flags & !FLAG_ZONE_DRAINED,
            LifecycleEvent::Stop => flags | FLAG_STOPPING,
        };
        let previous = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |flags| Some(change(flags)));
        let flags = previous.unwrap_or_else(|unchanged| unchanged);
        (phase_of(flags), phase_of(change(flags)))
    }
}

fn phase_of(flags: u8) -> Phase {
    if flags & FLAG_STOPPING != 0 {
        Phase::Stopping
    } else if flags & (FLAG_DRAINED | FLAG_ZONE_DRAINED) != 0 {
        Phase::Drained
    } else if flags & FLAG_READY != 0 {
        Phase::Serving
    } else {
        Phase::Starting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_event_leads_to_the_expected_phase() {
        use Phase::*;
        let after = |events: &[LifecycleEvent]| {
            let lifecycle = Lifecycle::default();
            for event in events {
                lifecycle.apply(*event);
            }
            lifecycle.phase()
        };
        for (events, phase) in [
            (&[][..], Starting),
            (&[LifecycleEvent::Ready], Serving),
            (&[LifecycleEvent::Drain], Drained),
            (&[LifecycleEvent::Drain, LifecycleEvent::Undrain], Starting),
            (&[LifecycleEvent::Drain, LifecycleEvent::Ready], Drained),
            (&[LifecycleEvent::Drain, LifecycleEvent::Ready, LifecycleEvent::Undrain], Serving),
            (
                &[
                    LifecycleEvent::Ready,
                    LifecycleEvent::Drain,
                    LifecycleEvent::Drain,
                    LifecycleEvent::Undrain,
                ],
                Serving,
            ),
            (&[LifecycleEvent::Ready, LifecycleEvent::Undrain], Serving),
            (&[LifecycleEvent::Ready, LifecycleEvent::Leave], Drained),
            (&[LifecycleEvent::Ready, LifecycleEvent::Leave, LifecycleEvent::Undrain], Drained),
            (
                &[
                    LifecycleEvent::Ready,
                    LifecycleEvent::Leave,
                    LifecycleEvent::Drain,
                    LifecycleEvent::Return,
                ],
                Drained,
            ),
            (&[LifecycleEvent::Ready, LifecycleEvent::Leave, LifecycleEvent::Return], Serving),
            (&[LifecycleEvent::Ready, LifecycleEvent::Drain, LifecycleEvent::Stop], Stopping),
            (
                &[
                    LifecycleEvent::Ready,
                    LifecycleEvent::Stop,
                    LifecycleEvent::Drain,
                    LifecycleEvent::Undrain,
                ],
                Stopping,
            ),
        ] {
            assert_eq!(after(events), phase, "{events:?}");
        }
        let lifecycle = Lifecycle::default();
        assert!(!lifecycle.accepts_clients());
        lifecycle.apply(LifecycleEvent::Ready);
        lifecycle.apply(LifecycleEvent::Stop);
        assert!(lifecycle.accepts_clients(), "a stopping node still serves what reaches it");
        lifecycle.apply(LifecycleEvent::Drain);
        assert!(!lifecycle.accepts_clients());
        let lifecycle = Lifecycle::default();
        assert_eq!(lifecycle.apply(LifecycleEvent::Ready), (Starting, Serving));
        assert_eq!(lifecycle.apply(LifecycleEvent::Drain), (Serving, Drained));
        assert_eq!(lifecycle.apply(LifecycleEvent::Drain), (Drained, Drained));
    }
}

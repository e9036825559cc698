//! Whether a node serves, as one machine of four facts and a rule that ranks them.

use std::sync::atomic::{AtomicU8, Ordering};

/// It has held a list of servers that may be used.
const READY: u8 = 1;
/// Staff have told it to drain.
const DRAINED: u8 = 2;
/// It has been told to end.
const STOPPING: u8 = 4;
/// Its zone's clients are to go elsewhere, as staff have ordered for the whole zone.
const AWAY: u8 = 8;

/// Something that happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// It can serve from now on.
    Ready,
    /// Staff want no clients at it.
    Drain,
    /// Staff want clients at it again.
    Undrain,
    /// Staff want no clients in its zone.
    Leave,
    /// Staff want clients in its zone again.
    Return,
    /// It ends. Nothing takes this back.
    Stop,
}

/// What a node is to those who ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It is alive and wants no clients.
    Drained,
    /// It ends.
    Stopping,
}

/// The state of a node. Readers on other threads see a step at once.
#[derive(Debug, Default)]
pub struct Lifecycle(AtomicU8);

impl Lifecycle {
    /// What the node is now.
    pub fn phase(&self) -> Phase {
        phase(self.0.load(Ordering::Acquire))
    }

    /// Whether clients that ask are served. A node that ends takes all that still comes to it, so it says yes for as long
    /// as it listens; only one that staff have drained, by itself or with its zone, wants none.
    pub fn accepts_clients(&self) -> bool {
        self.0.load(Ordering::Acquire) & (READY | DRAINED | AWAY) == READY
    }

    /// Takes a step; what the node was before and is now. A step that is made already, or that can't be made any
    /// more, changes nothing.
    pub fn apply(&self, step: LifecycleEvent) -> (Phase, Phase) {
        let facts = |was: u8| match step {
            LifecycleEvent::Ready => was | READY,
            LifecycleEvent::Drain => was | DRAINED,
            LifecycleEvent::Undrain => was & !DRAINED,
            LifecycleEvent::Leave => was | AWAY,
            LifecycleEvent::Return => was & !AWAY,
            LifecycleEvent::Stop => was | STOPPING,
        };
        let was = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |was| Some(facts(was)));
        let was = was.unwrap_or_else(|same| same);
        (phase(was), phase(facts(was)))
    }
}

fn phase(facts: u8) -> Phase {
    if facts & STOPPING != 0 {
        Phase::Stopping
    } else if facts & (DRAINED | AWAY) != 0 {
        Phase::Drained
    } else if facts & READY != 0 {
        Phase::Serving
    } else {
        Phase::Starting
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_step_leads_where_it_should_from_everywhere() {
        use Phase::*;
        let after = |steps: &[LifecycleEvent]| {
            let life = Lifecycle::default();
            for step in steps {
                life.apply(*step);
            }
            life.phase()
        };
        for (steps, phase) in [
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
            assert_eq!(after(steps), phase, "{steps:?}");
        }
        let life = Lifecycle::default();
        assert!(!life.accepts_clients());
        life.apply(LifecycleEvent::Ready);
        life.apply(LifecycleEvent::Stop);
        assert!(life.accepts_clients(), "what still comes is taken");
        life.apply(LifecycleEvent::Drain);
        assert!(!life.accepts_clients());
        let life = Lifecycle::default();
        assert_eq!(life.apply(LifecycleEvent::Ready), (Starting, Serving));
        assert_eq!(life.apply(LifecycleEvent::Drain), (Serving, Drained));
        assert_eq!(life.apply(LifecycleEvent::Drain), (Drained, Drained));
    }
}

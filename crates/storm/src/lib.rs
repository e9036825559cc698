//! What a node makes of a storm after an outage: telling one from growth and from one tenant's burst
//! ([`Detector`]), and what it does about new connections ([`Door`]). No sockets and no clock: times come in as
//! spans since any fixed beginning, and the same calls give the same answers.
//!
//! Which request is turned away, and with which advice, stays with the decision module; it is told the
//! [`Weather`] as one of its events.

mod detector;
mod door;
mod settings;

pub use detector::{Detector, Figures, LoadStateChange, Sign, Weather};
pub use door::{ConnectionAdmission, Verdict};
pub use settings::{Settings, Unusable};

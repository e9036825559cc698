//! Detection of retry storms after an outage, as distinct from growth and from one tenant's burst ([`Detector`]), and
//! admission of new connections ([`ConnectionAdmission`]). No sockets and no clock: times are passed in as durations
//! since any fixed point, and the same calls give the same results.
//!
//! Which request is refused, and with which advice on retries, is up to the decision module; it receives the
//! [`LoadState`] as one of its events.

mod connection_admission;
mod detector;
mod settings;

pub use connection_admission::{ConnectionAdmission, Verdict};
pub use detector::{Detector, LoadState, LoadStateChange, Measurements, Sign};
pub use settings::{InvalidSetting, Settings};

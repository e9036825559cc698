//! The count of a request's attempts.

use serde::{Deserialize, Serialize};

/// How many attempts of a request were begun, and how many of them this machine could not make.
///
/// Saved as one number with the failures in its upper half, so that a state without any has the layout of one
/// that was saved before they were counted.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "u32", into = "u32")]
pub struct Attempts {
    /// Those that were begun; the number of the next.
    pub begun: u16,
    /// Those of them that never left this machine.
    pub local_failures: u16,
}

impl Attempts {
    /// Whether one more may be made where a request may make so many.
    pub fn may_make_another(self, max_attempts: u32) -> bool {
        self.begun < u16::MAX && u32::from(self.begun.saturating_sub(self.local_failures)) < max_attempts
    }
}

impl From<u32> for Attempts {
    fn from(saved: u32) -> Self {
        Attempts { begun: saved as u16, local_failures: (saved >> 16) as u16 }
    }
}

impl From<Attempts> for u32 {
    fn from(attempts: Attempts) -> Self {
        u32::from(attempts.local_failures) << 16 | u32::from(attempts.begun)
    }
}

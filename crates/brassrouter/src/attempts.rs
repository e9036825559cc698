//! Counts the attempts of a request.

use serde::{Deserialize, Serialize};

/// Attempts of a request, and how many of them this machine could not make.
///
/// Stored as one number with the failures in its upper half, so that a state without failures has the same
/// layout as states that were stored before failures were counted.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "u32", into = "u32")]
pub struct Attempts {
    /// Attempts begun; also the number of the next one.
    pub begun: u16,
    /// Attempts that never left this machine.
    pub local_failures: u16,
}

impl Attempts {
    /// Whether one more attempt is allowed under a limit. Local failures do not count against it.
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

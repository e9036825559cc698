//! Steps of wall clocks: of nodes, of discovery, which dates the starts of cache servers, or of both.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::observe::NodeIndex;

/// The steps that are drawn, in milliseconds: what a time service corrects, and an hour of a wrong time zone.
pub const STEPS_MS: [i64; 4] = [2_000, -2_000, 3_600_000, -3_600_000];

/// Wall clocks are stepped at once and stay so; monotonic clocks run on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WallClockStep {
    /// The nodes whose machines' clocks are stepped.
    pub nodes: Vec<NodeIndex>,
    /// Whether the clock by which starts of cache servers are listed is stepped.
    pub discovery: bool,
    /// By how much, in milliseconds; negative is back.
    pub by_ms: i64,
}

impl WallClockStep {
    /// Draws a step: of one node, of all, of discovery, or of everything.
    pub fn draw(nodes: usize, rng: &mut Pcg64Mcg) -> WallClockStep {
        let one = vec![rng.random_range(0..nodes)];
        let all: Vec<NodeIndex> = (0..nodes).collect();
        let (nodes, discovery) = match rng.random_range(0..4) {
            0 => (one, false),
            1 => (all, false),
            2 => (Vec::new(), true),
            _ => (all, true),
        };
        WallClockStep { nodes, discovery, by_ms: STEPS_MS.choose(rng).copied().unwrap_or_default() }
    }
}

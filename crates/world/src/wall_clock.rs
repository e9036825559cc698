//! Steps of wall clocks: of nodes, of discovery (which lists start times of cache servers), or of both.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::observe::NodeIndex;

/// The steps that are drawn, in milliseconds: corrections of a time service, and the hour of a wrong time
/// zone.
pub const STEPS_MS: [i64; 4] = [2_000, -2_000, 3_600_000, -3_600_000];

/// Wall clocks are stepped at once and stay so; monotonic clocks are unaffected.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WallClockStep {
    /// The nodes whose machines' clocks are stepped.
    pub nodes: Vec<NodeIndex>,
    /// Whether discovery's clock, by which start times of cache servers are listed, is stepped.
    pub discovery: bool,
    /// The step in milliseconds; negative is backwards.
    pub by_ms: i64,
}

impl WallClockStep {
    /// Draws a step: of one node, of all nodes, of discovery, or of everything.
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

//! What a node that restarts must count of its earlier life, from the record of that.

use brassrouter::{Legacy, Micros, STATE, Settings};

use crate::replay::replay;
use crate::segment::Segment;

/// Calls a second that a balancer may make in the part of its last moments that was not handed to the disk.
#[derive(Debug, Clone, Copy)]
pub struct Unseen {
    /// How long that part is at the most.
    pub span: Micros,
}

/// What was found.
#[derive(Debug, Clone, PartialEq)]
pub enum Found {
    /// What the earlier life left behind, and a line for the log.
    Legacy(Legacy, String),
    /// Nothing that could be used, and why.
    Nothing(String),
}

/// Reads the last segment of a node's earlier life.
///
/// Not used are records of another node, of other settings, of another layout, and those so old that nothing of them
/// can still run. Where the clock was set back since, times of the record lie ahead: what it counts then ends no later
/// than the longest deadline from now. One that does not end in order misses the last moments: the calls that its gate
/// would have let through in that time are counted as made.
pub fn recover(bytes: &[u8], node: &str, settings: &Settings, now: Micros, unseen: Unseen) -> Found {
    let nothing = |why: String| Found::Nothing(format!("the record is not used: {why}"));
    let mut segment = match Segment::open(bytes) {
        Ok(segment) => segment,
        Err(torn) => return nothing(torn.to_string()),
    };
    let header = &segment.header;
    if header.node != node {
        return nothing(format!("it is of node {:?}", header.node));
    }
    if header.state != STATE {
        return nothing(format!("its state is of layout {}, not {STATE}", header.state));
    }
    if header.settings != *settings {
        return nothing("it was made with other settings".into());
    }
    let (outcome, policy) = match replay(&mut segment) {
        Ok(played) => played,
        Err(e) => return nothing(e),
    };
    if let Some(difference) = outcome.first {
        return nothing(format!("entry {} does not come to the same actions here", difference.entry));
    }
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let windows = settings.classes.iter().filter_map(|c| c.window()).max().unwrap_or(0);
    let age = now.saturating_sub(policy.now());
    if age > longest.max(2 * windows) {
        return nothing(format!("it ended {:.1} s ago, and nothing of it can still run", age as f64 / 1e6));
    }
    let set_back = policy.now() > now;
    let mut left = policy.legacy();
    if !outcome.ended {
        let window = left.window;
        let rate =
            f64::from(left.tally[0]) / (policy.now().saturating_sub(window)).max(unseen.span).max(1) as f64;
        let calls = (rate * unseen.span as f64).ceil() as usize;
        left.calls.extend(std::iter::repeat_n((true, policy.now() + longest), calls));
    }
    for (_, until) in &mut left.calls {
        *until = (*until).min(now + longest);
    }
    left.calls.retain(|(_, until)| *until > now);
    if set_back {
        left.window = now;
    }
    for (_, first) in &mut left.writes {
        *first = (*first).min(now);
    }
    let torn = outcome.torn.map_or(String::new(), |t| format!("; torn at {t}"));
    let back = if set_back { "; the clock was set back since" } else { "" };
    let line = format!(
        "from the record: {} calls at the origin may still run, {} keyed writes may have run; it ended {} {:.3} s ago\
         {torn}{back}",
        left.calls.len(),
        left.writes.len(),
        if outcome.ended { "in order" } else { "without its end" },
        age as f64 / 1e6
    );
    Found::Legacy(left, line)
}

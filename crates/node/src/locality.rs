//! What the node tells the machine that keeps traffic near (`mothpier-places`): how each attempt at a cache server went, by
//! zone. It is there only where the operator's file switches it on.

use std::collections::HashMap;
use std::time::Duration;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{ServerEntry, ServerId, Status, ZoneRouting};
use mothpier_places::{InvalidSetting, LocalitySteering, Places, RingState, Tally};
use mothpier_plan::{AttemptCounts, RecentAttempts};
use tokio::time::Instant;

use crate::command::AttemptId;

/// An attempt that is out.
struct Out {
    zone: usize,
    sent: Instant,
    /// It was counted as silent already.
    counted: bool,
}

/// The machine, and how to feed it.
pub struct LocalityController {
    machine: LocalitySteering,
    silent: Duration,
    start: Instant,
    zones: HashMap<ServerId, usize>,
    out: HashMap<AttemptId, Out>,
    tallies: Vec<Tally>,
    told: RingState,
    /// What a plan says of each zone: the part of its keys that goes there.
    open: Vec<f64>,
    seen: RecentAttempts,
    names: Vec<String>,
    /// Zones in which the list had no cache server when people were last told.
    empty: Vec<usize>,
}

impl LocalityController {
    /// One that has seen nothing; `None` where it is switched off.
    ///
    /// # Errors
    /// Places that do not fit the settings.
    pub fn new(
        places: &Places,
        site: &DeploymentSettings,
        seed: u64,
    ) -> Result<Option<LocalityController>, InvalidSetting> {
        if !places.on {
            return Ok(None);
        }
        let rings = places.rings(&site.zone_names, site.zone)?;
        Ok(Some(LocalityController {
            tallies: vec![Tally::default(); rings.len()],
            machine: LocalitySteering::new(places.tuning.clone(), rings, seed),
            silent: Duration::from_millis(places.tuning.unanswered_after_ms),
            start: Instant::now(),
            zones: HashMap::new(),
            out: HashMap::new(),
            told: RingState::Healthy,
            open: Vec::new(),
            seen: RecentAttempts::new(site.zone_names.len()),
            names: site.zone_names.clone(),
            empty: Vec::new(),
        }))
    }

    /// Where keys' orders are taken now.
    pub fn pool(&self) -> ZoneRouting {
        ZoneRouting { zone_key_shares: self.open.clone(), ..self.machine.routing() }
    }

    /// A plan says which part of its keys goes to each zone; without one, all of them.
    pub fn act_on(&mut self, open: Vec<f64>) -> ZoneRouting {
        self.open = open;
        self.pool()
    }

    /// What was seen of late, by zone.
    pub fn seen(&self) -> &RecentAttempts {
        &self.seen
    }

    /// How the near zones look, in a word, and the part of the keys that goes farther out.
    pub fn state(&self) -> (&'static str, f64) {
        let (state, spilt) = self.machine.state();
        let word = match state {
            RingState::Healthy => "well",
            RingState::Overloaded => "strained",
            RingState::Lost => "lost",
            RingState::Returning => "returning",
        };
        (word, spilt)
    }

    /// What the list says of a cache server.
    pub fn listed(&mut self, line: &ServerEntry) {
        self.zones.insert(line.id, line.zone.into());
    }

    /// Forgets servers that have left the list.
    pub fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.zones.retain(|id, _| !left(*id));
    }

    /// A list was taken in whole: a line for people where zones have lost their last cache server, or have one again. What is
    /// near to nothing has its keys elsewhere, which nobody may have meant.
    pub fn taken_in(&mut self) -> Option<String> {
        let has = |zone: &usize| self.zones.values().any(|z| z == zone);
        let empty: Vec<usize> = (0..self.names.len()).filter(|zone| !has(zone)).collect();
        if std::mem::replace(&mut self.empty, empty.clone()) == empty {
            return None;
        }
        let names: Vec<&str> = empty.iter().map(|zone| self.names[*zone].as_str()).collect();
        Some(match names.as_slice() {
            [] => "places: the list has a cache server in every zone again".into(),
            names => format!("places: the list has no cache server in {}", names.join(", ")),
        })
    }

    /// An attempt was sent to a cache server.
    pub fn sent(&mut self, attempt: AttemptId, server: ServerId) {
        // One in a zone that the settings lack counts nowhere.
        if let Some(zone) = self.zones.get(&server).copied().filter(|zone| *zone < self.tallies.len()) {
            self.out.insert(attempt, Out { zone, sent: Instant::now(), counted: false });
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, attempt: AttemptId, status: Status) {
        let Some(out) = self.out.remove(&attempt) else { return };
        let tally = &mut self.tallies[out.zone];
        match status {
            Status::Served | Status::Miss if out.counted => tally.answered_late += 1,
            Status::Served | Status::Miss => tally.answered += 1,
            Status::Full | Status::Error if !out.counted => {
                tally.answered += 1;
                tally.refused += 1;
            }
            Status::Reset | Status::ConnectFailed | Status::TimedOut if !out.counted => tally.unanswered += 1,
            // Called off, or never sent, before anything could be told by it; or counted before.
            _ => {}
        }
    }

    /// How long until the next step.
    pub fn wait(&self) -> Duration {
        self.machine.next_due().saturating_sub(self.start.elapsed())
    }

    /// One step: a pool, where it has changed, and a line for people, where the near zones look otherwise than before.
    pub fn step(&mut self) -> (Option<ZoneRouting>, Option<String>) {
        for out in self.out.values_mut().filter(|out| !out.counted && out.sent.elapsed() >= self.silent) {
            out.counted = true;
            self.tallies[out.zone].unanswered += 1;
        }
        let step = |t: &Tally| AttemptCounts {
            answered: t.answered,
            unanswered: t.unanswered,
            answered_late: t.answered_late,
        };
        self.seen.record(&self.tallies.iter().map(step).collect::<Vec<_>>(), &self.open);
        // What a plan has dealt with is no reason to leave what is near beside it.
        for (tally, _) in self.tallies.iter_mut().zip(&self.open).filter(|(_, open)| **open < 1.0) {
            *tally = Tally::default();
        }
        let changed = self.machine.step(self.start.elapsed(), &self.tallies).is_some();
        let pool = changed.then(|| self.pool());
        self.tallies.fill(Tally::default());
        let (state, spilt) = self.machine.state();
        let changed = std::mem::replace(&mut self.told, state) != state;
        let line = changed.then(|| {
            let now = match state {
                RingState::Healthy => "bear all of their traffic",
                RingState::Overloaded => "are strained",
                RingState::Lost => "do not answer",
                RingState::Returning => "are taken back in steps",
            };
            format!("places: the near zones {now}; {:.0}% of the keys go farther", spilt * 100.0)
        });
        (pool, line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn switched_off_there_is_nothing_of_it_and_on_it_tells_attempts_by_their_zones() {
        let text = br#"{"classes":[{"name":"read"}],"zones":["a","b"],"zone":1}"#;
        let site = brassrouter::settings::parse(text).unwrap();
        let mut places = Places::default();
        assert!(LocalityController::new(&places, &site, 1).unwrap().is_none());
        places.on = true;
        let mut near = LocalityController::new(&places, &site, 1).unwrap().unwrap();
        assert_eq!(
            near.pool(),
            ZoneRouting {
                zone_rings: vec![2, 0],
                cumulative_key_shares: [1.0, 1.0],
                zone_key_shares: vec![]
            }
        );
        // Past the zones of the settings, as those are that the list alone names.
        for (id, zone) in [(1, 0), (2, 1), (3, 200)] {
            near.listed(&ServerEntry { id, zone, ..ServerEntry::default() });
        }
        let ends = [Status::Served, Status::Full, Status::ConnectFailed, Status::Cancelled, Status::NotSent];
        for (attempt, status) in ends.into_iter().enumerate() {
            for server in [1, 2, 3, 9] {
                let id = attempt as AttemptId * 10 + AttemptId::from(server);
                near.sent(id, server);
                near.ended(id, status);
                near.ended(id, status);
            }
        }
        let each = Tally { answered: 2, refused: 1, unanswered: 1, answered_late: 0 };
        assert_eq!(near.tallies, [each, each]);
        assert_eq!(near.taken_in(), None);
        near.forget(|id| id == 2);
        assert_eq!(near.taken_in().as_deref(), Some("places: the list has no cache server in b"));
        assert_eq!(near.taken_in(), None, "told once");
        near.sent(500, 2);
        assert!(near.out.is_empty(), "what is out and what the list has lost leave nothing behind");
    }

    #[tokio::test(start_paused = true)]
    async fn answers_that_always_come_late_do_not_look_like_none() {
        let text = br#"{"classes":[{"name":"read"}],"zones":["a","b"],"zone":0}"#;
        let site = brassrouter::settings::parse(text).unwrap();
        let places = Places { on: true, ..Places::default() };
        let silent_part = |late: bool| {
            let (site, places) = (site.clone(), places.clone());
            async move {
                let mut near = LocalityController::new(&places, &site, 1).unwrap().unwrap();
                near.listed(&ServerEntry { id: 1, zone: 1, ..ServerEntry::default() });
                for step in 0..40 {
                    // Each attempt is answered after 300 ms, where it is answered: in the step after the one in which it fell silent.
                    (0..4).for_each(|i| near.sent(step * 4 + i, 1));
                    if late && step >= 3 {
                        (0..4).for_each(|i| near.ended((step - 3) * 4 + i, Status::Served));
                    }
                    if step % 2 == 1 {
                        near.step();
                    }
                    tokio::time::advance(Duration::from_millis(100)).await;
                }
                let (all, silent) = near.seen().zones()[1];
                silent / all
            }
        };
        assert!(silent_part(true).await < 0.25, "{}", silent_part(true).await);
        assert!(silent_part(false).await > 0.9, "{}", silent_part(false).await);
    }
}

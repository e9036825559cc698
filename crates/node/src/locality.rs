//! Connects the node to the locality steering of `mothpier-places`: reports the outcome of each attempt at a
//! cache server by zone, and returns where keys are routed. Exists only if the operator's file enables it.

use std::collections::HashMap;
use std::time::Duration;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{ServerEntry, ServerId, Status, ZoneRouting};
use mothpier_places::{InvalidSetting, LocalitySteering, Places, RingState, Tally};
use mothpier_plan::{AttemptCounts, RecentAttempts};
use tokio::time::Instant;

use crate::command::AttemptId;

/// An attempt in flight.
struct InFlightAttempt {
    zone: usize,
    sent_at: Instant,
    /// Whether the attempt has been counted as unanswered.
    counted_unanswered: bool,
}

/// The steering and the state needed to feed it.
pub struct LocalityController {
    steering: LocalitySteering,
    unanswered_after: Duration,
    start: Instant,
    zones: HashMap<ServerId, usize>,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    tallies: Vec<Tally>,
    logged_state: RingState,
    /// By zone, the share of its keys that the plan sends there.
    planned_shares: Vec<f64>,
    evidence: RecentAttempts,
    zone_names: Vec<String>,
    /// Zones without a cache server in the list, as logged last.
    empty_zones: Vec<usize>,
}

impl LocalityController {
    /// Creates a controller without observations; `None` if it is disabled.
    ///
    /// # Errors
    /// The configured places do not match the settings.
    pub fn new(
        places: &Places,
        settings: &DeploymentSettings,
        seed: u64,
    ) -> Result<Option<LocalityController>, InvalidSetting> {
        if !places.on {
            return Ok(None);
        }
        let rings = places.rings(&settings.zone_names, settings.zone)?;
        Ok(Some(LocalityController {
            tallies: vec![Tally::default(); rings.len()],
            steering: LocalitySteering::new(places.tuning.clone(), rings, seed),
            unanswered_after: Duration::from_millis(places.tuning.unanswered_after_ms),
            start: Instant::now(),
            zones: HashMap::new(),
            in_flight: HashMap::new(),
            logged_state: RingState::Healthy,
            planned_shares: Vec::new(),
            evidence: RecentAttempts::new(settings.zone_names.len()),
            zone_names: settings.zone_names.clone(),
            empty_zones: Vec::new(),
        }))
    }

    /// Returns the current routing of keys to zones.
    pub fn routing(&self) -> ZoneRouting {
        ZoneRouting { zone_key_shares: self.planned_shares.clone(), ..self.steering.routing() }
    }

    /// Applies the share of its keys that a plan sends to each zone; empty for all keys to all zones.
    pub fn apply_plan(&mut self, shares: Vec<f64>) -> ZoneRouting {
        self.planned_shares = shares;
        self.routing()
    }

    /// Recent observations by zone.
    pub fn evidence(&self) -> &RecentAttempts {
        &self.evidence
    }

    /// The state of the nearby zones as a word, and the share of keys that spills over to other zones.
    pub fn state(&self) -> (&'static str, f64) {
        let (state, spillover) = self.steering.state();
        let word = match state {
            RingState::Healthy => "well",
            RingState::Overloaded => "strained",
            RingState::Lost => "lost",
            RingState::Returning => "returning",
        };
        (word, spillover)
    }

    /// Records the zone of a listed cache server.
    pub fn record_server(&mut self, server: &ServerEntry) {
        self.zones.insert(server.id, server.zone.into());
    }

    /// Removes servers that have left the list.
    pub fn forget(&mut self, has_left: impl Fn(ServerId) -> bool) {
        self.zones.retain(|id, _| !has_left(*id));
    }

    /// Called after each list. Returns a log line if zones have lost their last cache server or have one
    /// again: the keys of a zone without servers go elsewhere, which may be unintended.
    pub fn list_applied(&mut self) -> Option<String> {
        let has_server = |zone: &usize| self.zones.values().any(|z| z == zone);
        let empty: Vec<usize> = (0..self.zone_names.len()).filter(|zone| !has_server(zone)).collect();
        if std::mem::replace(&mut self.empty_zones, empty.clone()) == empty {
            return None;
        }
        let names: Vec<&str> = empty.iter().map(|zone| self.zone_names[*zone].as_str()).collect();
        Some(match names.as_slice() {
            [] => "places: the list has a cache server in every zone again".into(),
            names => format!("places: the list has no cache server in {}", names.join(", ")),
        })
    }

    /// An attempt was sent to a cache server.
    pub fn attempt_sent(&mut self, attempt: AttemptId, server: ServerId) {
        // Attempts in zones that are not configured are not counted.
        if let Some(zone) = self.zones.get(&server).copied().filter(|zone| *zone < self.tallies.len()) {
            self.in_flight.insert(
                attempt,
                InFlightAttempt { zone, sent_at: Instant::now(), counted_unanswered: false },
            );
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, attempt: AttemptId, status: Status) {
        let Some(attempt_state) = self.in_flight.remove(&attempt) else { return };
        let tally = &mut self.tallies[attempt_state.zone];
        match status {
            Status::Served | Status::Miss if attempt_state.counted_unanswered => tally.answered_late += 1,
            Status::Served | Status::Miss => tally.answered += 1,
            Status::Full | Status::Error if !attempt_state.counted_unanswered => {
                tally.answered += 1;
                tally.refused += 1;
            }
            Status::Reset | Status::ConnectFailed | Status::TimedOut if !attempt_state.counted_unanswered => {
                tally.unanswered += 1
            }
            // Cancelled or never sent, which says nothing about the zone, or counted before.
            _ => {}
        }
    }

    /// Time until the next step.
    pub fn wait(&self) -> Duration {
        self.steering.next_due().saturating_sub(self.start.elapsed())
    }

    /// Runs one step. Returns the routing if it has changed, and a log line if the state of the nearby zones
    /// has changed.
    pub fn step(&mut self) -> (Option<ZoneRouting>, Option<String>) {
        for attempt in self.in_flight.values_mut().filter(|attempt| {
            !attempt.counted_unanswered && attempt.sent_at.elapsed() >= self.unanswered_after
        }) {
            attempt.counted_unanswered = true;
            self.tallies[attempt.zone].unanswered += 1;
        }
        let counts_of = |t: &Tally| AttemptCounts {
            answered: t.answered,
            unanswered: t.unanswered,
            answered_late: t.answered_late,
        };
        self.evidence.record(&self.tallies.iter().map(counts_of).collect::<Vec<_>>(), &self.planned_shares);
        // Zones handled by a plan are no reason for a spillover.
        for (tally, _) in self.tallies.iter_mut().zip(&self.planned_shares).filter(|(_, share)| **share < 1.0)
        {
            *tally = Tally::default();
        }
        let changed = self.steering.step(self.start.elapsed(), &self.tallies).is_some();
        let routing = changed.then(|| self.routing());
        self.tallies.fill(Tally::default());
        let (state, spillover) = self.steering.state();
        let changed = std::mem::replace(&mut self.logged_state, state) != state;
        let line = changed.then(|| {
            let description = match state {
                RingState::Healthy => "carry all of their traffic",
                RingState::Overloaded => "are overloaded",
                RingState::Lost => "do not respond",
                RingState::Returning => "are being restored in steps",
            };
            format!(
                "places: nearby zones {description}; {:.0}% of keys spill over to other zones",
                spillover * 100.0
            )
        });
        (routing, line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn disabled_creates_nothing_and_enabled_counts_attempts_by_zone() {
        let text = br#"{"classes":[{"name":"read"}],"zones":["a","b"],"zone":1}"#;
        let settings = brassrouter::settings::parse(text).unwrap();
        let mut places = Places::default();
        assert!(LocalityController::new(&places, &settings, 1).unwrap().is_none());
        places.on = true;
        let mut locality = LocalityController::new(&places, &settings, 1).unwrap().unwrap();
        assert_eq!(
            locality.routing(),
            ZoneRouting {
                zone_rings: vec![2, 0],
                cumulative_key_shares: [1.0, 1.0],
                zone_key_shares: vec![]
            }
        );
        // Zone 200 is beyond the configured ones, as zones known from the list alone are.
        for (id, zone) in [(1, 0), (2, 1), (3, 200)] {
            locality.record_server(&ServerEntry { id, zone, ..ServerEntry::default() });
        }
        let ends = [Status::Served, Status::Full, Status::ConnectFailed, Status::Cancelled, Status::NotSent];
        for (attempt, status) in ends.into_iter().enumerate() {
            for server in [1, 2, 3, 9] {
                let id = attempt as AttemptId * 10 + AttemptId::from(server);
                locality.attempt_sent(id, server);
                locality.attempt_ended(id, status);
                locality.attempt_ended(id, status);
            }
        }
        let each = Tally { answered: 2, refused: 1, unanswered: 1, answered_late: 0 };
        assert_eq!(locality.tallies, [each, each]);
        assert_eq!(locality.list_applied(), None);
        locality.forget(|id| id == 2);
        assert_eq!(locality.list_applied().as_deref(), Some("places: the list has no cache server in b"));
        assert_eq!(locality.list_applied(), None, "logged once");
        locality.attempt_sent(500, 2);
        assert!(
            locality.in_flight.is_empty(),
            "ended attempts and unlisted servers must leave nothing behind"
        );
    }

    #[tokio::test(start_paused = true)]
    async fn late_responses_are_not_counted_as_missing() {
        let text = br#"{"classes":[{"name":"read"}],"zones":["a","b"],"zone":0}"#;
        let settings = brassrouter::settings::parse(text).unwrap();
        let places = Places { on: true, ..Places::default() };
        let unanswered_share = |late: bool| {
            let (settings, places) = (settings.clone(), places.clone());
            async move {
                let mut locality = LocalityController::new(&places, &settings, 1).unwrap().unwrap();
                locality.record_server(&ServerEntry { id: 1, zone: 1, ..ServerEntry::default() });
                for step in 0..40 {
                    // Responses, if any, arrive after 300 ms: in the step after the one in which the attempt
                    // counted as unanswered.
                    (0..4).for_each(|i| locality.attempt_sent(step * 4 + i, 1));
                    if late && step >= 3 {
                        (0..4).for_each(|i| locality.attempt_ended((step - 3) * 4 + i, Status::Served));
                    }
                    if step % 2 == 1 {
                        locality.step();
                    }
                    tokio::time::advance(Duration::from_millis(100)).await;
                }
                let (all, unanswered) = locality.evidence().zones()[1];
                unanswered / all
            }
        };
        assert!(unanswered_share(true).await < 0.25, "{}", unanswered_share(true).await);
        assert!(unanswered_share(false).await > 0.9, "{}", unanswered_share(false).await);
    }
}

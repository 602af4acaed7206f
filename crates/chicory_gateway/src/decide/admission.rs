//! Which requests are kept from a server that is asked for more than it can do.

use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_types::MonoTime;
use rand::RngExt;

use super::{AttemptOutcome, Gateway, Policy, RequestTicket};

/// Latency target of routes that state none.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_secs(1);

/// Requests for each slot that keep a server busy: with one in two slots another request waits, so
/// that no slot is empty while an answer is on its way.
const BUSY_FACTOR: f64 = 1.5;

impl Gateway {
    /// Whether a server may get one more request; `chance` is drawn once for each request.
    pub(super) fn admits(
        &self,
        record: &ServerRecord,
        ticket: &RequestTicket,
        chance: f64,
    ) -> bool {
        if self.config.without.contains(&Policy::Admission) {
            return true;
        }
        let Some(health) = self.health.get(&record.life) else {
            return true;
        };
        let rank = ticket.route.route.rank();
        let floor = self.slots_share(record);
        health.window.admits(health.in_flight, rank, floor, chance)
    }

    pub(super) fn draw_chance(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// This entry VM's share of the requests that keep a server busy.
    fn slots_share(&self, record: &ServerRecord) -> f64 {
        BUSY_FACTOR * f64::from(record.slots.max(1)) / f64::from(self.entry_count.get().max(1))
    }

    /// Takes in what an attempt tells of the load of its server.
    pub(super) fn note_load(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        let Some(life) = ticket.attempts.last().map(|attempt| &attempt.life) else {
            return;
        };
        let Some(record) = self.directory.server(life) else {
            return;
        };
        let floor = self.slots_share(record);
        let target = ticket.route.route.latency_target;
        let target = target.unwrap_or(DEFAULT_LATENCY_TARGET);
        let Some(health) = self.health.get_mut(life) else {
            return;
        };
        let in_flight = health.in_flight;
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Silent => {
                let has_queue = health.is_congested();
                let window = &mut health.window;
                window.note_answer(now, (took, target), has_queue, in_flight, floor);
            }
            // One that turns requests away without any that wait is not full.
            AttemptOutcome::Shed if health.is_congested() => {
                health.window.note_shed(now, in_flight, floor);
            }
            _ => {}
        }
    }
}

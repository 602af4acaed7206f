//! What this process has seen of a backend server, whoever dispatches to it.

use std::time::Duration;

use chicory_types::{Incarnation, MonoTime};

use crate::RelayLoad;
use crate::server::Dispatch;

/// How long the load that came with a relayed answer is believed.
const HINT_LIFE: Duration = Duration::from_millis(500);
/// Scale of the ramp, so that a share of one is a whole number.
const RAMP_SCALE: u64 = 100;
/// Share of its weight that a server starts with, in hundredths.
const RAMP_START: u64 = 10;

/// What this process has seen of a backend server, whoever dispatches to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerObservation {
    pub(crate) dispatch: Dispatch,
    /// Share of load by the table; 0 for a server that gets none.
    pub(crate) weight: u32,
    /// Requests that it works on at a time.
    pub(crate) capacity: u32,
    pub(crate) incarnation: Incarnation,
    /// Requests relayed for it and not answered.
    pub(crate) relayed: u32,
    hint: RelayLoad,
    hint_at: MonoTime,
    failures: u32,
    ejected_until: MonoTime,
    ramp_from: Option<MonoTime>,
}

impl ServerObservation {
    /// Notes the load that came with a relayed answer.
    pub(crate) fn hint(&mut self, load: RelayLoad, now: MonoTime) {
        self.hint = load;
        self.hint_at = now;
    }

    /// Requests that wait or run there, as far as this process can tell.
    pub(crate) fn outstanding_elsewhere(&self, now: MonoTime) -> u64 {
        let is_fresh = now < self.hint_at + HINT_LIFE;
        let hinted = if is_fresh { self.hint.outstanding } else { 0 };
        u64::from(self.relayed.max(hinted))
    }

    pub(crate) fn start_ramp(&mut self, now: MonoTime) {
        self.ramp_from = Some(now);
    }

    /// Weight in hundredths, cold start taken into account.
    pub(crate) fn ramped_weight(&self, now: MonoTime, ramp: Duration) -> u64 {
        let share = self.ramp_share(now, ramp);
        u64::from(self.weight) * u64::from(self.capacity) * share
    }

    fn ramp_share(&self, now: MonoTime, ramp: Duration) -> u64 {
        let Some(from) = self.ramp_from else {
            return RAMP_SCALE;
        };
        let passed_ms = now.saturating_sub(from).as_millis();
        let whole_ms = ramp.as_millis().max(1);
        let grown = u128::from(RAMP_SCALE) * passed_ms.min(whole_ms) / whole_ms;
        u64::try_from(grown).unwrap_or(RAMP_SCALE).max(RAMP_START)
    }

    /// Notes a whole answer.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure; true where the server has failed `limit` times in a row.
    pub(crate) fn failed(&mut self, limit: u32) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= limit
    }

    pub(crate) fn eject(&mut self, until: MonoTime) {
        self.ejected_until = until;
        self.failures = 0;
    }

    pub(crate) fn is_ejected(&self, now: MonoTime) -> bool {
        now < self.ejected_until
    }
}

//! Observations of a backend server, independent of which process dispatches to it.

use std::time::Duration;

use chicory_types::{Incarnation, MonoTime};

use crate::RelayLoad;
use crate::server::DispatcherLocation;

/// How long the load reported with a relayed answer is used.
const HINT_VALIDITY: Duration = Duration::from_millis(500);
/// Value of the ramp at full weight, which makes its shares integers.
const RAMP_SCALE: u64 = 100;
/// Share of its weight with which a server starts, in units of `1 / RAMP_SCALE`.
const RAMP_START: u64 = 10;

/// Observations of a backend server, independent of which process dispatches to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerObservation {
    pub(crate) dispatcher_location: DispatcherLocation,
    /// Relative share of load from the table. A server with weight 0 gets no requests that other
    /// servers could serve.
    pub(crate) weight: u32,
    /// Maximum number of requests in flight at the server.
    pub(crate) capacity: u32,
    pub(crate) incarnation: Incarnation,
    /// Number of relayed requests for the server that are not finished yet.
    pub(crate) relayed: u32,
    hint: RelayLoad,
    hinted_at: MonoTime,
    failures: u32,
    ejected_until: MonoTime,
    ramp_started_at: Option<MonoTime>,
}

impl ServerObservation {
    /// Records the load reported with a relayed answer.
    pub(crate) fn record_load(&mut self, load: RelayLoad, now: MonoTime) {
        self.hint = load;
        self.hinted_at = now;
    }

    /// Returns an estimate of the requests that wait or run at the server through other processes.
    ///
    /// It is the number of relayed requests or, if that is greater, the load reported recently.
    pub(crate) fn outstanding_elsewhere(&self, now: MonoTime) -> u64 {
        let is_fresh = now < self.hinted_at + HINT_VALIDITY;
        let hinted = if is_fresh { self.hint.outstanding } else { 0 };
        u64::from(self.relayed.max(hinted))
    }

    pub(crate) fn start_ramp(&mut self, now: MonoTime) {
        self.ramp_started_at = Some(now);
    }

    /// Returns the weight for a choice among servers: the product of weight, capacity and the share
    /// of the cold-start ramp, scaled by `RAMP_SCALE`.
    pub(crate) fn ramped_weight(&self, now: MonoTime, ramp: Duration) -> u64 {
        let share = self.ramp_share(now, ramp);
        u64::from(self.weight) * u64::from(self.capacity) * share
    }

    fn ramp_share(&self, now: MonoTime, ramp: Duration) -> u64 {
        let Some(from) = self.ramp_started_at else {
            return RAMP_SCALE;
        };
        let passed_ms = now.saturating_sub(from).as_millis();
        let whole_ms = ramp.as_millis().max(1);
        let grown = u128::from(RAMP_SCALE) * passed_ms.min(whole_ms) / whole_ms;
        u64::try_from(grown).unwrap_or(RAMP_SCALE).max(RAMP_START)
    }

    /// Records a complete answer that is not a failure.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure; returns whether the server has failed at least `limit` times in a row.
    pub(crate) fn count_failure(&mut self, limit: u32) -> bool {
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

//! Decides about requests to cold servers.

use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::gateway::MIN_CONNECT_TIMEOUT;
use super::{AttemptOutcome, Gateway, RequestTicket};

impl Gateway {
    /// Whether a server bears few requests because it is cold.
    pub(super) fn is_cold(&self, now: MonoTime, record: &ServerRecord) -> bool {
        let directory = &self.directory;
        directory
            .cold_rate_per_s(now, &record.incarnation)
            .is_some()
    }

    /// Returns the longest time to open a connection to a server. A connection to a cold server that
    /// opens late would have its request arrive together with those of later permits.
    pub(super) fn connect_limit(
        &self,
        now: MonoTime,
        record: &ServerRecord,
        usual: Duration,
    ) -> Duration {
        if self.is_cold(now, record) {
            usual.min(MIN_CONNECT_TIMEOUT)
        } else {
            usual
        }
    }

    /// Whether requests of this rank to a server are denied until later, because of its limit.
    pub(super) fn is_denied(&self, now: MonoTime, record: &ServerRecord, rank: u32) -> bool {
        let incarnation = &record.incarnation;
        self.limited
            .is_denied(now, &self.directory, incarnation, rank)
    }

    /// Whether a request will be refused for want of a retry. A permit for it would be lost.
    pub(super) fn lacks_retry(&mut self, now: MonoTime, ticket: &RequestTicket) -> bool {
        let entry_count = self.entry_count.get();
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        ticket.needs_retry() && !budget.has_retry(now, &self.config, entry_count)
    }

    /// Records what the end of an attempt says about the room at warm servers, for services without
    /// keys that have a cold limit.
    pub(super) fn record_warm_room(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) {
        let directory = &self.directory;
        let is_cold = directory.cold_rate_per_s(now, incarnation).is_some();
        if ticket.key.is_none() && !is_cold && directory.has_cold_limit(&ticket.service) {
            self.warm_room.record(&ticket.service, outcome);
        }
    }
}

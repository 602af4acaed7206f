//! Decides about requests to cold servers.

use std::time::Duration;

use chicory_directory::ServerRecord;
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
}

impl RequestTicket {
    /// Whether the server that the request was sent to last was full. Warm servers are then likely
    /// to be full as well, so a cold one that takes the request is tried first.
    pub(super) fn was_shed(&self) -> bool {
        let last = self.attempts.last().and_then(|attempt| attempt.ended);
        last.is_some_and(|(outcome, _)| {
            matches!(
                outcome,
                AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected
            )
        })
    }
}

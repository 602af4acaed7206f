//! Handles what backend servers state about themselves in answers.

use std::time::Duration;

use chicory_policy::LimitChange;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::{Gateway, LimitedServerLoad, RequestTicket, ServerNotices};

impl Gateway {
    /// Records what a server states about itself in an answer to a request that was sent at
    /// `sent_at`. Returns how the limit of the server changed.
    pub fn record_notices(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        sent_at: MonoTime,
        notices: &ServerNotices,
    ) -> LimitChange {
        if self.directory().server(incarnation).is_none() {
            return LimitChange::Unchanged;
        }
        self.limited
            .record_notices(now, incarnation, sent_at, notices)
    }

    /// Returns the limit of the server that a request was sent to last, in requests per second, and
    /// the time since the latest answer that showed it.
    #[must_use]
    pub fn limit_of_last_server(
        &self,
        now: MonoTime,
        ticket: &RequestTicket,
    ) -> Option<(f64, Duration)> {
        let attempt = ticket.attempts.last()?;
        self.limited.limit(now, &attempt.incarnation)
    }

    /// Returns what was sent to each server with a limit since the previous call.
    pub fn take_limited_server_loads(&mut self, now: MonoTime) -> Vec<LimitedServerLoad> {
        self.limited.take_loads(now)
    }
}

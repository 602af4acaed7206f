//! Looks for a server that can follow an attempt which lasts too long.

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::gateway::MIN_CONNECT_TIMEOUT;
use super::{AttemptOutcome, FollowUp, FollowUpStep, Gateway, RequestTicket, Target};

impl Gateway {
    /// Returns what to do about an attempt that has lasted too long: its server may be at work, so
    /// it is only abandoned for another server that can be reached.
    ///
    /// `failed` are servers to which no connection could be opened meanwhile.
    pub fn follow_up_step(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        target: &Target,
        failed: &[ServerIncarnation],
    ) -> FollowUpStep {
        // Another server would have to be reached by a relay, too. A server that has left the
        // directory may still be at work.
        let record = self.directory.server(&target.incarnation);
        let is_cut = record.is_some_and(|record| self.reachability.is_cut(record));
        if target.relay.is_some() || is_cut {
            return FollowUpStep::Abandon;
        }
        let denials = failed.iter().map(|server| (server.clone(), None)).collect();
        let rank = ticket.route.route.rank();
        let next = self.choose_server(now, ticket, &denials);
        let reachable = next.filter(|record| !self.is_avoided(now, record, rank));
        let unlimited = reachable.filter(|record| {
            let limit = self.limit(now, &record.incarnation);
            limit.is_none()
        });
        let left = ticket.deadline.saturating_sub(now);
        match unlimited {
            Some(record) if ticket.attempts_left() > 0 => FollowUpStep::Connect(FollowUp {
                incarnation: record.incarnation,
                address: record.address,
                connect_timeout: MIN_CONNECT_TIMEOUT.min(left),
                settle_time: self.config.settle_time,
            }),
            _ => FollowUpStep::Continue,
        }
    }

    /// Takes a retry for the server that follows. Returns `false` if none is left.
    pub fn take_follow_up_retry(&mut self, now: MonoTime, ticket: &RequestTicket) -> bool {
        let service = ticket.service.clone();
        self.take_retry(now, &service)
    }

    /// Records that no connection to a server could be opened.
    pub fn record_failed_follow_up(
        &mut self,
        now: MonoTime,
        server: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) {
        let health = self.health.entry(server.clone()).or_default();
        health.record_outcome(now, outcome, std::time::Duration::ZERO);
    }
}

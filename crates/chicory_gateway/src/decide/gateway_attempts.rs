//! What follows from the end of an attempt.

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::gateway::{GRANT_LAG, MAX_OWNER_TRIES};
use super::{AttemptOutcome, Gateway, RequestTicket};

impl Gateway {
    /// Takes in what became of an attempt; whether the request may be sent again.
    pub fn attempt_ended(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        outcome: AttemptOutcome,
    ) -> bool {
        let Some(attempt) = ticket.attempts.last_mut() else {
            return false;
        };
        if attempt.ended.is_some() {
            return false;
        }
        attempt.ended = Some((outcome, now));
        let took = now.saturating_sub(attempt.started_at);
        let incarnation = attempt.incarnation.clone();
        let health = self.health.entry(incarnation.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        health.note_end(now, outcome, took);
        let is_congested = health.is_congested();
        self.note_reach(now, &incarnation, outcome);
        ticket.may_have_run |= outcome.may_have_run();
        self.crashes
            .note_end(now, ticket.fingerprint, &incarnation, outcome);
        Self::may_try_again(now, ticket, outcome, is_congested)
    }

    fn note_reach(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) {
        let Some(record) = self.directory().server(incarnation) else {
            return;
        };
        let zone = record.zone.clone();
        let reach = self.zones.entry(zone).or_default();
        match outcome {
            // A cut may answer new connections with resets.
            AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
                reach.note_miss(now);
                self.unreachable.record_unusable(now, incarnation);
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::TurnedAway
            | AttemptOutcome::WrongServer
            | AttemptOutcome::OtherServer
            | AttemptOutcome::Garbled => {
                reach.note_contact();
                self.unreachable.record_usable(incarnation);
            }
            AttemptOutcome::Broken | AttemptOutcome::Silent | AttemptOutcome::Cancelled => {}
        }
    }

    fn may_try_again(
        now: MonoTime,
        ticket: &mut RequestTicket,
        outcome: AttemptOutcome,
        is_congested: bool,
    ) -> bool {
        let is_repeatable = ticket.route.route.kind.is_repeatable();
        let is_allowed = is_repeatable || !ticket.may_have_run;
        let is_final = matches!(
            outcome,
            AttemptOutcome::Answered | AttemptOutcome::Cancelled
        );
        if is_final || !is_allowed || now >= ticket.ends_at {
            return false;
        }
        if ticket.key.is_none() {
            return ticket.attempts_left() > 0;
        }
        // The owner of a key is the only server that can help, after a while.
        let tries = u32::try_from(ticket.attempts.len()).unwrap_or(u32::MAX);
        ticket.not_before = now + GRANT_LAG * tries;
        let max_tries = match outcome {
            AttemptOutcome::WrongServer
            | AttemptOutcome::OtherServer
            | AttemptOutcome::Unreachable => MAX_OWNER_TRIES,
            AttemptOutcome::Shed if !is_congested => MAX_OWNER_TRIES,
            AttemptOutcome::Garbled | AttemptOutcome::Broken => 2,
            _ => 0,
        };
        tries < max_tries
    }
}

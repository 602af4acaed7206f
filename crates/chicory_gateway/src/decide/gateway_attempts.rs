//! Handles the end of an attempt.

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::gateway::{MAX_OWNER_TRIES, OWNER_RETRY_PAUSE};
use super::{AttemptOutcome, Gateway, RequestTicket};

impl Gateway {
    /// Records how an attempt ended. Returns whether the request may be sent again.
    pub fn record_attempt_end(
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
        let relay = attempt.relay.clone();
        let health = self.health.entry(incarnation.clone()).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        match &relay {
            None => health.record_outcome(now, outcome, took),
            Some(_) => health.record_relayed_outcome(now, outcome, took),
        }
        let is_congested = health.is_congested();
        self.record_end_for_shares(now, &ticket.service, &incarnation, (outcome, took));
        match &relay {
            None => self.record_reachability(now, &incarnation, outcome),
            Some(peer) => {
                let need = ticket.relay_need();
                self.record_relayed_end(now, peer, (&incarnation, &need), outcome);
            }
        }
        self.record_warm_room(now, ticket, &incarnation, outcome);
        ticket.may_have_run |= outcome.may_have_run();
        if !self.may_be_path_fault(now, &incarnation, outcome) {
            self.crashes
                .record_outcome(now, ticket.fingerprint, &incarnation, outcome);
        }
        // The owner of a key is the only server that can serve the request.
        if ticket.key.is_some() && self.rests.rest(now, &incarnation).is_some() {
            return false;
        }
        self.is_retry_allowed(now, ticket, &incarnation, outcome, is_congested)
    }

    fn is_retry_allowed(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
        is_congested: bool,
    ) -> bool {
        let is_repeatable = ticket.route.route.kind.is_repeatable();
        let is_safe_to_retry = is_repeatable || !ticket.may_have_run;
        let is_final = matches!(
            outcome,
            AttemptOutcome::Answered | AttemptOutcome::Cancelled
        );
        if is_final || !is_safe_to_retry || now >= ticket.deadline {
            return false;
        }
        if self.try_other_way(now, ticket, incarnation, outcome) {
            return true;
        }
        if ticket.key.is_none() {
            return ticket.attempts_left() > 0;
        }
        // The owner of a key is the only server that can serve the request, so it is tried again
        // after a pause.
        let attempts = ticket.attempts.iter();
        let counted = attempts.filter(|attempt| !attempt.is_replaced).count();
        let tries = u32::try_from(counted).unwrap_or(u32::MAX);
        ticket.not_before = now + OWNER_RETRY_PAUSE * tries;
        let max_tries = match outcome {
            AttemptOutcome::WrongServer
            | AttemptOutcome::OtherServer
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Withheld => MAX_OWNER_TRIES,
            // The relay peer sends nothing to an owner that has left, and another one may follow.
            AttemptOutcome::UnreachableFromRelay if self.has_left(now, incarnation) => {
                MAX_OWNER_TRIES
            }
            AttemptOutcome::Shed if !is_congested => MAX_OWNER_TRIES,
            AttemptOutcome::Garbled | AttemptOutcome::Broken | AttemptOutcome::RelayBroken => 2,
            _ => 0,
        };
        tries < max_tries
    }
}

//! What refused callers are told.

use std::time::Duration;

use chicory_policy::RetryAfter;
use chicory_types::MonoTime;
use rand::RngExt;

use super::{
    AttemptOutcome, Gateway, Policy, Refusal, RefusalReason, RequestMetadata, RequestTicket,
};

/// When to come back where nothing is known of what blocks the request.
const SOON: Duration = Duration::from_millis(300);
/// Time that a move of keys, an election or a new connection to a control VM takes as a rule.
const AFTER_A_CHANGE: Duration = Duration::from_millis(600);
/// Time before a caller asks again for what is away for seconds: it has few tries, and the later
/// ones meet an outage less often.
const AFTER_AN_OUTAGE: Duration = Duration::from_millis(1500);

/// When what blocks a request is expected to be over.
fn expected_end(reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::NoDirectory | RefusalReason::RoutesBehind | RefusalReason::Overloaded => {
            AFTER_A_CHANGE
        }
        RefusalReason::NoOwner | RefusalReason::Unreachable | RefusalReason::NoServer => {
            AFTER_AN_OUTAGE
        }
        _ => SOON,
    }
}

impl Gateway {
    /// The refusal after attempts that were not answered.
    #[must_use]
    pub fn final_refusal(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        outcome: AttemptOutcome,
    ) -> Refusal {
        let reason = match outcome {
            AttemptOutcome::Shed | AttemptOutcome::TurnedAway => RefusalReason::Overloaded,
            AttemptOutcome::WrongServer | AttemptOutcome::OtherServer => RefusalReason::NoOwner,
            AttemptOutcome::Refused | AttemptOutcome::Unreachable => RefusalReason::Unreachable,
            AttemptOutcome::Silent => RefusalReason::TimedOut,
            _ => RefusalReason::BrokenAnswer,
        };
        self.refusal(now, ticket, reason)
    }

    pub(super) fn late_refusal(&mut self, now: MonoTime, ticket: &RequestTicket) -> Refusal {
        let reason = if ticket.may_have_run {
            RefusalReason::TimedOut
        } else {
            RefusalReason::TooLate
        };
        self.refusal(now, ticket, reason)
    }

    pub(super) fn refusal(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        reason: RefusalReason,
    ) -> Refusal {
        if ticket.may_have_run {
            return Refusal {
                reason,
                may_have_run: true,
                retry_after: None,
            };
        }
        let time_left = ticket.caller_ends_at.saturating_sub(now);
        Refusal::not_run(reason).with_retry_after(self.return_after(reason, time_left))
    }

    /// The refusal of a request that has no ticket yet.
    pub(super) fn refusal_at_arrival(
        &mut self,
        metadata: &RequestMetadata,
        reason: RefusalReason,
    ) -> Refusal {
        let time_left = metadata
            .time_left
            .unwrap_or(super::gateway::DEFAULT_TIME_LEFT);
        Refusal::not_run(reason).with_retry_after(self.return_after(reason, time_left))
    }

    fn return_after(&mut self, reason: RefusalReason, time_left: Duration) -> Duration {
        if !self.config.uses(Policy::ReturnTime) {
            return SOON;
        }
        let chance = self.rng.random_range(0.0..1.0);
        let after = RetryAfter::new(expected_end(reason)).spread(chance);
        after.within(time_left)
    }
}

//! Creates refusals, with the time after which a caller should try again.

use std::time::Duration;

use chicory_policy::RetryAfter;
use chicory_types::MonoTime;
use rand::RngExt;

use super::gateway_notices::Denial;
use super::{
    AttemptOutcome, Gateway, Policy, Refusal, RefusalReason, RequestMetadata, RequestTicket,
};

/// Retry-after time where nothing is known about the cause.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after time for a cause that lasts as long as a move of keys, an election or a new
/// connection to a control VM usually takes.
const RETRY_AFTER_CHANGE: Duration = Duration::from_millis(600);
/// Retry-after time for a cause that lasts for seconds. A caller has few tries, and later ones are
/// less likely to fall into the outage.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_millis(1500);

/// Time after which a caller that was refused because of a planned stop may come back: other entry
/// VMs serve it.
pub(crate) const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// Returns the time after which the cause of a refusal is expected to be over.
fn expected_recovery_time(reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::NoDirectory
        | RefusalReason::RoutesBehind
        | RefusalReason::Overloaded
        | RefusalReason::NoMemory => RETRY_AFTER_CHANGE,
        RefusalReason::NoOwner | RefusalReason::Unreachable | RefusalReason::NoServer => {
            RETRY_AFTER_OUTAGE
        }
        RefusalReason::Stopping => RETRY_AFTER_STOP,
        _ => DEFAULT_RETRY_AFTER,
    }
}

impl Gateway {
    /// Returns the refusal after attempts that were not answered.
    #[must_use]
    pub fn final_refusal(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        outcome: AttemptOutcome,
    ) -> Refusal {
        let last = ticket.attempts.last();
        let denial = last.and_then(|attempt| self.resting_denial(now, &attempt.incarnation));
        if let Some(denial) = denial
            && matches!(outcome, AttemptOutcome::Shed | AttemptOutcome::Withheld)
        {
            return self.denial_refusal(now, ticket, denial);
        }
        let reason = match outcome {
            AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected => RefusalReason::Overloaded,
            AttemptOutcome::WrongServer | AttemptOutcome::OtherServer => RefusalReason::NoOwner,
            AttemptOutcome::Refused
            | AttemptOutcome::Unreachable
            | AttemptOutcome::RelayUnavailable
            | AttemptOutcome::RefusedByRelay
            | AttemptOutcome::UnreachableFromRelay => RefusalReason::Unreachable,
            AttemptOutcome::Withheld => RefusalReason::ServerLimited,
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
        let time_left = ticket.caller_deadline.saturating_sub(now);
        Refusal::not_run(reason).with_retry_after(self.retry_after_for(reason, time_left))
    }

    /// Returns the refusal of a request that was not sent to its server because of the server's own
    /// notices.
    pub(super) fn denial_refusal(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denial: Denial,
    ) -> Refusal {
        let mut refusal = self.refusal(now, ticket, denial.reason());
        if refusal.retry_after.is_some() {
            let random_fraction = self.rng.random_range(0.0..1.0);
            let after = RetryAfter::new(denial.retry_after());
            let after = match denial {
                Denial::Limited(_) => after.spread(random_fraction),
                Denial::Resting(_) => after.spread_later(random_fraction),
            };
            let time_left = ticket.caller_deadline.saturating_sub(now);
            refusal = refusal.with_retry_after(after.within(time_left));
        }
        refusal
    }

    /// Returns the refusal of a request that no server was chosen for yet.
    pub(crate) fn refusal_at_arrival(
        &mut self,
        metadata: &RequestMetadata,
        reason: RefusalReason,
    ) -> Refusal {
        let time_left = metadata
            .time_left
            .unwrap_or(super::gateway::DEFAULT_TIME_LEFT);
        Refusal::not_run(reason).with_retry_after(self.retry_after_for(reason, time_left))
    }

    fn retry_after_for(&mut self, reason: RefusalReason, time_left: Duration) -> Duration {
        if !self.config.is_enabled(Policy::RetryAfterTime) {
            return DEFAULT_RETRY_AFTER;
        }
        let random_fraction = self.rng.random_range(0.0..1.0);
        let after = RetryAfter::new(expected_recovery_time(reason)).spread(random_fraction);
        after.within(time_left)
    }
}

//! Admission to servers whose keys are asked for more than the servers can answer.

use std::time::Duration;

use chicory_directory::AdmittedFraction;
use chicory_policy::RetryAfter;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;

use super::{Gateway, Policy, Refusal, RefusalReason, RequestTicket};

/// Time after which an overloaded owner is expected to have room. Keys stay hot for seconds, and
/// callers who came back after 0.6 s raised the demand faster than the fraction could follow.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_secs(3);

impl Gateway {
    /// Records the fractions of requests that may be sent to overloaded owners; all others get
    /// everything. Returns the number of overloaded owners if they have begun or ended.
    pub fn record_owner_admission(
        &mut self,
        now: MonoTime,
        admitted: Vec<AdmittedFraction>,
    ) -> Option<usize> {
        let count = admitted.len();
        let former_count = std::mem::replace(&mut self.admitted_owners.count, count);
        let admitted = admitted.into_iter();
        let fractions = admitted.map(|admitted| (admitted.incarnation, admitted.fraction));
        self.admitted_owners.fractions.replace(now, fractions);
        let directory = &self.directory;
        self.admitted_owners
            .fractions
            .retain(|owner| directory.server(owner).is_some());
        ((count == 0) != (former_count == 0)).then_some(count)
    }

    /// Returns the number of owners that get only a part of their requests.
    #[must_use]
    pub fn limited_owner_count(&self, now: MonoTime) -> usize {
        self.admitted_owners.fractions.count(now)
    }

    /// Returns the number of requests that were refused by admission since the previous call.
    pub fn take_admission_refusals(&mut self) -> u64 {
        std::mem::take(&mut self.admitted_owners.refused)
    }

    /// Returns the refusal of a request whose owner gets only a part of its requests, unless this
    /// one is in the part. It decides about each request once, before the first attempt.
    pub(super) fn refusal_by_admission(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        owner: &ServerIncarnation,
    ) -> Option<Refusal> {
        let is_decided = ticket.is_admitted || !ticket.attempts.is_empty();
        if is_decided || !self.config.is_enabled(Policy::OwnerAdmission) {
            return None;
        }
        self.admitted_owners.fractions.fraction(now, owner)?;
        let rank = ticket.route.route.rank();
        let chance = self.rng.random_range(0.0..1.0);
        let fractions = &mut self.admitted_owners.fractions;
        if fractions.try_admit(now, owner, rank, chance) {
            ticket.is_admitted = true;
            return None;
        }
        self.admitted_owners.refused += 1;
        let refusal = self.refusal(now, ticket, RefusalReason::Overloaded);
        if !self.config.is_enabled(Policy::RetryAfterTime) {
            return Some(refusal);
        }
        let time_left = ticket.caller_deadline.saturating_sub(now);
        let after = RetryAfter::new(RETRY_AFTER_OVERLOAD).spread(chance);
        Some(refusal.with_retry_after(after.within(time_left)))
    }
}

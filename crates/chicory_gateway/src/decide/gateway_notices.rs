//! Handles what backend servers state about themselves, and the limits that follow from it.

use std::time::Duration;

use chicory_directory::{EntryReport, ServerLimitUpdate, ServerRecord};
use chicory_policy::{LimitChange, PermitStep, Rest};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;

use super::limited_servers::{EntryState, LimitedRequest};
use super::permit_state::PermitState;
use super::{Gateway, LimitInForce, LimitedServerLoad, RequestTicket, RestNotice, ServerNotices};

/// Time without a message from a leader after which it is considered unable to issue permits.
const ISSUER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whether a request may be sent to a server, as far as its rate limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LimitStep {
    /// The server has no limit.
    Unlimited,
    /// The server has a limit, and this request is within it.
    WithinLimit,
    /// The request waits for a permit until this time at most.
    Wait(MonoTime),
    /// The request is not sent, and this is the time after which it probably may be.
    Deny(Duration),
}

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

    /// Records limits that the leader reports, and permits that it issues. Returns the limits that
    /// changed.
    pub fn record_server_limits(
        &mut self,
        now: MonoTime,
        mut update: ServerLimitUpdate,
    ) -> Vec<(ServerIncarnation, LimitChange)> {
        self.issuer_contact_at = Some(now);
        let directory = &self.directory;
        let limits = &mut update.limits;
        limits.retain(|limit| directory.server(&limit.incarnation).is_some());
        self.limited.record_update(now, update)
    }

    /// Records that another control VM is followed.
    pub fn record_new_control_vm(&mut self) {
        self.issuer_contact_at = None;
        self.limited.record_new_issuer();
    }

    /// Returns the limits and requests for permits that have to be reported at once, if there are
    /// any.
    pub fn take_limit_report(&mut self, now: MonoTime) -> Option<EntryReport> {
        let (limits, permits) = self.limited.take_reports(now);
        let report = EntryReport {
            limits,
            permits,
            accepts_server_limits: true,
            ..EntryReport::default()
        };
        report.is_about_limits_only().then_some(report)
    }

    /// Decides whether the limit of a server lets a request be sent, and uses a permit if so.
    pub(super) fn limit_step(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        record: &ServerRecord,
    ) -> LimitStep {
        let incarnation = &record.incarnation;
        let waiting_since = match ticket.permit.as_deref() {
            Some(PermitState::Waiting { server, since }) if server == incarnation => Some(*since),
            _ => None,
        };
        let request = LimitedRequest {
            rank: ticket.route.route.rank(),
            waiting_since,
        };
        let contact_at = self.issuer_contact_at;
        let entry = EntryState {
            entry_count: self.entry_count.greatest_assumed(),
            has_issuer: contact_at.is_some_and(|at| now < at + ISSUER_CONTACT_TIMEOUT),
            random_fraction: self.rng.random_range(0.0..1.0),
        };
        match self.limited.next_step(now, incarnation, request, entry) {
            None => LimitStep::Unlimited,
            Some(PermitStep::Send) => {
                ticket.permit = None;
                LimitStep::WithinLimit
            }
            Some(PermitStep::Wait(until)) => {
                ticket.permit = Some(Box::new(PermitState::Waiting {
                    server: incarnation.clone(),
                    since: waiting_since.unwrap_or(now),
                }));
                LimitStep::Wait(until)
            }
            Some(PermitStep::Deny(retry_after)) => {
                ticket.permit = Some(Box::new(PermitState::Denied(incarnation.clone())));
                LimitStep::Deny(retry_after)
            }
        }
    }

    /// Records that a server asks for a pause in an answer. Returns whether the pause begins.
    pub fn record_rest(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        notices: &ServerNotices,
    ) -> bool {
        let RestNotice::For(duration) = notices.rest else {
            return false;
        };
        self.directory().server(incarnation).is_some()
            && self.rests.record(now, incarnation, duration)
    }

    /// Returns the rest of the server that a request was sent to last, if it rests.
    #[must_use]
    pub fn rest_for(&self, now: MonoTime, ticket: &RequestTicket) -> Option<Rest> {
        self.rests.rest(now, &ticket.attempts.last()?.incarnation)
    }

    /// Returns the limit of the server that denied a request or that it was sent to last.
    #[must_use]
    pub fn limit_for(&self, now: MonoTime, ticket: &RequestTicket) -> Option<LimitInForce> {
        let server = match ticket.permit.as_deref() {
            Some(PermitState::Denied(server)) => server,
            _ => &ticket.attempts.last()?.incarnation,
        };
        self.limited.limit(now, server)
    }

    /// Returns what was sent to each server with a limit since the previous call.
    pub fn take_limited_server_loads(&mut self, now: MonoTime) -> Vec<LimitedServerLoad> {
        self.limited.take_loads(now)
    }
}

//! Handles what backend servers state about themselves: rate limits, rests, and that they leave.

use std::time::Duration;

use chicory_directory::{EntryReport, ServerLimitUpdate, ServerRecord, ServerRest};
use chicory_policy::{LimitChange, PermitStep, Rest};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;

use super::limited_servers::{EntryState, LimitedRequest};
use super::permit_state::PermitState;
use super::{
    Gateway, LeavingNotice, LimitInForce, LimitedCounts, LimitedServerLoad, RefusalReason,
    RequestTicket, RestNotice, ServerNotices,
};

/// Time without a message from a leader after which it is considered unable to issue permits.
const ISSUER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whether a request may be sent to a server, as far as the server's own notices are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerStep {
    /// It may be sent.
    Send {
        /// Whether the server has a rate limit, which this request is within.
        has_permit: bool,
    },
    /// The request waits for a permit until this time at most.
    Wait(MonoTime),
    /// The request is not sent.
    Deny(Denial),
}

/// Why a request is not sent to a server, and for how long that is expected to be so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The rate limit of the server is used up.
    Limited(Duration),
    /// The server has asked for a pause, which lasts for this time.
    Resting(Duration),
}

impl Denial {
    pub(super) fn retry_after(self) -> Duration {
        match self {
            Self::Limited(retry_after) | Self::Resting(retry_after) => retry_after,
        }
    }

    pub(super) fn reason(self) -> RefusalReason {
        match self {
            Self::Limited(_) => RefusalReason::ServerLimited,
            Self::Resting(_) => RefusalReason::ServerResting,
        }
    }
}

impl Gateway {
    /// Records what a server states about its rate limit in an answer to a request that was sent at
    /// `sent_at`. Returns how the limit changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        sent_at: MonoTime,
        notices: &ServerNotices,
    ) -> LimitChange {
        if self.directory().server(incarnation).is_none() {
            return LimitChange::Unchanged;
        }
        let directory = &self.directory;
        self.limited
            .record_limit(now, directory, incarnation, sent_at, notices)
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
        self.limited.record_update(now, directory, update)
    }

    /// Records that another control VM is followed.
    pub fn record_new_control_vm(&mut self) {
        self.issuer_contact_at = None;
        self.report_all_notices();
    }

    /// Has the next report contain everything that servers have stated: the leader that gets it may
    /// have been elected since the previous one.
    pub(super) fn report_all_notices(&mut self) {
        self.limited.record_new_issuer();
        self.unreported_leaving = self.leaving_since.keys().cloned().collect();
        self.unreported_rests = self.rests.servers().cloned().collect();
    }

    /// Returns the limits and requests for permits that have to be reported at once, if there are
    /// any.
    pub fn take_limit_report(&mut self, now: MonoTime) -> Option<EntryReport> {
        let (limits, permits) = self.limited.take_reports(now, &self.directory);
        let report = EntryReport {
            limits,
            permits,
            accepts_server_limits: true,
            can_relay: self.can_relay(now),
            ..EntryReport::default()
        };
        report.is_about_limits_only().then_some(report)
    }

    /// Decides whether the pause and the limit of a server let a request be sent, and uses a permit
    /// if so. A server that rests gets nothing, whatever its limit.
    pub(super) fn server_step(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        record: &ServerRecord,
    ) -> ServerStep {
        if let Some(denial) = self.resting_denial(now, &record.incarnation) {
            ticket.permit = None;
            return ServerStep::Deny(denial);
        }
        if self.is_cold(now, record) && self.lacks_retry(now, ticket) {
            // Refused before anything is sent.
            return ServerStep::Send { has_permit: false };
        }
        self.limit_step(now, ticket, &record.incarnation)
    }

    /// Returns the denial of all requests to a server that rests.
    pub(super) fn resting_denial(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
    ) -> Option<Denial> {
        let rest = self.rests.rest(now, incarnation)?;
        Some(Denial::Resting(rest.until.saturating_sub(now)))
    }

    fn limit_step(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        incarnation: &ServerIncarnation,
    ) -> ServerStep {
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
        let directory = &self.directory;
        let step = self
            .limited
            .next_step(now, directory, incarnation, request, entry);
        match step {
            None => ServerStep::Send { has_permit: false },
            Some(PermitStep::Send) => {
                ticket.permit = None;
                ServerStep::Send { has_permit: true }
            }
            Some(PermitStep::Wait(until)) => {
                ticket.permit = Some(Box::new(PermitState::Waiting {
                    server: incarnation.clone(),
                    since: waiting_since.unwrap_or(now),
                }));
                ServerStep::Wait(until)
            }
            Some(PermitStep::Deny(retry_after)) => {
                ticket.permit = Some(Box::new(PermitState::Denied(incarnation.clone())));
                ServerStep::Deny(Denial::Limited(retry_after))
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
        if self.directory().server(incarnation).is_none() {
            return false;
        }
        self.unreported_rests.insert(incarnation.clone());
        self.rests.record(now, incarnation, duration)
    }

    /// Returns the rests that servers have asked for since the previous call.
    pub(super) fn take_rests(&mut self, now: MonoTime) -> Vec<ServerRest> {
        let servers = std::mem::take(&mut self.unreported_rests).into_iter();
        let rests = servers.filter_map(|incarnation| {
            let rest = self.rests.rest(now, &incarnation)?;
            Some(ServerRest {
                incarnation,
                left: rest.until.saturating_sub(now),
            })
        });
        rests.collect()
    }

    /// Records that a server says that it is about to end. Returns whether that is news.
    pub fn record_leaving(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        notices: &ServerNotices,
    ) -> bool {
        let is_leaving = notices.leaving == LeavingNotice::Leaving;
        if !is_leaving || self.directory().server(incarnation).is_none() {
            return false;
        }
        if self.leaving_since.contains_key(incarnation) {
            return false;
        }
        self.leaving_since.insert(incarnation.clone(), now);
        self.unreported_leaving.insert(incarnation.clone());
        true
    }

    /// Returns the rest of the server that owns the key of a request or that it was sent to last, if
    /// it rests.
    #[must_use]
    pub fn rest_for(&self, now: MonoTime, ticket: &RequestTicket) -> Option<Rest> {
        let owner = ticket.key.and_then(|key| {
            let owned = self.directory().owner(&ticket.service, key)?;
            Some(&owned.owner)
        });
        let last = ticket.attempts.last().map(|attempt| &attempt.incarnation);
        self.rests.rest(now, owner.or(last)?)
    }

    /// Returns the limit of the server that denied a request or that it was sent to last.
    #[must_use]
    pub fn limit_for(&self, now: MonoTime, ticket: &RequestTicket) -> Option<LimitInForce> {
        let server = match ticket.permit.as_deref() {
            Some(PermitState::Denied(server)) => server,
            _ => &ticket.attempts.last()?.incarnation,
        };
        self.limit(now, server)
    }

    /// Returns the limit of a server, if it has named one or is cold.
    pub(super) fn limit(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
    ) -> Option<LimitInForce> {
        self.limited.limit(now, &self.directory, incarnation)
    }

    /// Returns what was sent to each server with a limit since the previous call.
    pub fn take_limited_server_loads(&mut self, now: MonoTime) -> Vec<LimitedServerLoad> {
        self.limited.take_loads(now, &self.directory)
    }

    /// Returns the numbers of requests to cold servers since the previous call.
    pub fn take_cold_counts(&mut self) -> LimitedCounts {
        self.limited.take_cold_counts()
    }
}

//! State of one request that is being served.

use std::collections::BTreeSet;
use std::sync::Arc;

use chicory_directory::{RelayPeer, RequestFingerprint};
use chicory_ranges::{Key, ServerIncarnation};
use chicory_routes::{MatchedRoute, RouteTableVersion};
use chicory_types::{MonoTime, ServiceName};

use super::permit_state::PermitState;
use super::relay_need::RelayNeed;
use super::{AttemptOutcome, RefusalReason};

/// One attempt to have a request served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Time at which the server was chosen.
    pub started_at: MonoTime,
    /// Outcome of the attempt and the time of its end; `None` while it runs.
    pub ended: Option<(AttemptOutcome, MonoTime)>,
    /// Entry VM that relays the request; `None` if it is sent to the server directly.
    pub relay: Option<RelayPeer>,
    /// Whether nothing was sent to the server and the request is sent to it another way.
    pub is_replaced: bool,
}

impl Attempt {
    /// Returns the outcome of the attempt; `None` while it runs.
    pub(crate) fn outcome(&self) -> Option<AttemptOutcome> {
        self.ended.map(|(outcome, _)| outcome)
    }
}

/// State of one request that is being served.
#[derive(Debug)]
pub struct RequestTicket {
    pub(crate) route: Arc<MatchedRoute>,
    pub(crate) routes_version: RouteTableVersion,
    pub(crate) service: ServiceName,
    pub(crate) key: Option<Key>,
    pub(crate) arrived_at: MonoTime,
    /// Time at which the caller or the route stops waiting, whichever is earlier, less a margin.
    pub(crate) deadline: MonoTime,
    /// Time at which the caller stops waiting.
    pub(crate) caller_deadline: MonoTime,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) may_have_run: bool,
    /// Time at which the request first had to wait for an owner.
    pub(crate) waiting_since: Option<MonoTime>,
    /// Earliest time of the next attempt.
    pub(crate) not_before: MonoTime,
    /// Server to which the request is relayed, because connections to it have failed.
    pub(crate) relayed_server: Option<ServerIncarnation>,
    /// Server to which a connection is open and a retry was taken for, because the current attempt
    /// has lasted too long.
    pub(crate) follow_up: Option<Box<ServerIncarnation>>,
    /// Present while or after the rate limit of a server has held the request back.
    pub(crate) permit: Option<Box<PermitState>>,
    /// Whether the request is in the part that an overloaded owner gets.
    pub(crate) is_admitted: bool,
    /// Whether the request waits until a slot that belongs to this entry VM is free.
    pub(crate) awaits_slot: bool,
}

impl RequestTicket {
    /// Returns the route.
    #[must_use]
    pub fn route(&self) -> &MatchedRoute {
        &self.route
    }

    /// Returns the version of the route table that the request is served by.
    #[must_use]
    pub fn routes_version(&self) -> RouteTableVersion {
        self.routes_version
    }

    /// Returns the service that the request goes to.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Whether a server may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the time at which the request arrived.
    #[must_use]
    pub fn arrived_at(&self) -> MonoTime {
        self.arrived_at
    }

    /// Returns the time at which the caller or the route stops waiting, whichever is earlier, less
    /// a margin.
    #[must_use]
    pub fn deadline(&self) -> MonoTime {
        self.deadline
    }

    /// Sets the fingerprint, a hash that is equal for requests that are the same to
    /// a backend server.
    pub fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// Sends the request to this server next, once the current attempt has ended.
    pub fn set_follow_up(&mut self, server: ServerIncarnation) {
        self.follow_up = Some(Box::new(server));
    }

    /// Whether the request waits for a permit of a server with a rate limit.
    #[must_use]
    pub fn waits_for_permit(&self) -> bool {
        self.awaited_server().is_some()
    }

    /// Whether the request waits until one of this entry VM's own requests has ended.
    #[must_use]
    pub fn awaits_slot(&self) -> bool {
        self.awaits_slot
    }

    /// Returns the server whose permit the request waits for.
    pub(crate) fn awaited_server(&self) -> Option<&ServerIncarnation> {
        self.permit.as_ref()?.awaited_server()
    }

    /// Whether the request has to be sent to this server: it is relayed to it, follows up an attempt
    /// there or waits for a permit of it.
    pub(crate) fn prefers(&self, server: &ServerIncarnation) -> bool {
        self.relayed_server.as_ref() == Some(server)
            || self.follow_up.as_deref() == Some(server)
            || self.awaited_server() == Some(server)
    }

    /// Returns why there is no server left that the request could be sent to.
    pub(crate) fn reason_after_attempts(&self) -> RefusalReason {
        match self.attempts.last().and_then(|attempt| attempt.ended) {
            Some((AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected, _)) => {
                RefusalReason::Overloaded
            }
            Some((AttemptOutcome::Withheld, _)) => RefusalReason::ServerLimited,
            Some(_) => RefusalReason::Unreachable,
            None => RefusalReason::NoServer,
        }
    }

    /// Whether the next attempt takes a retry out of the budget: the last one may have reached its
    /// server, and no retry was taken when a follow-up was found.
    pub(crate) fn needs_retry(&self) -> bool {
        let last = self.attempts.last().and_then(|attempt| attempt.ended);
        let may_have_arrived = last.is_some_and(|(outcome, _)| {
            !matches!(
                outcome,
                AttemptOutcome::Refused
                    | AttemptOutcome::Unreachable
                    | AttemptOutcome::ConnectionRejected
                    | AttemptOutcome::RelayUnavailable
                    | AttemptOutcome::RefusedByRelay
                    | AttemptOutcome::UnreachableFromRelay
            )
        });
        may_have_arrived && self.follow_up.is_none()
    }

    /// Returns the number of further servers that the request may be sent to.
    pub(crate) fn attempts_left(&self) -> usize {
        let sent = self.attempts.iter();
        let distinct: BTreeSet<&ServerIncarnation> =
            sent.map(|attempt| &attempt.incarnation).collect();
        let limit = usize::try_from(self.route.route.attempt_limit()).unwrap_or(usize::MAX);
        limit.saturating_sub(distinct.len())
    }

    /// Returns what the request needs of an entry VM that relays it.
    pub(super) fn relay_need(&self) -> RelayNeed {
        RelayNeed {
            service: self.service.clone(),
            is_large: self.route.route.kind.is_large(),
        }
    }

    /// Returns the entry VMs that the request was sent to.
    pub(crate) fn tried_relays(&self) -> Vec<RelayPeer> {
        let attempts = self.attempts.iter();
        attempts
            .filter_map(|attempt| attempt.relay.clone())
            .collect()
    }

    /// Returns a short summary of the attempts, for logs.
    #[must_use]
    pub fn attempts_summary(&self) -> String {
        let texts = self.attempts.iter().map(|attempt| {
            let incarnation = &attempt.incarnation;
            let relay = attempt.relay.as_ref();
            let way = relay.map_or_else(String::new, |peer| format!(":by-{}", peer.vm));
            match attempt.ended {
                Some((outcome, at)) => {
                    let took = at.saturating_sub(attempt.started_at).as_millis();
                    format!("{incarnation}:{}:{took}ms{way}", outcome.as_str())
                }
                None => format!("{incarnation}:running{way}"),
            }
        });
        texts.collect::<Vec<_>>().join(",")
    }
}

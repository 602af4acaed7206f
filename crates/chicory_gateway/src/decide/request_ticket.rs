//! One request on its way.

use std::collections::BTreeSet;
use std::sync::Arc;

use chicory_directory::RequestFingerprint;
use chicory_ranges::{Key, ServerIncarnation};
use chicory_routes::{MatchedRoute, RouteTableVersion};
use chicory_types::{MonoTime, ServiceName};

use super::{AttemptOutcome, RefusalReason};

/// One attempt to have a request served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// When it was chosen.
    pub started_at: MonoTime,
    /// What became of it, and when.
    pub ended: Option<(AttemptOutcome, MonoTime)>,
}

/// One request on its way.
#[derive(Debug)]
pub struct RequestTicket {
    pub(crate) route: Arc<MatchedRoute>,
    pub(crate) routes_version: RouteTableVersion,
    pub(crate) service: ServiceName,
    pub(crate) key: Option<Key>,
    pub(crate) arrived_at: MonoTime,
    /// When the caller, or the route, waits no longer.
    pub(crate) ends_at: MonoTime,
    /// When the caller waits no longer.
    pub(crate) caller_ends_at: MonoTime,
    pub(crate) fingerprint: Option<RequestFingerprint>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) may_have_run: bool,
    /// When it first had to wait for an owner.
    pub(crate) waiting_since: Option<MonoTime>,
    /// Not before this moment, unless the directory changes.
    pub(crate) not_before: MonoTime,
}

impl RequestTicket {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &MatchedRoute {
        &self.route
    }

    /// Version of the route table that the request is served by.
    #[must_use]
    pub fn routes_version(&self) -> RouteTableVersion {
        self.routes_version
    }

    /// The service that it goes to.
    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// When it arrived.
    #[must_use]
    pub fn arrived_at(&self) -> MonoTime {
        self.arrived_at
    }

    /// When the caller, or the route, waits no longer.
    #[must_use]
    pub fn ends_at(&self) -> MonoTime {
        self.ends_at
    }

    /// Sets the hash of what makes two requests the same to a server.
    pub fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// Why there is no server left to send the request to.
    pub(crate) fn reason_after_attempts(&self) -> RefusalReason {
        match self.attempts.last().and_then(|attempt| attempt.ended) {
            Some((AttemptOutcome::Shed | AttemptOutcome::TurnedAway, _)) => {
                RefusalReason::Overloaded
            }
            Some(_) => RefusalReason::Unreachable,
            None => RefusalReason::NoServer,
        }
    }

    /// Number of further servers that the request may be sent to.
    pub(crate) fn attempts_left(&self) -> usize {
        let sent = self.attempts.iter();
        let distinct: BTreeSet<&ServerIncarnation> =
            sent.map(|attempt| &attempt.incarnation).collect();
        let limit = usize::try_from(self.route.route.attempt_limit()).unwrap_or(usize::MAX);
        limit.saturating_sub(distinct.len())
    }

    /// A short account of the attempts, for logs.
    #[must_use]
    pub fn attempts_text(&self) -> String {
        let texts = self.attempts.iter().map(|attempt| match attempt.ended {
            Some((outcome, at)) => {
                let took = at.saturating_sub(attempt.started_at);
                let (incarnation, outcome_name) = (&attempt.incarnation, outcome.as_str());
                format!("{incarnation}:{outcome_name}:{}ms", took.as_millis())
            }
            None => format!("{}:running", attempt.incarnation),
        });
        texts.collect::<Vec<_>>().join(",")
    }
}

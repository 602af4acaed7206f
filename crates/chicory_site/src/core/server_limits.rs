//! Rate limits of backend servers, and the permits that entry VMs request for them.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{PermitAnswer, PermitRequest, ReportedLimit, ServerLimitUpdate};
use chicory_policy::{
    LimitChange, LimitObservation, NamedLimits, PermitDecision, PermitIssuer, PermitLimit,
};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::EntryLinkId;

/// Number of a state of the limits; each change increases it by one.
pub(crate) type LimitsVersion = u64;

/// Greatest number of permits that are requested at once; an entry VM requests only a few.
const MAX_REQUESTED_PERMITS: u32 = 64;

/// Rate limits of backend servers as entry VMs report them, and the permits issued for them.
#[derive(Debug, Default)]
pub(super) struct ServerLimits {
    limits: NamedLimits<ServerIncarnation>,
    /// Version at which the limit of each server last changed.
    changed_at: BTreeMap<ServerIncarnation, LimitsVersion>,
    version: LimitsVersion,
    issuer: PermitIssuer<ServerIncarnation>,
}

impl ServerLimits {
    /// Records a limit that an entry VM reports. Returns how the limit of the server changed.
    pub(super) fn record(&mut self, now: MonoTime, reported: &ReportedLimit) -> LimitChange {
        let observation = LimitObservation {
            rate_per_s: reported.rate_per_s,
            sent_at: now.saturating_sub(reported.sent_age),
            received_at: now.saturating_sub(reported.received_age),
        };
        let change = self.limits.record(&reported.incarnation, observation);
        if change != LimitChange::Unchanged {
            self.version += 1;
            self.changed_at
                .insert(reported.incarnation.clone(), self.version);
        }
        change
    }

    pub(super) fn version(&self) -> LimitsVersion {
        self.version
    }

    /// Returns the limit of a server in requests per second, if it has one.
    pub(super) fn rate_per_s(&self, incarnation: &ServerIncarnation) -> Option<f64> {
        self.limits.rate_per_s(incarnation)
    }

    /// Returns all servers with a limit, and the limit in requests per second.
    pub(super) fn in_force(&self) -> impl Iterator<Item = (ServerIncarnation, f64)> {
        let observations = self.limits.observations();
        observations.filter_map(|(incarnation, observation)| {
            Some((incarnation.clone(), observation.rate_per_s?))
        })
    }

    /// Returns the limits that changed after version `sent`.
    pub(super) fn changes_since(&self, now: MonoTime, sent: LimitsVersion) -> Vec<ReportedLimit> {
        let changed = self.changed_at.iter().filter(|(_, at)| **at > sent);
        let changed = changed.filter_map(|(incarnation, _)| {
            let observation = self.limits.observation(incarnation)?;
            Some(ReportedLimit {
                incarnation: incarnation.clone(),
                rate_per_s: observation.rate_per_s,
                sent_age: now.saturating_sub(observation.sent_at),
                received_age: now.saturating_sub(observation.received_at),
            })
        });
        changed.collect()
    }

    /// Decides about requests for permits, the most urgent ones first. Returns the answers by link.
    /// `cold_limit` returns the limit of a server that is cold.
    pub(super) fn answer(
        &mut self,
        now: MonoTime,
        requests: Vec<(EntryLinkId, PermitRequest)>,
        cold_limit: impl Fn(&ServerIncarnation) -> Option<PermitLimit>,
    ) -> BTreeMap<EntryLinkId, ServerLimitUpdate> {
        let mut requests = requests;
        requests.sort_by_key(|(_, request)| request.rank);
        let mut updates: BTreeMap<EntryLinkId, ServerLimitUpdate> = BTreeMap::new();
        for (link, request) in requests {
            let cold_limit = cold_limit(&request.incarnation);
            let answer = self.answer_one(now, request, cold_limit);
            updates.entry(link).or_default().permits.push(answer);
        }
        updates
    }

    fn answer_one(
        &mut self,
        now: MonoTime,
        request: PermitRequest,
        cold_limit: Option<PermitLimit>,
    ) -> PermitAnswer {
        let mut granted = 0;
        let mut retry_after = Duration::ZERO;
        let count = request.count.min(MAX_REQUESTED_PERMITS);
        while granted < count {
            match self.decide(now, &request, cold_limit) {
                PermitDecision::Granted => granted += 1,
                PermitDecision::Denied(after) => {
                    retry_after = after;
                    break;
                }
            }
        }
        PermitAnswer {
            incarnation: request.incarnation,
            rank: request.rank,
            granted,
            denied: request.count - granted,
            retry_after,
        }
    }

    /// Decides about one permit by the named limit and the cold limit of the server, whichever is
    /// lower. The limit that the request states counts if neither is known.
    fn decide(
        &mut self,
        now: MonoTime,
        request: &PermitRequest,
        cold_limit: Option<PermitLimit>,
    ) -> PermitDecision {
        let incarnation = &request.incarnation;
        let rate_per_s = match self.limits.observation(incarnation) {
            Some(observation) => observation.rate_per_s,
            None => Some(request.rate_per_s),
        };
        let named_limit = rate_per_s.map(PermitLimit::named);
        let limit = match (named_limit, cold_limit) {
            (Some(named), Some(cold)) => Some(named.stricter(cold)),
            (named, cold) => named.or(cold),
        };
        match limit {
            Some(limit) => self
                .issuer
                .decide_within(now, incarnation, limit, request.rank),
            // The entry VM is about to learn that the limit was lifted.
            None => PermitDecision::Granted,
        }
    }

    /// Removes what is known of servers that have left, and limits that were lifted long ago.
    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.limits.retain(is_known);
        self.limits.remove_expired(now);
        let limits = &self.limits;
        self.changed_at
            .retain(|incarnation, _| limits.observation(incarnation).is_some());
        self.issuer.remove_unused(now);
    }

    /// Forgets all limits and permits; versions still increase, so that links notice later changes.
    pub(super) fn clear(&mut self) {
        let version = self.version;
        *self = Self::default();
        self.version = version;
    }
}

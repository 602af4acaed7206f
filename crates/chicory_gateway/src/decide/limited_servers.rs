//! Backend servers that have named a rate limit.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{PermitRequest, ReportedLimit, ServerLimitUpdate};
use chicory_policy::{
    LimitChange, LimitObservation, NamedLimits, PermitHolder, PermitStep, Rank, SenderState,
};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::{LimitNotice, ServerNotices};
use crate::Directory;

/// A rate limit of a backend server that concerns a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitInForce {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Limit of the server for all entry VMs together, in requests per second.
    pub rate_per_s: f64,
    /// Time since the latest answer that showed the limit, or since the directory said that the
    /// server is cold.
    pub age: Duration,
    /// Whether the server has the limit because it is cold.
    pub is_cold: bool,
}

/// What this entry VM sent to one backend server that has a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedServerLoad {
    /// Limit of the server.
    pub limit: LimitInForce,
    /// Requests that were sent to the server since the previous call.
    pub sent: u32,
    /// Requests that were not sent to the server because of its limit since the previous call.
    pub denied: u32,
}

/// A request that may be sent to a server with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitedRequest {
    pub(super) rank: Rank,
    /// Time at which the request began to wait for a permit of this server.
    pub(super) waiting_since: Option<MonoTime>,
}

/// What an entry VM has in common with all its requests to servers with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct EntryState {
    pub(super) entry_count: u32,
    /// Whether the control VM that is followed issues permits.
    pub(super) has_issuer: bool,
    pub(super) random_fraction: f64,
}

/// Numbers of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitedCounts {
    /// Requests that were sent.
    pub sent: u32,
    /// Requests that were not sent because of a limit.
    pub denied: u32,
}

impl LimitedCounts {
    fn record(&mut self, step: PermitStep) {
        match step {
            PermitStep::Send => self.sent += 1,
            PermitStep::Deny(_) => self.denied += 1,
            PermitStep::Wait(_) => {}
        }
    }
}

/// Backend servers that have named a rate limit or are cold, the permits to send requests to them,
/// and what was sent.
///
/// The lower one of both limits holds. The directory tells which servers are cold, so nothing in
/// answers lifts the limit of a cold server.
#[derive(Debug, Default)]
pub(super) struct LimitedServers {
    limits: NamedLimits<ServerIncarnation>,
    /// Servers whose limit changed since the previous report.
    unreported: BTreeSet<ServerIncarnation>,
    permits: BTreeMap<ServerIncarnation, PermitHolder>,
    counts: BTreeMap<ServerIncarnation, LimitedCounts>,
    /// Requests to servers that are cold.
    cold_counts: LimitedCounts,
}

impl LimitedServers {
    /// Records what an answer says.
    pub(super) fn record_limit(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
        sent_at: MonoTime,
        notices: &ServerNotices,
    ) -> LimitChange {
        let rate_per_s = match notices.limit {
            LimitNotice::Unlimited => None,
            LimitNotice::PerSecond(rate_per_s) => Some(rate_per_s),
            LimitNotice::Unreadable => return LimitChange::Unchanged,
        };
        let observation = LimitObservation {
            rate_per_s,
            sent_at,
            received_at: now,
        };
        let change = self.record(now, directory, incarnation, observation);
        if change != LimitChange::Unchanged {
            self.unreported.insert(incarnation.clone());
        }
        change
    }

    /// Records limits that other entry VMs reported and permits that were requested. Returns the
    /// limits that changed.
    pub(super) fn record_update(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        update: ServerLimitUpdate,
    ) -> Vec<(ServerIncarnation, LimitChange)> {
        let mut changes = Vec::new();
        for reported in update.limits {
            let observation = LimitObservation {
                rate_per_s: reported.rate_per_s,
                sent_at: now.saturating_sub(reported.sent_age),
                received_at: now.saturating_sub(reported.received_age),
            };
            let change = self.record(now, directory, &reported.incarnation, observation);
            if change != LimitChange::Unchanged {
                changes.push((reported.incarnation, change));
            }
        }
        for answer in update.permits {
            if let Some(holder) = self.permits.get_mut(&answer.incarnation) {
                let (granted, denied) = (answer.granted, answer.denied);
                holder.record_answer(now, answer.rank, granted, denied, answer.retry_after);
            }
        }
        changes
    }

    fn record(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
        observation: LimitObservation,
    ) -> LimitChange {
        let change = self.limits.record(incarnation, observation);
        let is_cold = directory.cold_rate_per_s(now, incarnation).is_some();
        // The permits and the own share of a cold server stay in use.
        if change == LimitChange::Lifted && !is_cold {
            self.permits.remove(incarnation);
            self.counts.remove(incarnation);
        }
        change
    }

    /// Returns the limit of a server in requests per second: the lower one of its named limit and
    /// its cold limit.
    fn rate_per_s(
        &self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
    ) -> Option<f64> {
        let named = self.limits.rate_per_s(incarnation);
        let cold = directory.cold_rate_per_s(now, incarnation);
        named.into_iter().chain(cold).reduce(f64::min)
    }

    /// Decides whether a request may be sent to a server; `None` if the server has no limit.
    pub(super) fn next_step(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
        request: LimitedRequest,
        entry: EntryState,
    ) -> Option<PermitStep> {
        let Some(rate_per_s) = self.rate_per_s(now, directory, incarnation) else {
            // What is left of a cold period must not count in the next one.
            self.permits.remove(incarnation);
            return None;
        };
        let sender = SenderState {
            rate_per_s,
            sender_count: entry.entry_count,
            has_issuer: entry.has_issuer,
            random_fraction: entry.random_fraction,
        };
        let holder = self.permits.entry(incarnation.clone()).or_default();
        let step = holder.next_step(now, request.rank, request.waiting_since, sender);
        let counts = self.counts.entry(incarnation.clone()).or_default();
        counts.record(step);
        if directory.cold_rate_per_s(now, incarnation).is_some() {
            self.cold_counts.record(step);
        }
        Some(step)
    }

    /// Whether requests to a server are denied until later.
    pub(super) fn is_denied(
        &self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
        rank: Rank,
    ) -> bool {
        let Some(holder) = self.permits.get(incarnation) else {
            return false;
        };
        holder.is_denied(now, rank) && self.rate_per_s(now, directory, incarnation).is_some()
    }

    /// Returns the limit of a server, if it has one: the lower one of its named limit and its cold
    /// limit.
    pub(super) fn limit(
        &self,
        now: MonoTime,
        directory: &Directory,
        incarnation: &ServerIncarnation,
    ) -> Option<LimitInForce> {
        let rate_per_s = self.rate_per_s(now, directory, incarnation)?;
        let named = self.limits.observation(incarnation);
        let named = named.filter(|named| named.rate_per_s == Some(rate_per_s));
        let since = match named {
            Some(named) => named.received_at,
            None => directory.cold_since(incarnation)?,
        };
        Some(LimitInForce {
            incarnation: incarnation.clone(),
            rate_per_s,
            age: now.saturating_sub(since),
            is_cold: named.is_none(),
        })
    }

    /// Returns the limits and requests for permits that have to be reported, and records that they
    /// are.
    pub(super) fn take_reports(
        &mut self,
        now: MonoTime,
        directory: &Directory,
    ) -> (Vec<ReportedLimit>, Vec<PermitRequest>) {
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        let limits = unreported.filter_map(|incarnation| {
            let observation = self.limits.observation(&incarnation)?;
            Some(ReportedLimit {
                incarnation,
                rate_per_s: observation.rate_per_s,
                sent_age: now.saturating_sub(observation.sent_at),
                received_age: now.saturating_sub(observation.received_at),
            })
        });
        let limits = limits.collect();
        let mut requests = Vec::new();
        for (incarnation, holder) in &mut self.permits {
            let named = self.limits.rate_per_s(incarnation);
            let cold = directory.cold_rate_per_s(now, incarnation);
            let Some(rate_per_s) = named.into_iter().chain(cold).reduce(f64::min) else {
                continue;
            };
            for (rank, count) in holder.take_requests(now) {
                requests.push(PermitRequest {
                    incarnation: incarnation.clone(),
                    rank,
                    count,
                    rate_per_s,
                });
            }
        }
        (limits, requests)
    }

    /// Records that another control VM is followed. It may know none of the limits and has received
    /// none of the requests for permits.
    pub(super) fn record_new_issuer(&mut self) {
        let known = self.limits.observations();
        self.unreported = known.map(|(incarnation, _)| incarnation.clone()).collect();
        for holder in self.permits.values_mut() {
            holder.record_new_issuer();
        }
    }

    /// Returns what was sent to each limited server since the previous call.
    pub(super) fn take_loads(
        &mut self,
        now: MonoTime,
        directory: &Directory,
    ) -> Vec<LimitedServerLoad> {
        let counts = std::mem::take(&mut self.counts).into_iter();
        let loads = counts.filter_map(|(incarnation, counts)| {
            Some(LimitedServerLoad {
                limit: self.limit(now, directory, &incarnation)?,
                sent: counts.sent,
                denied: counts.denied,
            })
        });
        loads.collect()
    }

    /// Returns the numbers of requests to cold servers since the previous call.
    pub(super) fn take_cold_counts(&mut self) -> LimitedCounts {
        std::mem::take(&mut self.cold_counts)
    }

    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.limits.remove_expired(now);
        self.limits.retain(&is_known);
        self.permits.retain(|incarnation, _| is_known(incarnation));
        self.counts.retain(|incarnation, _| is_known(incarnation));
        self.unreported.retain(|incarnation| is_known(incarnation));
    }
}

//! Backend servers that have named a rate limit.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_policy::{LimitChange, LimitObservation, NamedLimits};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::{LimitNotice, ServerNotices};

/// What this entry VM sent to one backend server that has a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedServerLoad {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Limit of the server for all entry VMs together, in requests per second.
    pub rate_per_s: f64,
    /// Time since the latest answer that showed the limit.
    pub limit_age: Duration,
    /// Requests that were sent to the server since the previous call.
    pub sent: u32,
}

/// Backend servers that have named a rate limit, and what was sent to them.
#[derive(Debug, Default)]
pub(super) struct LimitedServers {
    limits: NamedLimits<ServerIncarnation>,
    /// Requests sent to each limited server since the loads were last taken.
    sent: BTreeMap<ServerIncarnation, u32>,
}

impl LimitedServers {
    /// Records what an answer says.
    pub(super) fn record_notices(
        &mut self,
        now: MonoTime,
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
        self.limits.record(incarnation, observation)
    }

    pub(super) fn record_sent(&mut self, incarnation: &ServerIncarnation) {
        if self.limits.rate_per_s(incarnation).is_some() {
            *self.sent.entry(incarnation.clone()).or_default() += 1;
        }
    }

    /// Returns the limit of a server and the time since the latest answer that showed it.
    pub(super) fn limit(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
    ) -> Option<(f64, Duration)> {
        let observation = self.limits.observation(incarnation)?;
        let age = now.saturating_sub(observation.received_at);
        Some((observation.rate_per_s?, age))
    }

    /// Returns what was sent to each limited server since the previous call.
    pub(super) fn take_loads(&mut self, now: MonoTime) -> Vec<LimitedServerLoad> {
        let sent = std::mem::take(&mut self.sent).into_iter();
        let loads = sent.filter_map(|(incarnation, sent)| {
            let (rate_per_s, limit_age) = self.limit(now, &incarnation)?;
            Some(LimitedServerLoad {
                incarnation,
                rate_per_s,
                limit_age,
                sent,
            })
        });
        loads.collect()
    }

    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.limits.remove_expired(now);
        self.limits.retain(&is_known);
        self.sent.retain(|incarnation, _| is_known(incarnation));
    }
}

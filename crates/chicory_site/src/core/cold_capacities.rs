//! How much work is planned for backend servers that are or were cold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ranges::{KeyRange, KeyWeights, PlannedServer, ServerIncarnation};
use chicory_types::MonoTime;

/// Shortest cold period for which a server loses keys that it had before. Its keys move within a
/// second and have to move back afterwards, and each move costs callers a pause of up to a second,
/// so a shorter period isn't worth both.
const MIN_COLD_TO_RELIEVE: Duration = Duration::from_secs(5);
/// Time after a cold period in which a server gets further keys although no other one is
/// overloaded.
const GROWTH_TIME: Duration = Duration::from_secs(15);

/// A server whose cold limit counts in plans.
#[derive(Clone, Copy, Debug)]
struct ColdServer {
    since: MonoTime,
    /// Work that the server had when its limit began to count, in the unit of capacities.
    kept: f64,
}

/// A cold server as the planner regards it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLimit {
    /// Work that the server bears while it is cold, in the unit of capacities.
    pub(super) capacity: f64,
    /// Stated time for which it stays cold.
    pub(super) cold_for: Duration,
}

/// How much work is planned for backend servers that are or were cold.
///
/// A cold server gets no more keys than its limit bears. It keeps what it already had, unless it
/// stays cold for longer than two moves are worth, and gets its full share once it is warm.
#[derive(Debug, Default)]
pub(super) struct ColdCapacities {
    cold: BTreeMap<ServerIncarnation, ColdServer>,
    /// When the cold period of each server ended.
    warm_since: BTreeMap<ServerIncarnation, MonoTime>,
}

impl ColdCapacities {
    /// Limits the capacities of the cold servers of one service. `limits` names the cold ones.
    ///
    /// If all servers are cold, nothing is limited: there is none that could serve more keys.
    pub(super) fn limit(
        &mut self,
        now: MonoTime,
        servers: &mut [PlannedServer],
        limits: &BTreeMap<ServerIncarnation, ColdLimit>,
        owners: &[(KeyRange, ServerIncarnation)],
        weights: &KeyWeights,
    ) {
        for server in servers.iter() {
            let incarnation = &server.incarnation;
            if !limits.contains_key(incarnation) && self.cold.remove(incarnation).is_some() {
                self.warm_since.insert(incarnation.clone(), now);
            }
        }
        let are_all_cold = servers
            .iter()
            .all(|server| limits.contains_key(&server.incarnation));
        if limits.is_empty() || are_all_cold {
            return;
        }
        let total_capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        let total_weight = weights.of(KeyRange::ALL);
        for server in servers {
            let Some(limit) = limits.get(&server.incarnation) else {
                continue;
            };
            let cold = self.cold.entry(server.incarnation.clone());
            let cold = cold.or_insert_with(|| {
                let own = owners
                    .iter()
                    .filter(|(_, owner)| *owner == server.incarnation);
                let load: f64 = own.map(|(range, _)| weights.of(*range)).sum();
                ColdServer {
                    since: now,
                    kept: load / total_weight * total_capacity,
                }
            });
            let is_long =
                limit.cold_for > MIN_COLD_TO_RELIEVE || now >= cold.since + MIN_COLD_TO_RELIEVE;
            let kept = if is_long { 0.0 } else { cold.kept };
            server.capacity = server.capacity.min(limit.capacity.max(kept));
        }
    }

    /// Returns the servers that turned warm a short time ago.
    pub(super) fn growing(&self, now: MonoTime) -> BTreeSet<ServerIncarnation> {
        let warm = self.warm_since.iter();
        let recent = warm.filter(|(_, since)| now < **since + GROWTH_TIME);
        recent.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    /// Removes what no longer counts.
    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.cold.retain(|incarnation, _| is_known(incarnation));
        self.warm_since
            .retain(|_, since| now < *since + GROWTH_TIME);
    }
}

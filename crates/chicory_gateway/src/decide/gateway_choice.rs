//! Chooses a backend server for requests that any server of a service may serve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;

use super::gateway_notices::{Denial, ServerStep};
use super::server_health::ServerHealth;
use super::{Gateway, NextStep, Policy, RequestTicket};

/// Latency that is assumed for a service until one of its servers has answered.
const DEFAULT_LATENCY: Duration = Duration::from_millis(200);
/// Factor on the cost of a large request or answer that crosses availability zones, compared to one
/// within a zone. Large transfers are what fills the links between zones.
const CROSS_ZONE_COST_FACTOR: f64 = 1.8;

impl Gateway {
    pub(super) fn route_to_any_server(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
    ) -> NextStep {
        let mut denials: BTreeMap<ServerIncarnation, Denial> = BTreeMap::new();
        while let Some(record) = self.choose_server(now, ticket, &denials) {
            match self.server_step(now, ticket, &record) {
                ServerStep::Send { has_permit } => {
                    return self.send(now, ticket, &record, has_permit);
                }
                ServerStep::Wait(until) => return NextStep::Wait(until.min(ticket.deadline)),
                ServerStep::Deny(denial) => {
                    denials.insert(record.incarnation, denial);
                }
            }
        }
        let earliest = denials.values().min_by_key(|denial| denial.retry_after());
        let refusal = match earliest {
            Some(denial) => self.denial_refusal(now, ticket, *denial),
            None => self.refusal(now, ticket, ticket.reason_after_attempts()),
        };
        NextStep::Refuse(refusal)
    }

    /// Returns the server with the least expected cost, other than those that were tried or have
    /// denied the request. A server that is paused or denies requests is chosen only if there is no
    /// other.
    fn choose_server(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denials: &BTreeMap<ServerIncarnation, Denial>,
    ) -> Option<ServerRecord> {
        let awaited = ticket.awaited_server();
        let rank = ticket.route.route.rank();
        let tried: BTreeSet<&ServerIncarnation> = ticket
            .attempts
            .iter()
            .map(|attempt| &attempt.incarnation)
            .collect();
        let typical = self.typical_latency(&ticket.service);
        let mut best: Option<(bool, f64, ServerRecord)> = None;
        for record in self.directory.ready_servers(&ticket.service) {
            let health = self.health.get(&record.incarnation);
            let is_excluded = tried.contains(&record.incarnation)
                || self.leaving_since.contains_key(&record.incarnation)
                || denials.contains_key(&record.incarnation)
                || health.is_some_and(|health| health.is_gone);
            if is_excluded {
                continue;
            }
            if awaited == Some(&record.incarnation) {
                return Some(record.clone());
            }
            let is_paused = health.is_some_and(|health| health.is_paused(now))
                || self.is_zone_cut_off(now, record)
                || self.limited.is_denied(now, &record.incarnation, rank)
                || self.rests.rest(now, &record.incarnation).is_some();
            let cost = health.map_or_else(
                || ServerHealth::default().cost(record.slots, typical),
                |health| health.cost(record.slots, typical),
            );
            let is_large = ticket.route.route.kind.is_large();
            let is_in_other_zone = record.zone != self.config.zone;
            let cost = if is_large && is_in_other_zone && self.config.is_enabled(Policy::OwnZone) {
                cost * CROSS_ZONE_COST_FACTOR
            } else {
                cost
            };
            // A small random factor prevents entry VMs with the same data from choosing
            // the same server.
            let cost = cost * self.rng.random_range(0.9..1.1);
            let is_better = best
                .as_ref()
                .is_none_or(|(paused, least, _)| (is_paused, cost) < (*paused, *least));
            if is_better {
                best = Some((is_paused, cost, record.clone()));
            }
        }
        best.map(|(_, _, record)| record)
    }

    fn typical_latency(&self, service: &str) -> Duration {
        let servers = self.directory.ready_servers(service);
        let known = servers.filter_map(|record| self.health.get(&record.incarnation)?.latency());
        let (sum, count) = known.fold((Duration::ZERO, 0), |(sum, n), latency| {
            (sum + latency, n + 1)
        });
        if count == 0 {
            DEFAULT_LATENCY
        } else {
            sum / count
        }
    }
}

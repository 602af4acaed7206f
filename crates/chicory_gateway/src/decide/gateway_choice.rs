//! Chooses a backend server for requests that any server of a service may serve.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;
use rand::RngExt;

use super::gateway_notices::{Denial, ServerStep};
use super::gateway_relays::Way;
use super::server_health::ServerHealth;
use super::{Gateway, NextStep, Policy, RefusalReason, RequestTicket};

/// Latency that is assumed for a service until one of its servers has answered.
const DEFAULT_LATENCY: Duration = Duration::from_millis(200);
/// Factor on the cost of a large request or answer that crosses availability zones, compared to one
/// within a zone. Large transfers are what fills the links between zones.
pub(super) const CROSS_ZONE_COST_FACTOR: f64 = 1.8;

/// A choice of a server.
pub(super) enum Choice {
    /// This server.
    Server(ServerRecord),
    /// This server, where a slot that belongs to this entry VM is free.
    OwnSlot(ServerRecord),
    /// None until this time, unless a slot that belongs to this entry VM becomes free; this server
    /// if the request can't wait.
    Wait(ServerRecord, MonoTime),
    /// No server.
    None,
}

impl Gateway {
    pub(super) fn route_to_any_server(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
    ) -> NextStep {
        if self.is_without_way(now, ticket) {
            return NextStep::Refuse(self.refusal(now, ticket, RefusalReason::Unreachable));
        }
        let mut denials: BTreeMap<ServerIncarnation, Option<Denial>> = BTreeMap::new();
        ticket.awaits_slot = false;
        loop {
            let (record, is_own_slot) = match self.choose(now, ticket, &denials) {
                Choice::Server(record) => (record, false),
                Choice::OwnSlot(record) => (record, true),
                Choice::Wait(_, until) => {
                    ticket.awaits_slot = true;
                    self.shares.record_awaited(until);
                    return NextStep::Wait(until);
                }
                Choice::None => break,
            };
            let way = self.choose_way(now, ticket, &record, false);
            if way == Way::Cut {
                denials.insert(record.incarnation, None);
                continue;
            }
            match self.server_step(now, ticket, &record) {
                ServerStep::Send { has_permit } => {
                    self.count_for_shares(&ticket.service, is_own_slot);
                    return self.send(now, ticket, &record, way, has_permit);
                }
                ServerStep::Wait(until) => return NextStep::Wait(until.min(ticket.deadline)),
                ServerStep::Deny(denial) => {
                    denials.insert(record.incarnation, Some(denial));
                }
            }
        }
        let known = denials.values().flatten();
        let earliest = known.min_by_key(|denial| denial.retry_after());
        let refusal = match earliest {
            Some(denial) => self.denial_refusal(now, ticket, *denial),
            None if !denials.is_empty() => self.refusal(now, ticket, RefusalReason::Unreachable),
            None => self.refusal(now, ticket, ticket.reason_after_attempts()),
        };
        NextStep::Refuse(refusal)
    }

    /// Returns the server that a request should be sent to now, other than those that were tried or
    /// have denied the request (`denials`; without a denial if there is no way to the server).
    pub(super) fn choose_server(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denials: &BTreeMap<ServerIncarnation, Option<Denial>>,
    ) -> Option<ServerRecord> {
        match self.choose(now, ticket, denials) {
            Choice::Server(record) | Choice::OwnSlot(record) | Choice::Wait(record, _) => {
                Some(record)
            }
            Choice::None => None,
        }
    }

    fn choose(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denials: &BTreeMap<ServerIncarnation, Option<Denial>>,
    ) -> Choice {
        if self.service_part(&ticket.service).is_some() {
            let choice = self.choose_by_shares(now, ticket, denials);
            if !matches!(choice, Choice::None) {
                return choice;
            }
        }
        let least = self.choose_by_cost(now, ticket, denials);
        least.map_or(Choice::None, Choice::Server)
    }

    /// Whether a server can't be chosen: it was tried, has denied the request, leaves or has ended.
    pub(super) fn is_excluded(
        &self,
        ticket: &RequestTicket,
        record: &ServerRecord,
        denials: &BTreeMap<ServerIncarnation, Option<Denial>>,
    ) -> bool {
        let incarnation = &record.incarnation;
        let is_relayed = ticket.relayed_server.as_ref() == Some(incarnation);
        let mut attempts = ticket.attempts.iter();
        let was_tried = attempts.any(|attempt| attempt.incarnation == *incarnation);
        let health = self.health.get(incarnation);
        (was_tried && !is_relayed)
            || self.leaving_since.contains_key(incarnation)
            || denials.contains_key(incarnation)
            || health.is_some_and(|health| health.is_gone)
    }

    /// Returns the server with the least expected cost. A server that is paused, denies requests or
    /// can't be reached directly is chosen only if there is no other.
    fn choose_by_cost(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denials: &BTreeMap<ServerIncarnation, Option<Denial>>,
    ) -> Option<ServerRecord> {
        let rank = ticket.route.route.rank();
        let typical = self.typical_latency(&ticket.service);
        let prefers_cold = self.warm_room.is_used_up(&ticket.service);
        let mut best: Option<((bool, bool), f64, ServerRecord)> = None;
        for record in self.directory.ready_servers(&ticket.service) {
            if self.is_excluded(ticket, record, denials) {
                continue;
            }
            if ticket.prefers(&record.incarnation) {
                return Some(record.clone());
            }
            let health = self.health.get(&record.incarnation);
            let is_second = self.is_cold(now, record) != prefers_cold;
            let order = (self.is_avoided(now, record, rank), is_second);
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
                .is_none_or(|(first, least, _)| (order, cost) < (*first, *least));
            if is_better {
                best = Some((order, cost, record.clone()));
            }
        }
        best.map(|(_, _, record)| record)
    }

    /// Whether a server is chosen only if there is no other: it is paused, denies requests of this
    /// rank or can't be reached directly.
    pub(super) fn is_avoided(&self, now: MonoTime, record: &ServerRecord, rank: u32) -> bool {
        let health = self.health.get(&record.incarnation);
        health.is_some_and(|health| health.is_paused(now))
            || self.is_zone_cut_off(now, record)
            || self.reachability.is_cut(record)
            || self.is_denied(now, record, rank)
            || self.rests.rest(now, &record.incarnation).is_some()
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

//! Which server gets a request that any server of its service may serve.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_ranges::ServerLife;
use chicory_routes::RequestKind;
use chicory_types::MonoTime;
use rand::RngExt;

use super::gateway::max_idle;
use super::server_health::ServerHealth;
use super::{Gateway, RequestTicket};

/// Assumed time to an answer before there was one.
const TYPICAL_LATENCY: Duration = Duration::from_millis(200);
/// Cost of a download from another availability zone, relative to one from the own: large answers
/// are what fills the links between zones.
const FAR_DOWNLOAD_COST: f64 = 1.8;

/// Cost of a server to which a connection has to be opened first, relative to one with an idle
/// connection: opening takes a round trip, and servers bound the number of connections.
const COLD_COST: f64 = 1.25;

impl Gateway {
    /// The server with the least expected cost; paused ones only if there is no other.
    pub(super) fn choose(&mut self, now: MonoTime, ticket: &RequestTicket) -> Option<ServerRecord> {
        let tried: BTreeSet<&ServerLife> = ticket.attempts.iter().map(|a| &a.life).collect();
        let typical = self.typical_latency(&ticket.service);
        let kind = ticket.route.route.kind;
        let mut best: Option<(bool, f64, ServerRecord)> = None;
        for record in self.directory.ready_servers(&ticket.service) {
            let health = self.health.get(&record.life);
            if tried.contains(&record.life) || health.is_some_and(|health| health.is_gone) {
                continue;
            }
            let is_paused = health.is_some_and(|health| health.is_paused(now));
            let cost = health.map_or_else(
                || ServerHealth::default().cost(record.slots, typical),
                |health| health.cost(record.slots, typical),
            );
            let is_far = kind == RequestKind::Download && record.zone != self.config.zone;
            let cost = if is_far {
                cost * FAR_DOWNLOAD_COST
            } else {
                cost
            };
            let is_warm = health.is_some_and(|health| health.is_warm(now, max_idle(kind)));
            let cost = if is_warm { cost } else { cost * COLD_COST };
            // A little chance keeps entry VMs that know the same from choosing the same.
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
        let known = servers.filter_map(|record| self.health.get(&record.life)?.latency());
        let (sum, count) = known.fold((Duration::ZERO, 0), |(sum, n), latency| {
            (sum + latency, n + 1)
        });
        if count == 0 {
            TYPICAL_LATENCY
        } else {
            sum / count
        }
    }
}

//! Tells entry VMs which part of the servers' slots each of them prefers.

use std::collections::{BTreeMap, BTreeSet};

use chicory_directory::{ControlMessage, EntryReport, ServerShare, ServiceShares};
use chicory_policy::{LineSender, LineServer, SlotLine};
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ServiceName};

use super::{EntryLinkId, SiteCore, SiteNote};

/// Difference from the median up to which the speed of a server without a part is not sent.
const USUAL_SPEED_RANGE: f64 = 0.08;

impl SiteCore {
    /// Records the demand of an entry VM that follows this member.
    pub(super) fn record_demand(&mut self, link: EntryLinkId, report: &EntryReport) {
        let state = &self.state;
        self.shared_slots.record(link, report, |incarnation| {
            Some(state.server(&incarnation.server)?.service.clone())
        });
    }

    /// Records which servers state their load, on a leader.
    pub(super) fn record_stated_loads(&mut self, now: MonoTime, report: &EntryReport) {
        let state = &self.state;
        self.shared_slots.record_stated(now, report, |incarnation| {
            Some(state.server(&incarnation.server)?.service.clone())
        });
    }

    /// Sends each entry VM its shares, if they have changed.
    pub(super) fn send_shares(&mut self, now: MonoTime) {
        if !self.is_leading(now) || !self.shared_slots.take_due(now) {
            return;
        }
        let services = self.shared_slots.divided(now, self.services_without_keys());
        if services != self.divided_services {
            self.divided_services.clone_from(&services);
            let services = services.iter().cloned().collect();
            self.push_note(SiteNote::SlotsDivided { services });
        }
        let links: Vec<EntryLinkId> = self.shared_slots.members().map(|(link, _)| link).collect();
        let mut shares: BTreeMap<EntryLinkId, Vec<ServiceShares>> = BTreeMap::new();
        for service in &services {
            let parts = self.parts(now, service);
            for (link, part) in links.iter().zip(parts) {
                shares.entry(*link).or_default().push(part);
            }
        }
        for link in links {
            let is_ready = self.entries.get(&link).is_some_and(|entry| entry.is_ready);
            if !is_ready || self.busy_links.contains(&link) {
                continue;
            }
            let shares = shares.remove(&link).unwrap_or_default();
            if self.shared_slots.take_changed(now, link, &shares) {
                self.send_to_entries(vec![link], ControlMessage::ServerShares(shares));
            }
        }
    }

    fn services_without_keys(&self) -> BTreeSet<ServiceName> {
        let routes = self.state.routes();
        let services = routes.services.iter();
        let services = services.filter(|service| service.is_keyed != Some(true));
        services.map(|service| service.name.clone()).collect()
    }

    /// Returns the parts of a service's slots, in the order of the entry VMs' links.
    fn parts(&self, now: MonoTime, service: &ServiceName) -> Vec<ServiceShares> {
        let servers = self.state.servers();
        let servers = servers.filter(|record| record.service == *service);
        let records: Vec<_> = servers.filter(|record| self.may_own(now, record)).collect();
        let incarnations: Vec<ServerIncarnation> = records
            .iter()
            .map(|record| record.incarnation.clone())
            .collect();
        let speeds = self.speeds.relative(&incarnations);
        let line = records.iter().zip(&speeds).enumerate();
        let line = line.map(|(id, (record, speed))| LineServer {
            id,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            speed: *speed,
        });
        let senders = self.shared_slots.members().map(|(link, demand)| {
            let entry = self.entries.get(&link);
            LineSender {
                zone: entry.map_or_else(String::new, |entry| entry.zone.clone()),
                demand: demand.rate_per_s(service),
            }
        });
        let senders: Vec<LineSender> = senders.collect();
        let parts = SlotLine::new(line.collect()).parts(&senders);
        let parts = parts.into_iter().map(|part| {
            let slots: BTreeMap<usize, f64> = part.into_iter().collect();
            let servers = incarnations.iter().zip(&speeds).enumerate();
            let shares = servers.filter_map(|(id, (incarnation, speed))| {
                let slots = slots.get(&id).copied();
                let is_usual = (speed - 1.0).abs() < USUAL_SPEED_RANGE;
                if slots.is_none() && is_usual {
                    return None;
                }
                Some(ServerShare {
                    incarnation: incarnation.clone(),
                    slots: slots.unwrap_or_default(),
                    speed: *speed,
                })
            });
            ServiceShares {
                service: service.clone(),
                shares: shares.collect(),
            }
        });
        parts.collect()
    }
}

//! The parts of servers' slots that an entry VM prefers.

use std::collections::BTreeMap;

use chicory_directory::ServiceShares;
use chicory_types::{MonoTime, ServiceName};

use super::ShareCounts;
use super::service_part::ServicePart;

/// The parts of servers' slots that an entry VM prefers, as the leader sent them last.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareState {
    services: BTreeMap<ServiceName, ServicePart>,
    received_at: Option<MonoTime>,
    /// Until when a request may wait for a slot; without any, nobody has to be told of free slots.
    awaited_until: MonoTime,
    pub(crate) counts: ShareCounts,
}

impl ShareState {
    /// Replaces the parts. Averages of services that are still named are kept.
    pub(crate) fn replace(&mut self, now: MonoTime, services: Vec<ServiceShares>) {
        self.received_at = Some(now);
        let mut previous = std::mem::take(&mut self.services);
        for shares in services {
            let mut part = previous.remove(&shares.service).unwrap_or_default();
            part.replace(shares.shares);
            self.services.insert(shares.service, part);
        }
    }

    pub(crate) fn part(&self, service: &str) -> Option<&ServicePart> {
        self.services.get(service)
    }

    pub(crate) fn part_mut(&mut self, service: &str) -> Option<&mut ServicePart> {
        self.services.get_mut(service)
    }

    pub(crate) fn received_at(&self) -> Option<MonoTime> {
        self.received_at
    }

    pub(crate) fn record_awaited(&mut self, until: MonoTime) {
        self.counts.awaited += 1;
        self.awaited_until = self.awaited_until.max(until);
    }

    pub(crate) fn has_awaited(&self, now: MonoTime) -> bool {
        now < self.awaited_until
    }
}

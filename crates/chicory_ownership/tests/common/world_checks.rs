//! Invariants that are checked after each step.

use std::collections::BTreeSet;

use chicory_ownership::SlotOwner;
use chicory_types::Slot;

use super::fixtures::{ARCHIVE, BOARD};
use super::world::World;

/// Slots that are checked: the first and last slot of each zone's share and some in between.
const SAMPLED_SLOTS: [Slot; 10] = [
    0, 1_365, 2_731, 5_460, 5_461, 8_192, 10_922, 10_923, 13_653, 16_383,
];

impl World {
    pub fn check(&self) {
        self.check_dispatchers();
        for service in [BOARD, ARCHIVE] {
            for slot in SAMPLED_SLOTS {
                let owners = self.owners(service, slot);
                assert!(
                    owners.len() <= 1,
                    "at {:?} slot {slot} of {service} has owners {owners:?}",
                    self.now
                );
            }
        }
        self.check_tables();
        for (order_key, runs) in &self.runs {
            assert!(
                runs.len() <= 1,
                "order {order_key} was granted to several claimants: {runs:?}"
            );
        }
    }

    fn check_dispatchers(&self) {
        for server in &self.servers {
            let name = &server.record.server;
            let dispatchers: Vec<_> = self
                .entries
                .iter()
                .filter(|entry| entry.dispatches_to(self.now, name))
                .map(|entry| (&entry.record.vm, entry.record.incarnation))
                .collect();
            assert!(
                dispatchers.len() <= 1,
                "at {:?} {name} has dispatchers {dispatchers:?}",
                self.now
            );
        }
    }

    /// Returns the servers that own the slot now, according to their own state or to that of their
    /// dispatcher.
    pub fn owners(&self, service: &str, slot: Slot) -> BTreeSet<String> {
        let mut owners = BTreeSet::new();
        for server in self.servers.iter().filter(|s| s.record.service == service) {
            if server.owns(self.now, slot) {
                owners.insert(server.record.server.clone());
            }
        }
        for entry in &self.entries {
            let owner = entry.holds.get(service).and_then(|holds| holds.get(slot));
            if let Some(SlotOwner::Owned { server, .. }) = owner
                && entry.dispatches_to(self.now, server)
            {
                owners.insert(server.clone());
            }
        }
        owners
    }

    /// Describes the state of a slot in each group and each entry process.
    pub fn describe(&self, service: &str, slot: Slot) -> String {
        let service = service.to_owned();
        let custody = self.global.state.custody().get(&service);
        let mut lines = vec![format!("global: {:?}", custody.and_then(|c| c.get(slot)))];
        for (zone, group) in &self.zones {
            let custody = group.state.custody(&service).and_then(|c| c.get(slot));
            let hold = group.state.holds(&service).and_then(|h| h.get(slot));
            let sealed = group.state.sealed().get(&service).and_then(|s| s.get(slot));
            lines.push(format!("{zone}: {custody:?} {hold:?} sealed {sealed:?}"));
            for (server, entry) in group.state.servers() {
                lines.push(format!(
                    "  {server} {:?} {}",
                    entry.dispatcher, entry.record.draining
                ));
            }
        }
        for entry in &self.entries {
            let owner = entry.holds.get(&service).and_then(|h| h.get(slot));
            let has_lease = entry.has_lease(self.now);
            lines.push(format!("{} {has_lease}: {owner:?}", entry.record.vm));
        }
        lines.join("\n")
    }

    /// Returns the running server to which a request for the slot would be sent now.
    pub fn serving(&self, service: &str, slot: Slot) -> Option<String> {
        self.entries.iter().find_map(|entry| {
            let owner = entry.holds.get(service)?.get(slot)?;
            let SlotOwner::Owned { server, .. } = owner else {
                return None;
            };
            let model = self.servers.iter().find(|s| s.record.server == *server)?;
            let is_up = model.is_alive && self.now >= model.frozen_until;
            let is_sent = entry.dispatches_to(self.now, server) && self.now >= entry.paused_until;
            (is_up && is_sent).then(|| server.clone())
        })
    }

    /// Checks that the table in force in each zone has the content that was accepted under its
    /// revision.
    fn check_tables(&self) {
        for group in self.zones.values() {
            let table = group.state.table();
            assert!(table.revision == 0 || self.tables[&table.revision] == *table);
        }
    }
}

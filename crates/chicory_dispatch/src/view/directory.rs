//! The current view, built from all view changes: which server owns which slots, and which entry
//! process dispatches to it.

use std::collections::{BTreeMap, BTreeSet};

use chicory_ownership::{EntryRecord, ServerRecord, SlotOwner, ViewChange, ViewUpdate};
use chicory_table::{ServerOverride, ServicePolicy, Table};
use chicory_types::{ServerId, ServiceName, Slot, SlotRun, ViewVersion, ZoneName};

use crate::view::{DirectoryServer, ServerSlots, SlotMap, SlotState};

/// Index of a backend server in the directory; it doesn't change for the lifetime of the process.
pub type ServerIndex = usize;

/// The view of the availability zone that the zone group keeps up to date.
///
/// Backend servers are identified by [`ServerIndex`], so that routing compares integers instead of
/// names.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: ViewVersion,
    table: Table,
    index_by_id: BTreeMap<ServerId, ServerIndex>,
    servers: Vec<DirectoryServer>,
    by_service: BTreeMap<ServiceName, Vec<ServerIndex>>,
    slots: BTreeMap<ServiceName, SlotMap>,
    zones: BTreeMap<ZoneName, Vec<EntryRecord>>,
    quarantined: BTreeSet<u64>,
}

impl Directory {
    /// Returns the version of the view.
    #[must_use]
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the policy of a service; `None` if the table has no such service.
    #[must_use]
    pub fn policy(&self, service: &str) -> Option<&ServicePolicy> {
        self.table.services.get(service)
    }

    /// Returns the server with this index.
    #[must_use]
    pub fn server(&self, index: ServerIndex) -> Option<&DirectoryServer> {
        self.servers.get(index)
    }

    /// Returns the server with this id.
    #[must_use]
    pub fn server_by_id(&self, id: &str) -> Option<&DirectoryServer> {
        self.servers.get(*self.index_by_id.get(id)?)
    }

    /// Returns the index of the server with this id.
    #[must_use]
    pub fn server_index(&self, id: &str) -> Option<ServerIndex> {
        self.index_by_id.get(id).copied()
    }

    /// Returns all servers that were ever known, in the order of their indices.
    #[must_use]
    pub fn servers(&self) -> &[DirectoryServer] {
        &self.servers
    }

    /// Returns the servers of a service that are registered in this zone.
    #[must_use]
    pub fn servers_of(&self, service: &str) -> &[ServerIndex] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the table's override for a server.
    #[must_use]
    pub fn override_of(&self, record: &ServerRecord) -> ServerOverride {
        let of_service = self.table.overrides.get(&record.service);
        of_service
            .and_then(|servers| servers.get(&record.server))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the relative share of load of a server; 0 for one that is removed or draining.
    #[must_use]
    pub fn weight(&self, index: ServerIndex) -> u32 {
        let Some(record) = self.servers.get(index).and_then(|s| s.record.as_ref()) else {
            return 0;
        };
        if record.draining {
            return 0;
        }
        let of_service = self.policy(&record.service).map_or(0, |p| p.weight);
        self.override_of(record).weight.unwrap_or(of_service)
    }

    /// Returns the state of a slot, with its owner.
    #[must_use]
    pub fn slot(&self, service: &str, slot: Slot) -> SlotState {
        self.slots
            .get(service)
            .map_or(SlotState::Unowned, |map| map.owner(slot))
    }

    /// Returns the zone that has custody of a slot.
    #[must_use]
    pub fn custodian(&self, service: &str, slot: Slot) -> Option<&ZoneName> {
        self.slots.get(service)?.custodian(slot)
    }

    /// Returns the entry processes of a zone.
    #[must_use]
    pub fn entries(&self, zone: &str) -> &[EntryRecord] {
        self.zones.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the entry process on `vm` in `zone`.
    #[must_use]
    pub fn entry(&self, zone: &str, vm: &str) -> Option<&EntryRecord> {
        self.entries(zone).iter().find(|entry| entry.vm == vm)
    }

    /// Returns whether requests with this fingerprint are refused.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// Returns the slots that a server owns, with their fencing tokens, and those that it has to
    /// release.
    #[must_use]
    pub fn server_slots(&self, service: &str, server: ServerIndex) -> ServerSlots {
        self.slots
            .get(service)
            .map_or_else(ServerSlots::default, |map| map.server_slots(server))
    }

    /// Applies the changes of an update.
    pub(crate) fn apply(&mut self, update: ViewUpdate) {
        for change in update.changes {
            self.apply_change(change);
        }
        self.version = update.version;
    }

    fn apply_change(&mut self, change: ViewChange) {
        match change {
            ViewChange::Reset => self.reset(),
            ViewChange::TableInForce(table) => self.table = table,
            ViewChange::ServerUpserted(record) => self.upsert(record),
            ViewChange::ServerRemoved(id) => self.remove(&id),
            ViewChange::DispatcherAssigned { server, vm, epoch } => {
                let index = self.index_of(&server);
                self.servers[index].dispatcher = vm;
                self.servers[index].epoch = epoch;
            }
            ViewChange::SlotsAssigned {
                service,
                runs,
                owner,
            } => self.assign(service, &runs, owner),
            ViewChange::CustodyAssigned {
                service,
                runs,
                zone,
                ..
            } => self
                .slots
                .entry(service)
                .or_default()
                .set_custodian(&runs, &zone),
            ViewChange::ZoneEntries { zone, entries } => {
                self.zones.insert(zone, entries);
            }
            ViewChange::Quarantined { fingerprint } => {
                self.quarantined.insert(fingerprint);
            }
            ViewChange::QuarantineLifted { fingerprint } => {
                self.quarantined.remove(&fingerprint);
            }
        }
    }

    fn reset(&mut self) {
        for server in &mut self.servers {
            server.record = None;
            server.dispatcher = None;
        }
        self.table = Table::default();
        self.by_service.clear();
        self.slots.clear();
        self.zones.clear();
        self.quarantined.clear();
    }

    fn index_of(&mut self, id: &str) -> ServerIndex {
        if let Some(index) = self.index_by_id.get(id) {
            return *index;
        }
        let index = self.servers.len();
        self.index_by_id.insert(id.to_owned(), index);
        self.servers.push(DirectoryServer {
            id: id.to_owned(),
            record: None,
            dispatcher: None,
            epoch: 0,
        });
        index
    }

    fn upsert(&mut self, record: ServerRecord) {
        let index = self.index_of(&record.server);
        self.remove_from_service(index);
        let service_servers = self.by_service.entry(record.service.clone()).or_default();
        service_servers.push(index);
        service_servers.sort_unstable();
        self.servers[index].record = Some(record);
    }

    fn remove(&mut self, id: &str) {
        let index = self.index_of(id);
        self.remove_from_service(index);
        self.servers[index].record = None;
        self.servers[index].dispatcher = None;
    }

    fn remove_from_service(&mut self, index: ServerIndex) {
        let Some(record) = &self.servers[index].record else {
            return;
        };
        if let Some(service_servers) = self.by_service.get_mut(&record.service) {
            service_servers.retain(|other| *other != index);
        }
    }

    fn assign(&mut self, service: ServiceName, runs: &[SlotRun], owner: SlotOwner) {
        let state = match owner {
            SlotOwner::Unowned => SlotState::Unowned,
            SlotOwner::Owned { server, token } => SlotState::Owned {
                server: self.index_of(&server),
                token,
            },
            SlotOwner::Releasing { server, token } => SlotState::Releasing {
                server: self.index_of(&server),
                token,
            },
        };
        self.slots.entry(service).or_default().assign(runs, state);
    }
}

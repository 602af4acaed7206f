//! Snapshot of the global group's state.

use std::collections::BTreeMap;

use chicory_table::{TableStore, TableStoreSnapshot};
use chicory_types::{EditId, LogIndex, Revision, ServiceName, ZoneName};

use super::global_state::{GlobalState, ZoneStatus};
use crate::{Custody, CustodyHandover, CustodyRun, RunMap};

/// Revision of the table at which the custody lease of a service last changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseChange {
    /// The service.
    pub service: ServiceName,
    /// The revision.
    pub revision: Revision,
}

/// State of the global group as plain data, for snapshots of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GlobalSnapshot {
    /// Index of the last applied command.
    pub applied: LogIndex,
    /// Table, remembered edits and audit trail.
    pub store: TableStoreSnapshot,
    /// Last change of the custody lease of each service.
    pub lease_changes: Vec<LeaseChange>,
    /// Registered zones.
    pub zones: BTreeMap<ZoneName, ZoneStatus>,
    /// Custody of all slots.
    pub custody: Vec<CustodyRun>,
    /// Version of the custody.
    pub custody_version: u64,
    /// The last custody generation that was assigned.
    pub last_generation: u64,
    /// Handovers that the receiving zone has not imported yet.
    pub handovers: Vec<CustodyHandover>,
    /// Remembered evictions, oldest first.
    pub evictions: Vec<EditId>,
}

impl GlobalState {
    /// Returns the complete state as plain data.
    #[must_use]
    pub fn snapshot(&self) -> GlobalSnapshot {
        let lease_changes = self.lease_changed_at.iter();
        GlobalSnapshot {
            applied: self.applied,
            store: self.store.snapshot(),
            lease_changes: lease_changes
                .map(|(service, revision)| LeaseChange {
                    service: service.clone(),
                    revision: *revision,
                })
                .collect(),
            zones: self.zones.clone(),
            custody: self.custody_update(&ZoneName::new(), 0).runs,
            custody_version: self.custody_version,
            last_generation: self.last_generation,
            handovers: self.handovers.clone(),
            evictions: self.evictions.iter().cloned().collect(),
        }
    }

    /// Restores a state from its snapshot.
    #[must_use]
    pub fn restore(snapshot: GlobalSnapshot) -> Self {
        let mut custody: BTreeMap<ServiceName, RunMap<Custody>> = BTreeMap::new();
        for listed in snapshot.custody {
            let runs = custody.entry(listed.service).or_default();
            runs.set(listed.run, listed.custody);
        }
        let lease_changes = snapshot.lease_changes.into_iter();
        Self {
            applied: snapshot.applied,
            store: TableStore::restore(snapshot.store),
            lease_changed_at: lease_changes.map(|c| (c.service, c.revision)).collect(),
            zones: snapshot.zones,
            custody,
            custody_version: snapshot.custody_version,
            last_generation: snapshot.last_generation,
            handovers: snapshot.handovers,
            evictions: snapshot.evictions.into(),
        }
    }
}

//! Snapshot of a zone group's state.

use std::collections::BTreeMap;

use chicory_table::Table;
use chicory_types::{LogIndex, ServiceName, SlotRun, ViewVersion, VmId, ZoneName};

use super::view_log::ViewLog;
use super::zone_state::{ServerEntry, SlotHold, ZoneState};
use crate::{ClaimRecord, ClaimRegistry, CustodyRun, EntryRecord, Quarantine, RunMap, Suspect};

/// Hold on a run of slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotHoldRun {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// The hold.
    pub hold: SlotHold,
}

/// Number associated with a run of slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotMark {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// The number.
    pub value: u64,
}

/// State of a zone group as plain data, for snapshots of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSnapshot {
    /// The zone.
    pub zone: ZoneName,
    /// Number of times its group has been formed.
    pub group_epoch: u64,
    /// Index of the last applied command.
    pub applied: LogIndex,
    /// Log clock in milliseconds.
    pub clock_ms: u64,
    /// The table in force.
    pub table: Table,
    /// Version of the custody.
    pub custody_version: u64,
    /// Custody of all slots.
    pub custody: Vec<CustodyRun>,
    /// Sealed slots, which accept no claims, with the generation of their custody.
    pub sealed: Vec<SlotMark>,
    /// Slots whose claims were lost, with the log clock until which their orders are refused.
    pub history_lost: Vec<SlotMark>,
    /// Entry processes of other zones.
    pub directory: BTreeMap<ZoneName, Vec<EntryRecord>>,
    /// Entry processes of the zone.
    pub entries: BTreeMap<VmId, EntryRecord>,
    /// Registered servers.
    pub servers: Vec<ServerEntry>,
    /// Number of dispatcher assignments by this group.
    pub dispatcher_epoch: u64,
    /// Holds on slots.
    pub holds: Vec<SlotHoldRun>,
    /// The last token counter that was used.
    pub token_counter: u64,
    /// Order claims.
    pub claims: Vec<ClaimRecord>,
    /// Suspects by fingerprint.
    pub suspects: BTreeMap<u64, Suspect>,
    /// Version of the view.
    pub view_version: ViewVersion,
}

impl ZoneState {
    /// Returns the complete state as plain data, without the log of recent view changes.
    #[must_use]
    pub fn snapshot(&self) -> ZoneSnapshot {
        ZoneSnapshot {
            zone: self.zone.clone(),
            group_epoch: self.group_epoch,
            applied: self.applied,
            clock_ms: self.clock_ms,
            table: self.table.clone(),
            custody_version: self.custody_version,
            custody: list_runs(&self.custody, |service, run, custody| CustodyRun {
                service,
                run,
                custody: custody.clone(),
            }),
            sealed: list_runs(&self.sealed, |service, run, value| {
                slot_mark(service, run, *value)
            }),
            history_lost: list_runs(&self.history_lost, |service, run, value| {
                slot_mark(service, run, *value)
            }),
            directory: self.directory.clone(),
            entries: self.entries.clone(),
            servers: self.servers.values().cloned().collect(),
            dispatcher_epoch: self.dispatcher_epoch,
            holds: list_runs(&self.holds, |service, run, hold| SlotHoldRun {
                service,
                run,
                hold: hold.clone(),
            }),
            token_counter: self.token_counter,
            claims: self.claims.claims().cloned().collect(),
            suspects: self.quarantine.suspects().clone(),
            view_version: self.view.version(),
        }
    }

    /// Restores a state from its snapshot.
    ///
    /// The log of recent view changes is empty then, so entry processes whose view is behind get
    /// the full view.
    #[must_use]
    pub fn restore(snapshot: ZoneSnapshot) -> Self {
        let servers = snapshot.servers.into_iter();
        Self {
            zone: snapshot.zone,
            group_epoch: snapshot.group_epoch,
            applied: snapshot.applied,
            clock_ms: snapshot.clock_ms,
            table: snapshot.table,
            custody_version: snapshot.custody_version,
            custody: map_runs(
                snapshot
                    .custody
                    .into_iter()
                    .map(|c| (c.service, c.run, c.custody)),
            ),
            sealed: map_runs(snapshot.sealed.into_iter().map(slot_mark_parts)),
            history_lost: map_runs(snapshot.history_lost.into_iter().map(slot_mark_parts)),
            directory: snapshot.directory,
            entries: snapshot.entries,
            servers: servers.map(|e| (e.record.server.clone(), e)).collect(),
            dispatcher_epoch: snapshot.dispatcher_epoch,
            holds: map_runs(
                snapshot
                    .holds
                    .into_iter()
                    .map(|h| (h.service, h.run, h.hold)),
            ),
            token_counter: snapshot.token_counter,
            claims: ClaimRegistry::restore(snapshot.claims),
            quarantine: Quarantine::restore(snapshot.suspects),
            view: ViewLog::new(snapshot.view_version),
        }
    }
}

fn list_runs<T: Clone + PartialEq, R>(
    maps: &BTreeMap<ServiceName, RunMap<T>>,
    convert: impl Fn(ServiceName, SlotRun, &T) -> R,
) -> Vec<R> {
    let mut listed = Vec::new();
    for (service, runs) in maps {
        let converted = runs.iter().map(|(run, v)| convert(service.clone(), run, v));
        listed.extend(converted);
    }
    listed
}

fn map_runs<T: Clone + PartialEq>(
    listed: impl Iterator<Item = (ServiceName, SlotRun, T)>,
) -> BTreeMap<ServiceName, RunMap<T>> {
    let mut maps: BTreeMap<ServiceName, RunMap<T>> = BTreeMap::new();
    for (service, run, value) in listed {
        maps.entry(service).or_default().set(run, value);
    }
    maps
}

fn slot_mark(service: ServiceName, run: SlotRun, value: u64) -> SlotMark {
    SlotMark {
        service,
        run,
        value,
    }
}

fn slot_mark_parts(mark: SlotMark) -> (ServiceName, SlotRun, u64) {
    (mark.service, mark.run, mark.value)
}

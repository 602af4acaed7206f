//! Replicated state of a zone group.

use std::collections::BTreeMap;

use chicory_table::Table;
use chicory_types::{
    FencingToken, Incarnation, LogIndex, ServerId, ServiceName, Slot, SlotRun, ViewVersion, VmId,
    ZoneName,
};

use super::view_log::ViewLog;
use crate::{
    ClaimRegistry, Custody, EntryRecord, Quarantine, RunMap, ServerRecord, SlotOwner, ViewChange,
    ViewUpdate, ZoneCommand, ZoneOutcome,
};

/// The only entry process that may send requests to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatcher {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Version of the view at which it became the dispatcher.
    pub since: ViewVersion,
}

/// Registered backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its latest registered announcement.
    pub record: ServerRecord,
    /// Its dispatcher, if any.
    pub dispatcher: Option<Dispatcher>,
    /// Epoch of its last dispatcher assignment, or 0 if it never had a dispatcher.
    pub epoch: u64,
}

/// Hold of a backend server on a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotHold {
    /// The server.
    pub server: ServerId,
    /// Token of the assignment.
    pub token: FencingToken,
    /// Version of the view from which the server must release the slot. `None` while it owns the
    /// slot.
    pub releasing_since: Option<ViewVersion>,
}

impl SlotHold {
    /// Returns the hold as entry processes see it.
    #[must_use]
    pub fn owner(&self) -> SlotOwner {
        let server = self.server.clone();
        let token = self.token;
        if self.releasing_since.is_some() {
            return SlotOwner::Releasing { server, token };
        }
        SlotOwner::Owned { server, token }
    }
}

/// Replicated state of a zone group: servers, dispatchers, slots and claims of one availability
/// zone.
///
/// It is a pure function of the log. It uses no clock and no randomness, so all replicas agree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneState {
    pub(super) zone: ZoneName,
    pub(super) group_epoch: u64,
    pub(super) applied: LogIndex,
    pub(super) clock_ms: u64,
    pub(super) table: Table,
    pub(super) custody_version: u64,
    pub(super) custody: BTreeMap<ServiceName, RunMap<Custody>>,
    pub(super) sealed: BTreeMap<ServiceName, RunMap<u64>>,
    /// Log clock until which orders of the slots are refused.
    pub(super) history_lost: BTreeMap<ServiceName, RunMap<u64>>,
    pub(super) directory: BTreeMap<ZoneName, Vec<EntryRecord>>,
    pub(super) entries: BTreeMap<VmId, EntryRecord>,
    pub(super) servers: BTreeMap<ServerId, ServerEntry>,
    /// Number of dispatcher assignments by this group, used as the low part of their epochs.
    pub(super) dispatcher_epoch: u64,
    pub(super) holds: BTreeMap<ServiceName, RunMap<SlotHold>>,
    pub(super) token_counter: u64,
    pub(super) claims: ClaimRegistry,
    pub(super) quarantine: Quarantine,
    pub(super) view: ViewLog,
}

/// Low bits of a view version, which count changes. The high bits hold the epoch of the group.
const VIEW_COUNTER_BITS: u32 = 32;

/// Maximum number of slots of a service that are moved to other zones at a time. Slots in transfer
/// are out of service, and the claims of one batch must fit into a message of ordinary size.
pub const MAX_TRANSFER_SLOTS: u16 = 1_024;

impl ZoneState {
    /// Creates the empty state of a group.
    ///
    /// `group_epoch` grows each time the zone's group is re-formed, so that view versions of
    /// different groups are never confused.
    #[must_use]
    pub fn new(zone: ZoneName, group_epoch: u64) -> Self {
        Self {
            zone,
            group_epoch,
            applied: 0,
            clock_ms: 0,
            table: Table::default(),
            custody_version: 0,
            custody: BTreeMap::new(),
            sealed: BTreeMap::new(),
            history_lost: BTreeMap::new(),
            directory: BTreeMap::new(),
            entries: BTreeMap::new(),
            servers: BTreeMap::new(),
            dispatcher_epoch: 0,
            holds: BTreeMap::new(),
            token_counter: 0,
            claims: ClaimRegistry::default(),
            quarantine: Quarantine::default(),
            view: ViewLog::new((group_epoch << VIEW_COUNTER_BITS) + 1),
        }
    }

    /// Applies the command at `index` and returns its outcome. Commands at indexes that were
    /// already applied change nothing.
    pub fn apply(&mut self, index: LogIndex, command: &ZoneCommand) -> ZoneOutcome {
        if index <= self.applied {
            return ZoneOutcome::Stale;
        }
        self.applied = index;
        match command {
            ZoneCommand::AdoptTable { table } => self.adopt_table(table),
            ZoneCommand::AdoptCustody { update, at_ms } => self.adopt_custody(update, *at_ms),
            ZoneCommand::AdoptDirectory { zones } => self.adopt_directory(zones),
            ZoneCommand::RegisterServer { record } => self.register_server(record),
            ZoneCommand::RemoveServer {
                server,
                incarnation,
            } => self.remove_server(server, *incarnation),
            ZoneCommand::RegisterEntry { record } => self.register_entry(record),
            ZoneCommand::RemoveEntry { vm, incarnation } => self.remove_entry(vm, *incarnation),
            ZoneCommand::ReleaseDispatcher {
                server,
                vm,
                incarnation,
                epoch,
            } => self.release_dispatcher(server, vm, *incarnation, *epoch),
            ZoneCommand::AssignDispatcher {
                server,
                vm,
                incarnation,
            } => self.assign_dispatcher(server, vm, *incarnation),
            ZoneCommand::ReleaseSlots {
                service,
                runs,
                server,
            } => self.release_slots(service, runs, server),
            ZoneCommand::ConfirmReleased {
                service,
                runs,
                server,
                token,
            } => self.confirm_released(service, runs, server, *token),
            ZoneCommand::AssignSlots {
                service,
                runs,
                server,
            } => self.assign_slots(service, runs, server),
            ZoneCommand::SealCustody {
                service,
                run,
                generation,
            } => self.seal_custody(service, *run, *generation),
            ZoneCommand::Claim { request, at_ms } => self.claim(request, *at_ms),
            ZoneCommand::ResolveClaim {
                service,
                order_key,
                claimant,
                resolution,
            } => {
                let is_of_claimant = self
                    .claims
                    .resolve(service, order_key, claimant, resolution);
                ZoneOutcome::of_change(is_of_claimant)
            }
            ZoneCommand::AbandonClaims { vm, incarnation } => {
                self.claims.abandon(vm, *incarnation);
                ZoneOutcome::Applied
            }
            ZoneCommand::CountCrash {
                server,
                fingerprints,
                was_alone,
                at_ms,
            } => self.count_crash(server, fingerprints, *was_alone, *at_ms),
            ZoneCommand::AcquitFingerprint { fingerprint } => self.acquit(*fingerprint),
            ZoneCommand::Expire { at_ms } => self.expire(*at_ms),
        }
    }

    /// Returns the changes after version `known`, or the full view if the log no longer contains
    /// all of them.
    #[must_use]
    pub fn changes_since(&self, known: ViewVersion) -> ViewUpdate {
        if let Some(update) = self.view.since(known) {
            return update;
        }
        ViewUpdate {
            version: self.view.version(),
            changes: self.full_view(),
        }
    }

    /// Returns the availability zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the number of times the zone's group has been formed.
    #[must_use]
    pub fn group_epoch(&self) -> u64 {
        self.group_epoch
    }

    /// Returns the index of the last applied command.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the greatest log clock so far, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the version of the custody in force.
    #[must_use]
    pub fn custody_version(&self) -> u64 {
        self.custody_version
    }

    /// Returns the custody of a service's slots.
    #[must_use]
    pub fn custody(&self, service: &ServiceName) -> Option<&RunMap<Custody>> {
        self.custody.get(service)
    }

    /// Returns the custody of a slot if this zone has it.
    #[must_use]
    pub fn own_custody(&self, service: &ServiceName, slot: Slot) -> Option<&Custody> {
        let custody = self.custody.get(service)?.get(slot)?;
        (custody.zone == self.zone).then_some(custody)
    }

    /// Returns the registered entry processes of this zone.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<VmId, EntryRecord> {
        &self.entries
    }

    /// Returns the entry processes of other zones.
    #[must_use]
    pub fn directory(&self) -> &BTreeMap<ZoneName, Vec<EntryRecord>> {
        &self.directory
    }

    /// Returns the registered backend servers.
    #[must_use]
    pub fn servers(&self) -> &BTreeMap<ServerId, ServerEntry> {
        &self.servers
    }

    /// Returns the holds on a service's slots.
    #[must_use]
    pub fn holds(&self, service: &ServiceName) -> Option<&RunMap<SlotHold>> {
        self.holds.get(service)
    }

    /// Returns the runs that a server owns or is still releasing.
    #[must_use]
    pub fn runs_of(&self, service: &ServiceName, server: &ServerId) -> Vec<SlotRun> {
        let holds = self.holds.get(service).into_iter().flat_map(RunMap::iter);
        let of_server = holds.filter(|(_, hold)| hold.server == *server);
        of_server.map(|(run, _)| run).collect()
    }

    /// Returns the services with slots that a server owns or is still releasing.
    #[must_use]
    pub fn held_services(&self) -> Vec<ServiceName> {
        let held = self.holds.iter().filter(|(_, holds)| !holds.is_empty());
        held.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the runs in this zone's custody that are next to move to another zone: of each
    /// service the first [`MAX_TRANSFER_SLOTS`] slots that are to move.
    #[must_use]
    pub fn pending_transfers(&self) -> Vec<(ServiceName, SlotRun, Custody)> {
        let mut transfers = Vec::new();
        for (service, runs) in &self.custody {
            let mut left = MAX_TRANSFER_SLOTS;
            let own = runs
                .iter()
                .filter(|(_, run_custody)| run_custody.zone == self.zone);
            for (run, custody) in own.filter(|(_, run_custody)| run_custody.moving_to.is_some()) {
                if left == 0 {
                    break;
                }
                let run = SlotRun::new(run.first, run.last.min(run.first + (left - 1)));
                left -= run.last - run.first + 1;
                transfers.push((service.clone(), run, custody.clone()));
            }
        }
        transfers
    }

    /// Returns the order claims.
    #[must_use]
    pub fn claims(&self) -> &ClaimRegistry {
        &self.claims
    }

    /// Returns the suspected and quarantined requests.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the version of the view.
    #[must_use]
    pub fn view_version(&self) -> ViewVersion {
        self.view.version()
    }

    /// Returns the sealed slots, which accept no more claims, with the generation of their custody.
    #[must_use]
    pub fn sealed(&self) -> &BTreeMap<ServiceName, RunMap<u64>> {
        &self.sealed
    }

    /// Returns how much longer orders of the run are refused because their claims were lost, in
    /// milliseconds.
    #[must_use]
    pub fn history_lost_ms(&self, service: &ServiceName, run: SlotRun) -> u64 {
        let Some(runs) = self.history_lost.get(service) else {
            return 0;
        };
        let until = runs.within(run).map(|(_, until)| *until).max();
        until.unwrap_or(0).saturating_sub(self.clock_ms)
    }

    /// Returns the custody of all slots by service.
    #[must_use]
    pub fn all_custody(&self) -> &BTreeMap<ServiceName, RunMap<Custody>> {
        &self.custody
    }

    /// Returns the processes with claims in progress.
    #[must_use]
    pub fn open_claimants(&self) -> Vec<(VmId, Incarnation)> {
        self.claims.open_claimants()
    }

    /// Returns whether any claim, suspect or history loss has expired.
    #[must_use]
    pub fn has_expired(&self, at_ms: u64) -> bool {
        let mut losses = self.history_lost.values().flat_map(RunMap::iter);
        self.claims.has_expired(at_ms)
            || self.quarantine.has_expired(at_ms)
            || losses.any(|(_, until_ms)| *until_ms <= at_ms)
    }

    /// Returns whether the group has ever assigned a dispatcher.
    #[must_use]
    pub fn has_assigned_dispatchers(&self) -> bool {
        self.dispatcher_epoch > 0
    }

    pub(super) fn advance_clock(&mut self, at_ms: u64) -> u64 {
        self.clock_ms = self.clock_ms.max(at_ms);
        self.clock_ms
    }

    fn full_view(&self) -> Vec<ViewChange> {
        let mut changes = vec![
            ViewChange::Reset,
            ViewChange::TableInForce(self.table.clone()),
        ];
        self.push_zones(&mut changes);
        self.push_custody(&mut changes);
        self.push_servers(&mut changes);
        self.push_holds(&mut changes);
        let fingerprints = self.quarantine.quarantined();
        changes.extend(fingerprints.map(|fingerprint| ViewChange::Quarantined { fingerprint }));
        changes
    }

    fn push_zones(&self, changes: &mut Vec<ViewChange>) {
        for (zone, entries) in &self.directory {
            changes.push(ViewChange::ZoneEntries {
                zone: zone.clone(),
                entries: entries.clone(),
            });
        }
        changes.push(self.own_entries());
    }

    fn push_custody(&self, changes: &mut Vec<ViewChange>) {
        for (service, runs) in &self.custody {
            for (run, custody) in runs.iter() {
                changes.push(ViewChange::CustodyAssigned {
                    service: service.clone(),
                    runs: vec![run],
                    zone: custody.zone.clone(),
                    generation: custody.generation,
                });
            }
        }
    }

    fn push_servers(&self, changes: &mut Vec<ViewChange>) {
        for (server, entry) in &self.servers {
            changes.push(ViewChange::ServerUpserted(entry.record.clone()));
            changes.push(ViewChange::DispatcherAssigned {
                server: server.clone(),
                vm: entry.dispatcher.as_ref().map(|d| d.vm.clone()),
                epoch: entry.epoch,
            });
        }
    }

    fn push_holds(&self, changes: &mut Vec<ViewChange>) {
        for (service, holds) in &self.holds {
            for (run, hold) in holds.iter() {
                changes.push(ViewChange::SlotsAssigned {
                    service: service.clone(),
                    runs: vec![run],
                    owner: hold.owner(),
                });
            }
        }
    }

    pub(super) fn own_entries(&self) -> ViewChange {
        ViewChange::ZoneEntries {
            zone: self.zone.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}

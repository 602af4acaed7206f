//! Replicated state of the global group.

use std::collections::{BTreeMap, VecDeque};

use chicory_table::{AuditAction, CustodyLease, EditOutcome, Table, TableEdit, TableStore};
use chicory_types::{EditId, LogIndex, Revision, ServiceName, ZoneName};

use crate::{
    Custody, CustodyHandover, CustodyRun, CustodyUpdate, GlobalCommand, GlobalOutcome, RunMap,
};

/// Replicated status of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneStatus {
    /// Number of times its group has been formed.
    pub group_epoch: u64,
    /// Revision of the table in force in the zone, as last reported.
    pub in_force_revision: Revision,
    /// Whether an operator evicted the zone and it has not been readmitted since.
    pub is_evicted: bool,
}

/// Replicated state of the global group: table, availability zones and custody.
///
/// It is a pure function of the log. It uses no clock and no randomness, so all replicas agree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GlobalState {
    pub(super) applied: LogIndex,
    pub(super) store: TableStore,
    /// Revision at which the custody lease of each service last changed.
    pub(super) lease_changed_at: BTreeMap<ServiceName, Revision>,
    pub(super) zones: BTreeMap<ZoneName, ZoneStatus>,
    pub(super) custody: BTreeMap<ServiceName, RunMap<Custody>>,
    pub(super) custody_version: u64,
    pub(super) last_generation: u64,
    pub(super) handovers: Vec<CustodyHandover>,
    pub(super) evictions: VecDeque<EditId>,
}

/// Operator name in audit records of actions that no operator requested.
const SYSTEM_OPERATOR: &str = "system";

impl GlobalState {
    /// Applies the command at `index` and returns its outcome. Commands at indexes that were
    /// already applied change nothing.
    pub fn apply(&mut self, index: LogIndex, command: &GlobalCommand) -> GlobalOutcome {
        if index <= self.applied {
            return GlobalOutcome::Stale;
        }
        self.applied = index;
        match command {
            GlobalCommand::EditTable { edit, at_ms } => self.edit_table(edit, *at_ms),
            GlobalCommand::RegisterZone {
                zone,
                group_epoch,
                at_ms,
            } => self.register_zone(zone, *group_epoch, *at_ms),
            GlobalCommand::ReportInForce { zone, revision } => {
                self.report_in_force(zone, *revision)
            }
            GlobalCommand::AssignCustody {
                service,
                runs,
                from_zone,
                to_zone,
                cause,
            } => self.assign_custody(service, runs, from_zone.as_ref(), to_zone, *cause),
            GlobalCommand::RequestCustodyMove {
                service,
                runs,
                from_zone,
                to_zone,
            } => self.request_custody_move(service, runs, from_zone, to_zone),
            GlobalCommand::ReleaseCustody { zone, release } => self.release_custody(zone, release),
            GlobalCommand::DropHandovers { zone, version } => self.drop_handovers(zone, *version),
            GlobalCommand::EvictZone {
                zone,
                operator,
                edit_id,
                at_ms,
            } => self.evict_zone(zone, operator, edit_id, *at_ms),
            GlobalCommand::ReadmitZone { zone } => self.readmit_zone(zone),
        }
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> &Table {
        self.store.table()
    }

    /// Returns the table with the remembered edits and the audit trail.
    #[must_use]
    pub fn store(&self) -> &TableStore {
        &self.store
    }

    /// Returns the index of the last applied command.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the registered zones.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<ZoneName, ZoneStatus> {
        &self.zones
    }

    /// Returns the version of the custody.
    #[must_use]
    pub fn custody_version(&self) -> u64 {
        self.custody_version
    }

    /// Returns the custody of all slots by service.
    #[must_use]
    pub fn custody(&self) -> &BTreeMap<ServiceName, RunMap<Custody>> {
        &self.custody
    }

    /// Returns the handovers that the receiving zone has not imported yet.
    #[must_use]
    pub fn handovers(&self) -> &[CustodyHandover] {
        &self.handovers
    }

    /// Returns the custody of all slots, with the handovers to `zone` that are newer than
    /// `known_version`.
    #[must_use]
    pub fn custody_update(&self, zone: &ZoneName, known_version: u64) -> CustodyUpdate {
        let is_new = |h: &&CustodyHandover| h.to_zone == *zone && h.version > known_version;
        CustodyUpdate {
            version: self.custody_version,
            runs: self.custody_runs(),
            handovers: self.handovers.iter().filter(is_new).cloned().collect(),
        }
    }

    /// Returns the custody lease that `zone` and the global group agree on for a service.
    ///
    /// A changed lease applies to a zone once the revision with the change is in force there. Until
    /// then the zone may still use the former lease, so the result is `Unlimited` and no other zone
    /// may take over its slots.
    #[must_use]
    pub fn agreed_lease(&self, zone: &ZoneName, service: &ServiceName) -> CustodyLease {
        let Some(policy) = self.table().services.get(service) else {
            return CustodyLease::Unlimited;
        };
        let changed_at = self.lease_changed_at.get(service).copied().unwrap_or(0);
        let status = self.zones.get(zone);
        if status.is_some_and(|status| status.in_force_revision >= changed_at) {
            return policy.custody_lease;
        }
        CustodyLease::Unlimited
    }

    fn custody_runs(&self) -> Vec<CustodyRun> {
        let mut listed = Vec::new();
        for (service, runs) in &self.custody {
            listed.extend(runs.iter().map(|(run, custody)| CustodyRun {
                service: service.clone(),
                run,
                custody: custody.clone(),
            }));
        }
        listed
    }

    fn edit_table(&mut self, edit: &TableEdit, at_ms: u64) -> GlobalOutcome {
        let before = self.store.table().clone();
        let outcome = self.store.apply(edit, at_ms);
        let has_changed = before.revision != self.store.revision();
        if let (EditOutcome::Accepted { revision }, true) = (&outcome, has_changed) {
            self.record_lease_changes(&before, *revision);
        }
        GlobalOutcome::Edited(outcome)
    }

    fn record_lease_changes(&mut self, before: &Table, revision: Revision) {
        for (service, policy) in &self.store.table().services {
            let former = before.services.get(service);
            if former.map(|former| former.custody_lease) != Some(policy.custody_lease) {
                self.lease_changed_at.insert(service.clone(), revision);
            }
        }
    }

    fn register_zone(&mut self, zone: &ZoneName, group_epoch: u64, at_ms: u64) -> GlobalOutcome {
        if let Some(known) = self.zones.get(zone) {
            if known.group_epoch >= group_epoch {
                return GlobalOutcome::Stale;
            }
            self.renew_generations(zone);
            let action = AuditAction::ZoneReformed { zone: zone.clone() };
            self.store.record(at_ms, &SYSTEM_OPERATOR.into(), action);
        }
        let status = ZoneStatus {
            group_epoch,
            ..ZoneStatus::default()
        };
        self.zones.insert(zone.clone(), status);
        GlobalOutcome::Applied
    }

    fn report_in_force(&mut self, zone: &ZoneName, revision: Revision) -> GlobalOutcome {
        let Some(status) = self.zones.get_mut(zone) else {
            return GlobalOutcome::Stale;
        };
        let is_later = revision > status.in_force_revision;
        status.in_force_revision = status.in_force_revision.max(revision);
        GlobalOutcome::of_change(is_later)
    }

    fn readmit_zone(&mut self, zone: &ZoneName) -> GlobalOutcome {
        let Some(status) = self.zones.get_mut(zone) else {
            return GlobalOutcome::Stale;
        };
        let was_evicted = std::mem::take(&mut status.is_evicted);
        GlobalOutcome::of_change(was_evicted)
    }
}

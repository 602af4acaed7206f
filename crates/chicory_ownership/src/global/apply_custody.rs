//! Application of commands that transfer custody between zones.

use chicory_table::{AuditAction, CustodyLease};
use chicory_types::{EditId, OperatorName, ServiceName, SlotRun, ZoneName};

use super::global_state::GlobalState;
use crate::{
    Custody, CustodyCause, CustodyHandover, CustodyRelease, GlobalOutcome, RunMap, split_evenly,
};

/// Number of evictions that are remembered, so that resent eviction requests change nothing.
const MAX_REMEMBERED_EVICTIONS: usize = 256;

impl GlobalState {
    pub(super) fn assign_custody(
        &mut self,
        service: &ServiceName,
        runs: &[SlotRun],
        from_zone: Option<&ZoneName>,
        to_zone: &ZoneName,
        cause: CustodyCause,
    ) -> GlobalOutcome {
        if !self.may_transfer_without_release(service, from_zone, to_zone, cause) {
            return GlobalOutcome::Stale;
        }
        let custody = self.custody.get(service);
        let parts = runs
            .iter()
            .flat_map(|run| parts_in_custody_of(custody, *run, from_zone));
        let parts: Vec<SlotRun> = parts.collect();
        self.transfer(service, &parts, to_zone, cause);
        GlobalOutcome::of_change(!parts.is_empty())
    }

    /// Returns whether custody may be transferred without a release: if no zone has it, or if a
    /// limited lease is in force in the zone that has it and the command is caused by its end. The
    /// new zone must be registered and not evicted.
    fn may_transfer_without_release(
        &self,
        service: &ServiceName,
        from_zone: Option<&ZoneName>,
        to_zone: &ZoneName,
        cause: CustodyCause,
    ) -> bool {
        let is_ready = |zone: &ZoneName| self.zones.get(zone).is_some_and(|s| !s.is_evicted);
        if !is_ready(to_zone) {
            return false;
        }
        let Some(from_zone) = from_zone else {
            return cause == CustodyCause::Initial;
        };
        let lease = self.agreed_lease(from_zone, service);
        cause == CustodyCause::LeaseEnded && lease != CustodyLease::Unlimited
    }

    fn transfer(
        &mut self,
        service: &ServiceName,
        parts: &[SlotRun],
        to_zone: &ZoneName,
        cause: CustodyCause,
    ) {
        if parts.is_empty() {
            return;
        }
        self.custody_version += 1;
        self.last_generation += 1;
        let custody = Custody {
            zone: to_zone.clone(),
            generation: self.last_generation,
            cause,
            moving_to: None,
        };
        let runs = self.custody.entry(service.clone()).or_default();
        for part in parts {
            runs.set(*part, custody.clone());
        }
    }

    pub(super) fn request_custody_move(
        &mut self,
        service: &ServiceName,
        runs: &[SlotRun],
        from_zone: &ZoneName,
        to_zone: &ZoneName,
    ) -> GlobalOutcome {
        let is_ready = self.zones.get(to_zone).is_some_and(|s| !s.is_evicted);
        if !is_ready || from_zone == to_zone {
            return GlobalOutcome::Stale;
        }
        let Some(custody) = self.custody.get_mut(service) else {
            return GlobalOutcome::Stale;
        };
        let mut has_changed = false;
        for run in runs {
            for part in parts_in_custody_of(Some(custody), *run, Some(from_zone)) {
                has_changed |= mark_moving(custody, part, to_zone);
            }
        }
        if has_changed {
            self.custody_version += 1;
        }
        GlobalOutcome::of_change(has_changed)
    }

    pub(super) fn release_custody(
        &mut self,
        zone: &ZoneName,
        release: &CustodyRelease,
    ) -> GlobalOutcome {
        let Some(to_zone) = self.release_target(zone, release) else {
            return GlobalOutcome::Stale;
        };
        let parts = [release.run];
        self.transfer(&release.service, &parts, &to_zone, CustodyCause::Released);
        self.handovers.push(CustodyHandover {
            version: self.custody_version,
            to_zone,
            service: release.service.clone(),
            run: release.run,
            generation: self.last_generation,
            claims: release.claims.clone(),
            history_lost_ms: release.history_lost_ms,
        });
        GlobalOutcome::Applied
    }

    /// Returns the zone that gets the released slots, or `None` unless all of them are in the
    /// custody of `zone` and are to move to the same other zone.
    fn release_target(&self, zone: &ZoneName, release: &CustodyRelease) -> Option<ZoneName> {
        let runs = self.custody.get(&release.service)?;
        let to_zone = runs.get(release.run.first)?.moving_to.clone()?;
        let is_leaving = |run_custody: &Custody| {
            run_custody.zone == *zone
                && run_custody.generation == release.generation
                && run_custody.moving_to.as_ref() == Some(&to_zone)
        };
        let has_no_gaps = runs.gaps(release.run).is_empty();
        let all_leave = runs
            .within(release.run)
            .all(|(_, run_custody)| is_leaving(run_custody));
        (has_no_gaps && all_leave).then_some(to_zone)
    }

    pub(super) fn drop_handovers(&mut self, zone: &ZoneName, version: u64) -> GlobalOutcome {
        let before = self.handovers.len();
        self.handovers
            .retain(|handover| handover.to_zone != *zone || handover.version > version);
        GlobalOutcome::of_change(self.handovers.len() != before)
    }

    pub(super) fn evict_zone(
        &mut self,
        zone: &ZoneName,
        operator: &OperatorName,
        edit_id: &EditId,
        at_ms: u64,
    ) -> GlobalOutcome {
        if self.evictions.contains(edit_id) {
            return GlobalOutcome::Applied;
        }
        let Some(status) = self.zones.get_mut(zone) else {
            return GlobalOutcome::Stale;
        };
        status.is_evicted = true;
        self.record_eviction(edit_id);
        let services: Vec<ServiceName> = self.custody.keys().cloned().collect();
        for service in services {
            self.reassign_evicted(zone, &service);
        }
        let action = AuditAction::ZoneEvicted { zone: zone.clone() };
        self.store.record(at_ms, operator, action);
        GlobalOutcome::Applied
    }

    fn reassign_evicted(&mut self, zone: &ZoneName, service: &ServiceName) {
        let targets = self.ready_zones(service);
        let runs = self.runs_of(service, zone);
        // Handovers that the evicted zone never imported are lost with it.
        self.handovers
            .retain(|h| h.to_zone != *zone || h.service != *service);
        for (to_zone, share) in split_evenly(&runs, &targets) {
            self.transfer(service, &share, &to_zone, CustodyCause::Evicted);
        }
        self.cancel_moves_to(service, zone);
    }

    fn cancel_moves_to(&mut self, service: &ServiceName, zone: &ZoneName) {
        let Some(custody) = self.custody.get_mut(service) else {
            return;
        };
        let moving_to_zone = custody
            .iter()
            .filter(|(_, run_custody)| run_custody.moving_to.as_ref() == Some(zone));
        let moving_to_zone: Vec<(SlotRun, Custody)> = moving_to_zone
            .map(|(r, run_custody)| (r, run_custody.clone()))
            .collect();
        for (run, mut custody_of_run) in moving_to_zone {
            custody_of_run.moving_to = None;
            custody.set(run, custody_of_run);
        }
    }

    fn record_eviction(&mut self, edit_id: &EditId) {
        self.evictions.push_back(edit_id.clone());
        if self.evictions.len() > MAX_REMEMBERED_EVICTIONS {
            self.evictions.pop_front();
        }
    }

    /// Returns the zones of the service that are registered and not evicted.
    #[must_use]
    pub fn ready_zones(&self, service: &ServiceName) -> Vec<ZoneName> {
        let Some(policy) = self.table().services.get(service) else {
            return Vec::new();
        };
        let is_ready = |zone: &&ZoneName| self.zones.get(*zone).is_some_and(|s| !s.is_evicted);
        policy.zones.iter().filter(is_ready).cloned().collect()
    }

    /// Returns the runs of a service that are in the custody of a zone.
    #[must_use]
    pub fn runs_of(&self, service: &ServiceName, zone: &ZoneName) -> Vec<SlotRun> {
        let Some(runs) = self.custody.get(service) else {
            return Vec::new();
        };
        let of_zone = runs.iter().filter(|(_, custody)| custody.zone == *zone);
        of_zone.map(|(run, _)| run).collect()
    }

    /// Gives all custody of a zone a new generation after its group was re-formed without its
    /// state.
    pub(super) fn renew_generations(&mut self, zone: &ZoneName) {
        let services: Vec<ServiceName> = self.custody.keys().cloned().collect();
        for service in services {
            let runs = self.runs_of(&service, zone);
            self.transfer(&service, &runs, zone, CustodyCause::Reformed);
        }
        self.handovers.retain(|h| h.to_zone != *zone);
    }
}

/// Returns the parts of `run` in the custody of `zone`, or those in no zone's custody if `zone` is
/// `None`.
fn parts_in_custody_of(
    custody: Option<&RunMap<Custody>>,
    run: SlotRun,
    zone: Option<&ZoneName>,
) -> Vec<SlotRun> {
    let Some(custody) = custody else {
        return if zone.is_none() {
            vec![run]
        } else {
            Vec::new()
        };
    };
    match zone {
        None => custody.gaps(run),
        Some(zone) => {
            let of_zone = custody
                .within(run)
                .filter(|(_, run_custody)| run_custody.zone == *zone);
            of_zone.map(|(part, _)| part).collect()
        }
    }
}

fn mark_moving(custody: &mut RunMap<Custody>, run: SlotRun, to_zone: &ZoneName) -> bool {
    let parts: Vec<(SlotRun, Custody)> = custody
        .within(run)
        .filter(|(_, run_custody)| run_custody.moving_to.is_none())
        .map(|(part, run_custody)| (part, run_custody.clone()))
        .collect();
    let has_changed = !parts.is_empty();
    for (part, mut moving) in parts {
        moving.moving_to = Some(to_zone.clone());
        custody.set(part, moving);
    }
    has_changed
}

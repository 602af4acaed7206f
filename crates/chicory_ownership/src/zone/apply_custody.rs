//! Application of commands that change the table, custody, directory and claims of a zone.

use std::collections::BTreeMap;

use chicory_table::Table;
use chicory_types::{ServiceName, SlotRun, slot_of_key};

use super::zone_state::{SlotHold, ZoneState};
use crate::claims::millis;
use crate::{
    CLAIM_RETENTION, ClaimAnswer, ClaimRequest, Custody, CustodyHandover, CustodyUpdate, RunMap,
    ViewChange, ZoneDirectory, ZoneOutcome,
};

impl ZoneState {
    pub(super) fn adopt_table(&mut self, table: &Table) -> ZoneOutcome {
        if table.revision <= self.table.revision {
            return ZoneOutcome::Stale;
        }
        self.table = table.clone();
        self.view.push(ViewChange::TableInForce(table.clone()));
        ZoneOutcome::Applied
    }

    pub(super) fn adopt_directory(&mut self, zones: &[ZoneDirectory]) -> ZoneOutcome {
        let mut has_changed = false;
        for listed in zones.iter().filter(|listed| listed.zone != self.zone) {
            if self.directory.get(&listed.zone) == Some(&listed.entries) {
                continue;
            }
            has_changed = true;
            self.directory
                .insert(listed.zone.clone(), listed.entries.clone());
            self.view.push(ViewChange::ZoneEntries {
                zone: listed.zone.clone(),
                entries: listed.entries.clone(),
            });
        }
        ZoneOutcome::of_change(has_changed)
    }

    pub(super) fn adopt_custody(&mut self, update: &CustodyUpdate, at_ms: u64) -> ZoneOutcome {
        let at_ms = self.advance_clock(at_ms);
        if update.version <= self.custody_version {
            return ZoneOutcome::Stale;
        }
        let mut next: BTreeMap<ServiceName, RunMap<Custody>> = BTreeMap::new();
        for listed in &update.runs {
            let runs = next.entry(listed.service.clone()).or_default();
            runs.set(listed.run, listed.custody.clone());
        }
        let before = std::mem::replace(&mut self.custody, next);
        self.custody_version = update.version;
        self.release_lost_custody(&before);
        self.record_history_losses(&before, at_ms);
        for handover in &update.handovers {
            self.import_handover(handover, at_ms);
        }
        self.push_custody_changes(&before);
        ZoneOutcome::Applied
    }

    /// Starts the release of all holds on slots whose custody this zone lost, and drops their
    /// claims.
    fn release_lost_custody(&mut self, before: &BTreeMap<ServiceName, RunMap<Custody>>) {
        for (service, run, former) in runs_of_zone(before, &self.zone) {
            for part in self.changed_parts(&service, run, former.generation) {
                self.release_holds_of(&service, part);
                self.claims.drop_slots(&service, part);
                clear(&mut self.sealed, &service, part);
                clear(&mut self.history_lost, &service, part);
            }
        }
    }

    fn release_holds_of(&mut self, service: &ServiceName, run: SlotRun) {
        let Some(holds) = self.holds.get(service) else {
            return;
        };
        let owned = holds
            .within(run)
            .filter(|(_, h)| h.releasing_since.is_none());
        let owned: Vec<(SlotRun, SlotHold)> = owned.map(|(r, h)| (r, h.clone())).collect();
        self.start_release(service, &owned);
    }

    /// Returns the parts of `run` that are not in this zone's custody with `generation`.
    fn changed_parts(&self, service: &ServiceName, run: SlotRun, generation: u64) -> Vec<SlotRun> {
        let Some(custody) = self.custody.get(service) else {
            return vec![run];
        };
        let is_kept = |run_custody: &Custody| {
            run_custody.zone == self.zone && run_custody.generation == generation
        };
        let mut parts = custody.gaps(run);
        let others = custody
            .within(run)
            .filter(|(_, run_custody)| !is_kept(run_custody));
        parts.extend(others.map(|(part, _)| part));
        parts
    }

    fn record_history_losses(
        &mut self,
        before: &BTreeMap<ServiceName, RunMap<Custody>>,
        at_ms: u64,
    ) {
        let until_ms = at_ms + millis(CLAIM_RETENTION);
        for (service, run, custody) in runs_of_zone(&self.custody, &self.zone) {
            if !custody.cause.lost_claims() {
                continue;
            }
            for part in newly_assigned(before.get(&service), run, &custody) {
                let lost = self.history_lost.entry(service.clone()).or_default();
                lost.set(part, until_ms);
            }
        }
    }

    fn import_handover(&mut self, handover: &CustodyHandover, at_ms: u64) {
        let is_current = self
            .own_custody(&handover.service, handover.run.first)
            .is_some_and(|custody| custody.generation == handover.generation);
        if !is_current {
            return;
        }
        self.claims.import(&handover.claims, at_ms);
        if handover.history_lost_ms > 0 {
            let until_ms = at_ms + handover.history_lost_ms;
            let lost = self.history_lost.entry(handover.service.clone());
            lost.or_default().set(handover.run, until_ms);
        }
    }

    fn push_custody_changes(&mut self, before: &BTreeMap<ServiceName, RunMap<Custody>>) {
        for (service, runs) in &self.custody {
            for (run, custody) in runs.iter() {
                for part in newly_assigned(before.get(service), run, custody) {
                    self.view.push(ViewChange::CustodyAssigned {
                        service: service.clone(),
                        runs: vec![part],
                        zone: custody.zone.clone(),
                        generation: custody.generation,
                    });
                }
            }
        }
    }

    pub(super) fn seal_custody(
        &mut self,
        service: &ServiceName,
        run: SlotRun,
        generation: u64,
    ) -> ZoneOutcome {
        let Some(custody) = self.custody.get(service) else {
            return ZoneOutcome::Stale;
        };
        let is_leaving = |run_custody: &Custody| {
            run_custody.zone == self.zone
                && run_custody.generation == generation
                && run_custody.moving_to.is_some()
        };
        let parts = custody
            .within(run)
            .filter(|(_, run_custody)| is_leaving(run_custody));
        let parts: Vec<SlotRun> = parts.map(|(part, _)| part).collect();
        for part in &parts {
            let sealed = self.sealed.entry(service.clone()).or_default();
            sealed.set(*part, generation);
        }
        ZoneOutcome::of_change(!parts.is_empty())
    }

    pub(super) fn claim(&mut self, request: &ClaimRequest, at_ms: u64) -> ZoneOutcome {
        let at_ms = self.advance_clock(at_ms);
        let slot = slot_of_key(&request.order_key);
        let service = &request.service;
        let is_sealed = self.sealed.get(service).and_then(|runs| runs.get(slot));
        if self.own_custody(service, slot).is_none() || is_sealed.is_some() {
            return ZoneOutcome::Claimed(ClaimAnswer::NotCustodian);
        }
        let lost_until = self
            .history_lost
            .get(service)
            .and_then(|runs| runs.get(slot));
        if lost_until.is_some_and(|until_ms| at_ms < *until_ms) {
            return ZoneOutcome::Claimed(ClaimAnswer::HistoryLost);
        }
        ZoneOutcome::Claimed(self.claims.claim(request, at_ms))
    }

    pub(super) fn expire_history_losses(&mut self, at_ms: u64) {
        for runs in self.history_lost.values_mut() {
            let over = runs.iter().filter(|(_, until_ms)| **until_ms <= at_ms);
            let over: Vec<SlotRun> = over.map(|(run, _)| run).collect();
            for run in over {
                runs.clear(run);
            }
        }
        self.history_lost.retain(|_, runs| !runs.is_empty());
    }
}

fn runs_of_zone(
    custody: &BTreeMap<ServiceName, RunMap<Custody>>,
    zone: &str,
) -> Vec<(ServiceName, SlotRun, Custody)> {
    let mut found = Vec::new();
    for (service, runs) in custody {
        for (run, custody) in runs
            .iter()
            .filter(|(_, run_custody)| run_custody.zone == zone)
        {
            found.push((service.clone(), run, custody.clone()));
        }
    }
    found
}

/// Returns the parts of `run` that were not under this zone and generation of `custody` before.
fn newly_assigned(
    before: Option<&RunMap<Custody>>,
    run: SlotRun,
    custody: &Custody,
) -> Vec<SlotRun> {
    let Some(before) = before else {
        return vec![run];
    };
    let is_same = |run_custody: &Custody| {
        run_custody.zone == custody.zone && run_custody.generation == custody.generation
    };
    let mut parts = before.gaps(run);
    let others = before
        .within(run)
        .filter(|(_, run_custody)| !is_same(run_custody));
    parts.extend(others.map(|(part, _)| part));
    parts
}

fn clear<T: Clone + PartialEq>(
    maps: &mut BTreeMap<ServiceName, RunMap<T>>,
    service: &ServiceName,
    run: SlotRun,
) {
    if let Some(runs) = maps.get_mut(service) {
        runs.clear(run);
    }
}

//! Planning of the commands that the leader of the global group proposes.

use chicory_table::CustodyLease;
use chicory_types::{MonoTime, ServiceName, SlotRun, ZoneName};

use super::global_leader::GlobalLeader;
use super::global_leader_config::UNSERVED_CUSTODY_LIMIT;
use crate::{ALL_SLOTS, CustodyCause, GlobalCommand, GlobalState, RunMap, split_evenly};

impl GlobalLeader {
    /// Returns the commands to propose now.
    ///
    /// `at_ms` is the wall-clock time for the audit trail. Commands that were proposed earlier and
    /// are not applied yet may be returned again, which is harmless.
    pub fn plan(&mut self, now: MonoTime, at_ms: u64, state: &GlobalState) -> Vec<GlobalCommand> {
        self.forget_done_revocations(state);
        let mut commands = Vec::new();
        self.plan_zones(now, at_ms, state, &mut commands);
        self.plan_releases(state, &mut commands);
        let services = state.table().services.iter();
        let kept = services.filter(|(_, policy)| policy.has_custody());
        for (service, policy) in kept {
            self.plan_initial(now, state, service, &mut commands);
            if matches!(policy.custody_lease, CustodyLease::Limited(_)) {
                self.plan_takeover(now, state, service, &mut commands);
            }
            self.plan_moves(now, state, service, &mut commands);
        }
        commands
    }

    fn forget_done_revocations(&mut self, state: &GlobalState) {
        self.revoking
            .retain(|(zone, service)| !state.runs_of(service, zone).is_empty());
    }

    fn plan_zones(
        &self,
        now: MonoTime,
        at_ms: u64,
        state: &GlobalState,
        commands: &mut Vec<GlobalCommand>,
    ) {
        for (zone, contact) in &self.contacts {
            let Some(status) = state.zones().get(zone) else {
                commands.push(register(zone, contact.group_epoch, at_ms));
                continue;
            };
            if contact.group_epoch > status.group_epoch {
                commands.push(register(zone, contact.group_epoch, at_ms));
                continue;
            }
            if contact.in_force_revision > status.in_force_revision {
                commands.push(GlobalCommand::ReportInForce {
                    zone: zone.clone(),
                    revision: contact.in_force_revision,
                });
            }
            if status.is_evicted && self.may_be_readmitted(now, state, zone) {
                commands.push(GlobalCommand::ReadmitZone { zone: zone.clone() });
            }
        }
    }

    /// Returns whether an evicted zone is reachable and has the current custody version in force,
    /// in which it has no slots.
    fn may_be_readmitted(&self, now: MonoTime, state: &GlobalState, zone: &ZoneName) -> bool {
        let contact = self.contacts.get(zone);
        self.is_reachable(now, zone)
            && contact.is_some_and(|c| c.known_custody_version == state.custody_version())
    }

    fn plan_releases(&self, state: &GlobalState, commands: &mut Vec<GlobalCommand>) {
        for (zone, contact) in &self.contacts {
            let registered = state.zones().get(zone).map(|status| status.group_epoch);
            if registered != Some(contact.group_epoch) {
                continue;
            }
            for release in &contact.releases {
                if is_expected_release(
                    state,
                    zone,
                    &release.service,
                    release.run,
                    release.generation,
                ) {
                    commands.push(GlobalCommand::ReleaseCustody {
                        zone: zone.clone(),
                        release: release.clone(),
                    });
                }
            }
            let version = contact.known_custody_version;
            let is_imported =
                |h: &crate::CustodyHandover| h.to_zone == *zone && h.version <= version;
            if state.handovers().iter().any(is_imported) {
                commands.push(GlobalCommand::DropHandovers {
                    zone: zone.clone(),
                    version,
                });
            }
        }
    }

    /// Assigns slots that are in no zone's custody to the zones of the service, a fixed share to
    /// each.
    ///
    /// Once [`CUSTODY_GRACE`](crate::CUSTODY_GRACE) is over, the share of a zone that has not
    /// registered goes to the other zones.
    fn plan_initial(
        &self,
        now: MonoTime,
        state: &GlobalState,
        service: &ServiceName,
        commands: &mut Vec<GlobalCommand>,
    ) {
        let gaps = match state.custody().get(service) {
            Some(runs) => runs.gaps(ALL_SLOTS),
            None => vec![ALL_SLOTS],
        };
        let ready = state.ready_zones(service);
        if gaps.is_empty() || ready.is_empty() {
            return;
        }
        let is_grace_over = now >= self.elected_at + self.config.custody_grace;
        let policy = &state.table().services[service];
        let zones: Vec<ZoneName> = policy.zones.iter().cloned().collect();
        let candidates = if is_grace_over { ready } else { zones };
        for (to_zone, share) in split_evenly(&[ALL_SLOTS], &candidates) {
            let runs = intersect(&share, &gaps);
            if runs.is_empty() || !state.zones().contains_key(&to_zone) {
                continue;
            }
            commands.push(GlobalCommand::AssignCustody {
                service: service.clone(),
                runs,
                from_zone: None,
                to_zone,
                cause: CustodyCause::Initial,
            });
        }
    }

    /// Transfers slots of zones whose limited custody lease has ended to reachable zones.
    fn plan_takeover(
        &mut self,
        now: MonoTime,
        state: &GlobalState,
        service: &ServiceName,
        commands: &mut Vec<GlobalCommand>,
    ) {
        let targets = self.serving_zones(now, state, service);
        for zone in state.zones().keys() {
            let runs = state.runs_of(service, zone);
            if runs.is_empty() || !self.may_take_over_from(now, state, zone, service) {
                continue;
            }
            let others: Vec<ZoneName> = targets.iter().filter(|z| *z != zone).cloned().collect();
            if others.is_empty() {
                continue;
            }
            self.revoking.insert((zone.clone(), service.clone()));
            for (to_zone, runs) in split_evenly(&runs, &others) {
                commands.push(GlobalCommand::AssignCustody {
                    service: service.clone(),
                    runs,
                    from_zone: Some(zone.clone()),
                    to_zone,
                    cause: CustodyCause::LeaseEnded,
                });
            }
        }
    }

    fn may_take_over_from(
        &self,
        now: MonoTime,
        state: &GlobalState,
        zone: &ZoneName,
        service: &ServiceName,
    ) -> bool {
        let CustodyLease::Limited(span) = state.agreed_lease(zone, service) else {
            return false;
        };
        self.has_lease_ended(now, zone, service, span)
    }

    /// Requests the release of slots from zones that cannot serve them, and of a share of slots for
    /// a zone that has none.
    fn plan_moves(
        &self,
        now: MonoTime,
        state: &GlobalState,
        service: &ServiceName,
        commands: &mut Vec<GlobalCommand>,
    ) {
        let targets = self.serving_zones(now, state, service);
        if targets.is_empty() || is_moving(state, service) {
            return;
        }
        let zones = state.zones().keys();
        for zone in zones.filter(|zone| self.cannot_serve(now, state, service, zone)) {
            for (to_zone, runs) in split_evenly(&state.runs_of(service, zone), &targets) {
                push_move(commands, service, runs, zone, to_zone);
            }
        }
        let mut new_zones = targets.iter();
        let new_zone = new_zones.find(|zone| state.runs_of(service, zone).is_empty());
        let Some(new_zone) = new_zone else {
            return;
        };
        for zone in targets.iter().filter(|zone| *zone != new_zone) {
            let runs = state.runs_of(service, zone);
            let parts: Vec<usize> = (0..targets.len()).collect();
            if let Some((_, share)) = split_evenly(&runs, &parts).pop() {
                push_move(commands, service, share, zone, new_zone.clone());
            }
        }
    }

    /// Returns the reachable zones that serve the service and may get slots of it.
    fn serving_zones(
        &self,
        now: MonoTime,
        state: &GlobalState,
        service: &ServiceName,
    ) -> Vec<ZoneName> {
        let is_keyed = state.table().services[service].keyed;
        let is_serving = |zone: &ZoneName| {
            let contact = self.contacts.get(zone);
            !is_keyed || contact.is_some_and(|c| c.served_since.contains_key(service))
        };
        let ready = state.ready_zones(service).into_iter();
        ready
            .filter(|zone| self.is_reachable(now, zone) && is_serving(zone))
            .collect()
    }

    /// Returns whether the table no longer lists the zone for the service, or whether no server of
    /// the zone has accepted slots of a keyed service for [`UNSERVED_CUSTODY_LIMIT`].
    fn cannot_serve(
        &self,
        now: MonoTime,
        state: &GlobalState,
        service: &ServiceName,
        zone: &ZoneName,
    ) -> bool {
        let policy = &state.table().services[service];
        if !policy.zones.contains(zone) {
            return true;
        }
        let contact = self.contacts.get(zone);
        let unserved_since = contact.and_then(|c| c.unserved_since.get(service));
        let is_unserved_too_long =
            unserved_since.is_some_and(|at| now >= *at + UNSERVED_CUSTODY_LIMIT);
        policy.keyed && is_unserved_too_long
    }
}

fn register(zone: &ZoneName, group_epoch: u64, at_ms: u64) -> GlobalCommand {
    GlobalCommand::RegisterZone {
        zone: zone.clone(),
        group_epoch,
        at_ms,
    }
}

fn push_move(
    commands: &mut Vec<GlobalCommand>,
    service: &ServiceName,
    runs: Vec<SlotRun>,
    from_zone: &ZoneName,
    to_zone: ZoneName,
) {
    if runs.is_empty() {
        return;
    }
    commands.push(GlobalCommand::RequestCustodyMove {
        service: service.clone(),
        runs,
        from_zone: from_zone.clone(),
        to_zone,
    });
}

fn is_moving(state: &GlobalState, service: &ServiceName) -> bool {
    let runs = state.custody().get(service);
    runs.is_some_and(|runs| runs.iter().any(|(_, c)| c.moving_to.is_some()))
}

fn is_expected_release(
    state: &GlobalState,
    zone: &ZoneName,
    service: &ServiceName,
    run: SlotRun,
    generation: u64,
) -> bool {
    let custody = state.custody().get(service).and_then(|c| c.get(run.first));
    custody.is_some_and(|custody| {
        custody.zone == *zone && custody.generation == generation && custody.moving_to.is_some()
    })
}

fn intersect(runs: &[SlotRun], others: &[SlotRun]) -> Vec<SlotRun> {
    let mut map = RunMap::default();
    for run in others {
        map.set(*run, ());
    }
    let parts = runs.iter().flat_map(|run| map.within(*run));
    parts.map(|(part, ())| part).collect()
}

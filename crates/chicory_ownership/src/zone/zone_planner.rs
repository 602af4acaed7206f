//! Planning of the commands that the leader of a zone group proposes.

use std::collections::BTreeMap;

use chicory_types::{Incarnation, MonoTime, VmId};

use super::zone_leader::{ZoneLeader, confirmations};
use super::zone_leader_config::{ENTRY_RETENTION, SERVER_RETENTION};
use super::zone_state::ServerEntry;
use crate::{ALL_SLOTS, ReleasedSlots, ZoneCommand, ZoneState};

impl ZoneLeader {
    /// Returns the commands to propose now.
    ///
    /// Commands that were proposed earlier and are not applied yet may be returned again, which is
    /// harmless.
    pub fn plan(&mut self, now: MonoTime, state: &ZoneState) -> Vec<ZoneCommand> {
        self.election(now, state);
        self.custody.activate_pending(state);
        let mut commands = Vec::new();
        self.forget_done_revocations(state);
        self.plan_revocations(now, state, &mut commands);
        self.plan_abandoned_claims(now, state, &mut commands);
        self.plan_deferred_releases(now, &mut commands);
        self.plan_orphaned_releases(now, state, &mut commands);
        self.plan_removals(now, state, &mut commands);
        self.plan_dispatchers(now, state, &mut commands);
        self.plan_seals(now, state, &mut commands);
        self.plan_placement(now, state, &mut commands);
        self.plan_expiry(now, state, &mut commands);
        self.leases.forget_ended(now);
        commands
    }

    fn forget_done_revocations(&mut self, state: &ZoneState) {
        let has_roles = |vm: &VmId, incarnation: Incarnation| {
            let mut dispatchers = state.servers().values().filter_map(dispatcher_of);
            dispatchers.any(|(of, started)| of == vm && started == incarnation)
        };
        self.revoking
            .retain(|(vm, incarnation)| has_roles(vm, *incarnation));
    }

    /// Revokes dispatcher roles from processes whose lease has certainly ended.
    fn plan_revocations(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for (server, entry) in state.servers() {
            let Some((vm, incarnation)) = dispatcher_of(entry) else {
                continue;
            };
            let end = self.leases.end_of(vm, incarnation);
            if now < end {
                continue;
            }
            self.revoking.insert((vm.clone(), incarnation));
            self.leased_until.insert(server.clone(), end);
            commands.push(ZoneCommand::ReleaseDispatcher {
                server: server.clone(),
                vm: vm.clone(),
                incarnation,
                epoch: entry.epoch,
            });
        }
    }

    fn plan_abandoned_claims(
        &self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for (vm, incarnation) in state.open_claimants() {
            // Claims of claimants in other zones become unknown only by age.
            let is_own = state.entries().contains_key(&vm);
            if is_own && now >= self.leases.end_of(&vm, incarnation) {
                commands.push(ZoneCommand::AbandonClaims { vm, incarnation });
            }
        }
    }

    fn plan_deferred_releases(&mut self, now: MonoTime, commands: &mut Vec<ZoneCommand>) {
        let (due, deferred) = std::mem::take(&mut self.deferred_releases)
            .into_iter()
            .partition(|deferred| now >= self.lease_end_of_server(&deferred.server));
        self.deferred_releases = deferred;
        commands.extend(due.into_iter().map(|release| release.command));
    }

    /// Frees releasing slots whose owner has no dispatcher that could report the release.
    fn plan_orphaned_releases(
        &self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for (server, entry) in state.servers() {
            if entry.dispatcher.is_some() || now < self.lease_end_of_server(server) {
                continue;
            }
            if self.may_have_unknown_holds(now, state) {
                continue;
            }
            let all = ReleasedSlots {
                service: entry.record.service.clone(),
                runs: vec![ALL_SLOTS],
                server: server.clone(),
            };
            commands.extend(confirmations(state, &all, |_| true));
        }
    }

    /// Assigns servers without a dispatcher to the live entry processes with the fewest roles.
    fn plan_dispatchers(&self, now: MonoTime, state: &ZoneState, commands: &mut Vec<ZoneCommand>) {
        let mut roles = self.count_roles(now, state);
        for (server, entry) in state.servers() {
            let is_removed = self.removals.contains_key(server);
            let may_be_unknown = entry.epoch == 0 && !self.are_all_grants_known(now, state);
            // A role being revoked counts as free: its release was proposed before and so precedes
            // this assignment in the log.
            let has_dispatcher = dispatcher_of(entry).is_some_and(|(vm, incarnation)| {
                let process = (vm.clone(), incarnation);
                !self.revoking.contains(&process)
            });
            if has_dispatcher || is_removed || may_be_unknown {
                continue;
            }
            let least = roles
                .iter()
                .min_by_key(|(process, count)| (**count, *process));
            let Some((process, _)) = least else {
                return;
            };
            let process = process.clone();
            *roles.entry(process.clone()).or_default() += 1;
            commands.push(ZoneCommand::AssignDispatcher {
                server: server.clone(),
                vm: process.0,
                incarnation: process.1,
            });
        }
    }

    /// Returns the number of dispatcher roles of each entry process that may get more.
    fn count_roles(&self, now: MonoTime, state: &ZoneState) -> BTreeMap<(VmId, Incarnation), u32> {
        let mut roles = BTreeMap::new();
        for (vm, entry) in state.entries() {
            let process = (vm.clone(), entry.incarnation);
            let is_live = self.leases.is_live(now, vm, entry.incarnation);
            if is_live && !self.stopping.contains(&process) && !self.revoking.contains(&process) {
                roles.insert(process, 0);
            }
        }
        for (vm, incarnation) in state.servers().values().filter_map(dispatcher_of) {
            if let Some(count) = roles.get_mut(&(vm.clone(), incarnation)) {
                *count += 1;
            }
        }
        roles
    }

    fn plan_removals(&mut self, now: MonoTime, state: &ZoneState, commands: &mut Vec<ZoneCommand>) {
        for (vm, entry) in state.entries() {
            let end = self.leases.end_of(vm, entry.incarnation);
            if now >= end + ENTRY_RETENTION && !state.has_roles(vm) {
                commands.push(ZoneCommand::RemoveEntry {
                    vm: vm.clone(),
                    incarnation: entry.incarnation,
                });
            }
        }
        self.stopping.retain(|(vm, incarnation)| {
            state
                .entries()
                .get(vm)
                .is_some_and(|e| e.incarnation == *incarnation)
        });
        self.plan_server_removals(now, state, commands);
    }

    /// Removes servers without slots that have had no contact for [`SERVER_RETENTION`].
    ///
    /// A former dispatcher may hold a lease on a view that still lists the server. If the server
    /// registers again, it therefore gets a dispatcher only a full lease after this leader saw its
    /// removal in force.
    fn plan_server_removals(
        &mut self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        for (server, entry) in state.servers() {
            self.health
                .start_tracking(now, server, entry.record.incarnation);
            let time_since_contact = self
                .health
                .time_since_contact(now, server)
                .unwrap_or_default();
            if time_since_contact < SERVER_RETENTION || state.holds_slots(server) {
                continue;
            }
            self.removals.entry(server.clone()).or_default();
            commands.push(ZoneCommand::RemoveServer {
                server: server.clone(),
                incarnation: entry.record.incarnation,
            });
        }
        self.record_done_removals(now, state);
        self.health.forget_unresponsive(now, 2 * SERVER_RETENTION);
    }

    fn record_done_removals(&mut self, now: MonoTime, state: &ZoneState) {
        let end = self.full_lease_from(now);
        for (server, removal) in &mut self.removals {
            let is_listed = state.servers().get(server).is_some_and(|s| s.epoch > 0);
            if !is_listed {
                removal.leased_until.get_or_insert(end);
            }
        }
        self.removals
            .retain(|_, removal| removal.leased_until.is_none_or(|end| now < end));
    }

    fn plan_expiry(&mut self, now: MonoTime, state: &ZoneState, commands: &mut Vec<ZoneCommand>) {
        let at_ms = self.log_clock_ms(now, state);
        if state.has_expired(at_ms) {
            commands.push(ZoneCommand::Expire { at_ms });
        }
    }

    fn full_lease_from(&self, now: MonoTime) -> MonoTime {
        chicory_types::ClockRateMargin::lease_expiry_for_grantor(now, self.config.dispatcher_lease)
    }
}

fn dispatcher_of(entry: &ServerEntry) -> Option<(&VmId, Incarnation)> {
    let dispatcher = entry.dispatcher.as_ref()?;
    Some((&dispatcher.vm, dispatcher.incarnation))
}

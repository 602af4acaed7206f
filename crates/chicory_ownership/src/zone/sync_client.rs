//! Synchronization of a zone's leader with the global group.

use std::time::Duration;

use chicory_types::{MonoTime, ServiceName, SlotRun, VmId};

use super::zone_leader::ZoneLeader;
use crate::{
    CustodyRelease, ZoneCommand, ZoneDirectory, ZoneState, ZoneSyncAnswer, ZoneSyncRequest,
};

/// How long after sending the last answered sync the leader still prepares slots for a move to
/// another zone.
const GLOBAL_CONTACT_LIMIT: Duration = Duration::from_secs(2);

impl ZoneLeader {
    /// Returns the sync request to send now.
    #[must_use]
    pub fn sync_request(&self, state: &ZoneState, leader: VmId) -> ZoneSyncRequest {
        ZoneSyncRequest {
            zone: state.zone().clone(),
            group_epoch: state.group_epoch(),
            leader,
            in_force_revision: state.table().revision,
            known_custody_version: state.custody_version(),
            known_directories: state
                .directory()
                .iter()
                .map(|(zone, entries)| (zone.clone(), ZoneDirectory::fingerprint(entries)))
                .collect(),
            entries: state.entries().values().cloned().collect(),
            served: self.served_services(state),
            releases: next_release(state).into_iter().collect(),
        }
    }

    /// Handles the answer to the sync sent at `sent_at` and returns the commands to propose.
    pub fn on_sync_answer(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        state: &ZoneState,
        answer: &ZoneSyncAnswer,
    ) -> Vec<ZoneCommand> {
        let ZoneSyncAnswer::Current {
            custody_leases,
            custody_version,
            table,
            custody,
            zones,
        } = answer
        else {
            return Vec::new();
        };
        self.custody
            .record_answer(sent_at, *custody_version, custody_leases.clone());
        self.custody.activate_pending(state);
        let mut commands = Vec::new();
        if let Some(table) = table
            .as_ref()
            .filter(|t| t.revision > state.table().revision)
        {
            commands.push(ZoneCommand::AdoptTable {
                table: table.clone(),
            });
        }
        if let Some(update) = custody
            .as_ref()
            .filter(|c| c.version > state.custody_version())
        {
            commands.push(ZoneCommand::AdoptCustody {
                update: update.clone(),
                at_ms: self.log_clock_ms(now, state),
            });
        }
        let is_changed = |listed: &ZoneDirectory| {
            let known = state.directory().get(&listed.zone);
            listed.zone != *state.zone() && known != Some(&listed.entries)
        };
        if zones.iter().any(is_changed) {
            commands.push(ZoneCommand::AdoptDirectory {
                zones: zones.clone(),
            });
        }
        commands
    }

    /// Returns whether the global group answered recently, so that a move can be completed.
    pub(super) fn has_global_contact(&self, now: MonoTime) -> bool {
        let last = self.custody.last_sent_at();
        last.is_some_and(|at| now < at + GLOBAL_CONTACT_LIMIT)
    }

    /// Releases slots that are to move to another zone, and seals them once no server holds them.
    ///
    /// Slots are moved in batches so that the others stay in service. Without contact to the global
    /// group the slots stay in service in this zone.
    pub(super) fn plan_seals(
        &self,
        now: MonoTime,
        state: &ZoneState,
        commands: &mut Vec<ZoneCommand>,
    ) {
        if !self.has_global_contact(now) || self.may_have_unknown_holds(now, state) {
            return;
        }
        for (service, run, custody) in state.pending_transfers() {
            let holds = state.holds(&service);
            let owned: Vec<_> = holds
                .into_iter()
                .flat_map(|holds| holds.within(run))
                .filter(|(_, hold)| hold.releasing_since.is_none())
                .collect();
            for (part, hold) in owned {
                commands.push(ZoneCommand::ReleaseSlots {
                    service: service.clone(),
                    runs: vec![part],
                    server: hold.server.clone(),
                });
            }
            let free = holds.map_or_else(|| vec![run], |holds| holds.gaps(run));
            for part in free {
                if is_unsealed(state, &service, part) {
                    commands.push(ZoneCommand::SealCustody {
                        service: service.clone(),
                        run: part,
                        generation: custody.generation,
                    });
                }
            }
        }
    }
}

fn is_unsealed(state: &ZoneState, service: &ServiceName, run: SlotRun) -> bool {
    let sealed = state.sealed().get(service);
    sealed.is_none_or(|sealed| !sealed.gaps(run).is_empty())
}

/// Returns the next slots that are ready to be released to another zone.
fn next_release(state: &ZoneState) -> Option<CustodyRelease> {
    for (service, run, custody) in state.pending_transfers() {
        let sealed = state.sealed().get(&service);
        let parts = sealed.into_iter().flat_map(|sealed| sealed.within(run));
        for (part, generation) in parts {
            let is_held = state
                .holds(&service)
                .is_some_and(|holds| holds.within(part).next().is_some());
            let is_current = *generation == custody.generation;
            if is_held || !is_current || state.claims().is_running(&service, part) {
                continue;
            }
            return Some(CustodyRelease {
                service: service.clone(),
                run: part,
                generation: *generation,
                claims: state.claims().export(&service, part, state.clock_ms()),
                history_lost_ms: state.history_lost_ms(&service, part),
            });
        }
    }
    None
}

//! Application of commands that change servers, entry processes, dispatchers and suspects.

use chicory_types::{Incarnation, ServerId, VmId};

use super::zone_state::{Dispatcher, ServerEntry, ZoneState};
use crate::{EntryRecord, RunMap, ServerRecord, ViewChange, ZoneOutcome};

/// Low bits of a dispatcher epoch, which count the assignments of one group. The high bits hold the
/// epoch of the group.
const ROLE_COUNTER_BITS: u32 = 24;

impl ZoneState {
    pub(super) fn register_server(&mut self, record: &ServerRecord) -> ZoneOutcome {
        let known = self.servers.get_mut(&record.server);
        if record.zone != self.zone {
            return ZoneOutcome::Stale;
        }
        match known {
            Some(known) if known.record.incarnation > record.incarnation => {
                return ZoneOutcome::Stale;
            }
            Some(known) if known.record == *record => return ZoneOutcome::Stale,
            // A registered server cannot change its service, since it may still hold slots of the
            // former one.
            Some(known) if known.record.service != record.service => return ZoneOutcome::Stale,
            Some(known) => known.record = record.clone(),
            None => {
                let entry = ServerEntry {
                    record: record.clone(),
                    dispatcher: None,
                    epoch: 0,
                };
                self.servers.insert(record.server.clone(), entry);
            }
        }
        self.view.push(ViewChange::ServerUpserted(record.clone()));
        ZoneOutcome::Applied
    }

    pub(super) fn remove_server(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> ZoneOutcome {
        let Some(entry) = self.servers.get(server) else {
            return ZoneOutcome::Stale;
        };
        let is_same = entry.record.incarnation == incarnation;
        if !is_same || self.holds_slots(server) {
            return ZoneOutcome::Stale;
        }
        self.servers.remove(server);
        self.view.push(ViewChange::ServerRemoved(server.clone()));
        ZoneOutcome::Applied
    }

    /// Returns whether the server owns slots or is still releasing some.
    #[must_use]
    pub fn holds_slots(&self, server: &ServerId) -> bool {
        let mut all = self.holds.values().flat_map(RunMap::iter);
        all.any(|(_, hold)| hold.server == *server)
    }

    pub(super) fn register_entry(&mut self, record: &EntryRecord) -> ZoneOutcome {
        match self.entries.get(&record.vm) {
            Some(known) if known.incarnation > record.incarnation => return ZoneOutcome::Stale,
            Some(known) if known == record => return ZoneOutcome::Stale,
            _ => {}
        }
        self.entries.insert(record.vm.clone(), record.clone());
        self.view.push(self.own_entries());
        ZoneOutcome::Applied
    }

    pub(super) fn remove_entry(&mut self, vm: &VmId, incarnation: Incarnation) -> ZoneOutcome {
        let is_same = self
            .entries
            .get(vm)
            .is_some_and(|e| e.incarnation == incarnation);
        if !is_same || self.has_roles(vm) {
            return ZoneOutcome::Stale;
        }
        self.entries.remove(vm);
        self.view.push(self.own_entries());
        ZoneOutcome::Applied
    }

    /// Returns whether any incarnation of the VM's entry process is the dispatcher of a server.
    #[must_use]
    pub fn has_roles(&self, vm: &VmId) -> bool {
        let mut dispatchers = self.servers.values().filter_map(|s| s.dispatcher.as_ref());
        dispatchers.any(|dispatcher| dispatcher.vm == *vm)
    }

    pub(super) fn release_dispatcher(
        &mut self,
        server: &ServerId,
        vm: &VmId,
        incarnation: Incarnation,
        epoch: u64,
    ) -> ZoneOutcome {
        let Some(entry) = self.servers.get_mut(server) else {
            return ZoneOutcome::Stale;
        };
        let is_same = entry.dispatcher.as_ref().is_some_and(|dispatcher| {
            dispatcher.vm == *vm && dispatcher.incarnation == incarnation && entry.epoch == epoch
        });
        if !is_same {
            return ZoneOutcome::Stale;
        }
        entry.dispatcher = None;
        self.view.push(ViewChange::DispatcherAssigned {
            server: server.clone(),
            vm: None,
            epoch,
        });
        ZoneOutcome::Applied
    }

    pub(super) fn assign_dispatcher(
        &mut self,
        server: &ServerId,
        vm: &VmId,
        incarnation: Incarnation,
    ) -> ZoneOutcome {
        let is_known = self
            .entries
            .get(vm)
            .is_some_and(|e| e.incarnation == incarnation);
        let since = self.view.version() + 1;
        let epoch = self.next_role_epoch();
        let Some(entry) = self.servers.get_mut(server) else {
            return ZoneOutcome::Stale;
        };
        if !is_known || entry.dispatcher.is_some() {
            return ZoneOutcome::Stale;
        }
        self.dispatcher_epoch += 1;
        entry.epoch = epoch;
        entry.dispatcher = Some(Dispatcher {
            vm: vm.clone(),
            incarnation,
            since,
        });
        self.view.push(ViewChange::DispatcherAssigned {
            server: server.clone(),
            vm: Some(vm.clone()),
            epoch,
        });
        ZoneOutcome::Applied
    }

    /// Returns the epoch of the next dispatcher assignment.
    ///
    /// The epochs of a re-formed group are greater than any of its predecessors, because entry
    /// processes and backend servers may still remember those.
    fn next_role_epoch(&self) -> u64 {
        (self.group_epoch << ROLE_COUNTER_BITS) + self.dispatcher_epoch + 1
    }

    pub(super) fn count_crash(
        &mut self,
        server: &ServerId,
        fingerprints: &[u64],
        was_alone: bool,
        at_ms: u64,
    ) -> ZoneOutcome {
        let at_ms = self.advance_clock(at_ms);
        let Some(entry) = self.servers.get(server) else {
            return ZoneOutcome::Stale;
        };
        let incarnation = entry.record.incarnation;
        let refused =
            self.quarantine
                .count_crash(server, incarnation, fingerprints, was_alone, at_ms);
        for fingerprint in refused {
            self.view.push(ViewChange::Quarantined { fingerprint });
        }
        self.lift_expired_quarantine(at_ms);
        ZoneOutcome::Applied
    }

    pub(super) fn acquit(&mut self, fingerprint: u64) -> ZoneOutcome {
        let was_refused = self.quarantine.acquit(fingerprint);
        if was_refused {
            self.view.push(ViewChange::QuarantineLifted { fingerprint });
        }
        ZoneOutcome::of_change(was_refused)
    }

    pub(super) fn expire(&mut self, at_ms: u64) -> ZoneOutcome {
        let at_ms = self.advance_clock(at_ms);
        self.claims.expire(at_ms);
        self.lift_expired_quarantine(at_ms);
        self.expire_history_losses(at_ms);
        ZoneOutcome::Applied
    }

    fn lift_expired_quarantine(&mut self, at_ms: u64) {
        for fingerprint in self.quarantine.expire(at_ms) {
            self.view.push(ViewChange::QuarantineLifted { fingerprint });
        }
    }
}

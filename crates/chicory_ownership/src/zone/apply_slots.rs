//! Application of commands that assign and release slots.

use chicory_types::{FencingToken, ServerId, ServiceName, SlotRun};

use super::zone_state::{SlotHold, ZoneState};
use crate::{SlotOwner, ViewChange, ZoneOutcome};

impl ZoneState {
    pub(super) fn release_slots(
        &mut self,
        service: &ServiceName,
        runs: &[SlotRun],
        server: &ServerId,
    ) -> ZoneOutcome {
        let is_owned = |hold: &SlotHold| hold.server == *server && hold.releasing_since.is_none();
        let parts = self.matching_holds(service, runs, is_owned);
        self.start_release(service, &parts);
        ZoneOutcome::of_change(!parts.is_empty())
    }

    /// Marks the holds as releasing and adds the change to the view.
    pub(super) fn start_release(&mut self, service: &ServiceName, parts: &[(SlotRun, SlotHold)]) {
        for (run, hold) in parts {
            let mut hold = hold.clone();
            hold.releasing_since = Some(self.view.version() + 1);
            self.view.push(ViewChange::SlotsAssigned {
                service: service.clone(),
                runs: vec![*run],
                owner: hold.owner(),
            });
            if let Some(holds) = self.holds.get_mut(service) {
                holds.set(*run, hold);
            }
        }
    }

    pub(super) fn confirm_released(
        &mut self,
        service: &ServiceName,
        runs: &[SlotRun],
        server: &ServerId,
        token: FencingToken,
    ) -> ZoneOutcome {
        let is_releasing = |hold: &SlotHold| {
            hold.server == *server && hold.token == token && hold.releasing_since.is_some()
        };
        let parts = self.matching_holds(service, runs, is_releasing);
        let freed: Vec<SlotRun> = parts.iter().map(|(run, _)| *run).collect();
        if freed.is_empty() {
            return ZoneOutcome::Stale;
        }
        if let Some(holds) = self.holds.get_mut(service) {
            for run in &freed {
                holds.clear(*run);
            }
        }
        self.view.push(ViewChange::SlotsAssigned {
            service: service.clone(),
            runs: freed,
            owner: SlotOwner::Unowned,
        });
        ZoneOutcome::Applied
    }

    pub(super) fn assign_slots(
        &mut self,
        service: &ServiceName,
        runs: &[SlotRun],
        server: &ServerId,
    ) -> ZoneOutcome {
        let known = self.servers.get(server);
        if known.is_none_or(|known| known.record.service != *service) {
            return ZoneOutcome::Stale;
        }
        let free = self.assignable(service, runs);
        if free.is_empty() {
            return ZoneOutcome::Stale;
        }
        self.token_counter += 1;
        for generation in generations(&free) {
            let token = FencingToken::new(generation, self.token_counter);
            let runs: Vec<SlotRun> = free
                .iter()
                .filter(|(_, of_run)| *of_run == generation)
                .map(|(run, _)| *run)
                .collect();
            self.hold(service, runs, server, token);
        }
        ZoneOutcome::Applied
    }

    /// Returns the parts of the runs that may get an owner, with the generation of their custody.
    ///
    /// These are slots in this zone's custody that no server holds and that are not sealed.
    #[must_use]
    pub fn assignable(&self, service: &ServiceName, runs: &[SlotRun]) -> Vec<(SlotRun, u64)> {
        let mut free = Vec::new();
        let Some(custody) = self.custody.get(service) else {
            return free;
        };
        for run in runs {
            let own = custody
                .within(*run)
                .filter(|(_, run_custody)| run_custody.zone == self.zone);
            for (part, custody) in own {
                for part in self.without_hold(service, part) {
                    for part in self.not_sealed(service, part) {
                        free.push((part, custody.generation));
                    }
                }
            }
        }
        free
    }

    fn without_hold(&self, service: &ServiceName, run: SlotRun) -> Vec<SlotRun> {
        let holds = self.holds.get(service);
        holds.map_or_else(|| vec![run], |holds| holds.gaps(run))
    }

    fn not_sealed(&self, service: &ServiceName, run: SlotRun) -> Vec<SlotRun> {
        let sealed = self.sealed.get(service);
        sealed.map_or_else(|| vec![run], |sealed| sealed.gaps(run))
    }

    fn hold(
        &mut self,
        service: &ServiceName,
        runs: Vec<SlotRun>,
        server: &ServerId,
        token: FencingToken,
    ) {
        let hold = SlotHold {
            server: server.clone(),
            token,
            releasing_since: None,
        };
        let holds = self.holds.entry(service.clone()).or_default();
        for run in &runs {
            holds.set(*run, hold.clone());
        }
        self.view.push(ViewChange::SlotsAssigned {
            service: service.clone(),
            runs,
            owner: hold.owner(),
        });
    }

    fn matching_holds(
        &self,
        service: &ServiceName,
        runs: &[SlotRun],
        matches: impl Fn(&SlotHold) -> bool,
    ) -> Vec<(SlotRun, SlotHold)> {
        let Some(holds) = self.holds.get(service) else {
            return Vec::new();
        };
        let parts = runs.iter().flat_map(|run| holds.within(*run));
        parts
            .filter(|(_, hold)| matches(hold))
            .map(|(run, hold)| (run, hold.clone()))
            .collect()
    }
}

fn generations(free: &[(SlotRun, u64)]) -> Vec<u64> {
    let mut generations: Vec<u64> = free.iter().map(|(_, generation)| *generation).collect();
    generations.sort_unstable();
    generations.dedup();
    generations
}

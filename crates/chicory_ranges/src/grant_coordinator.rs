//! Sends grants to backend servers and has keys released.

mod call_results;
mod registry_sync;

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{MonoTime, ServiceName};

use crate::ending::Ending;
use crate::fence_link::FenceLink;
use crate::grant_coordinator_config::{CALL_TIMEOUT, GrantCoordinatorConfig};
use crate::grant_step::GrantStep;
use crate::range_grant::{PendingCall, PendingTransfer, RangeGrant};
use crate::{
    CallId, Fence, GrantCall, GrantEffect, GrantEvent, Key, KeyRange, RangeMove, RangeRegistry,
    ServerIncarnation, Transfer,
};

/// Service and first key of a range.
type RangeStart = (ServiceName, Key);

/// Sends the grants of a [`RangeRegistry`], renews them, and moves keys from owner to owner.
///
/// Only a leader runs one, from its election on, and carries out its effects only while it holds
/// its lease. Keys are granted to their next owner once the former owner has released them, or
/// once every grant that may have reached the former owner has expired.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{GrantCoordinator, GrantEvent, RangeRegistry};
/// use std::time::Duration;
///
/// let registry = RangeRegistry::default();
/// let mut coordinator = GrantCoordinator::new(Default::default(), Duration::ZERO, &registry);
/// assert!(coordinator.reduce(Duration::ZERO, GrantEvent::Tick, &registry).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct GrantCoordinator {
    config: GrantCoordinatorConfig,
    grants: BTreeMap<RangeStart, RangeGrant>,
    /// Incarnations whose process is known to run: announced since the last broken connection.
    known_running: BTreeSet<ServerIncarnation>,
    /// Incarnations whose process has ended, with those that now have their addresses.
    ended: BTreeMap<ServerIncarnation, Option<ServerIncarnation>>,
    calls: BTreeMap<CallId, RangeStart>,
    last_call: CallId,
    /// Until this moment a grant of a former leader may still hold.
    former_leader_grants_until: MonoTime,
    /// Until this moment a call of a former leader may arrive.
    former_calls_until: MonoTime,
    /// Last fence at the election: no former leader has granted keys under a greater one.
    inherited_fence: Fence,
    visited_range_count: u64,
    effects: Vec<GrantEffect>,
}

impl GrantCoordinator {
    /// Creates a leader's coordinator at its election, once `registry` has all committed moves.
    #[must_use]
    pub fn new(
        config: GrantCoordinatorConfig,
        elected_at: MonoTime,
        registry: &RangeRegistry,
    ) -> Self {
        // The former leader may have had other settings, and no leader gives a longer hold than this.
        let former_hold = GrantCoordinatorConfig::default();
        let former_leader_grants_until = elected_at + CALL_TIMEOUT + former_hold.grant_expiry();
        let former_calls_until = if registry.last_fence() == 0 {
            elected_at
        } else {
            elected_at + GrantCoordinatorConfig::former_call_expiry()
        };
        let mut coordinator = Self {
            config,
            grants: BTreeMap::new(),
            known_running: BTreeSet::new(),
            ended: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            former_leader_grants_until,
            former_calls_until,
            inherited_fence: registry.last_fence(),
            visited_range_count: 0,
            effects: Vec::new(),
        };
        coordinator.sync_with_registry(elected_at, registry);
        coordinator
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn reduce(
        &mut self,
        now: MonoTime,
        event: GrantEvent,
        registry: &RangeRegistry,
    ) -> Vec<GrantEffect> {
        self.reduce_all(now, [event], registry)
    }

    /// Handles events that arrived together and returns the effects to carry out, in order.
    ///
    /// Work on all ranges is done only once: hundreds of events arrive when many servers leave.
    pub fn reduce_all(
        &mut self,
        now: MonoTime,
        events: impl IntoIterator<Item = GrantEvent>,
        registry: &RangeRegistry,
    ) -> Vec<GrantEffect> {
        let mut is_synced = false;
        for event in events {
            match event {
                GrantEvent::Tick => {}
                GrantEvent::RegistryChanged if is_synced => {}
                GrantEvent::RegistryChanged => {
                    is_synced = true;
                    self.sync_with_registry(now, registry);
                }
                GrantEvent::CallEnded { call, outcome } => self.on_call_ended(now, call, outcome),
                GrantEvent::Announced(incarnation) => self.on_announced(now, &incarnation),
                GrantEvent::Ended {
                    incarnation,
                    successor,
                } => self.on_ended(now, incarnation, successor),
                GrantEvent::Transfer(transfer) => self.on_transfer(now, transfer),
                GrantEvent::MoveFailed { service, first } => {
                    self.on_move_failed(now, service, first);
                }
            }
        }
        self.run_due_steps(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns when the next [`Tick`](GrantEvent::Tick) is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<MonoTime> {
        let waits = self.grants.values().filter_map(|grant| self.wakeup(grant));
        waits.min()
    }

    /// Returns how many ranges were visited since the start, as a measure of the work done.
    #[must_use]
    pub fn visited_range_count(&self) -> u64 {
        self.visited_range_count
    }

    /// Returns the ranges of a service that are in transfer, with their next owners.
    pub fn pending_transfers(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (KeyRange, &ServerIncarnation)> {
        let grants = self.grants.iter();
        grants
            .filter(move |((of, _), _)| of == service)
            .filter_map(|(_, grant)| {
                let pending = grant.pending_transfer.as_ref()?;
                Some((grant.owned.range, &pending.to))
            })
    }

    /// Returns the ranges of all services that are being released, have not been granted yet or
    /// whose grant has expired, each with its fence: their owners would refuse requests for them.
    pub fn moving(&self, now: MonoTime) -> impl Iterator<Item = (&ServiceName, KeyRange, Fence)> {
        // An owner stops when the hold is over by its own clock, which may run fast.
        let slack = self.config.grant_expiry().saturating_sub(self.config.hold);
        let moving = self.grants.iter().filter(move |(_, grant)| {
            let has_expired = now + slack >= grant.confirmed_until.max(grant.inherited_until);
            let has_ended = self.ended.contains_key(&grant.owned.owner);
            grant.pending_transfer.is_some() || !grant.is_granted || has_expired || has_ended
        });
        moving.map(|((service, _), grant)| (service, grant.owned.range, grant.owned.fence))
    }

    /// Returns whether a server may still hold a grant of some keys.
    #[must_use]
    pub fn may_hold(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let mut grants = self.grants.values();
        grants.any(|grant| grant.owned.owner == *incarnation && now < grant.free_at())
    }

    /// Returns the ranges that a server owns.
    pub fn ranges_of(&self, incarnation: &ServerIncarnation) -> impl Iterator<Item = KeyRange> {
        let grants = self.grants.values();
        grants
            .filter(move |grant| grant.owned.owner == *incarnation)
            .map(|grant| grant.owned.range)
    }

    /// Returns when a server last answered a grant of this coordinator.
    #[must_use]
    pub fn last_answer_at(&self, incarnation: &ServerIncarnation) -> Option<MonoTime> {
        let grants = self.grants.values();
        grants
            .filter(|grant| grant.owned.owner == *incarnation)
            .filter_map(|grant| grant.answered_at)
            .max()
    }

    fn wakeup(&self, grant: &RangeGrant) -> Option<MonoTime> {
        match &grant.pending_transfer {
            Some(pending) if pending.is_proposed => None,
            Some(pending) if pending.is_released => Some(grant.free_at().max(grant.due_at)),
            Some(_) if grant.call.is_none() => Some(grant.due_at),
            Some(_) => None,
            None if !grant.is_idle() => None,
            None if !self.known_running.contains(&grant.owned.owner) => None,
            None => Some(self.grant_due_at(grant)),
        }
    }

    fn on_announced(&mut self, now: MonoTime, incarnation: &ServerIncarnation) {
        self.ended.remove(incarnation);
        if !self.known_running.insert(incarnation.clone()) {
            return;
        }
        let grants = self.grants.values_mut();
        for grant in grants.filter(|g| g.owned.owner == *incarnation && g.call.is_none()) {
            grant.due_at = now;
        }
    }

    /// Frees the keys of a process that has ended, unless another process of its service has its
    /// address: that one may have been granted keys before it was announced, so it is their only
    /// possible owner until these grants have expired.
    fn on_ended(
        &mut self,
        now: MonoTime,
        incarnation: ServerIncarnation,
        successor: Option<ServerIncarnation>,
    ) {
        self.known_running.remove(&incarnation);
        let grants = self.grants.values_mut();
        for grant in grants.filter(|g| g.owned.owner == incarnation) {
            match &successor {
                Some(successor) => grant.redirect_transfer(now, successor),
                None => grant.set_free(now),
            }
        }
        self.ended.insert(incarnation, successor);
    }

    /// Whether `process` now has, or has had, the address of a process that has ended.
    fn has_succeeded(&self, ended: &ServerIncarnation, process: &ServerIncarnation) -> bool {
        let mut last = ended;
        while let Some(Some(next)) = self.ended.get(last) {
            if next == process {
                return true;
            }
            last = next;
        }
        false
    }

    /// Returns what is known of the end of a process.
    fn ending(&self, incarnation: &ServerIncarnation) -> Ending<'_> {
        let Some(mut successor) = self.ended.get(incarnation) else {
            return Ending::NotKnown;
        };
        while let Some(last) = successor {
            match self.ended.get(last) {
                Some(next) => successor = next,
                None => return Ending::Succeeded(last),
            }
        }
        Ending::Ended
    }

    fn on_transfer(&mut self, now: MonoTime, transfer: Transfer) {
        let Some(from) = transfer.from.clone() else {
            self.effects.push(GrantEffect::Propose(RangeMove {
                service: transfer.service,
                range: transfer.range,
                from: None,
                to: transfer.to,
                handover: None,
            }));
            return;
        };
        let Some(start) = self.idle_start(&transfer, &from) else {
            return;
        };
        self.begin_transfer(now, &start, &transfer);
    }

    /// Returns the start of the range with these keys, if `from` owns it and it is idle.
    fn idle_start(&self, transfer: &Transfer, from: &ServerIncarnation) -> Option<RangeStart> {
        let first = (transfer.service.clone(), transfer.range.first);
        let (start, grant) = self.grants.range(..=first).next_back()?;
        let is_idle = start.0 == transfer.service
            && grant.owned.owner == *from
            && grant.is_idle()
            && grant.owned.range.covers(transfer.range);
        is_idle.then(|| start.clone())
    }

    /// Splits the moving part off its range; the grant of the rest is still renewed.
    ///
    /// Where a grant without an answer may still take effect, the same owner first gets the keys
    /// under a greater fence. Its answer shows that the earlier grant can't take effect any more;
    /// the planner then requests the transfer again. Until the owner is known to run it keeps the
    /// keys: after a release, nobody could own them before the earlier grant has expired.
    fn begin_transfer(&mut self, now: MonoTime, start: &RangeStart, planned: &Transfer) {
        let Some(mut old) = self.grants.remove(start) else {
            return;
        };
        let ending = self.ending(&old.owned.owner);
        if let Ending::Succeeded(successor) = ending
            && now < old.free_at()
        {
            if self.known_running.contains(successor) {
                old.pending_transfer = Some(PendingTransfer::to_successor(successor.clone()));
            }
            old.due_at = now;
            self.grants.insert(start.clone(), old);
            return;
        }
        let is_ended = ending != Ending::NotKnown;
        if now < old.uncertain_until() && !is_ended {
            if self.known_running.contains(&old.owned.owner) {
                old.is_refencing = true;
                self.effects
                    .push(GrantEffect::Propose(old.refencing_move(&start.0)));
            }
            self.grants.insert(start.clone(), old);
            return;
        }
        for rest in old.owned.range.without(planned.range).into_iter().flatten() {
            let mut kept = old.clone();
            kept.owned.range = rest;
            self.grants.insert((start.0.clone(), rest.first), kept);
        }
        old.owned.range = planned.range;
        let mut pending = PendingTransfer::new(planned.to.clone());
        pending.is_released = is_ended;
        old.pending_transfer = Some(pending);
        old.due_at = now;
        let first = planned.range.first;
        self.grants.insert((start.0.clone(), first), old);
    }

    fn on_move_failed(&mut self, now: MonoTime, service: ServiceName, first: Key) {
        let Some(grant) = self.grants.get_mut(&(service, first)) else {
            return;
        };
        grant.is_refencing = false;
        grant.due_at = now + self.config.retry_interval;
        if let Some(pending) = &mut grant.pending_transfer {
            pending.is_proposed = false;
        }
    }

    fn run_due_steps(&mut self, now: MonoTime) {
        self.visited_range_count += self.grants.len() as u64;
        let due = self.grants.iter().filter_map(|(start, grant)| {
            let step = self.next_step(now, grant);
            (!matches!(step, GrantStep::Wait)).then(|| (start.clone(), step))
        });
        for (start, step) in due.collect::<Vec<_>>() {
            if let Some(mut grant) = self.grants.remove(&start) {
                self.take_step(&start, &mut grant, &step);
                self.grants.insert(start, grant);
            }
        }
    }

    fn take_step(&mut self, start: &RangeStart, grant: &mut RangeGrant, step: &GrantStep) {
        match step {
            GrantStep::Wait => {}
            GrantStep::Grant => {
                let content = GrantCall::Grant {
                    range: grant.owned.range,
                    fence: grant.owned.fence,
                    hold: self.config.hold,
                    handover: grant.owned.handover.clone(),
                };
                self.call(start, grant, content, false);
            }
            GrantStep::Refence => {
                grant.is_refencing = true;
                self.effects
                    .push(GrantEffect::Propose(grant.refencing_move(&start.0)));
            }
            GrantStep::Release => {
                let content = GrantCall::Release {
                    range: grant.owned.range,
                    fence: grant.owned.fence,
                };
                self.call(start, grant, content, true);
            }
            GrantStep::Propose => {
                let Some(pending) = &mut grant.pending_transfer else {
                    return;
                };
                pending.is_proposed = true;
                let pending = pending.clone();
                let change = grant.final_move(&start.0, &pending);
                self.effects.push(GrantEffect::Propose(change));
            }
        }
    }

    fn next_step(&self, now: MonoTime, grant: &RangeGrant) -> GrantStep {
        let is_known_running = self.known_running.contains(&grant.owned.owner);
        match &grant.pending_transfer {
            Some(pending) if pending.is_proposed => GrantStep::Wait,
            Some(pending) if pending.is_released => {
                if now >= grant.free_at().max(grant.due_at) {
                    GrantStep::Propose
                } else {
                    GrantStep::Wait
                }
            }
            Some(_) if grant.call.is_none() && now >= grant.free_at().max(grant.due_at) => {
                GrantStep::Propose
            }
            Some(_) if grant.call.is_none() && now >= grant.due_at => GrantStep::Release,
            Some(_) => GrantStep::Wait,
            None if !grant.is_idle() || !is_known_running => GrantStep::Wait,
            None if now < self.grant_due_at(grant) => GrantStep::Wait,
            None if grant.link == FenceLink::Lost => GrantStep::Refence,
            None => GrantStep::Grant,
        }
    }

    /// Returns when the next grant of a range is due. While a call of a former leader may arrive, a
    /// process that starts again under the id of its server could take keys under the smaller fence
    /// of that call.
    fn grant_due_at(&self, grant: &RangeGrant) -> MonoTime {
        if grant.owned.owner.may_share_its_id() {
            grant.due_at.max(self.former_calls_until)
        } else {
            grant.due_at
        }
    }

    fn call(
        &mut self,
        start: &RangeStart,
        grant: &mut RangeGrant,
        content: GrantCall,
        is_release: bool,
    ) {
        self.last_call += 1;
        let id = self.last_call;
        grant.call = Some(PendingCall { id, is_release });
        self.calls.insert(id, start.clone());
        self.effects.push(GrantEffect::Call {
            call: id,
            service: start.0.clone(),
            to: grant.owned.owner.clone(),
            content,
            link: grant.link.required().filter(|_| !is_release),
        });
    }
}

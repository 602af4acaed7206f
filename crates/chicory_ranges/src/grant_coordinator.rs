//! Pushes grants to backend servers and takes keys back.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{MonoTime, ServiceName};

use crate::grant_coordinator_config::{CALL_TIMEOUT, GrantCoordinatorConfig};
use crate::grant_step::GrantStep;
use crate::tenure::{Departure, PendingCall, Tenure};
use crate::{
    CallId, CallOutcome, Fence, GrantCall, GrantEffect, GrantEvent, Key, KeyRange, OwnedRange,
    RangeMove, RangeRegistry, ServerIncarnation, Transfer,
};

type Place = (ServiceName, Key);

/// Pushes the grants of a [`RangeRegistry`], renews them, and moves keys from owner to owner.
///
/// Only a leader runs one, from its election on, and carries out its effects only while it holds
/// its lease. Keys get their next owner once the former one has released them, or once every
/// grant that may have reached it has run out.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{GrantCoordinator, GrantCoordinatorConfig, GrantEvent, RangeRegistry};
/// use std::time::Duration;
///
/// let book = RangeRegistry::default();
/// let mut desk = GrantCoordinator::new(GrantCoordinatorConfig::default(), Duration::ZERO, &book);
/// assert!(desk.reduce(Duration::ZERO, GrantEvent::Tick, &book).is_empty());
/// ```
#[derive(Debug)]
pub struct GrantCoordinator {
    config: GrantCoordinatorConfig,
    tenures: BTreeMap<Place, Tenure>,
    /// Lives whose process is known to run: announced since the last broken connection.
    verified: BTreeSet<ServerIncarnation>,
    /// Lives whose process has ended.
    ended: BTreeSet<ServerIncarnation>,
    calls: BTreeMap<CallId, Place>,
    last_call: CallId,
    /// Before this moment a grant of a former leader may still hold.
    former_leader_until: MonoTime,
    /// Greater fences were given out in this leadership: no former leader granted them.
    inherited_fence: Fence,
    visit_count: u64,
    effects: Vec<GrantEffect>,
}

impl GrantCoordinator {
    /// Starts a leader's desk at its election, once all that was ever committed is in `book`.
    #[must_use]
    pub fn new(config: GrantCoordinatorConfig, elected_at: MonoTime, book: &RangeRegistry) -> Self {
        let former_leader_until = elected_at + CALL_TIMEOUT + config.grant_expiry();
        let mut desk = Self {
            config,
            tenures: BTreeMap::new(),
            verified: BTreeSet::new(),
            ended: BTreeSet::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            former_leader_until,
            inherited_fence: book.last_fence(),
            visit_count: 0,
            effects: Vec::new(),
        };
        desk.follow_book(elected_at, book);
        desk
    }

    /// Takes in one event and returns the effects to carry out, in order.
    pub fn reduce(
        &mut self,
        now: MonoTime,
        event: GrantEvent,
        book: &RangeRegistry,
    ) -> Vec<GrantEffect> {
        self.reduce_all(now, [event], book)
    }

    /// Takes in events that came together and returns the effects to carry out, in order.
    ///
    /// What concerns all ranges is done once: hundreds come together when many servers leave.
    pub fn reduce_all(
        &mut self,
        now: MonoTime,
        events: impl IntoIterator<Item = GrantEvent>,
        book: &RangeRegistry,
    ) -> Vec<GrantEffect> {
        let mut follows_book = false;
        for event in events {
            match event {
                GrantEvent::Tick => {}
                GrantEvent::RegistryChanged if follows_book => {}
                GrantEvent::RegistryChanged => {
                    follows_book = true;
                    self.follow_book(now, book);
                }
                GrantEvent::CallEnded { call, outcome } => self.on_call_ended(now, call, outcome),
                GrantEvent::Announced(incarnation) => self.on_announced(now, &incarnation),
                GrantEvent::Ended(incarnation) => self.on_ended(now, incarnation),
                GrantEvent::Transfer(transfer) => self.on_transfer(now, transfer),
                GrantEvent::MoveFailed { service, first } => {
                    self.on_move_failed(now, service, first);
                }
            }
        }
        self.run_due(now);
        std::mem::take(&mut self.effects)
    }

    /// When the next [`Tick`](GrantEvent::Tick) is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<MonoTime> {
        let waits = self
            .tenures
            .values()
            .filter_map(|tenure| self.wakeup_of(tenure));
        waits.min()
    }

    /// Ranges that were looked at since the start: the work that was done.
    #[must_use]
    pub fn visit_count(&self) -> u64 {
        self.visit_count
    }

    /// Ranges of a service that are on their way, with their next owners.
    pub fn pending_transfers(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (KeyRange, &ServerIncarnation)> {
        let tenures = self.tenures.iter();
        tenures
            .filter(move |((of, _), _)| of == service)
            .filter_map(|(_, tenure)| {
                let departure = tenure.departure.as_ref()?;
                Some((tenure.owned.range, &departure.to))
            })
    }

    /// Ranges of all services that their owners are giving up, have not been granted yet or hold no
    /// longer, each with its fence: requests for them would be turned away.
    pub fn moving(&self, now: MonoTime) -> impl Iterator<Item = (&ServiceName, KeyRange, Fence)> {
        // The owner's clock may run fast: it stops when the bare hold is over.
        let slack = self.config.grant_expiry().saturating_sub(self.config.hold);
        let moving = self.tenures.iter().filter(move |(_, tenure)| {
            let has_run_out = now + slack >= tenure.answered_until;
            tenure.departure.is_some() || !tenure.is_granted || has_run_out
        });
        moving.map(|((service, _), t)| (service, t.owned.range, t.owned.fence))
    }

    /// Whether a grant of some keys may still hold at a server.
    #[must_use]
    pub fn may_hold(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let mut tenures = self.tenures.values();
        tenures.any(|tenure| tenure.owned.owner == *incarnation && now < tenure.free_at())
    }

    fn wakeup_of(&self, tenure: &Tenure) -> Option<MonoTime> {
        match &tenure.departure {
            Some(departure) if departure.is_proposed => None,
            Some(departure) if departure.is_released => Some(tenure.free_at()),
            Some(_) if tenure.call.is_none() => Some(tenure.free_at().min(tenure.due_at)),
            Some(_) => Some(tenure.free_at()),
            None if !tenure.is_settled() => None,
            None if !self.verified.contains(&tenure.owned.owner) => None,
            None => Some(tenure.due_at),
        }
    }

    /// Makes tenures match the book; parts that are about to move stay apart.
    fn follow_book(&mut self, now: MonoTime, book: &RangeRegistry) {
        self.visit_count += self.tenures.len() as u64;
        let is_current = |(service, _): &Place, tenure: &mut Tenure| {
            let range = tenure.owned.range;
            let current = book.owner(service, range.first);
            current.is_some_and(|c| c.fence == tenure.owned.fence && c.range.covers(range))
        };
        let past: BTreeMap<Place, Tenure> = self
            .tenures
            .extract_if(.., |place, tenure| !is_current(place, tenure))
            .collect();
        for (service, owned) in book.all_ranges() {
            self.add_missing(now, service, owned, &past);
        }
        let tenures = &self.tenures;
        self.calls.retain(|_, place| tenures.contains_key(place));
    }

    fn add_missing(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        owned: &OwnedRange,
        past: &BTreeMap<Place, Tenure>,
    ) {
        let mut at = u32::from(owned.range.first);
        while let Ok(first) = Key::try_from(at) {
            if first > owned.range.last {
                return;
            }
            let place = (service.clone(), first);
            let known = self
                .tenures
                .get(&place)
                .map(|tenure| tenure.owned.range.last);
            if let Some(last) = known {
                at = u32::from(last) + 1;
                continue;
            }
            let next = self.tenures.range((service.clone(), first)..).next();
            let end = match next {
                Some(((of, start), _)) if of == service && *start <= owned.range.last => start - 1,
                _ => owned.range.last,
            };
            let missing = OwnedRange {
                range: KeyRange::new(first, end),
                ..owned.clone()
            };
            let mut tenure = self.new_tenure(now, missing);
            let of_service = past.iter().filter(|((of, _), _)| of == service);
            tenure.inherit(of_service.map(|(_, former)| former));
            self.tenures.insert(place, tenure);
            at = u32::from(end) + 1;
        }
    }

    /// A range under a fence that this desk has made no call for.
    fn new_tenure(&self, now: MonoTime, owned: OwnedRange) -> Tenure {
        let is_own = owned.fence > self.inherited_fence;
        let held_until = if is_own {
            now
        } else {
            self.former_leader_until
        };
        let is_ended = self.ended.contains(&owned.owner);
        Tenure {
            is_granted: !is_own,
            is_own,
            owned,
            answered_until: if is_ended { now } else { held_until },
            unanswered_until: now,
            older_until: if is_ended { now } else { held_until },
            call: None,
            due_at: now,
            is_refencing: false,
            departure: None,
        }
    }

    fn on_announced(&mut self, now: MonoTime, incarnation: &ServerIncarnation) {
        self.ended.remove(incarnation);
        if !self.verified.insert(incarnation.clone()) {
            return;
        }
        let tenures = self.tenures.values_mut();
        for tenure in tenures.filter(|t| t.owned.owner == *incarnation && t.call.is_none()) {
            tenure.due_at = now;
        }
    }

    fn on_ended(&mut self, now: MonoTime, incarnation: ServerIncarnation) {
        self.verified.remove(&incarnation);
        let tenures = self.tenures.values_mut();
        for tenure in tenures.filter(|t| t.owned.owner == incarnation) {
            tenure.answered_until = now;
            tenure.unanswered_until = now;
            tenure.older_until = now;
            if let Some(departure) = &mut tenure.departure {
                departure.is_released = true;
            }
        }
        self.ended.insert(incarnation);
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
        let Some(place) = self.settled_place(&transfer, &from) else {
            return;
        };
        self.begin_departure(now, &place, &transfer);
    }

    /// Where the tenure of the keys begins, if `from` owns them and nothing is under way there.
    fn settled_place(&self, transfer: &Transfer, from: &ServerIncarnation) -> Option<Place> {
        let first = (transfer.service.clone(), transfer.range.first);
        let (place, tenure) = self.tenures.range(..=first).next_back()?;
        let is_settled = place.0 == transfer.service
            && tenure.owned.owner == *from
            && tenure.is_settled()
            && tenure.owned.range.covers(transfer.range);
        is_settled.then(|| place.clone())
    }

    /// Cuts the moving part out of its tenure; the rest goes on being renewed.
    ///
    /// Where a grant without an answer may still take effect, the owner first gets the same keys
    /// under a greater fence. Its answer shows that the earlier grant can do nothing any more; the
    /// planner then asks again. Until the owner is known to run it keeps the keys: once released,
    /// nobody could have them before the earlier grant has run out.
    fn begin_departure(&mut self, now: MonoTime, place: &Place, transfer: &Transfer) {
        let Some(mut whole) = self.tenures.remove(place) else {
            return;
        };
        let is_ended = self.ended.contains(&whole.owned.owner);
        if now < whole.uncertain_until() && !is_ended {
            if self.verified.contains(&whole.owned.owner) {
                whole.is_refencing = true;
                self.effects
                    .push(GrantEffect::Propose(whole.refencing_move(&place.0)));
            }
            self.tenures.insert(place.clone(), whole);
            return;
        }
        for rest in whole
            .owned
            .range
            .without(transfer.range)
            .into_iter()
            .flatten()
        {
            let mut kept = whole.clone();
            kept.owned.range = rest;
            self.tenures.insert((place.0.clone(), rest.first), kept);
        }
        whole.owned.range = transfer.range;
        let mut departure = Departure::new(transfer.to.clone());
        departure.is_released = is_ended;
        whole.departure = Some(departure);
        whole.due_at = now;
        let first = transfer.range.first;
        self.tenures.insert((place.0.clone(), first), whole);
    }

    fn on_move_failed(&mut self, now: MonoTime, service: ServiceName, first: Key) {
        let Some(tenure) = self.tenures.get_mut(&(service, first)) else {
            return;
        };
        tenure.is_refencing = false;
        if let Some(departure) = &mut tenure.departure {
            departure.is_proposed = false;
            tenure.due_at = now + self.config.retry_interval;
        }
    }

    fn on_call_ended(&mut self, now: MonoTime, call: CallId, outcome: CallOutcome) {
        let Some(place) = self.calls.remove(&call) else {
            return;
        };
        let Some(mut tenure) = self.tenures.remove(&place) else {
            return;
        };
        let Some(pending) = tenure.call.take_if(|pending| pending.id == call) else {
            // The keys have gone to another tenure meanwhile, which this call says nothing about.
            self.tenures.insert(place, tenure);
            return;
        };
        let owner = tenure.owned.owner.clone();
        let is_broken = matches!(
            outcome,
            CallOutcome::Unanswered | CallOutcome::Unreachable | CallOutcome::ConnectionRefused
        );
        if is_broken {
            self.verified.remove(&owner);
        }
        if pending.is_release {
            self.end_release(now, &mut tenure, outcome);
        } else {
            self.end_grant(now, &place, &mut tenure, &outcome);
        }
        self.tenures.insert(place, tenure);
    }

    fn end_grant(
        &mut self,
        now: MonoTime,
        place: &Place,
        tenure: &mut Tenure,
        outcome: &CallOutcome,
    ) {
        let outwait = now + self.config.grant_expiry();
        tenure.due_at = now + self.config.retry_interval;
        match outcome {
            CallOutcome::Done { .. } => {
                tenure.is_granted = true;
                tenure.answered_until = outwait;
                // The server has seen this fence: calls under a smaller one change nothing there.
                if tenure.is_own {
                    tenure.older_until = now;
                }
                tenure.due_at = now + self.config.renewal_interval;
            }
            CallOutcome::Unanswered => {
                tenure.unanswered_until = tenure.unanswered_until.max(outwait);
            }
            // The server knows a greater fence than the book: only a still greater one helps.
            CallOutcome::Fenced => {
                tenure.is_refencing = true;
                self.effects
                    .push(GrantEffect::Propose(tenure.refencing_move(&place.0)));
            }
            CallOutcome::Rejected | CallOutcome::Unreachable | CallOutcome::ConnectionRefused => {}
        }
    }

    fn end_release(&mut self, now: MonoTime, tenure: &mut Tenure, outcome: CallOutcome) {
        tenure.due_at = now + self.config.retry_interval;
        let Some(departure) = &mut tenure.departure else {
            return;
        };
        if let CallOutcome::Done { handover } = outcome {
            departure.is_released = true;
            departure.handover = handover;
        }
    }

    fn run_due(&mut self, now: MonoTime) {
        self.visit_count += self.tenures.len() as u64;
        let due = self.tenures.iter().filter_map(|(place, tenure)| {
            let step = self.next_step(now, tenure);
            (!matches!(step, GrantStep::Wait)).then(|| (place.clone(), step))
        });
        for (place, step) in due.collect::<Vec<_>>() {
            if let Some(mut tenure) = self.tenures.remove(&place) {
                self.take_step(&place, &mut tenure, &step);
                self.tenures.insert(place, tenure);
            }
        }
    }

    fn take_step(&mut self, place: &Place, tenure: &mut Tenure, step: &GrantStep) {
        match step {
            GrantStep::Wait => {}
            GrantStep::Grant => {
                let content = GrantCall::Grant {
                    range: tenure.owned.range,
                    fence: tenure.owned.fence,
                    hold: self.config.hold,
                    handover: tenure.owned.handover.clone(),
                };
                self.call(place, tenure, content, false);
            }
            GrantStep::Release => {
                let content = GrantCall::Release {
                    range: tenure.owned.range,
                    fence: tenure.owned.fence,
                };
                self.call(place, tenure, content, true);
            }
            GrantStep::Propose => {
                let Some(departure) = &mut tenure.departure else {
                    return;
                };
                departure.is_proposed = true;
                let departure = departure.clone();
                let change = tenure.final_move(&place.0, &departure);
                self.effects.push(GrantEffect::Propose(change));
            }
        }
    }

    fn next_step(&self, now: MonoTime, tenure: &Tenure) -> GrantStep {
        let is_verified = self.verified.contains(&tenure.owned.owner);
        match &tenure.departure {
            Some(departure) if departure.is_proposed => GrantStep::Wait,
            Some(departure) if departure.is_released && now >= tenure.free_at() => {
                GrantStep::Propose
            }
            Some(departure) if departure.is_released => GrantStep::Wait,
            Some(_) if tenure.call.is_none() && now >= tenure.free_at() => GrantStep::Propose,
            Some(_) if tenure.call.is_none() && now >= tenure.due_at => GrantStep::Release,
            Some(_) => GrantStep::Wait,
            None if !tenure.is_settled() || !is_verified || now < tenure.due_at => GrantStep::Wait,
            None => GrantStep::Grant,
        }
    }

    fn call(&mut self, place: &Place, tenure: &mut Tenure, content: GrantCall, is_release: bool) {
        self.last_call += 1;
        let id = self.last_call;
        tenure.call = Some(PendingCall { id, is_release });
        self.calls.insert(id, place.clone());
        self.effects.push(GrantEffect::Call {
            call: id,
            service: place.0.clone(),
            to: tenure.owned.owner.clone(),
            content,
        });
    }
}

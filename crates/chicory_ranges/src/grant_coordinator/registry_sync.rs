//! Matches grants to the registry.

use std::collections::BTreeMap;

use chicory_types::{MonoTime, ServiceName};

use super::{GrantCoordinator, RangeStart};
use crate::ending::Ending;
use crate::fence_link::FenceLink;
use crate::range_grant::RangeGrant;
use crate::{Key, KeyRange, OwnedRange, RangeRegistry};

impl GrantCoordinator {
    /// Matches the grants to the registry; parts of a range that are in transfer stay separate.
    pub(super) fn sync_with_registry(&mut self, now: MonoTime, registry: &RangeRegistry) {
        self.visited_range_count += self.grants.len() as u64;
        let is_current = |(service, _): &RangeStart, grant: &mut RangeGrant| {
            let range = grant.owned.range;
            let current = registry.owner(service, range.first);
            current.is_some_and(|c| c.fence == grant.owned.fence && c.range.covers(range))
        };
        let former_grants: BTreeMap<RangeStart, RangeGrant> = self
            .grants
            .extract_if(.., |start, grant| !is_current(start, grant))
            .collect();
        for (service, owned) in registry.all_ranges() {
            self.add_missing(now, service, owned, &former_grants);
        }
        let grants = &self.grants;
        self.calls.retain(|_, start| grants.contains_key(start));
    }

    fn add_missing(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        owned: &OwnedRange,
        former_grants: &BTreeMap<RangeStart, RangeGrant>,
    ) {
        let mut at = u32::from(owned.range.first);
        while let Ok(first) = Key::try_from(at) {
            if first > owned.range.last {
                return;
            }
            let start = (service.clone(), first);
            let known = self.grants.get(&start).map(|grant| grant.owned.range.last);
            if let Some(last) = known {
                at = u32::from(last) + 1;
                continue;
            }
            let next = self.grants.range((service.clone(), first)..).next();
            let end = match next {
                Some(((of, above), _)) if of == service && *above <= owned.range.last => above - 1,
                _ => owned.range.last,
            };
            let missing = OwnedRange {
                range: KeyRange::new(first, end),
                ..owned.clone()
            };
            let mut grant = self.new_range_grant(now, missing);
            let of_service = former_grants.iter().filter(|((of, _), _)| of == service);
            let next_owner = owned.owner.clone();
            grant.inherit(of_service.map(|(_, former)| former), |former| {
                self.has_succeeded(former, &next_owner)
            });
            self.grants.insert(start, grant);
            at = u32::from(end) + 1;
        }
    }

    /// Creates the state of a range under a fence that this coordinator has made no call for.
    fn new_range_grant(&self, now: MonoTime, owned: OwnedRange) -> RangeGrant {
        let is_own_fence = owned.fence > self.inherited_fence;
        let held_until = if is_own_fence {
            now
        } else {
            self.former_leader_grants_until
        };
        let is_ended = self.ending(&owned.owner) == Ending::Ended;
        // A new leader has no connection of which it knows that the owner's process is behind it.
        let link = if !is_own_fence && owned.owner.may_share_its_id() {
            FenceLink::Lost
        } else {
            FenceLink::Any
        };
        RangeGrant {
            is_granted: !is_own_fence,
            is_own_fence,
            owned,
            answered_at: None,
            confirmed_until: if is_ended { now } else { held_until },
            inherited_until: now,
            unconfirmed_until: now,
            older_grants_until: if is_ended { now } else { held_until },
            call: None,
            link,
            due_at: now,
            is_refencing: false,
            pending_transfer: None,
        }
    }
}

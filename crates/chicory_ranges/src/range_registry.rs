//! Ownership of keys.

use std::collections::BTreeMap;

use chicory_types::ServiceName;
use snafu::ensure;

use crate::range_move::OtherOwnerSnafu;
use crate::{Fence, Key, KeyRange, MoveRejection, OwnedRange, OwnerMap, RangeMove};

/// Registry of the owners of the keys of all keyed services; replicated state.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{KeyRange, RangeMove, RangeRegistry, ServerIncarnation};
///
/// let mut registry = RangeRegistry::default();
/// let fence = registry.apply(&RangeMove {
///     service: "archive".into(),
///     range: KeyRange::ALL,
///     from: None,
///     to: ServerIncarnation::new("server-1", 7),
///     handover: None,
/// })?;
/// assert_eq!(registry.owner("archive", 42).map(|owned| owned.fence), Some(fence));
/// # Ok::<(), chicory_ranges::MoveRejection>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeRegistry {
    services: BTreeMap<ServiceName, OwnerMap>,
    last_fence: Fence,
}

impl RangeRegistry {
    /// Restores a registry from its parts.
    #[must_use]
    pub fn restore(
        last_fence: Fence,
        ranges: impl IntoIterator<Item = (ServiceName, OwnedRange)>,
    ) -> Self {
        let mut registry = Self {
            services: BTreeMap::new(),
            last_fence,
        };
        for (service, owned) in ranges {
            registry.services.entry(service).or_default().put(owned);
        }
        registry
    }

    /// Returns the greatest fence that was issued.
    #[must_use]
    pub fn last_fence(&self) -> Fence {
        self.last_fence
    }

    /// Returns the services whose keys have owners.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the owned ranges of a service, by ascending keys.
    pub fn ranges(&self, service: &str) -> impl Iterator<Item = &OwnedRange> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(OwnerMap::ranges)
    }

    /// Returns the owned ranges of all services.
    pub fn all_ranges(&self) -> impl Iterator<Item = (&ServiceName, &OwnedRange)> {
        let services = self.services.iter();
        services.flat_map(|(service, owners)| owners.ranges().map(move |owned| (service, owned)))
    }

    /// Returns the owned range that a key lies in.
    #[must_use]
    pub fn owner(&self, service: &str, key: Key) -> Option<&OwnedRange> {
        self.services.get(service)?.owner(key)
    }

    /// Applies a move and returns the fence of the new grant.
    ///
    /// # Errors
    ///
    /// [`MoveRejection`] if the keys have another owner than the move assumes; nothing changes.
    pub fn apply(&mut self, change: &RangeMove) -> Result<Fence, MoveRejection> {
        let range = change.range;
        let owners = self.services.get(&change.service);
        let overlapped = owners.map_or_else(Vec::new, |owners| owners.overlapping(range));
        let has_owner = match &change.from {
            None => overlapped.is_empty(),
            Some(from) => {
                let owned_count: u32 = overlapped
                    .iter()
                    .map(|o| shared_key_count(o.range, range))
                    .sum();
                overlapped.iter().all(|o| o.owner == *from) && owned_count == range.key_count()
            }
        };
        let service = &change.service;
        ensure!(has_owner, OtherOwnerSnafu { service, range });
        self.last_fence += 1;
        let owned = OwnedRange {
            range,
            owner: change.to.clone(),
            fence: self.last_fence,
            handover: change.handover.clone(),
        };
        self.services.entry(service.clone()).or_default().put(owned);
        Ok(self.last_fence)
    }
}

fn shared_key_count(one: KeyRange, other: KeyRange) -> u32 {
    KeyRange::new(one.first.max(other.first), one.last.min(other.last)).key_count()
}

//! Who owns which keys.

use std::collections::BTreeMap;

use chicory_types::ServiceName;
use snafu::ensure;

use crate::range_move::OtherOwnerSnafu;
use crate::{Fence, Key, KeyRange, MoveRejection, OwnedRange, RangeMove};

/// Ownership of the keys of all keyed services; replicated state.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{KeyRange, RangeBook, RangeMove, ServerLife};
///
/// let mut book = RangeBook::default();
/// let fence = book.apply(&RangeMove {
///     service: "archive".into(),
///     range: KeyRange::ALL,
///     from: None,
///     to: ServerLife::new("server-1", 7),
///     handover: None,
/// })?;
/// assert_eq!(book.owner("archive", 42).map(|owned| owned.fence), Some(fence));
/// # Ok::<(), chicory_ranges::MoveRejection>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeBook {
    services: BTreeMap<ServiceName, BTreeMap<Key, OwnedRange>>,
    last_fence: Fence,
}

impl RangeBook {
    /// Restores a book from its parts.
    #[must_use]
    pub fn restore(
        last_fence: Fence,
        ranges: impl IntoIterator<Item = (ServiceName, OwnedRange)>,
    ) -> Self {
        let mut book = Self {
            services: BTreeMap::new(),
            last_fence,
        };
        for (service, owned) in ranges {
            let of_service = book.services.entry(service).or_default();
            of_service.insert(owned.range.first, owned);
        }
        book
    }

    /// The greatest fence that was given out.
    #[must_use]
    pub fn last_fence(&self) -> Fence {
        self.last_fence
    }

    /// Services that have owners.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Owned ranges of a service, by ascending keys.
    pub fn ranges(&self, service: &str) -> impl Iterator<Item = &OwnedRange> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// All owned ranges.
    pub fn all_ranges(&self) -> impl Iterator<Item = (&ServiceName, &OwnedRange)> {
        let services = self.services.iter();
        services.flat_map(|(service, ranges)| ranges.values().map(move |owned| (service, owned)))
    }

    /// The range that a key lies in.
    #[must_use]
    pub fn owner(&self, service: &str, key: Key) -> Option<&OwnedRange> {
        let ranges = self.services.get(service)?;
        let (_, owned) = ranges.range(..=key).next_back()?;
        owned.range.contains(key).then_some(owned)
    }

    /// Carries out a move and returns the fence of the new grant.
    ///
    /// # Errors
    ///
    /// [`MoveRejection`] if the keys have another owner than the move assumes; nothing changes.
    pub fn apply(&mut self, change: &RangeMove) -> Result<Fence, MoveRejection> {
        let range = change.range;
        let overlapped = self.overlapping(&change.service, range);
        let has_owner = match &change.from {
            None => overlapped.is_empty(),
            Some(from) => {
                let owned_count: u32 = overlapped.iter().map(|o| overlap(o.range, range)).sum();
                overlapped.iter().all(|o| o.owner == *from) && owned_count == range.key_count()
            }
        };
        let service = &change.service;
        ensure!(has_owner, OtherOwnerSnafu { service, range });
        self.last_fence += 1;
        let of_service = self.services.entry(service.clone()).or_default();
        for owned in overlapped {
            of_service.remove(&owned.range.first);
            for rest in owned.range.without(range).into_iter().flatten() {
                let kept = OwnedRange {
                    range: rest,
                    ..owned.clone()
                };
                of_service.insert(rest.first, kept);
            }
        }
        let owned = OwnedRange {
            range,
            owner: change.to.clone(),
            fence: self.last_fence,
            handover: change.handover.clone(),
        };
        of_service.insert(range.first, owned);
        Ok(self.last_fence)
    }

    fn overlapping(&self, service: &str, range: KeyRange) -> Vec<OwnedRange> {
        let ranges = self.ranges(service);
        ranges
            .filter(|owned| owned.range.overlaps(range))
            .cloned()
            .collect()
    }
}

fn overlap(one: KeyRange, other: KeyRange) -> u32 {
    KeyRange::new(one.first.max(other.first), one.last.min(other.last)).key_count()
}

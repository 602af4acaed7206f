//! Owners of the keys of one service.

use std::collections::BTreeMap;

use crate::{Key, KeyRange, OwnedRange};

/// Owners of the keys of one service; no two ranges overlap.
///
/// # Examples
///
/// ```
/// use chicory_ranges::{KeyRange, OwnedRange, OwnerMap, ServerIncarnation};
///
/// let mut owners = OwnerMap::default();
/// let owned = |first, last, server: &str, fence| OwnedRange {
///     range: KeyRange::new(first, last),
///     owner: ServerIncarnation::new(server, 7),
///     fence,
///     handover: None,
/// };
/// owners.put(owned(0, 99, "server-1", 1));
/// owners.put(owned(10, 19, "server-2", 2));
/// assert_eq!(owners.owner(9).map(|owned| owned.fence), Some(1));
/// assert_eq!(owners.owner(10).map(|owned| owned.fence), Some(2));
/// assert_eq!(owners.owner(20).map(|owned| owned.fence), Some(1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerMap {
    by_first_key: BTreeMap<Key, OwnedRange>,
}

impl OwnerMap {
    /// Returns all ranges, by ascending keys.
    pub fn ranges(&self) -> impl Iterator<Item = &OwnedRange> {
        self.by_first_key.values()
    }

    /// Returns the range that a key lies in.
    #[must_use]
    pub fn owner(&self, key: Key) -> Option<&OwnedRange> {
        let (_, owned) = self.by_first_key.range(..=key).next_back()?;
        owned.range.contains(key).then_some(owned)
    }

    /// Returns the ranges that share a key with `range`, by ascending keys.
    #[must_use]
    pub fn overlapping(&self, range: KeyRange) -> Vec<OwnedRange> {
        let up_to_last = self.by_first_key.range(..=range.last);
        let overlapping = up_to_last
            .rev()
            .map(|(_, owned)| owned)
            .take_while(|owned| owned.range.overlaps(range));
        let mut overlapping: Vec<_> = overlapping.cloned().collect();
        overlapping.reverse();
        overlapping
    }

    /// Inserts a range; ranges that it overlaps are cut back to the keys outside of it.
    pub fn put(&mut self, owned: OwnedRange) {
        for former in self.overlapping(owned.range) {
            self.by_first_key.remove(&former.range.first);
            for rest in former.range.without(owned.range).into_iter().flatten() {
                let kept = OwnedRange {
                    range: rest,
                    ..former.clone()
                };
                self.by_first_key.insert(rest.first, kept);
            }
        }
        self.by_first_key.insert(owned.range.first, owned);
    }
}

impl FromIterator<OwnedRange> for OwnerMap {
    fn from_iter<I: IntoIterator<Item = OwnedRange>>(ranges: I) -> Self {
        let mut owners = Self::default();
        for owned in ranges {
            owners.put(owned);
        }
        owners
    }
}

//! Keys and ranges of keys.

use std::fmt;

/// A key of a keyed service.
pub type Key = u16;

/// Range of keys from `first` to `last`, both included.
///
/// # Examples
///
/// ```
/// use chicory_ranges::KeyRange;
///
/// let range = KeyRange::new(10, 19);
/// assert!(range.contains(19));
/// assert_eq!(range.key_count(), 10);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyRange {
    /// First key.
    pub first: Key,
    /// Last key; not below `first`.
    pub last: Key,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: Key::MIN,
        last: Key::MAX,
    };

    /// Creates the range between two keys, in whichever order they are given.
    #[must_use]
    pub fn new(one: Key, other: Key) -> Self {
        Self {
            first: one.min(other),
            last: one.max(other),
        }
    }

    /// Returns whether a key lies in the range.
    #[must_use]
    pub fn contains(self, key: Key) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns whether all of `other` lies in the range.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns whether the ranges share a key.
    #[must_use]
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn key_count(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns what is left of the range without `other`: the part below and the part above it.
    #[must_use]
    pub fn without(self, other: Self) -> [Option<Self>; 2] {
        if !self.overlaps(other) {
            return [Some(self), None];
        }
        let below = (self.first < other.first).then(|| Self::new(self.first, other.first - 1));
        let above = (self.last > other.last).then(|| Self::new(other.last + 1, self.last));
        [below, above]
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

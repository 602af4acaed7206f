//! The latest sets of moving ranges.

use std::collections::{BTreeSet, VecDeque};

use crate::{MovesChange, MovingRange};

/// Number of a set of moving ranges; each change increases it by one, and 0 means no set.
pub type MovesVersion = u64;

/// Maximum number of sets that are kept. Followers that read their link lag by only one or two.
const MAX_SETS: usize = 8;

/// The current set of moving ranges and the sets before it, so that only the difference has to be
/// sent to followers.
///
/// # Examples
///
/// ```
/// use chicory_directory::MovesHistory;
/// use std::collections::BTreeSet;
///
/// let mut history = MovesHistory::default();
/// assert!(!history.record(BTreeSet::new()));
/// assert!(history.change_since(0).is_full);
/// ```
#[derive(Clone, Debug)]
pub struct MovesHistory {
    /// Sets from oldest to newest; never empty.
    sets: VecDeque<(MovesVersion, BTreeSet<MovingRange>)>,
}

impl Default for MovesHistory {
    fn default() -> Self {
        Self {
            sets: VecDeque::from([(1, BTreeSet::new())]),
        }
    }
}

impl MovesHistory {
    /// Records the ranges that move now and returns whether they differ from the newest set.
    pub fn record(&mut self, moving: BTreeSet<MovingRange>) -> bool {
        if self
            .sets
            .back()
            .is_some_and(|(_, newest)| *newest == moving)
        {
            return false;
        }
        let version = self.version() + 1;
        self.sets.push_back((version, moving));
        if self.sets.len() > MAX_SETS {
            self.sets.pop_front();
        }
        true
    }

    /// Returns the number of the newest set.
    #[must_use]
    pub fn version(&self) -> MovesVersion {
        self.sets.back().map_or(0, |(version, _)| *version)
    }

    /// Returns the change that brings a follower from the set of version `sent` to the newest one.
    ///
    /// The change is full if that set is no longer kept.
    #[must_use]
    pub fn change_since(&self, sent: MovesVersion) -> MovesChange {
        let Some((_, newest)) = self.sets.back() else {
            return MovesChange::full(&BTreeSet::new());
        };
        let known = self.sets.iter().find(|(version, _)| *version == sent);
        known.map_or_else(
            || MovesChange::full(newest),
            |(_, known)| MovesChange::between(known, newest),
        )
    }
}

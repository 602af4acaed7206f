//! Sets of moving keys of before.

use std::collections::{BTreeSet, VecDeque};

use crate::{MovesChange, MovingRange};

/// Number of a set of moving keys; each change gives the next one, 0 stands for none.
pub type MovesVersion = u64;

/// Sets that are remembered: followers that read lag by one or two.
const MAX_SETS: usize = 8;

/// Which keys move, and which did before, so that followers can be told the difference.
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
    /// The newest set is the last one; there always is one.
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
    /// Takes in which keys move now; whether that is a change.
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

    /// Number of the newest set.
    #[must_use]
    pub fn version(&self) -> MovesVersion {
        self.sets.back().map_or(0, |(version, _)| *version)
    }

    /// What leads a follower from the set that it was told to the newest one.
    #[must_use]
    pub fn change_since(&self, told: MovesVersion) -> MovesChange {
        let Some((_, newest)) = self.sets.back() else {
            return MovesChange::full(&BTreeSet::new());
        };
        let known = self.sets.iter().find(|(version, _)| *version == told);
        known.map_or_else(
            || MovesChange::full(newest),
            |(_, known)| MovesChange::between(known, newest),
        )
    }
}

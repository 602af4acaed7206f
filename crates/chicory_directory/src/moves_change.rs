//! Changes of the set of keys in transfer between owners.

use std::collections::BTreeSet;

use crate::MovingRange;

/// Transfers of keys between owners that began or ended since the last change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MovesChange {
    /// Whether `begun` lists all moving ranges and replaces those that the receiver has.
    pub is_full: bool,
    /// Ranges whose transfer began.
    pub begun: Vec<MovingRange>,
    /// Ranges whose transfer ended, equal to the values that were sent when it began.
    pub ended: Vec<MovingRange>,
}

impl MovesChange {
    /// Returns the change that turns the set `former` into `latter`.
    #[must_use]
    pub fn between(former: &BTreeSet<MovingRange>, latter: &BTreeSet<MovingRange>) -> Self {
        Self {
            is_full: false,
            begun: latter.difference(former).cloned().collect(),
            ended: former.difference(latter).cloned().collect(),
        }
    }

    /// Returns a full change, which replaces any set with `moving`.
    #[must_use]
    pub fn full(moving: &BTreeSet<MovingRange>) -> Self {
        Self {
            is_full: true,
            begun: moving.iter().cloned().collect(),
            ended: Vec::new(),
        }
    }

    /// Applies the change to a set of moving ranges.
    pub fn apply(self, moving: &mut BTreeSet<MovingRange>) {
        if self.is_full {
            moving.clear();
        }
        for range in &self.ended {
            moving.remove(range);
        }
        moving.extend(self.begun);
    }
}

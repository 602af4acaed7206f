//! Changes of the keys on their way.

use std::collections::BTreeSet;

use crate::MovingRange;

/// Which keys began or ended to move since the last change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MovesChange {
    /// Whether nothing else moves: `begun` replaces what the receiver knows.
    pub is_full: bool,
    /// Ranges that began to move.
    pub begun: Vec<MovingRange>,
    /// Ranges that no longer move, as they were told when they began.
    pub ended: Vec<MovingRange>,
}

impl MovesChange {
    /// What leads from one set of moving ranges to another.
    #[must_use]
    pub fn between(former: &BTreeSet<MovingRange>, latter: &BTreeSet<MovingRange>) -> Self {
        Self {
            is_full: false,
            begun: latter.difference(former).cloned().collect(),
            ended: former.difference(latter).cloned().collect(),
        }
    }

    /// All ranges that move.
    #[must_use]
    pub fn full(moving: &BTreeSet<MovingRange>) -> Self {
        Self {
            is_full: true,
            begun: moving.iter().cloned().collect(),
            ended: Vec::new(),
        }
    }

    /// Carries the change out.
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

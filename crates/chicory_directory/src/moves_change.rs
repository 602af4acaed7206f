//! Changes of the keys on their way.

use crate::MovingRange;

/// Which keys began or ended to move since the last status or change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MovesChange {
    /// Ranges that began to move.
    pub begun: Vec<MovingRange>,
    /// Ranges that no longer move, as they were told when they began.
    pub ended: Vec<MovingRange>,
}

impl MovesChange {
    /// What leads from one list of moving ranges to another.
    #[must_use]
    pub fn between(former: &[MovingRange], latter: &[MovingRange]) -> Self {
        let without = |one: &[MovingRange], other: &[MovingRange]| {
            let ranges = one.iter().filter(|range| !other.contains(range));
            ranges.cloned().collect()
        };
        Self {
            begun: without(latter, former),
            ended: without(former, latter),
        }
    }

    /// Carries the change out.
    pub fn apply(self, moving: &mut Vec<MovingRange>) {
        moving.retain(|range| !self.ended.contains(range));
        moving.extend(self.begun);
    }
}

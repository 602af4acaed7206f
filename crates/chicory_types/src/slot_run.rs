//! Runs of consecutive slots.

use serde::{Deserialize, Serialize};

use crate::Slot;

/// An inclusive run of consecutive slots, the compact form of slot assignments and custody.
///
/// # Examples
///
/// ```
/// use chicory_types::SlotRun;
///
/// let runs = SlotRun::from_slots([4, 5, 6, 9]);
/// assert_eq!(runs, vec![SlotRun::new(4, 6), SlotRun::new(9, 9)]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotRun {
    /// First slot of the run.
    pub first: Slot,
    /// Last slot of the run, not below `first`.
    pub last: Slot,
}

impl SlotRun {
    /// Creates the run from `first` to `last`, both included.
    #[must_use]
    pub fn new(first: Slot, last: Slot) -> Self {
        Self { first, last }
    }

    /// Returns whether the run contains `slot`.
    #[must_use]
    pub fn contains(self, slot: Slot) -> bool {
        (self.first..=self.last).contains(&slot)
    }

    /// Returns an iterator over the slots of the run.
    pub fn slots(self) -> impl Iterator<Item = Slot> {
        self.first..=self.last
    }

    /// Packs slots, which must be in ascending order, into as few runs as possible.
    #[must_use]
    pub fn from_slots(slots: impl IntoIterator<Item = Slot>) -> Vec<Self> {
        let mut runs: Vec<Self> = Vec::new();
        for slot in slots {
            match runs.last_mut() {
                Some(run) if run.last + 1 == slot => run.last = slot,
                _ => runs.push(Self::new(slot, slot)),
            }
        }
        runs
    }
}

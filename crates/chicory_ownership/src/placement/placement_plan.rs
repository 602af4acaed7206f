//! Result of a placement policy.

use chicory_types::Slot;

/// Assignment of a free slot to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAssignment {
    /// The slot.
    pub slot: Slot,
    /// Index of the server in [`PlacementInput::servers`](crate::PlacementInput::servers).
    pub server: u16,
}

/// Result of a placement policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Assignments of free slots.
    pub assign: Vec<SlotAssignment>,
    /// Owned slots that their owner must release.
    pub release: Vec<Slot>,
}

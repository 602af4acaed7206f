//! What a placement decided.

use chicory_types::Slot;

/// A free slot that gets an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAssignment {
    /// The slot.
    pub slot: Slot,
    /// Index of the server in [`PlacementInput::servers`](crate::PlacementInput::servers).
    pub server: u16,
}

/// What a placement decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Free slots that get an owner.
    pub assign: Vec<SlotAssignment>,
    /// Owned slots that their owner must give up.
    pub release: Vec<Slot>,
}

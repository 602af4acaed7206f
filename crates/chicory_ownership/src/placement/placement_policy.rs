//! The border between the leader and the ways to place slots.

use crate::{PlacementInput, PlacementPlan};

/// A way to place the slots of one service.
///
/// A policy never takes a slot from one server for another in one step: it asks for the release,
/// and places the slot once it is free.
pub trait PlacementPolicy {
    /// Places every free slot, unless no server accepts any.
    fn place(&mut self, input: &PlacementInput<'_>) -> PlacementPlan;

    /// Chooses slots to release for the sake of balance; asked now and then.
    fn rebalance(&mut self, input: &PlacementInput<'_>) -> PlacementPlan;
}

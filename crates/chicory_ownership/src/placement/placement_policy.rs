//! Interface between the zone leader and placement policies.

use crate::{PlacementInput, PlacementPlan};

/// Policy that places the slots of one service.
///
/// A policy never moves a slot from one server to another in one step. It requests the release of
/// the slot, and places the slot once it is free.
pub trait PlacementPolicy {
    /// Places every free slot, or none if no server accepts slots.
    fn place(&mut self, input: &PlacementInput<'_>) -> PlacementPlan;

    /// Selects slots to release in order to balance load. It is called periodically.
    fn rebalance(&mut self, input: &PlacementInput<'_>) -> PlacementPlan;
}

//! Placement policies, which assign the slots of a keyed service to servers.

mod free_slots;
mod greedy_placement;
mod load_queue;
mod min_max_placement;
mod placement_input;
mod placement_kind;
mod placement_plan;
mod placement_policy;
mod rendezvous_placement;

pub use greedy_placement::{
    CHURN_BURST_SLOTS, CHURN_SLOTS_PER_MINUTE, GreedyPlacement, REBALANCE_START_PERCENT,
    REBALANCE_STOP_PERCENT,
};
pub use min_max_placement::MinMaxPlacement;
pub use placement_input::{PlacementInput, PlacementServer, SlotPlace};
pub use placement_kind::PlacementKind;
pub use placement_plan::{PlacementPlan, SlotAssignment};
pub use placement_policy::PlacementPolicy;
pub use rendezvous_placement::RendezvousPlacement;

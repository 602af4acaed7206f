//! Changes to the view of an availability zone, which the zone group sends to its entry processes.

mod slot_owner;
mod view_change;

pub use slot_owner::SlotOwner;
pub use view_change::ViewChange;

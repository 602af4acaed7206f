//! Changes of the view that entry processes have of their availability zone.

mod slot_owner;
mod view_change;

pub use slot_owner::SlotOwner;
pub use view_change::ViewChange;

//! The state machine of the global group.

mod global_entry;
mod global_machine;
mod zone_formation;

pub use global_entry::GlobalEntry;
pub use global_machine::GlobalMachine;
pub use zone_formation::ZoneFormation;

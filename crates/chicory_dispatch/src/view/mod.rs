//! The view of the availability zone.

mod directory;
mod directory_server;
mod server_slots;
mod slot_map;
mod slot_state;

pub use directory::Directory;
pub use directory::ServerIndex;
pub use directory_server::DirectoryServer;
pub use server_slots::ServerSlots;
pub(crate) use slot_map::SlotMap;
pub use slot_state::SlotState;

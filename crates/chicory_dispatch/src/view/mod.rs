//! The view of the availability zone.

mod directory;
mod directory_server;
mod holdings;
mod slot_map;
mod slot_state;

pub use directory::Directory;
pub use directory::ServerIndex;
pub use directory_server::DirectoryServer;
pub use holdings::Holdings;
pub(crate) use slot_map::SlotMap;
pub use slot_state::SlotState;

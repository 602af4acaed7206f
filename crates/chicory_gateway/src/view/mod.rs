//! What an entry VM knows of its site.

mod cold_servers;
mod directory;
mod evacuations;
mod update_outcome;

pub use directory::Directory;
pub use evacuations::Evacuations;
pub use update_outcome::UpdateOutcome;

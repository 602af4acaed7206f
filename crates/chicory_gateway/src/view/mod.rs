//! What an entry VM knows of its site.

mod directory;

pub use directory::Directory;

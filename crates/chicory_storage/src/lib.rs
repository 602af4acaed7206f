//! Checksummed log segments and snapshots under one data folder.
//!
//! A replica sends a message that other replicas rely on, such as a vote, only after the state
//! behind it is durable, so every write here ends with an fsync. Changes that accumulate during a
//! write are written as one record, which needs only one fsync.
//!
//! - [`DataFolder`] locks the folder and checks which process it belongs to.
//! - [`GroupStorage`] stores the state of one group in the folder.
//! - [`Disk`] is the interface to the file system; [`MemoryDisk`] implements it in memory and fails
//!   on demand.

mod data_folder;
mod disk;
mod files;
mod folder_identity;
mod group_storage;
mod memory_disk;
mod real_disk;
mod record;
mod replay;
mod segment_reader;
mod snapshot_store;
mod storage_error;

pub use data_folder::DataFolder;
pub use disk::Disk;
pub use folder_identity::FolderIdentity;
pub use group_storage::{GroupStorage, SEGMENT_BYTES};
pub use memory_disk::MemoryDisk;
pub use real_disk::RealDisk;
pub use storage_error::{Damage, DiskOperation, IdentityField, StorageError};

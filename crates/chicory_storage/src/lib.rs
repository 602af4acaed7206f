//! Checksummed log segments and snapshots under one data folder.
//!
//! A promise of a replica goes out only once the state behind it is durable, so every write here
//! ends with an fsync. What gathered in the meantime is written as one record, and needs one fsync.
//!
//! - [`DataFolder`] locks the folder and checks whose it is.
//! - [`GroupStorage`] holds the state of one group in it.
//! - [`Disk`] is the border to the file system; [`MemoryDisk`] fails on demand.

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

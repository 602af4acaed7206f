//! Where the state of the global group is made durable.

use chicory_storage::{GroupStorage, StorageError};

use crate::PersistRequest;

/// Where the state of the global group is made durable.
pub trait GlobalStore {
    /// Makes state durable; it is when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError`] for a failure, after which nothing more is written.
    fn persist(&mut self, request: PersistRequest) -> Result<(), StorageError>;
}

/// For processes without a part in the global group, which have nothing to store.
#[derive(Clone, Copy, Debug)]
pub struct NoStore;

impl GlobalStore for NoStore {
    fn persist(&mut self, _request: PersistRequest) -> Result<(), StorageError> {
        Ok(())
    }
}

impl GlobalStore for GroupStorage {
    fn persist(&mut self, request: PersistRequest) -> Result<(), StorageError> {
        Self::persist(
            self,
            request.hard_state,
            request.truncate_from,
            request.entries,
            request.snapshot,
        )
    }
}

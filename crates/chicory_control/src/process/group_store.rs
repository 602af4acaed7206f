//! Where the state of a group is made durable.

use chicory_storage::{GroupStorage, StorageError};

use crate::PersistRequest;

/// Where the state of a group is made durable.
pub trait GroupStore {
    /// Makes state durable; it is when this returns.
    ///
    /// # Errors
    ///
    /// [`StorageError`] for a failure, after which nothing more is written.
    fn persist(&mut self, request: PersistRequest) -> Result<(), StorageError>;
}

impl GroupStore for GroupStorage {
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

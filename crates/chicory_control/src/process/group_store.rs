//! The interface to the storage of a group's state.

use chicory_storage::{GroupStorage, StorageError};

use crate::PersistRequest;

/// Interface to the storage of a group's state.
pub trait GroupStore {
    /// Makes state durable. The state is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`] if a write fails; nothing more is written after that.
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

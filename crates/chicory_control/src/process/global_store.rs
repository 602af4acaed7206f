//! Where the state of the global group is made durable.

use crate::PersistRequest;

/// Where the state of the global group is made durable.
pub trait GlobalStore {
    /// Makes state durable; `false` where that failed, after which nothing more is written.
    fn persist(&mut self, request: PersistRequest) -> bool;
}

/// For processes without a part in the global group.
#[derive(Clone, Copy, Debug)]
pub struct NoStore;

impl GlobalStore for NoStore {
    fn persist(&mut self, _request: PersistRequest) -> bool {
        false
    }
}

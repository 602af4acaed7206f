//! A backend server in the directory.

use chicory_ownership::ServerRecord;
use chicory_types::{ServerId, VmId};

/// A backend server in the directory.
#[derive(Clone, Debug)]
pub struct DirectoryServer {
    /// Identifier of the server.
    pub id: ServerId,
    /// The record that the server announced; `None` once the server is removed.
    pub record: Option<ServerRecord>,
    /// The VM of the dispatcher, the only process that may send requests to the server.
    pub dispatcher: Option<VmId>,
    /// Dispatcher epoch: a counter that grows with each new dispatcher.
    pub epoch: u64,
}

//! What the directory knows of one backend server.

use chicory_ownership::ServerRecord;
use chicory_types::{ServerId, VmId};

/// What the directory knows of one backend server.
#[derive(Clone, Debug)]
pub struct DirectoryServer {
    /// Name of the server.
    pub id: ServerId,
    /// What it announced; `None` once it is gone.
    pub record: Option<ServerRecord>,
    /// The only VM that may send it requests.
    pub dispatcher: Option<VmId>,
    /// Counter that grows with each new dispatcher.
    pub epoch: u64,
}

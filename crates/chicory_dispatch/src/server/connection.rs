//! One connection to a backend server.

use chicory_types::MonoTime;

use crate::server::ConnectionState;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    pub(crate) opened_at: MonoTime,
    /// When the state was entered.
    pub(crate) since: MonoTime,
    /// When the server was last heard on it.
    pub(crate) heard_at: MonoTime,
}

//! One connection to a backend server.

use chicory_types::MonoTime;

use crate::server::ConnectionState;

/// A connection to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) state: ConnectionState,
    pub(crate) opened_at: MonoTime,
    /// When the connection entered its state.
    pub(crate) since: MonoTime,
    /// When the server last sent something on the connection, or when it was opened.
    pub(crate) last_contact_at: MonoTime,
}

//! The core loop's state of a connection to a backend server.

use chicory_net::http::ServerLink;

use crate::exchange::Attempt;

/// The core loop's state of a connection to a backend server.
#[derive(Debug)]
pub(crate) struct ServerLinkEntry {
    /// Address of the server.
    pub(crate) address: String,
    /// The connection, once it is open.
    pub(crate) link: Option<ServerLink>,
    /// The attempt in flight on the connection.
    pub(crate) running: Option<Attempt>,
    /// Whether the connection ended while an attempt was in flight on it.
    pub(crate) is_closed: bool,
    /// Whether the server keeps the connection open after its last answer.
    pub(crate) allows_reuse: bool,
}

impl ServerLinkEntry {
    /// Creates the state of a connection that is being opened.
    pub(crate) fn opening(address: String) -> Self {
        Self {
            address,
            link: None,
            running: None,
            is_closed: false,
            allows_reuse: true,
        }
    }
}

//! What the loop keeps of a connection to a backend server.

use chicory_net::http::ServerLink;

use crate::exchange::Attempt;

/// What the loop keeps of a connection to a backend server.
#[derive(Debug)]
pub(crate) struct ServerLinkEntry {
    /// Address of the server.
    pub(crate) address: String,
    /// The connection, once it is open.
    pub(crate) link: Option<ServerLink>,
    /// What runs on it.
    pub(crate) running: Option<Attempt>,
    /// Whether the other side has closed it.
    pub(crate) is_closed: bool,
    /// Whether the server's last answer leaves it open.
    pub(crate) says_reusable: bool,
}

impl ServerLinkEntry {
    /// Creates the entry of a connection that is being opened.
    pub(crate) fn opening(address: String) -> Self {
        Self {
            address,
            link: None,
            running: None,
            is_closed: false,
            says_reusable: true,
        }
    }
}

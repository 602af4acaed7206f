//! One start of a backend server.

use std::fmt;

use chicory_types::ServerId;

/// One start of a backend server.
///
/// A server that starts again under its id is another incarnation and holds no keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIncarnation {
    /// Id of the server.
    pub server: ServerId,
    /// Start of the process, in milliseconds since the Unix epoch, as the server reports it.
    pub started_at_ms: u64,
}

impl ServerIncarnation {
    /// Creates the identifier of one start of a server.
    #[must_use]
    pub fn new(server: impl Into<ServerId>, started_at_ms: u64) -> Self {
        Self {
            server: server.into(),
            started_at_ms,
        }
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.server, self.started_at_ms)
    }
}

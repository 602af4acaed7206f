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
    /// Start of the process, in milliseconds since the Unix epoch, as the server reports it; 0 if it
    /// reports none, and then each of its processes has an id of its own.
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

    /// Returns whether another process of the server may have the same id, so that a call which
    /// names the server can reach that one.
    #[must_use]
    pub fn may_share_its_id(&self) -> bool {
        self.started_at_ms != 0
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.server, self.started_at_ms)
    }
}

//! State of a request to a server with a rate limit.

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

/// State of a request that the rate limit of a server has held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitState {
    /// The request waits for a permit.
    Waiting {
        /// The server.
        server: ServerIncarnation,
        /// Time at which it began to wait.
        since: MonoTime,
    },
    /// The request was not sent to this server, which denied it.
    Denied(ServerIncarnation),
}

impl PermitState {
    /// Returns the server whose permit the request waits for.
    pub(crate) fn awaited_server(&self) -> Option<&ServerIncarnation> {
        match self {
            Self::Waiting { server, .. } => Some(server),
            Self::Denied(_) => None,
        }
    }
}

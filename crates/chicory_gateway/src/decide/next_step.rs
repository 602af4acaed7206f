//! What to do for a request, and how an attempt ended.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_directory::RelayPeer;
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::Refusal;

/// A backend server that a request is to be sent to, with the limits of the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time at which the attempt is abandoned.
    pub attempt_deadline: MonoTime,
    /// Whether another server may follow. The attempt is then abandoned at its deadline only if one
    /// can be reached.
    pub can_be_followed: bool,
    /// Longest idle time of a pooled connection that may carry the request.
    pub max_idle: Duration,
    /// Longest time to open a new connection.
    pub connect_timeout: Duration,
    /// Time to wait on a new connection before anything is sent on it. If the server closes the
    /// connection within this time, it has rejected it.
    pub settle_time: Duration,
    /// Whether the server has a rate limit that this request is within.
    pub has_permit: bool,
    /// Entry VM that relays the request to the server; `None` if it is sent to the server directly.
    pub relay: Option<RelayPeer>,
}

/// Whether a request may still be sent to its [`Target`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recheck {
    /// It may be sent.
    Send,
    /// The server accepts no more requests.
    ServerLeft,
    /// The server has named a rate limit or asked for a pause since it was chosen.
    Withhold,
}

/// What to do for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to a server and record the [`AttemptOutcome`].
    Send(Target),
    /// Wait until the directory changes or until this time, then request the next step again.
    Wait(MonoTime),
    /// Refuse the request.
    Refuse(Refusal),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, and the answer goes to the caller.
    Answered,
    /// The server answered with a failure of its own. The answer goes to the caller unless the
    /// request can be sent again.
    Failed,
    /// The server is overloaded and has not run the request.
    Shed,
    /// The server does not own the key and has not run the request.
    WrongServer,
    /// Another server now has the address; it has not run the request.
    OtherServer,
    /// The connection was refused: no process listens at the address.
    Refused,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The server has too many connections and closed a new one before anything was sent on it.
    ConnectionRejected,
    /// Nothing was sent: the server named a rate limit or asked for a pause first, or the request could
    /// no longer end before this entry VM stops.
    Withheld,
    /// The entry VM that was to relay the request could not be reached; nothing was sent to the
    /// server.
    RelayUnavailable,
    /// The entry VM that was to relay the request refused; nothing was sent to the server.
    RefusedByRelay,
    /// The entry VM that relays the request could not open a connection to the server either, or knows
    /// that the server gets no more requests.
    UnreachableFromRelay,
    /// The connection to the entry VM that relays the request broke after something was sent.
    RelayBroken,
    /// The connection broke after something was sent.
    Broken,
    /// The answer is malformed or belongs to another request.
    Garbled,
    /// The server did not answer in time.
    Silent,
    /// The caller closed its connection.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the server may have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::Shed
                | Self::WrongServer
                | Self::OtherServer
                | Self::Refused
                | Self::Unreachable
                | Self::ConnectionRejected
                | Self::Withheld
                | Self::RelayUnavailable
                | Self::RefusedByRelay
                | Self::UnreachableFromRelay
        )
    }

    /// Returns the name of the outcome in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Shed => "shed",
            Self::WrongServer => "wrong-server",
            Self::OtherServer => "other-server",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::ConnectionRejected => "turned-away",
            Self::Withheld => "withheld",
            Self::RelayUnavailable => "relay-unavailable",
            Self::RefusedByRelay => "refused-by-relay",
            Self::UnreachableFromRelay => "unreachable-from-relay",
            Self::RelayBroken => "relay-broken",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Silent => "silent",
            Self::Cancelled => "cancelled",
        }
    }
}

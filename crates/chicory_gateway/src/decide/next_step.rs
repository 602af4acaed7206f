//! What is to be done for a request, and what became of it.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::Refusal;

/// A backend server that a request is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Its address.
    pub address: SocketAddr,
    /// When the attempt is given up.
    pub give_up_at: MonoTime,
    /// Longest idle time of a pooled connection that may carry the request.
    pub max_idle: Duration,
    /// Longest time for a new connection to come about.
    pub connect_timeout: Duration,
    /// Time for which a new connection is watched before anything is sent on it.
    pub settle: Duration,
}

/// What is to be done for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to a server and report the [`AttemptOutcome`].
    Send(Target),
    /// Ask again when the directory has changed, or at this moment.
    Wait(MonoTime),
    /// Tell the caller that it isn't served.
    Refuse(Refusal),
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered, and the answer goes to the caller.
    Answered,
    /// The server answered with a failure of its own; the answer goes to the caller unless the
    /// request can be sent again.
    Failed,
    /// The server is full and has not run it.
    Shed,
    /// The server does not own the key; it has not run it.
    WrongServer,
    /// Another server has the address; it has not run it.
    OtherServer,
    /// Nobody listens at the address.
    Refused,
    /// No connection came about; nothing was sent.
    Unreachable,
    /// The server closed a new connection before anything was sent on it: it has too many.
    TurnedAway,
    /// The connection broke after something was sent.
    Broken,
    /// Something unusable came back.
    Garbled,
    /// The server did not answer in time.
    Silent,
    /// The caller went away.
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
                | Self::TurnedAway
        )
    }

    /// A word for logs.
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
            Self::TurnedAway => "turned-away",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Silent => "silent",
            Self::Cancelled => "cancelled",
        }
    }
}

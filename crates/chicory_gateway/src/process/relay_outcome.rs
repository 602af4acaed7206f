//! Outcomes of relayed requests, as the entry VM that relays them states them.

use hyper::StatusCode;

use crate::AttemptOutcome;

/// Outcome of a relayed request, as the entry VM that relays it states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The answer of the backend server follows.
    Answer,
    /// No connection to the server could be opened, or the server gets no more requests. Nothing was
    /// sent to it.
    Unreachable,
    /// The server's host refused the connection.
    RefusedByServer,
    /// The server closed the connection before anything was sent.
    TurnedAway,
    /// The connection to the server broke after something was sent.
    Broken,
    /// The server's answer is malformed.
    Malformed,
    /// The entry VM or its link is overloaded. Nothing was sent, as with the outcomes below.
    Busy,
    /// The entry VM doesn't reach the server, or any server, either.
    CutOff,
    /// The entry VM is about to stop.
    Stopping,
    /// The directory of the entry VM does not contain the server, or has another address for it, and
    /// the wait for an update was in vain.
    UnknownServer,
    /// The request to the entry VM lacks headers or has malformed ones.
    BadRequest,
}

impl RelayOutcome {
    const ALL: [Self; 11] = [
        Self::Answer,
        Self::Unreachable,
        Self::RefusedByServer,
        Self::TurnedAway,
        Self::Broken,
        Self::Malformed,
        Self::Busy,
        Self::CutOff,
        Self::Stopping,
        Self::UnknownServer,
        Self::BadRequest,
    ];

    /// Returns the name in headers and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Unreachable => "unreachable",
            Self::RefusedByServer => "refused-by-server",
            Self::TurnedAway => "turned-away",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
            Self::Busy => "busy",
            Self::CutOff => "cut-off",
            Self::Stopping => "stopping",
            Self::UnknownServer => "unknown-server",
            Self::BadRequest => "bad-request",
        }
    }

    /// Returns the outcome with this name.
    #[must_use]
    pub fn named(name: &[u8]) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|outcome| outcome.as_str().as_bytes() == name)
    }

    /// Returns the outcome that states how an attempt on a connection of the entry VM's own ended.
    pub(super) fn of_attempt(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Unreachable => Self::Unreachable,
            AttemptOutcome::Refused => Self::RefusedByServer,
            AttemptOutcome::ConnectionRejected => Self::TurnedAway,
            AttemptOutcome::Garbled => Self::Malformed,
            _ => Self::Broken,
        }
    }

    /// Returns the outcome of the attempt of the entry VM that the request came from; `None` if the
    /// server's answer decides.
    #[must_use]
    pub const fn attempt_outcome(self) -> Option<AttemptOutcome> {
        match self {
            Self::Answer => None,
            Self::Unreachable | Self::RefusedByServer => Some(AttemptOutcome::UnreachableFromRelay),
            Self::TurnedAway => Some(AttemptOutcome::ConnectionRejected),
            Self::Broken => Some(AttemptOutcome::Broken),
            Self::Malformed => Some(AttemptOutcome::Garbled),
            Self::Busy | Self::CutOff | Self::Stopping | Self::UnknownServer | Self::BadRequest => {
                Some(AttemptOutcome::RefusedByRelay)
            }
        }
    }

    /// Returns the status of an answer that states this outcome without an answer of the server.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Busy | Self::CutOff | Self::Stopping | Self::UnknownServer => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            _ => StatusCode::BAD_GATEWAY,
        }
    }
}

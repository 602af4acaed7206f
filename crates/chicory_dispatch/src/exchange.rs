//! Results of exchanges with backend servers and other entry processes.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifier of a connection to a backend server, unique in the process.
pub type ConnectionId = u64;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectFailure {
    /// The server's host refused it.
    Refused,
    /// No answer in time.
    TimedOut,
    /// Any other failure of the network.
    Failed,
}

/// Why an exchange with a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeFailure {
    /// The connection broke before any byte of the request could have left.
    NothingSent,
    /// The connection broke after bytes of the request may have left, before an answer.
    BrokenBeforeAnswer,
    /// The connection broke within the answer.
    BrokenInAnswer,
    /// The answer was malformed or longer than allowed.
    Malformed,
}

/// Whether the server echoed the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestIdEcho {
    /// It echoed the id of this request.
    Matched,
    /// It echoed none.
    Absent,
    /// It echoed another one: the answer belongs to another request.
    Mismatched,
}

/// A refusal by the backend server itself, which says that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRefusal {
    /// The fencing token isn't current.
    Token,
    /// The server sheds load.
    Shed,
    /// The server is draining.
    Draining,
    /// The deadline had passed before the server began.
    Deadline,
}

/// What a probe over a fresh connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// The server answered; its word on its load is a hint only.
    Answered {
        /// Whether it says that it is healthy.
        says_healthy: bool,
    },
    /// The connection was refused.
    Refused,
    /// No answer in time.
    TimedOut,
}

/// Why a relay to another entry process failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFailure {
    /// No stream could be opened, so no byte of the request left.
    NothingSent,
    /// The stream broke after bytes may have left, before an answer.
    BrokenBeforeAnswer,
    /// The stream broke within the answer.
    BrokenInAnswer,
}

/// Load of a dispatcher, which comes with each relayed answer as a hint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayLoad {
    /// Requests in flight and waiting at the backend server that served the request.
    pub outstanding: u32,
    /// Expected wait of a new request there.
    pub expected_wait: Duration,
}

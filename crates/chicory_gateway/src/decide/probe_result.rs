//! The result of a probe of a backend server.

/// The result of a probe of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server answered on a new connection.
    Answered,
    /// The connection was refused.
    Refused,
    /// No connection opened in time, or it brought no answer.
    Unanswered,
}

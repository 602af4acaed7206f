//! Misbehaviour that can be switched while a backend server runs.

use serde::{Deserialize, Serialize};

/// One switch of a backend server's behaviour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "behaviour", rename_all = "snake_case")]
pub enum Behaviour {
    /// Makes no progress of any kind, renewals included.
    Freeze,
    /// Goes on after a freeze as if nothing had happened.
    Thaw,
    /// Refuses every request.
    Shed,
    /// Ends [`Shed`](Self::Shed).
    Accept,
    /// Ends the process on a request whose path contains `marker`.
    CrashOn {
        /// Part of the path.
        marker: String,
    },
    /// Makes no more progress on connections open by now; new ones work.
    SilenceConnections,
    /// Says in its health answers that it is healthy and idle, whatever is true.
    ClaimHealthy,
    /// Says in its health answers that it is unhealthy, whatever is true.
    ClaimUnhealthy,
    /// Ends false health answers.
    TellHealth,
    /// Closes the connection within the body of each answer.
    CutAnswers,
    /// Answers with the request id and the body of the request before.
    CrossAnswers,
    /// Ends [`CutAnswers`](Self::CutAnswers) and [`CrossAnswers`](Self::CrossAnswers).
    AnswerProperly,
    /// Asks for no new work.
    Drain,
    /// Takes work again.
    Undrain,
}

/// The body of `POST /.standin/behaviour`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BehaviourRequest {
    /// The server; all servers of the process where it is absent.
    #[serde(default)]
    pub server: Option<String>,
    /// What to change.
    #[serde(flatten)]
    pub behaviour: Behaviour,
}

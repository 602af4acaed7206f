//! Behaviour, such as faults, that can be changed while a backend server runs.

use serde::{Deserialize, Serialize};

/// One change of a backend server's behaviour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "behaviour", rename_all = "snake_case")]
pub enum Behaviour {
    /// Stops all progress of the server, lease renewals included.
    Freeze,
    /// Resumes after [`Freeze`](Self::Freeze) as if nothing had happened.
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
    /// Stops all progress on the connections that are open now; new connections work.
    SilenceConnections,
    /// Reports the server as healthy and idle in health answers, whatever its state.
    ClaimHealthy,
    /// Reports the server as unhealthy in health answers, whatever its state.
    ClaimUnhealthy,
    /// Ends [`ClaimHealthy`](Self::ClaimHealthy) and [`ClaimUnhealthy`](Self::ClaimUnhealthy).
    TellHealth,
    /// Closes the connection within the body of each answer.
    CutAnswers,
    /// Answers with the request id and the body of the previous answer.
    CrossAnswers,
    /// Ends [`CutAnswers`](Self::CutAnswers) and [`CrossAnswers`](Self::CrossAnswers).
    AnswerProperly,
    /// Announces that the server drains, reports it as unhealthy and refuses requests.
    Drain,
    /// Ends [`Drain`](Self::Drain).
    Undrain,
}

/// The body of `POST /.standin/behaviour`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BehaviourRequest {
    /// Name of the server; absent for all servers of the process.
    #[serde(default)]
    pub server: Option<String>,
    /// The change.
    #[serde(flatten)]
    pub behaviour: Behaviour,
}

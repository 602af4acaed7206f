//! The result of one send, as reported to the caller.

use std::time::Duration;

/// Whether a request ran, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// It ran.
    Ran,
    /// It didn't run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl CallOutcome {
    /// Parses the value of the `Chicory-Outcome` header.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }

    /// Returns the value of the `Chicory-Outcome` header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The result of one send, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// HTTP status; `None` without an answer.
    pub status: Option<u16>,
    /// Whether it ran.
    pub outcome: CallOutcome,
    /// Why it was refused or got no answer.
    pub reason: Option<String>,
    /// Time after which the request may be sent again.
    pub retry_after: Option<Duration>,
    /// Whether the complete answer to this request arrived.
    pub body_ok: bool,
    /// The backend server that ran the request, according to the answer.
    pub server: Option<String>,
}

impl CallResult {
    /// Creates the result of a send that got no answer.
    #[must_use]
    pub fn without_answer(outcome: CallOutcome, reason: &str) -> Self {
        Self {
            status: None,
            outcome,
            reason: Some(reason.to_owned()),
            retry_after: None,
            body_ok: false,
            server: None,
        }
    }

    /// Returns whether the outcome and status report a successful answer.
    #[must_use]
    pub fn reports_success(&self) -> bool {
        self.outcome == CallOutcome::Ran && self.status == Some(200)
    }

    /// Returns whether the caller got the complete answer to its request.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.reports_success() && self.body_ok
    }
}

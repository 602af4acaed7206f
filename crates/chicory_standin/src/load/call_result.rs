//! What a caller was told of one send.

use std::time::Duration;

/// Whether a request ran, as the caller was told.
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

    /// The value of the `Chicory-Outcome` header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// What a caller was told of one send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResult {
    /// HTTP status; `None` without an answer.
    pub status: Option<u16>,
    /// Whether it ran.
    pub outcome: CallOutcome,
    /// Why it was refused or got no answer.
    pub reason: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Whether the whole answer to this very request came.
    pub body_ok: bool,
    /// The backend server that says it ran the request.
    pub server: Option<String>,
}

impl CallResult {
    /// The result of a send that got no answer.
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

    /// Whether the caller was told that here is its whole answer.
    #[must_use]
    pub fn claims_success(&self) -> bool {
        self.outcome == CallOutcome::Ran && self.status == Some(200)
    }

    /// Whether the caller got what it asked for.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.claims_success() && self.body_ok
    }
}

//! What a caller is told instead of a backend server's answer.

use std::time::Duration;

/// Why a request gets an answer of the entry VM's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No route fits host and path.
    NoRoute,
    /// This entry VM has no current route table.
    NoDirectory,
    /// A newer route table is in force, and has not come yet.
    RoutesBehind,
    /// The service has keys and the request names none.
    NoKey,
    /// The head is larger than allowed.
    HeaderTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body broke off or can't be read.
    BodyUnreadable,
    /// No server of the service takes work.
    NoServer,
    /// Nobody owns the key at the moment.
    NoOwner,
    /// All servers that may serve it are full.
    Overloaded,
    /// The answer could not come in time.
    TooLate,
    /// The request crashes servers that run it.
    Poisoned,
    /// No connection to a server came about.
    Unreachable,
    /// The retry budget is used up and no server has run it.
    NoRetryLeft,
    /// A server broke off, or answered something unusable.
    BrokenAnswer,
    /// No server answered in time.
    TimedOut,
}

impl RefusalReason {
    /// A word for logs and counters.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoDirectory => "no-directory",
            Self::RoutesBehind => "routes-behind",
            Self::NoKey => "no-key",
            Self::HeaderTooLarge => "header-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyUnreadable => "body-unreadable",
            Self::NoServer => "no-server",
            Self::NoOwner => "no-owner",
            Self::Overloaded => "overloaded",
            Self::TooLate => "too-late",
            Self::Poisoned => "poisoned",
            Self::Unreachable => "unreachable",
            Self::NoRetryLeft => "no-retry-left",
            Self::BrokenAnswer => "broken-answer",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What a caller is told instead of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether some server may have run the request; otherwise none has, and none will.
    pub may_have_run: bool,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no server has run.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

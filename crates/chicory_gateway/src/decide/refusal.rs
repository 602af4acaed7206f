//! What a caller gets instead of a backend server's answer.

use std::time::Duration;

/// Why the entry VM answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No route matches host and path.
    NoRoute,
    /// This entry VM has no current route table.
    NoDirectory,
    /// A newer route table is in force but has not arrived yet.
    RoutesBehind,
    /// The service has keys and the request has none.
    NoKey,
    /// The request head is larger than allowed.
    HeaderTooLarge,
    /// The request body is larger than allowed.
    BodyTooLarge,
    /// The request body is incomplete or can't be read.
    BodyUnreadable,
    /// There is no memory for the request's body, or it had to make room for others.
    NoMemory,
    /// No server of the service accepts requests.
    NoServer,
    /// No server owns the key at the moment.
    NoOwner,
    /// All servers that may serve the request are overloaded.
    Overloaded,
    /// The servers that may serve the request take no more requests for now, by rate limits of
    /// their own.
    ServerLimited,
    /// The servers that may serve the request have asked for a pause.
    ServerResting,
    /// The deadline passed before any server could have run the request.
    TooLate,
    /// The entry VM is about to stop.
    Stopping,
    /// The request crashes servers that run it.
    Poisoned,
    /// No connection to a server could be opened.
    Unreachable,
    /// The retry budget is used up and no server has run the request.
    NoRetryLeft,
    /// A server broke the connection or sent an unusable answer.
    BrokenAnswer,
    /// No server answered in time.
    TimedOut,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and in answers to callers.
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
            Self::NoMemory => "no-memory",
            Self::NoServer => "no-server",
            Self::NoOwner => "no-owner",
            Self::Overloaded => "overloaded",
            Self::ServerLimited => "server-limited",
            Self::ServerResting => "server-resting",
            Self::TooLate => "too-late",
            Self::Stopping => "stopping",
            Self::Poisoned => "poisoned",
            Self::Unreachable => "unreachable",
            Self::NoRetryLeft => "no-retry-left",
            Self::BrokenAnswer => "broken-answer",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What a caller gets instead of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Whether a server may have run the request. If `false`, no server has run it and none will.
    pub may_have_run: bool,
    /// Time after which the caller should try again, where that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that no server has run.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should try again.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

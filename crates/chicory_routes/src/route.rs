//! One route.

use std::time::Duration;

use crate::{RequestKind, RoutePlace, RouteTarget};

/// Where requests of one host and path prefix go, and under which rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; begins and ends with `/`.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting; unbounded by the route if `None`.
    pub timeout: Option<Duration>,
    /// Time within which an answer is of full value.
    pub latency_target: Option<Duration>,
    /// Rank under overload, if stated; 0 is served first.
    pub priority: Option<u32>,
    /// Most backend servers that one request may be sent to, if stated.
    pub max_attempts: Option<u32>,
    /// The service or services.
    pub target: RouteTarget,
}

/// Backend servers that one request may be sent to where the route states none: one more than
/// the first, so that the loss of a server costs no request.
const DEFAULT_MAX_ATTEMPTS: u32 = 2;

impl Route {
    /// Most backend servers that one request may be sent to.
    #[must_use]
    pub fn attempt_limit(&self) -> u32 {
        self.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1)
    }

    /// Where it applies.
    #[must_use]
    pub fn place(&self) -> RoutePlace {
        RoutePlace {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }

    /// Rank under overload; 0 is served first.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.priority.unwrap_or(0)
    }
}

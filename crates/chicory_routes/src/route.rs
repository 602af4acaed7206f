//! A route of the route table.

use std::time::Duration;

use crate::{RequestKind, RoutePlace, RouteTarget};

/// Where requests of one host and path prefix go, and under which rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that the operator gave.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the path; begins and ends with `/`.
    pub path_prefix: String,
    /// Whether the requests may be repeated, and whether they are large.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting; unbounded by the route if `None`.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value.
    pub latency_target: Option<Duration>,
    /// Rank under overload, if the operator states one; 0 is served first.
    pub priority: Option<u32>,
    /// Greatest number of backend servers that one request may be sent to, if the
    /// operator states one.
    pub max_attempts: Option<u32>,
    /// The service or services that get the requests.
    pub target: RouteTarget,
}

/// Number of backend servers that one request may be sent to if the route states none: one more
/// than the first, so that a request survives the loss of a server.
const DEFAULT_MAX_ATTEMPTS: u32 = 2;

impl Route {
    /// Returns the greatest number of backend servers that one request may be sent to.
    #[must_use]
    pub fn attempt_limit(&self) -> u32 {
        self.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1)
    }

    /// Returns the host and path prefix of the route.
    #[must_use]
    pub fn place(&self) -> RoutePlace {
        RoutePlace {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }

    /// Returns the rank under overload; 0 is served first.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.priority.unwrap_or(0)
    }
}

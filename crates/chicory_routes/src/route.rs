//! One route.

use std::time::Duration;

use crate::{RequestKind, RouteTarget};

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
    /// Rank under overload; 0 is served first.
    pub priority: u32,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// The service or services.
    pub target: RouteTarget,
}

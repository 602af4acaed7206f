//! What the reducer knows of a request.

use std::time::Duration;

use chicory_types::{OrderKey, RequestId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::RequestOrigin;

/// What the reducer knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// Identifier in this process.
    pub request: RequestId,
    /// Service, from the first path segment.
    pub service: ServiceName,
    /// Key, from the second path segment; `None` where there is none.
    pub key: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub order_key: Option<OrderKey>,
    /// Whether the method is safe (GET, HEAD, OPTIONS), so that it may run more than once.
    pub is_safe_method: bool,
    /// Fingerprint of method, path and buffered body.
    pub fingerprint: u64,
    /// Whether the whole body is in memory, so that it can be sent again.
    pub is_replayable: bool,
    /// Time left for the request; `None` takes the deadline of the table.
    pub deadline: Option<Duration>,
    /// Where it came from.
    pub origin: RequestOrigin,
}

//! The head of a request, as far as the reducer uses it.

use std::time::Duration;

use chicory_types::{OrderKey, RequestId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::RequestOrigin;

/// The head of a request, as far as the reducer uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// Identifier of the request in this process.
    pub request: RequestId,
    /// The service, from the first path segment.
    pub service: ServiceName,
    /// The key, from the second path segment; `None` if the path has no second segment.
    pub key: Option<String>,
    /// The caller's `Idempotency-Key`.
    pub order_key: Option<OrderKey>,
    /// Whether the method is safe (GET, HEAD, OPTIONS), so that it may run more than once.
    pub is_safe_method: bool,
    /// Fingerprint of the method, the path and the buffered body.
    pub fingerprint: u64,
    /// Whether the whole body is in memory, so that it can be sent again.
    pub is_replayable: bool,
    /// Time left for the request; `None` uses the deadline of the table.
    pub deadline: Option<Duration>,
    /// Where the request came from.
    pub origin: RequestOrigin,
}

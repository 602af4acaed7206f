//! The decision whether a request may wait for a backend server.

use std::time::Duration;

use chicory_types::RequestId;

use crate::RefusalReason;

/// The decision whether a request may wait for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request may wait.
    Accepted,
    /// The request may wait if it displaces this one from the queue.
    Displaces(RequestId),
    /// The request may not wait.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

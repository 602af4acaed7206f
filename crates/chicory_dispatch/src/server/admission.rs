//! Whether a request may wait for a backend server.

use std::time::Duration;

use chicory_types::RequestId;

use crate::RefusalReason;

/// Whether a request may wait for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may.
    Accepted,
    /// It may, in the place of this one.
    Displaces(RequestId),
    /// It may not.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

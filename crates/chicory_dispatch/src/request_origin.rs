//! Where a request came from.

use chicory_types::ZoneName;
use serde::{Deserialize, Serialize};

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOrigin {
    /// It came from a caller.
    Caller,
    /// Another entry process relayed it.
    Relay {
        /// Number of relays so far, including this one.
        hops: u8,
        /// Availability zone of the process that relayed the request.
        from_zone: ZoneName,
    },
}

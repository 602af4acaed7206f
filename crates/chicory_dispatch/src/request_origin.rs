//! Where a request came from.

use chicory_types::ZoneName;
use serde::{Deserialize, Serialize};

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOrigin {
    /// From a caller.
    Caller,
    /// From another entry process.
    Relay {
        /// Relays so far, this one included.
        hops: u8,
        /// Availability zone of the process that relayed it.
        from_zone: ZoneName,
    },
}

//! Load of a dispatcher, which comes with each relayed answer as a hint.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of a dispatcher, which comes with each relayed answer as a hint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayLoad {
    /// Requests in flight and waiting at the backend server that served the request.
    pub outstanding: u32,
    /// Expected wait of a new request there.
    pub expected_wait: Duration,
}

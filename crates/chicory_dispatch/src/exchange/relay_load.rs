//! The load of a backend server, which its dispatcher reports as a hint with each relayed answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The load of a backend server, which its dispatcher reports as a hint with each relayed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayLoad {
    /// Number of requests in flight at or waiting for the backend server that served the request.
    pub outstanding: u32,
    /// Expected wait of a new request for that server.
    pub expected_wait: Duration,
}

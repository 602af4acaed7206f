//! What a caller says about its request.

use std::time::Duration;

use chicory_ranges::Key;

/// What a caller says about its request, besides method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt of the caller.
    pub attempt_id: Option<String>,
    /// How much longer the caller waits.
    pub time_left: Option<Duration>,
    /// The key that the request is about.
    pub key: Option<Key>,
}

//! What a caller states about its request.

use std::time::Duration;

use chicory_ranges::Key;

/// What a caller states about its request, besides method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt of the caller.
    pub attempt_id: Option<String>,
    /// Time that the caller still waits for an answer.
    pub time_left: Option<Duration>,
    /// Key that the request is about.
    pub key: Option<Key>,
}

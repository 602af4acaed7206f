//! Answer to a finished order, kept for resends.

use serde::{Deserialize, Serialize};

/// Answer to a finished order, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, or an empty string if the header was absent.
    pub content_type: String,
    /// The body, or `None` if it was not kept because it, or all stored bodies together, would be
    /// too long.
    pub body: Option<Vec<u8>>,
}

//! The answer of a finished order, kept for resends.

use serde::{Deserialize, Serialize};

/// The answer of a finished order, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, empty where there was none.
    pub content_type: String,
    /// The body; `None` where it was too long to keep.
    pub body: Option<Vec<u8>>,
}

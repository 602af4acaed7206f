//! Why a relay to another entry process failed.

use serde::{Deserialize, Serialize};

/// Why a relay to another entry process failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFailure {
    /// No stream could be opened, so no byte of the request left.
    NothingSent,
    /// The stream broke after bytes may have left, before an answer.
    BrokenBeforeAnswer,
    /// The stream broke within the answer.
    BrokenInAnswer,
}

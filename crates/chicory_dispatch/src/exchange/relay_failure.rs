//! The reason why a relay to another entry process failed.

use serde::{Deserialize, Serialize};

/// The reason why a relay to another entry process failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFailure {
    /// No stream could be opened, so no byte of the request was sent.
    NothingSent,
    /// The stream broke after bytes of the request may have been sent, but before an answer.
    BrokenBeforeAnswer,
    /// The stream broke within the answer.
    BrokenInAnswer,
}

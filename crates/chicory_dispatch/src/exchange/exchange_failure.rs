//! The reason why an exchange with a backend server failed.

use serde::{Deserialize, Serialize};

/// The reason why an exchange with a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeFailure {
    /// The connection broke before any byte of the request could have been sent.
    NothingSent,
    /// The connection broke after bytes of the request may have been sent, but before an answer.
    BrokenBeforeAnswer,
    /// The connection broke within the answer.
    BrokenInAnswer,
    /// The answer was malformed or longer than allowed.
    Malformed,
}

//! Why a link to a control VM can't be used any more.

use std::fmt;

/// Why a link to a control VM can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// Nothing was received for too long. `unfinished_bytes` is the part of an unfinished message
    /// that had arrived.
    TimedOut { unfinished_bytes: usize },
    /// The connection was closed or broke.
    Ended,
    /// A message can't be decoded or applied.
    Unusable,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimedOut { unfinished_bytes } => {
                write!(
                    f,
                    "no data received for too long, after {unfinished_bytes} bytes of a message"
                )
            }
            Self::Ended => f.write_str("connection ended"),
            Self::Unusable => f.write_str("message can't be decoded or applied"),
        }
    }
}

//! Why a control VM can't be followed any more.

use std::fmt;

/// Why a control VM can't be followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LossCause {
    /// Nothing came for too long; so many bytes of an unfinished message had come.
    Silent { unfinished_bytes: usize },
    /// The connection ended or broke.
    Ended,
    /// A message can't be taken in.
    Unusable,
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent { unfinished_bytes } => {
                write!(f, "silent after {unfinished_bytes} bytes of a message")
            }
            Self::Ended => f.write_str("connection ended"),
            Self::Unusable => f.write_str("message can't be taken in"),
        }
    }
}

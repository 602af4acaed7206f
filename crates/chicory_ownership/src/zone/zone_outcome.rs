//! What a command of a zone group's log did.

use crate::ClaimAnswer;

/// What a command of a zone group's log did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// It took effect.
    Applied,
    /// It expected something that isn't so any more, and changed nothing.
    Stale,
    /// The answer to a claim.
    Claimed(ClaimAnswer),
}

impl ZoneOutcome {
    /// The outcome of a command that may have changed nothing.
    pub(crate) fn of_change(has_changed: bool) -> Self {
        if has_changed {
            Self::Applied
        } else {
            Self::Stale
        }
    }
}

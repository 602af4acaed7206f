//! Outcome of a command of a zone group's log.

use crate::ClaimAnswer;

/// Outcome of a command of a zone group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// The command took effect.
    Applied,
    /// The state that the command expected no longer holds, or the command was already applied.
    /// Nothing changed.
    Stale,
    /// Answer to a claim.
    Claimed(ClaimAnswer),
}

impl ZoneOutcome {
    /// Returns the outcome of a command that may have changed nothing.
    pub(crate) fn of_change(has_changed: bool) -> Self {
        if has_changed {
            Self::Applied
        } else {
            Self::Stale
        }
    }
}

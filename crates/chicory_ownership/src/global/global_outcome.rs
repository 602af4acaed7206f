//! Outcome of a command of the global group's log.

use chicory_table::EditOutcome;

/// Outcome of a command of the global group's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalOutcome {
    /// The command took effect.
    Applied,
    /// The state that the command expected no longer holds, or the command was already applied.
    /// Nothing changed.
    Stale,
    /// Result of an edit of the table.
    Edited(EditOutcome),
}

impl GlobalOutcome {
    /// Returns the outcome of a command that may have changed nothing.
    pub(crate) fn of_change(has_changed: bool) -> Self {
        if has_changed {
            Self::Applied
        } else {
            Self::Stale
        }
    }
}

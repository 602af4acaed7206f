//! What a command of the global group's log did.

use chicory_table::EditOutcome;

/// What a command of the global group's log did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalOutcome {
    /// It took effect.
    Applied,
    /// It expected something that isn't so any more, and changed nothing.
    Stale,
    /// The answer to an edit of the table.
    Edited(EditOutcome),
}

impl GlobalOutcome {
    /// The outcome of a command that may have changed nothing.
    pub(crate) fn of_change(has_changed: bool) -> Self {
        if has_changed {
            Self::Applied
        } else {
            Self::Stale
        }
    }
}

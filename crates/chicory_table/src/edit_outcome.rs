//! The answer to an edit.

use chicory_types::Revision;

use crate::TableFault;

/// The answer to an edit, sent once a majority has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit made this revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The table has moved on from the edit's base revision; nothing was changed.
    Conflict {
        /// The revision in the way.
        current_revision: Revision,
    },
    /// The result would be wrong; nothing was changed.
    Invalid(Vec<TableFault>),
    /// Another edit had the same identifier; nothing was changed.
    EditIdReused,
}

//! The answer to an edit.

use chicory_types::Revision;

use crate::TableFault;

/// The answer to an edit, sent once a majority of the group has stored the edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was accepted and created a new revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The table is at another revision than the edit's base revision; nothing was changed.
    Conflict {
        /// Current revision of the table.
        current_revision: Revision,
    },
    /// The edited table would be invalid; nothing was changed.
    Invalid(Vec<TableFault>),
    /// An earlier edit with other content had the same identifier; nothing was changed.
    EditIdReused,
}

//! Whether the zone group has what it was told.

use chicory_types::VmId;

/// Whether the zone group has what it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// A majority has it.
    Done,
    /// Another process leads the group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
}

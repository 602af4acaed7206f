//! Whether the zone's group has stored a report.

use chicory_types::VmId;

/// Whether the zone's group has stored a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// A majority of the group has stored it.
    Done,
    /// Another process leads the group.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<VmId>,
    },
}

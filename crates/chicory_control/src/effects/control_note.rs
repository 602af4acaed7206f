//! A change of state that operators may want to see.

use chicory_types::{Revision, Term};

use crate::GroupName;

/// A change of state that operators may want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlNote {
    /// This process became the leader of a group.
    BecameLeader {
        /// The group.
        group: GroupName,
        /// The term.
        term: Term,
    },
    /// This process no longer leads a group.
    LostLeadership {
        /// The group.
        group: GroupName,
    },
    /// This process entered the zone's group of an epoch.
    EnteredZoneGroup {
        /// The epoch.
        group_epoch: u64,
        /// Whether the process is a founder of the group.
        is_founder: bool,
    },
    /// This process left the zone's group: it was a learner that found no leader, or a new group
    /// was formed.
    LeftZoneGroup,
    /// A revision of the table came into force in this zone.
    TableInForce {
        /// The revision.
        revision: Revision,
    },
    /// The zone can't reach the global group.
    GlobalGroupUnreachable,
    /// The zone reaches the global group again.
    GlobalGroupReachable,
}

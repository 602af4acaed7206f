//! A change of state that operators may want to see.

use chicory_types::{Revision, Term};

use crate::GroupName;

/// A change of state that operators may want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlNote {
    /// This process leads a group from now on.
    BecameLeader {
        /// The group.
        group: GroupName,
        /// The term.
        term: Term,
    },
    /// This process leads a group no longer.
    LostLeadership {
        /// The group.
        group: GroupName,
    },
    /// This process takes part in the zone's group of an epoch.
    EnteredZoneGroup {
        /// The epoch.
        group_epoch: u64,
        /// Whether it is a founder.
        is_founder: bool,
    },
    /// This process left the zone's group, of which it has no memory or which was formed anew.
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

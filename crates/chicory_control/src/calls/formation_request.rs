//! A member of a zone group that has no memory of its group asks the global group what to do.

use std::collections::BTreeSet;

use chicory_types::{Incarnation, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::GroupName;

/// A member of a zone group that has no memory of its group asks the global group what to do.
///
/// Until it is told to join, it takes no part in any group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationRequest {
    /// The zone.
    pub zone: ZoneName,
    /// The VM of the process.
    pub vm: VmId,
    /// The process's start.
    pub incarnation: Incarnation,
    /// All VMs that are to be voters of the zone's group.
    pub zone_vms: BTreeSet<VmId>,
    /// Whether the receiver is asked as a member of the zone's group or of the global group.
    pub asked_group: GroupName,
    /// Epoch of the group that the process remembers but can't find a leader of; `None` for a
    /// process without memory.
    pub remembered_epoch: Option<u64>,
}

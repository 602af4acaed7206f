//! A process's request whether to join, form or leave a group of its zone.

use std::collections::BTreeSet;

use chicory_types::{Incarnation, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::GroupName;

/// A process's request whether to join, form or leave a group of its zone.
///
/// It is sent by a process that has no state of its zone's group, or finds no leader of it. Without
/// state, the process takes part in no group until the answer allows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormationRequest {
    /// The zone.
    pub zone: ZoneName,
    /// The VM of the process.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// All VMs that are to be voters of the zone's group.
    pub zone_vms: BTreeSet<VmId>,
    /// Whether the receiver is asked as a member of the zone's group or of the global group.
    pub asked_group: GroupName,
    /// Epoch of the group that the process has state of but finds no leader of; `None` for a
    /// process without state.
    pub remembered_epoch: Option<u64>,
}

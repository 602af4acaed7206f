//! What a control process is told at its start.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::{Incarnation, VmId, ZoneName};
use serde::{Deserialize, Serialize};

/// Interval of a zone leader's syncs with the global group.
pub const ZONE_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which leaders look for what is to be done.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a member without memory asks the global group what to do.
pub const FORMATION_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// How long a member without memory may be absent before it counts no longer as waiting.
pub const FORMATION_REQUEST_TTL: Duration = Duration::from_secs(2);
/// How long the global group waits for all members of a zone before it forms the zone's group of
/// a majority of them.
pub const FORMATION_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// What a control process is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlConfig {
    /// Its VM.
    pub vm: VmId,
    /// Its start; greater than that of any earlier start on this VM.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// VMs of the zone's group, this one included.
    pub zone_vms: BTreeSet<VmId>,
    /// VMs of the global group.
    pub global_vms: BTreeSet<VmId>,
    /// Whether the process has a disk for the state of its zone's group.
    pub is_zone_durable: bool,
    /// Seed of all randomness.
    pub seed: u64,
}

impl ControlConfig {
    /// Whether this process is a member of the global group.
    #[must_use]
    pub fn is_global_member(&self) -> bool {
        self.global_vms.contains(&self.vm)
    }
}

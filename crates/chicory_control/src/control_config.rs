//! Configuration of a control process.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::{Incarnation, VmId, ZoneName};
use serde::{Deserialize, Serialize};

/// Interval at which the leader of a zone's group synchronizes with the global group.
pub const ZONE_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the leaders of the groups plan and propose commands.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a process checks whether it has to send a formation request.
pub const FORMATION_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Time after its last formation request during which a process counts as waiting for the
/// formation of its zone's group.
pub const FORMATION_REQUEST_TTL: Duration = Duration::from_secs(2);
/// Time that the global group waits for all VMs of a zone before it forms the zone's group from a
/// majority of them.
pub const FORMATION_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Configuration of a control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlConfig {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the process; greater than that of every earlier start on this VM.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
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
    /// Returns whether this process is a member of the global group.
    #[must_use]
    pub fn is_global_member(&self) -> bool {
        self.global_vms.contains(&self.vm)
    }
}

//! Sync request of a zone group.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{Revision, ServiceName, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{CustodyRelease, EntryRecord};

/// Sync request that the leader of a zone group sends to the leader of the global group, about as
/// often as entry processes renew their leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSyncRequest {
    /// The zone.
    pub zone: ZoneName,
    /// Number of times the zone's group has been formed.
    pub group_epoch: u64,
    /// The sender.
    pub leader: VmId,
    /// Revision of the table in force in the zone.
    pub in_force_revision: Revision,
    /// Version of the custody in force in the zone.
    pub known_custody_version: u64,
    /// Fingerprints of the directories of other zones that the zone has.
    #[serde(default)]
    pub known_directories: BTreeMap<ZoneName, u64>,
    /// Entry processes of the zone.
    pub entries: Vec<EntryRecord>,
    /// Services with at least one backend server in the zone that accepts slots.
    pub served: BTreeSet<ServiceName>,
    /// Slots released to other zones.
    pub releases: Vec<CustodyRelease>,
}

//! What the leader of a zone group sends, about as often as entry processes renew.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{Revision, ServiceName, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{CustodyRelease, EntryRecord};

/// What the leader of a zone group sends, about as often as entry processes renew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneSyncRequest {
    /// The zone.
    pub zone: ZoneName,
    /// How often the zone's group was formed.
    pub group_epoch: u64,
    /// The sender.
    pub leader: VmId,
    /// Revision of the table in force in the zone.
    pub in_force_revision: Revision,
    /// Version of the custody in force in the zone.
    pub known_custody_version: u64,
    /// Fingerprints of the entry processes of other zones that the zone knows of.
    #[serde(default)]
    pub known_directories: BTreeMap<ZoneName, u64>,
    /// Entry processes of the zone.
    pub entries: Vec<EntryRecord>,
    /// Services that have a backend server in the zone that accepts work.
    pub served: BTreeSet<ServiceName>,
    /// Slots given up for other zones.
    pub releases: Vec<CustodyRelease>,
}

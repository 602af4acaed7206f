//! The exchange between the leader of a zone group and the leader of the global group.

use std::collections::{BTreeMap, BTreeSet};

use chicory_table::{CustodyLease, Table};
use chicory_types::{Revision, ServiceName, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{CustodyRelease, CustodyUpdate, EntryRecord};

/// Entry processes of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDirectory {
    /// The zone.
    pub zone: ZoneName,
    /// Its entry processes.
    pub entries: Vec<EntryRecord>,
}

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
    /// Entry processes of the zone.
    pub entries: Vec<EntryRecord>,
    /// Services that have a backend server in the zone that accepts work.
    pub served: BTreeSet<ServiceName>,
    /// Slots given up for other zones.
    pub releases: Vec<CustodyRelease>,
}

/// Why a zone's sync was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneSyncRefusal {
    /// The zone or its new group is being registered; the next sync will do.
    Registering,
    /// A later group of the zone is registered.
    SupersededGroup,
}

/// The answer to a zone's sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneSyncAnswer {
    /// What the zone has to know.
    Current {
        /// Custody leases by service, from before the request was sent. They hold for the custody
        /// of `custody_version` and count only once that version is in force in the zone.
        custody_leases: BTreeMap<ServiceName, CustodyLease>,
        /// Version of the custody.
        custody_version: u64,
        /// The table, where the zone's revision is older.
        table: Option<Table>,
        /// Custody, where the zone's version is older.
        custody: Option<CustodyUpdate>,
        /// Entry processes of all zones that were heard of.
        zones: Vec<ZoneDirectory>,
    },
    /// Another process leads the global group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
    /// The sync was refused.
    Refused(ZoneSyncRefusal),
}

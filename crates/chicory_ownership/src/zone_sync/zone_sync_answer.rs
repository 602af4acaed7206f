//! Answer to a zone's sync request.

use std::collections::BTreeMap;

use chicory_table::{CustodyLease, Table};
use chicory_types::{ServiceName, VmId};
use serde::{Deserialize, Serialize};

use crate::{CustodyUpdate, ZoneDirectory, ZoneSyncRefusal};

/// Answer to a zone's sync request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneSyncAnswer {
    /// The current global state, as far as it concerns the zone.
    Current {
        /// Custody leases by service, counted from the time at which the zone sent the request.
        /// They apply to the custody of `custody_version` and take effect only once that version is
        /// in force in the zone.
        custody_leases: BTreeMap<ServiceName, CustodyLease>,
        /// Version of the custody.
        custody_version: u64,
        /// The table, if the zone has an older revision.
        table: Option<Table>,
        /// Custody, if the zone has an older version.
        custody: Option<CustodyUpdate>,
        /// Entry processes of the other zones that have synced with this leader, as far as they
        /// differ from the directories that the zone has.
        zones: Vec<ZoneDirectory>,
    },
    /// Another process leads the global group.
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// The sync was refused.
    Refused(ZoneSyncRefusal),
}

//! The answer to a zone's sync.

use std::collections::BTreeMap;

use chicory_table::{CustodyLease, Table};
use chicory_types::{ServiceName, VmId};
use serde::{Deserialize, Serialize};

use crate::{CustodyUpdate, ZoneDirectory, ZoneSyncRefusal};

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
        /// Entry processes of the zones that were heard of, where the zone knows others.
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

//! A call of an operator.

use chicory_table::TableChange;
use chicory_types::{EditId, OperatorName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCall {
    /// Reads the table.
    GetTable,
    /// Edits the table.
    EditTable {
        /// Identifier of the edit; a resend carries the same.
        edit_id: EditId,
        /// Revision that the edit was made on.
        base_revision: Revision,
        /// The changes.
        changes: Vec<TableChange>,
    },
    /// Asks for the state of all zones.
    GetStatus,
    /// Asks for the servers of the zone of the process that is asked.
    GetZone,
    /// Asks who owns a key in the zone of the process that is asked.
    GetOwner {
        /// The service.
        service: ServiceName,
        /// The key.
        key: String,
    },
    /// Takes all custody from a zone, for which the operator vouches that it serves no more.
    EvictZone {
        /// The zone.
        zone: ZoneName,
        /// Identifier of the request; a resend carries the same.
        edit_id: EditId,
    },
    /// Reads the audit trail.
    GetAudit {
        /// Only records of this operator.
        operator: Option<OperatorName>,
        /// First sequence number wanted.
        from_sequence: u64,
        /// Most records wanted.
        limit: u32,
    },
}

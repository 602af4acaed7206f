//! A call from an operator.

use chicory_table::TableChange;
use chicory_types::{EditId, OperatorName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A call from an operator.
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
    /// Requests the state of all zones.
    GetStatus,
    /// Requests the backend servers of the receiver's zone.
    GetZone,
    /// Requests the owner of a key in the receiver's zone.
    GetOwner {
        /// The service.
        service: ServiceName,
        /// The key.
        key: String,
    },
    /// Takes all custody from a zone. The operator is responsible for the zone no longer serving
    /// requests.
    EvictZone {
        /// The zone.
        zone: ZoneName,
        /// Identifier of the request; a resend carries the same.
        edit_id: EditId,
    },
    /// Reads the audit trail.
    GetAudit {
        /// Return only records of this operator, if given.
        operator: Option<OperatorName>,
        /// First sequence number to return.
        from_sequence: u64,
        /// Maximum number of records to return.
        limit: u32,
    },
}

//! The answer to an operator's call.

use chicory_table::{AuditRecord, EditOutcome, Table};
use chicory_types::{Revision, VmId, ZoneName};

use crate::{OperatorFailure, OwnerSummary, ServerSummary, ZoneSummary};

/// The answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// The table.
    Table(Table),
    /// Outcome of an edit.
    Edited(EditOutcome),
    /// The newest revision of the table and the state of all zones.
    Status {
        /// Newest revision.
        revision: Revision,
        /// The zones.
        zones: Vec<ZoneSummary>,
    },
    /// The servers of a zone.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Revision of the table in force.
        revision_in_force: Revision,
        /// Its backend servers.
        servers: Vec<ServerSummary>,
    },
    /// The owner of a key.
    Owner(OwnerSummary),
    /// A zone was evicted.
    Evicted {
        /// Slots that were in its custody.
        moved_slots: u64,
    },
    /// Records of the audit trail.
    Audit(Vec<AuditRecord>),
    /// Another process leads the group.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<VmId>,
    },
    /// The call failed.
    Failed(OperatorFailure),
}

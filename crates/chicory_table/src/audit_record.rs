//! Records of the audit trail.

use chicory_types::{OperatorName, Revision, ServiceName, ZoneName};

/// What an audit record is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditAction {
    /// An edit of the table was accepted.
    TableEdited {
        /// Services whose rows changed.
        services: Vec<ServiceName>,
    },
    /// An edit of the table was refused, because another edit had changed its base revision before.
    EditRefused,
    /// An operator took all custody from an availability zone.
    ZoneEvicted {
        /// The zone.
        zone: ZoneName,
    },
    /// The group of control processes of an availability zone was formed again.
    ZoneReformed {
        /// The zone.
        zone: ZoneName,
    },
    /// An operator requested to move custody of slots to another availability zone.
    CustodyMoveRequested {
        /// The service.
        service: ServiceName,
        /// The zone that receives custody.
        to_zone: ZoneName,
    },
}

/// One record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// Number of the record; it grows by one from record to record.
    pub sequence: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The operator who acted.
    pub operator: OperatorName,
    /// What the operator did.
    pub action: AuditAction,
    /// Revision of the table before the action.
    pub from_revision: Revision,
    /// Revision of the table after the action.
    pub to_revision: Revision,
}

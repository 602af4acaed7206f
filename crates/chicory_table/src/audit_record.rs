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
    /// An edit of the table lost against another one.
    EditRefused,
    /// An operator took all custody from an availability zone.
    ZoneEvicted {
        /// The zone.
        zone: ZoneName,
    },
    /// The group of an availability zone was formed anew.
    ZoneReformed {
        /// The zone.
        zone: ZoneName,
    },
    /// Slots were asked to move to another availability zone.
    CustodyMoveRequested {
        /// The service.
        service: ServiceName,
        /// The zone that gets them.
        to_zone: ZoneName,
    },
}

/// One record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// Number of the record, growing by one.
    pub sequence: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who did it.
    pub operator: OperatorName,
    /// What was done.
    pub action: AuditAction,
    /// Revision of the table before.
    pub from_revision: Revision,
    /// Revision of the table after.
    pub to_revision: Revision,
}

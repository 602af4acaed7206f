//! Commands of the global group's log.

use chicory_table::TableEdit;
use chicory_types::{EditId, OperatorName, Revision, ServiceName, SlotRun, ZoneName};

use crate::{CustodyCause, CustodyRelease};

/// Commands of the global group's log.
///
/// Each command names the state that it expects and changes nothing if that state no longer holds.
/// Wall-clock times are used only for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalCommand {
    /// Applies an operator's edit of the table.
    EditTable {
        /// The edit.
        edit: TableEdit,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Registers a zone's group. A group with a later epoch than the known one replaces it, and its
    /// custody gets new generations, since the state of the former group is lost.
    RegisterZone {
        /// The zone.
        zone: ZoneName,
        /// Number of times its group has been formed.
        group_epoch: u64,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Records the revision of the table that is in force in a zone.
    ReportInForce {
        /// The zone.
        zone: ZoneName,
        /// The revision.
        revision: Revision,
    },
    /// Transfers custody without a release by the former zone, or assigns it for the first time.
    AssignCustody {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// The zone that is expected to have custody, or `None` if no zone is expected to have it.
        from_zone: Option<ZoneName>,
        /// The zone that gets custody.
        to_zone: ZoneName,
        /// Cause of the transfer.
        cause: CustodyCause,
    },
    /// Requests that the zone with custody releases it to another zone.
    RequestCustodyMove {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// The zone that is expected to have custody.
        from_zone: ZoneName,
        /// The zone that is to get custody.
        to_zone: ZoneName,
    },
    /// Transfers slots that a zone has released.
    ReleaseCustody {
        /// The zone.
        zone: ZoneName,
        /// The slots with their order claims.
        release: CustodyRelease,
    },
    /// Drops the handovers to a zone up to a version, since the zone has imported them.
    DropHandovers {
        /// The zone.
        zone: ZoneName,
        /// The version.
        version: u64,
    },
    /// Evicts a zone and transfers all its custody to other zones. The operator guarantees that the
    /// zone no longer serves requests.
    EvictZone {
        /// The zone.
        zone: ZoneName,
        /// The operator who evicts it.
        operator: OperatorName,
        /// Identifier of the request. A resend with the same identifier changes nothing.
        edit_id: EditId,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Readmits an evicted zone that is in contact again.
    ReadmitZone {
        /// The zone.
        zone: ZoneName,
    },
}

//! Commands of the global group's log.

use chicory_table::TableEdit;
use chicory_types::{EditId, OperatorName, Revision, ServiceName, SlotRun, ZoneName};

use crate::{CustodyCause, CustodyRelease};

/// Commands of the global group's log.
///
/// Each states what it expects to find and changes nothing where that isn't so any more.
/// Wall-clock times are for the audit trail alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GlobalCommand {
    /// An operator edits the table.
    EditTable {
        /// The edit.
        edit: TableEdit,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A zone's group came up. A later epoch than the known one takes the zone's place with fresh
    /// custody generations, since the state of the former group is lost.
    RegisterZone {
        /// The zone.
        zone: ZoneName,
        /// How often its group was formed.
        group_epoch: u64,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A zone has a revision of the table in force.
    ReportInForce {
        /// The zone.
        zone: ZoneName,
        /// The revision.
        revision: Revision,
    },
    /// Custody passes without the former zone's help, or for the first time.
    AssignCustody {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// The zone that is expected to have custody; `None` for nobody.
        from_zone: Option<ZoneName>,
        /// The zone that gets it.
        to_zone: ZoneName,
        /// Why.
        cause: CustodyCause,
    },
    /// Custody is to pass once the zone that has it releases it.
    RequestCustodyMove {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// The zone that is expected to have custody.
        from_zone: ZoneName,
        /// The zone that is to get it.
        to_zone: ZoneName,
    },
    /// A zone has released slots.
    ReleaseCustody {
        /// The zone.
        zone: ZoneName,
        /// The slots with their claims.
        release: CustodyRelease,
    },
    /// The zone has taken in all handovers up to a version.
    DropHandovers {
        /// The zone.
        zone: ZoneName,
        /// The version.
        version: u64,
    },
    /// An operator vouches that a zone serves no more, and all its custody passes to others.
    EvictZone {
        /// The zone.
        zone: ZoneName,
        /// Who evicts it.
        operator: OperatorName,
        /// Identifier of the request; a resend changes nothing.
        edit_id: EditId,
        /// Wall-clock time in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// An evicted zone is back.
    ReadmitZone {
        /// The zone.
        zone: ZoneName,
    },
}

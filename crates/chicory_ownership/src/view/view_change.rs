//! Change to the view of an entry process.

use chicory_table::Table;
use chicory_types::{ServerId, ServiceName, SlotRun, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{EntryRecord, ServerRecord, SlotOwner};

/// Change to the view of an entry process.
///
/// Applying all changes since the last [`Reset`] in order gives the current view.
///
/// [`Reset`]: ViewChange::Reset
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// Discards the view so far.
    Reset,
    /// A new revision of the table is in force.
    TableInForce(Table),
    /// A backend server was registered or changed.
    ServerUpserted(ServerRecord),
    /// A backend server was removed.
    ServerRemoved(ServerId),
    /// An entry VM became the dispatcher of a backend server, the only process that may send
    /// requests to it.
    DispatcherAssigned {
        /// The backend server.
        server: ServerId,
        /// Its dispatcher. `None` while it has none, for example until a former dispatcher's lease
        /// has expired.
        vm: Option<VmId>,
        /// Epoch that grows with each dispatcher assignment of any server.
        epoch: u64,
    },
    /// The owner of slots of a keyed service changed.
    SlotsAssigned {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their owner.
        owner: SlotOwner,
    },
    /// An availability zone got custody of slots. Other zones relay requests for them to it.
    CustodyAssigned {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// The zone.
        zone: ZoneName,
        /// Custody generation.
        generation: u64,
    },
    /// The entry processes of an availability zone changed.
    ZoneEntries {
        /// The zone.
        zone: ZoneName,
        /// Its entry processes.
        entries: Vec<EntryRecord>,
    },
    /// Requests with this fingerprint are refused because they crashed backend servers.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Requests with this fingerprint are served again.
    QuarantineLifted {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

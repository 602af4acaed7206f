//! One change of the view; the view is the fold of all changes since the last [`Reset`].

use chicory_table::Table;
use chicory_types::{ServerId, ServiceName, SlotRun, VmId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{EntryRecord, ServerRecord, SlotOwner};

/// One change of the view; the view is the fold of all changes since the last [`Reset`].
///
/// [`Reset`]: ViewChange::Reset
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// Everything known before is void.
    Reset,
    /// A revision of the table is in force.
    TableInForce(Table),
    /// A backend server was registered or changed.
    ServerUpserted(ServerRecord),
    /// A backend server is gone.
    ServerRemoved(ServerId),
    /// An entry VM is the only one that may send requests to a backend server; `None` while the
    /// former dispatcher's lease is outwaited.
    DispatcherAssigned {
        /// The backend server.
        server: ServerId,
        /// Its dispatcher.
        vm: Option<VmId>,
        /// Counter that grows with each new dispatcher of any server.
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
    /// An availability zone has custody of slots; in other zones requests are relayed to it.
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
    /// The entry processes of an availability zone.
    ZoneEntries {
        /// The zone.
        zone: ZoneName,
        /// Its entry processes.
        entries: Vec<EntryRecord>,
    },
    /// Requests of this fingerprint are refused, since they crashed backend servers.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Requests of this fingerprint are served again.
    QuarantineLifted {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

//! Commands of a zone group's log.

use chicory_table::Table;
use chicory_types::{FencingToken, Incarnation, OrderKey, ServerId, ServiceName, SlotRun, VmId};

use crate::{
    ClaimRequest, ClaimResolution, Claimant, CustodyUpdate, EntryRecord, ServerRecord,
    ZoneDirectory,
};

/// Commands of a zone group's log.
///
/// Each command names the state that it expects. If that state no longer holds, the command changes
/// nothing, so repeated, delayed and outdated commands are harmless.
///
/// `at_ms` is the log clock. It follows the monotonic clock of the leader, continues from the
/// greatest value in the log after an election, and never steps back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// Brings a later revision of the table into force.
    AdoptTable {
        /// The table.
        table: Table,
    },
    /// Brings a later version of the custody into force.
    AdoptCustody {
        /// Custody of all slots, and the handovers from former custodians.
        update: CustodyUpdate,
        /// Log clock.
        at_ms: u64,
    },
    /// Updates the entry processes of other zones.
    AdoptDirectory {
        /// Entry processes by zone.
        zones: Vec<ZoneDirectory>,
    },
    /// Registers a backend server that announced itself.
    RegisterServer {
        /// Its record.
        record: ServerRecord,
    },
    /// Removes a backend server without slots.
    RemoveServer {
        /// The server.
        server: ServerId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Registers an entry process, or updates its record.
    RegisterEntry {
        /// Its record.
        record: EntryRecord,
    },
    /// Removes an entry process without dispatcher roles.
    RemoveEntry {
        /// Its VM.
        vm: VmId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Removes a dispatcher that has resigned or whose lease has ended.
    ReleaseDispatcher {
        /// The backend server.
        server: ServerId,
        /// VM of the former dispatcher.
        vm: VmId,
        /// Incarnation of the former dispatcher.
        incarnation: Incarnation,
        /// Epoch of the ending assignment.
        epoch: u64,
    },
    /// Assigns a dispatcher to a backend server that has none.
    AssignDispatcher {
        /// The backend server.
        server: ServerId,
        /// VM of the dispatcher.
        vm: VmId,
        /// Incarnation of the dispatcher.
        incarnation: Incarnation,
    },
    /// Makes the owner of slots release them.
    ReleaseSlots {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their owner.
        server: ServerId,
    },
    /// Frees slots whose owner has released them.
    ConfirmReleased {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their former owner.
        server: ServerId,
        /// Token of the ending assignment.
        token: FencingToken,
    },
    /// Assigns slots without an owner to a server, under a new token.
    AssignSlots {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their owner.
        server: ServerId,
    },
    /// Seals slots that are to move to another zone, so that they accept no more claims and get no
    /// owner.
    SealCustody {
        /// The service.
        service: ServiceName,
        /// The slots.
        run: SlotRun,
        /// Generation of the ending custody.
        generation: u64,
    },
    /// Claims an order.
    Claim {
        /// The claim.
        request: ClaimRequest,
        /// Log clock.
        at_ms: u64,
    },
    /// Records how a claimed order ended.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// The process that holds the claim.
        claimant: Claimant,
        /// How it ended.
        resolution: ClaimResolution,
    },
    /// Sets the claims in progress of a lost process to unknown.
    AbandonClaims {
        /// Its VM.
        vm: VmId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Records that a backend server crashed while it ran requests.
    CountCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests.
        fingerprints: Vec<u64>,
        /// Whether the server ran only one request when it crashed.
        was_alone: bool,
        /// Log clock.
        at_ms: u64,
    },
    /// Lifts the suspicion or quarantine of a fingerprint whose requests proved harmless.
    AcquitFingerprint {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// Expires old claims, suspects and history losses.
    Expire {
        /// Log clock.
        at_ms: u64,
    },
}

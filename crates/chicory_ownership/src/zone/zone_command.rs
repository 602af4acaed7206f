//! Commands of a zone group's log.

use chicory_table::Table;
use chicory_types::{FencingToken, Incarnation, OrderKey, ServerId, ServiceName, SlotRun, VmId};

use crate::{
    ClaimRequest, ClaimResolution, Claimant, CustodyUpdate, EntryRecord, ServerRecord,
    ZoneDirectory,
};

/// Commands of a zone group's log.
///
/// Each states what it expects to find. Where that isn't so any more it changes nothing, so
/// repeated, delayed and outdated commands are harmless.
///
/// `at_ms` is the log clock: it follows the leader's monotonic clock, goes on from the greatest
/// value in the log after an election, and never steps back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// A later revision of the table comes into force.
    AdoptTable {
        /// The table.
        table: Table,
    },
    /// A later version of custody comes into force.
    AdoptCustody {
        /// Custody of all slots, and what former custodians handed over.
        update: CustodyUpdate,
        /// Log clock.
        at_ms: u64,
    },
    /// The entry processes of the other zones changed.
    AdoptDirectory {
        /// Entry processes by zone.
        zones: Vec<ZoneDirectory>,
    },
    /// A backend server announced itself.
    RegisterServer {
        /// Its record.
        record: ServerRecord,
    },
    /// A backend server without slots is forgotten.
    RemoveServer {
        /// The server.
        server: ServerId,
        /// Its start.
        incarnation: Incarnation,
    },
    /// An entry process renewed for the first time.
    RegisterEntry {
        /// Its record.
        record: EntryRecord,
    },
    /// An entry process without roles is forgotten.
    RemoveEntry {
        /// Its VM.
        vm: VmId,
        /// Its start.
        incarnation: Incarnation,
    },
    /// A dispatcher has resigned, or its lease has ended.
    ReleaseDispatcher {
        /// The backend server.
        server: ServerId,
        /// The former dispatcher's VM.
        vm: VmId,
        /// The former dispatcher's start.
        incarnation: Incarnation,
        /// Epoch of the assignment that ends.
        epoch: u64,
    },
    /// A backend server without a dispatcher gets one.
    AssignDispatcher {
        /// The backend server.
        server: ServerId,
        /// The dispatcher's VM.
        vm: VmId,
        /// The dispatcher's start.
        incarnation: Incarnation,
    },
    /// The owner of slots must give them up.
    ReleaseSlots {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their owner.
        server: ServerId,
    },
    /// The owner has given slots up.
    ConfirmReleased {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their former owner.
        server: ServerId,
        /// Token of the assignment that ends.
        token: FencingToken,
    },
    /// Slots without an owner get one, under a new token.
    AssignSlots {
        /// The service.
        service: ServiceName,
        /// The slots.
        runs: Vec<SlotRun>,
        /// Their owner.
        server: ServerId,
    },
    /// Slots that are to move to another zone take no claims any more.
    SealCustody {
        /// The service.
        service: ServiceName,
        /// The slots.
        run: SlotRun,
        /// Generation of the custody that ends.
        generation: u64,
    },
    /// An order is claimed.
    Claim {
        /// The claim.
        request: ClaimRequest,
        /// Log clock.
        at_ms: u64,
    },
    /// A claimed order has ended.
    ResolveClaim {
        /// The service.
        service: ServiceName,
        /// The order key.
        order_key: OrderKey,
        /// Who held the claim.
        claimant: Claimant,
        /// How it ended.
        resolution: ClaimResolution,
    },
    /// A process with claims is gone.
    AbandonClaims {
        /// Its VM.
        vm: VmId,
        /// Its start.
        incarnation: Incarnation,
    },
    /// A backend server crashed while it ran requests.
    CountCrash {
        /// The server.
        server: ServerId,
        /// Fingerprints of the requests.
        fingerprints: Vec<u64>,
        /// Whether the only suspect ran alone.
        was_alone: bool,
        /// Log clock.
        at_ms: u64,
    },
    /// Requests of a fingerprint were seen to be harmless.
    AcquitFingerprint {
        /// The fingerprint.
        fingerprint: u64,
    },
    /// Time has passed: old claims and suspects are forgotten.
    Expire {
        /// Log clock.
        at_ms: u64,
    },
}

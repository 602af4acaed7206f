//! Decisions that are written to the log.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_directory::{RequestFingerprint, SiteAnswer};
use chicory_policy::OwnerOverload;
use chicory_ranges::{CallOutcome, Fence, GrantCall, MoveRejection, RangeMove, ServerIncarnation};
use chicory_routes::RouteTableVersion;
use chicory_types::{Incarnation, LogIndex, ServiceName, Term, VmId, ZoneName};

/// A decision, or a change of the state of the process, with the inputs that led to it.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteNote {
    /// The storage was opened.
    StorageOpened {
        /// Incarnation of this member.
        incarnation: Incarnation,
        /// Last index of the replicated log that was found.
        last_index: LogIndex,
        /// Whether the member may vote.
        may_vote: bool,
    },
    /// The storage failed; this member takes no part in the group until it works again.
    StorageFailed,
    /// An entry VM reported that a backend server says that it is about to end.
    ServerSaysItLeaves {
        /// The server.
        server_incarnation: ServerIncarnation,
    },
    /// An entry VM reported that a backend server named, changed or lifted its rate limit.
    ServerLimitChanged {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Requests per second for all entry VMs together; `None` if the server has no limit any
        /// more.
        rate_per_s: Option<f64>,
    },
    /// A server of a service with a cold limit turned cold or warm.
    ServerColdChanged {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Whether it is cold.
        is_cold: bool,
        /// Number of such notes that were left out before this one.
        suppressed: u64,
    },
    /// The services whose slots are divided among entry VMs changed.
    SlotsDivided {
        /// The services.
        services: Vec<ServiceName>,
    },
    /// This member was elected leader.
    BecameLeader {
        /// Term of the leadership.
        term: Term,
    },
    /// This member acts as leader: it holds the leader lease and has applied everything
    /// that was committed.
    ActingAsLeader {
        /// Version of the directory.
        version: LogIndex,
    },
    /// This member is no longer the leader.
    LostLeadership {
        /// Term of the former leadership.
        term: Term,
    },
    /// The leader known to this member changed.
    LeaderChanged {
        /// The leader, if there is one.
        leader: Option<VmId>,
    },
    /// The control VMs with a vote changed, as the leader knows them.
    VotersChanged {
        /// The control VMs with a vote.
        voters: BTreeSet<VmId>,
        /// Number of voters that the group should have.
        wanted_count: usize,
    },
    /// A route table came into force.
    RoutesInForce {
        /// Its version.
        routes_version: RouteTableVersion,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// A received route table had no higher version than the one in force, so nothing changed.
    RoutesUnchanged {
        /// Version of the received route table.
        sent_version: RouteTableVersion,
        /// Version of the route table in force.
        routes_version: RouteTableVersion,
    },
    /// A server is new or changed its state.
    ServerChanged {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Its service.
        service: ServiceName,
        /// Whether it is draining.
        is_draining: bool,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// A server was removed.
    ServerRemoved {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// An announcement came from an incarnation that has ended or left.
    StaleAnnouncement {
        /// The incarnation.
        server_incarnation: ServerIncarnation,
    },
    /// An announcement names an address at which another server announced itself shortly before.
    AddressInUse {
        /// The incarnation whose announcement is not accepted.
        server_incarnation: ServerIncarnation,
    },
    /// A server's process has ended: a later one has its id or its address.
    ServerEnded {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// The process whose announcement shows it.
        next: ServerIncarnation,
        /// Number of ranges that the server owned.
        range_count: usize,
        /// Time since a grant to the server was last answered.
        last_answer_age: Option<Duration>,
    },
    /// Keys moved to another owner.
    RangeMoved {
        /// The move.
        change: RangeMove,
        /// Fence of the new grant.
        fence: Fence,
    },
    /// A move did not match the registered ranges.
    MoveRejected {
        /// The reason.
        rejection: MoveRejection,
    },
    /// A call to a backend server did not succeed.
    GrantCallFailed {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Content of the call.
        content: GrantCall,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
    /// A server has not announced itself for too long and is removed.
    ServerUnresponsive {
        /// The server.
        server_incarnation: ServerIncarnation,
    },
    /// The evacuation of an availability zone began.
    EvacuationBegun {
        /// The zone.
        zone: ZoneName,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// No server of an evacuated availability zone owns keys any more, as the leader knows it.
    EvacuationInForce {
        /// The zone.
        zone: ZoneName,
        /// Time since this member applied the order, or since it started if that was later.
        took: Duration,
    },
    /// The evacuation of an availability zone ended.
    EvacuationFinished {
        /// The zone.
        zone: ZoneName,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// A call could not be answered with success.
    CallUnavailable {
        /// The answer that was sent.
        answer: SiteAnswer,
    },
    /// A request crashes the servers that run it, and is held back for a while.
    RequestPoisoned {
        /// The request.
        fingerprint: RequestFingerprint,
    },
    /// A command or a snapshot of the replicated log can't be decoded; this member takes no part in
    /// the group.
    LogUnreadable {
        /// Log index.
        index: LogIndex,
    },
    /// An entry VM started to follow this member.
    EntryConnected {
        /// The entry VM.
        vm: VmId,
        /// Version of the directory that it has.
        known_version: LogIndex,
    },
    /// An entry VM reported that it can no longer relay requests for others, because it reaches no
    /// backend servers or is about to stop, or that it can again.
    RelayAbilityChanged {
        /// The entry VM.
        vm: VmId,
        /// Whether it can relay requests.
        can_relay: bool,
        /// Number of such notes that were left out before this one.
        suppressed: u64,
    },
    /// The keys of a server began or ceased to be asked for more than the server can answer.
    OwnerAdmissionChanged {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Its overload; `None` if it gets all requests again.
        overload: Option<OwnerOverload>,
        /// Number of such notes that were left out before this one.
        suppressed: u64,
    },
    /// An entry VM no longer follows this member.
    EntryDisconnected {
        /// The entry VM.
        vm: VmId,
    },
}

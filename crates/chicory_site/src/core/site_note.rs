//! Decisions that logs tell of.

use chicory_directory::{RequestFingerprint, SiteAnswer};
use chicory_ranges::{CallOutcome, Fence, GrantCall, MoveRejection, RangeMove, ServerIncarnation};
use chicory_routes::RouteTableVersion;
use chicory_types::{Incarnation, LogIndex, ServiceName, Term, VmId};

/// A decision, or a change of what the process believes, with the inputs that decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteNote {
    /// The storage was opened.
    StorageOpened {
        /// Incarnation of this member.
        incarnation: Incarnation,
        /// Last log index that was found.
        last_index: LogIndex,
        /// Whether the member may vote.
        may_vote: bool,
    },
    /// The storage failed; this member takes no part until it works again.
    StorageFailed,
    /// This member leads.
    BecameLeader {
        /// Term of the leadership.
        term: Term,
    },
    /// This member acts as leader: it holds the lease and has applied all that was committed.
    ActingAsLeader {
        /// Version of the directory.
        version: LogIndex,
    },
    /// This member leads no longer.
    LostLeadership {
        /// Term of the former leadership.
        term: Term,
    },
    /// The leader that this member knows of changed.
    LeaderChanged {
        /// The leader, if there is one.
        leader: Option<VmId>,
    },
    /// A route table came into force.
    RoutesInForce {
        /// Its version.
        routes_version: RouteTableVersion,
        /// Log index of the entry.
        index: LogIndex,
    },
    /// A route table was not higher than the one in force.
    RoutesUnchanged {
        /// Version that was sent.
        sent_version: RouteTableVersion,
        /// Version in force.
        routes_version: RouteTableVersion,
    },
    /// A server is new or changed its state.
    ServerChanged {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// Its service.
        service: ServiceName,
        /// Whether it drains.
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
    /// An announcement told of a life that has ended or left.
    StaleAnnouncement {
        /// The life.
        server_incarnation: ServerIncarnation,
    },
    /// An announcement names an address at which another server announced itself just before.
    AddressInUse {
        /// The life that is not believed.
        server_incarnation: ServerIncarnation,
    },
    /// Keys changed hands.
    RangeMoved {
        /// The move.
        change: RangeMove,
        /// Fence of the new grant.
        fence: Fence,
    },
    /// A move did not fit the book.
    MoveRejected {
        /// Why.
        rejection: MoveRejection,
    },
    /// A call to a backend server did not succeed.
    GrantCallFailed {
        /// The server.
        server_incarnation: ServerIncarnation,
        /// What it was told.
        content: GrantCall,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A server has not announced itself for long; it is removed.
    ServerUnresponsive {
        /// The server.
        server_incarnation: ServerIncarnation,
    },
    /// A call could not be answered with success.
    CallUnavailable {
        /// What was answered.
        answer: SiteAnswer,
    },
    /// A request crashes the servers that run it and is not passed on for a while.
    RequestPoisoned {
        /// The request.
        fingerprint: RequestFingerprint,
    },
    /// A command or a snapshot of the log can't be read; the member takes no part.
    LogUnreadable {
        /// Log index.
        index: LogIndex,
    },
    /// An entry VM follows this member.
    EntryConnected {
        /// The entry VM.
        vm: VmId,
        /// The directory version that it has.
        known_version: LogIndex,
    },
    /// An entry VM follows this member no longer.
    EntryDisconnected {
        /// The entry VM.
        vm: VmId,
    },
}

//! Everything that a control process asks of its surroundings.

use chicory_consensus::{MemberId, PeerMessage};
use chicory_ownership::ZoneSyncRequest;
use chicory_types::{Revision, Term, VmId};

use crate::{CallId, ControlReply, FormationRequest, GroupName, PersistRequest};

/// Everything that a control process asks of its surroundings, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEffect {
    /// Send a message to a member of a group; it may be lost.
    Send {
        /// The group.
        group: GroupName,
        /// The receiver.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Make state of the global group durable.
    Persist(Box<PersistRequest>),
    /// Answer a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: ControlReply,
    },
    /// Send this zone's sync to a member of the global group.
    SyncZone {
        /// The member.
        to: VmId,
        /// The sync.
        request: ZoneSyncRequest,
    },
    /// Ask a member of the global group what to do without memory.
    AskFormation {
        /// The member.
        to: VmId,
        /// The question.
        request: FormationRequest,
    },
    /// Write a change of state to the log.
    Note(ControlNote),
    /// A committed entry could not be read: the process must stop at once.
    Abort,
    /// Leadership was handed over: the process may exit.
    Stopped,
}

/// A change of state that operators may want to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlNote {
    /// This process leads a group from now on.
    BecameLeader {
        /// The group.
        group: GroupName,
        /// The term.
        term: Term,
    },
    /// This process leads a group no longer.
    LostLeadership {
        /// The group.
        group: GroupName,
    },
    /// This process takes part in the zone's group of an epoch.
    EnteredZoneGroup {
        /// The epoch.
        group_epoch: u64,
        /// Whether it is a founder.
        is_founder: bool,
    },
    /// This process left the zone's group, of which it has no memory or which was formed anew.
    LeftZoneGroup,
    /// A revision of the table came into force in this zone.
    TableInForce {
        /// The revision.
        revision: Revision,
    },
    /// The zone can't reach the global group.
    GlobalGroupUnreachable,
    /// The zone reaches the global group again.
    GlobalGroupReachable,
}

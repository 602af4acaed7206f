//! Everything that a control process asks of its surroundings, to be carried out in order.

use chicory_consensus::{MemberId, PeerMessage};
use chicory_ownership::ZoneSyncRequest;
use chicory_types::VmId;

use crate::{CallId, ControlNote, ControlReply, FormationRequest, GroupName, PersistRequest};

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

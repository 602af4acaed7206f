//! The actions that the reducer of a control process requests.

use chicory_consensus::{MemberId, PeerMessage};
use chicory_ownership::ZoneSyncRequest;
use chicory_types::VmId;

use crate::{CallId, ControlNote, ControlReply, FormationRequest, GroupName, PersistRequest};

/// An action that the reducer of a control process requests from the shell around it.
///
/// Effects have to be carried out in order.
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
    /// Store what the zone's group makes durable from now on under the name of this member.
    ///
    /// Emitted only with [`is_zone_durable`](crate::ControlConfig::is_zone_durable).
    OpenZoneStore {
        /// Epoch of the group.
        group_epoch: u64,
        /// The member.
        member: MemberId,
    },
    /// Make state of a group durable.
    Persist {
        /// The group.
        group: GroupName,
        /// The state.
        request: Box<PersistRequest>,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call: CallId,
        /// The answer.
        reply: ControlReply,
    },
    /// Send this zone's sync request to a member of the global group.
    SyncZone {
        /// The member.
        to: VmId,
        /// The request.
        request: ZoneSyncRequest,
    },
    /// Send a formation request to a member of the zone's group or of the global group.
    AskFormation {
        /// The member.
        to: VmId,
        /// The request.
        request: FormationRequest,
    },
    /// Write a change of state to the process's log and metrics.
    Note(ControlNote),
    /// The process must stop at once, for example because a committed entry could not be read.
    Abort,
    /// The process may exit: it leads no group any more, or the time to transfer its leadership is
    /// over.
    Stopped,
}

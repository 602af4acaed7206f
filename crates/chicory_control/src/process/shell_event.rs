//! What the tasks of the process tell its loop.

use chicory_consensus::{MemberId, PeerMessage};
use tokio::sync::oneshot;

use crate::{Caller, ControlCall, ControlEvent, ControlReply, GroupName};

/// What the tasks of the process tell its loop.
pub enum ShellEvent {
    /// A message of another member.
    Message {
        /// The group.
        group: GroupName,
        /// The sender.
        from: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// A call, with the way back.
    Call {
        /// Who made it.
        from: Caller,
        /// The call.
        request: ControlCall,
        /// Where the reply goes.
        reply: oneshot::Sender<ControlReply>,
    },
    /// The end of something that an effect asked for.
    Completed(ControlEvent),
}

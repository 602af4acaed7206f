//! Events that the tasks of the process send to its event loop.

use chicory_consensus::{MemberId, PeerMessage};
use tokio::sync::oneshot;

use crate::{Caller, ControlCall, ControlEvent, ControlReply, GroupName};

/// An event that a task of the process sends to its event loop.
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
    /// A call, with the channel for its reply.
    Call {
        /// The process or operator that made the call.
        from: Caller,
        /// The call.
        request: ControlCall,
        /// Channel for the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// The result of an action that an effect requested.
    Completed(ControlEvent),
}

//! The events that the reducer of a control process handles.

use chicory_consensus::{MemberId, PeerMessage};
use chicory_ownership::ZoneSyncAnswer;
use chicory_types::{MonoTime, VmId};
use serde::{Deserialize, Serialize};

use crate::{CallId, Caller, ControlCall, FormationAnswer, GroupName};

/// An event that the reducer of a control process handles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlEvent {
    /// Time has passed; sent no later than the reducer's next wake-up.
    Tick {
        /// Wall-clock time in milliseconds since the Unix epoch, for audit records alone.
        wall_ms: u64,
    },
    /// A message of another member arrived.
    PeerReceived {
        /// The group.
        group: GroupName,
        /// The sender.
        from: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// State of a group was made durable.
    Persisted {
        /// The group.
        group: GroupName,
        /// Ticket of the request to make it durable.
        ticket: u64,
    },
    /// State of a group could not be made durable.
    PersistFailed {
        /// The group.
        group: GroupName,
        /// Ticket of the request to make it durable.
        ticket: u64,
    },
    /// Another process made a call.
    CallReceived {
        /// Identifier for the reply.
        call: CallId,
        /// The process or operator that made the call.
        from: Caller,
        /// The call.
        request: ControlCall,
    },
    /// The global group answered this zone's sync request.
    ZoneSyncAnswered {
        /// When the request was sent.
        sent_at: MonoTime,
        /// The process that answered.
        from: VmId,
        /// The answer.
        answer: ZoneSyncAnswer,
    },
    /// This zone's sync request got no answer.
    ZoneSyncFailed,
    /// A formation request was answered.
    FormationAnswered {
        /// The group that was asked.
        group: GroupName,
        /// The answer.
        answer: FormationAnswer,
    },
    /// A formation request got no answer.
    FormationFailed,
    /// The process received a signal to stop.
    StopRequested,
}

//! Everything that can happen to a control process.

use chicory_consensus::{MemberId, PeerMessage};
use chicory_ownership::ZoneSyncAnswer;
use chicory_types::{MonoTime, VmId};
use serde::{Deserialize, Serialize};

use crate::{CallId, Caller, ControlCall, FormationAnswer, GroupName};

/// Everything that can happen to a control process.
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
    /// State of the global group is durable.
    Persisted {
        /// Ticket of the effect.
        ticket: u64,
    },
    /// State of the global group could not be made durable.
    PersistFailed {
        /// Ticket of the effect.
        ticket: u64,
    },
    /// Another process made a call.
    CallReceived {
        /// Identifier for the reply.
        call: CallId,
        /// Who made it.
        from: Caller,
        /// The call.
        request: ControlCall,
    },
    /// The global group answered this zone's sync.
    ZoneSyncAnswered {
        /// When the sync was sent.
        sent_at: MonoTime,
        /// The process that answered.
        from: VmId,
        /// The answer.
        answer: ZoneSyncAnswer,
    },
    /// The sync got no answer.
    ZoneSyncFailed,
    /// A member without memory was told what to do.
    FormationAnswered {
        /// The group that was asked.
        group: GroupName,
        /// The answer.
        answer: FormationAnswer,
    },
    /// The question of a member without memory got no answer.
    FormationFailed,
    /// The process was asked to stop.
    StopRequested,
}

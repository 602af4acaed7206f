//! First contact between members.

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::HelloStatus;

/// What a member reports of itself at first contact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RecordedHello")]
pub struct Hello {
    /// Status of the sender.
    pub status: HelloStatus,
    /// VM of the leader, if the sender knows one; a VM that asks to be admitted has to reach it.
    pub leader: Option<VmId>,
}

/// A hello in a trace, which may come from a build whose hellos named no leader.
#[derive(Deserialize)]
#[serde(untagged)]
enum RecordedHello {
    Whole {
        status: HelloStatus,
        leader: Option<VmId>,
    },
    StatusOnly(HelloStatus),
}

impl From<RecordedHello> for Hello {
    fn from(recorded: RecordedHello) -> Self {
        match recorded {
            RecordedHello::Whole { status, leader } => Self { status, leader },
            RecordedHello::StatusOnly(status) => Self {
                status,
                leader: None,
            },
        }
    }
}

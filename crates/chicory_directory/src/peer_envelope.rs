//! Messages between control VMs.

use chicory_consensus::PeerMessage;
use chicory_ranges::ServerIncarnation;

use crate::{EntryReport, SiteAnswer, SiteCall};

/// Identifier of a call that one control VM passed on to another, unique in the life of the sender.
pub type SiteCallId = u64;

/// A message from one control VM to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEnvelope {
    /// A message of the replicated log.
    Log(PeerMessage),
    /// A call that only the leader can answer.
    Call {
        /// Identifier for the answer.
        id: SiteCallId,
        /// The call.
        call: SiteCall,
    },
    /// The answer to a call.
    Answer {
        /// Identifier of the call.
        id: SiteCallId,
        /// What became of it.
        answer: SiteAnswer,
    },
    /// Servers that announced themselves here since the former message.
    Announced(Vec<ServerIncarnation>),
    /// A report of an entry VM that follows the sender.
    Report(EntryReport),
}

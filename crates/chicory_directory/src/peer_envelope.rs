//! Messages between control VMs.

use chicory_consensus::PeerMessage;
use chicory_ranges::ServerIncarnation;

use crate::{EntryReport, SiteAnswer, SiteCall};

/// Identifier of a call that one control VM forwards to another, unique within one run of the
/// sender's process.
pub type SiteCallId = u64;

/// A message from one control VM to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEnvelope {
    /// A message of the replicated log.
    Log(PeerMessage),
    /// A call that only the leader can answer.
    Call {
        /// Identifier, which the answer repeats.
        id: SiteCallId,
        /// The call.
        call: SiteCall,
    },
    /// The answer to a call.
    Answer {
        /// Identifier of the call.
        id: SiteCallId,
        /// Result of the call.
        answer: SiteAnswer,
    },
    /// Servers that announced themselves to the sender since its previous message of this kind.
    Announced(Vec<ServerIncarnation>),
    /// A report of an entry VM that is linked to the sender.
    Report(EntryReport),
}

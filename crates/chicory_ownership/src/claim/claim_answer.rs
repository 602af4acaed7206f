//! The answer to a claim, sent once a majority has it.

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::StoredAnswer;

/// The answer to a claim, sent once a majority has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant may dispatch the order, once.
    Granted,
    /// The order has run; this is its answer.
    Stored(StoredAnswer),
    /// The order is being run.
    InProgress,
    /// The order may have run; its answer is lost.
    Unknown,
    /// The order key was used for an order with another fingerprint.
    KeyReused,
    /// This zone has no custody of the order key's slot.
    NotCustodian,
    /// The zone took custody over without the claims of its predecessor; orders of the slot are
    /// refused until none of those can be resent any more.
    HistoryLost,
    /// Claims are at their limit.
    Full,
    /// Another process leads the zone group.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<VmId>,
    },
}

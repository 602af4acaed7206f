//! Answer to a claim.

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::StoredAnswer;

/// Answer to a claim, sent once a majority of the zone group has stored the claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant may dispatch the order once.
    Granted,
    /// The order has already run and returned this answer.
    Stored(StoredAnswer),
    /// Another attempt is running the order.
    InProgress,
    /// The order may have run, but its answer is not available.
    Unknown,
    /// The order key was already used for an order with a different fingerprint.
    KeyReused,
    /// This zone has no custody of the order key's slot, or has sealed the slot to release it to
    /// another zone.
    NotCustodian,
    /// The zone got custody without the claims of the previous custodian. Orders of the slot are
    /// refused until callers may no longer resend any order claimed there.
    HistoryLost,
    /// The zone holds [`MAX_CLAIMS`](crate::MAX_CLAIMS) claims.
    Full,
    /// Another process leads the zone group.
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

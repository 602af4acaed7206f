//! Claims that make an order run at most once.

use chicory_types::{Incarnation, OrderKey, RequestId, ServiceName, VmId};
use serde::{Deserialize, Serialize};

/// The process that dispatches a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Its VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// The request that it dispatches; a resent claim of the same attempt gets the same answer.
    pub attempt: RequestId,
}

/// Asks the zone group that has custody of the order key's slot for the right to run an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The order's service.
    pub service: ServiceName,
    /// The caller's `Idempotency-Key`.
    pub order_key: OrderKey,
    /// Fingerprint of method, path and body; a key may not be used for another order.
    pub fingerprint: u64,
    /// Who will dispatch the order.
    pub claimant: Claimant,
}

/// The answer of a finished order, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, empty where there was none.
    pub content_type: String,
    /// The body; `None` where it was too long to keep.
    pub body: Option<Vec<u8>>,
}

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

/// How a claimed order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResolution {
    /// It ran and this is its answer.
    Answered(StoredAnswer),
    /// It surely did not run; the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

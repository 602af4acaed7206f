//! One claim as the zone group keeps it.

use chicory_types::{OrderKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{Claimant, StoredAnswer};

/// State of a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The claimant may be running it.
    InProgress,
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
    /// It surely did not run and may be claimed by another attempt.
    NotRun,
}

/// One claim as the zone group keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The service.
    pub service: ServiceName,
    /// The order key.
    pub order_key: OrderKey,
    /// Fingerprint of the order.
    pub fingerprint: u64,
    /// Who holds or held the claim.
    pub claimant: Claimant,
    /// State of the order.
    pub state: ClaimState,
    /// Log clock of the zone group at the last grant, in milliseconds.
    pub claimed_at_ms: u64,
}

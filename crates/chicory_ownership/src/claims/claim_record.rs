//! Stored form of an order claim.

use chicory_types::{OrderKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{Claimant, StoredAnswer};

/// State of a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The claimant may be running it.
    InProgress,
    /// It ran and returned this answer.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
    /// It certainly did not run and may be claimed by another attempt.
    NotRun,
}

/// Order claim as stored in the replicated state of a zone group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The service.
    pub service: ServiceName,
    /// The order key.
    pub order_key: OrderKey,
    /// Fingerprint of the order.
    pub fingerprint: u64,
    /// The process that holds or held the claim.
    pub claimant: Claimant,
    /// State of the order.
    pub state: ClaimState,
    /// Log clock of the zone group at the last grant, in milliseconds. In a release or handover to
    /// another zone it is the age of the claim instead.
    pub claimed_at_ms: u64,
}

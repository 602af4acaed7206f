//! Request for the right to run an order.

use chicory_types::{OrderKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::Claimant;

/// Request for the right to run an order, sent to the zone group that has custody of the slot of
/// the order key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The order's service.
    pub service: ServiceName,
    /// The caller's `Idempotency-Key`.
    pub order_key: OrderKey,
    /// Fingerprint of method, path and body. A key must not be reused for a different order.
    pub fingerprint: u64,
    /// The process that will dispatch the order.
    pub claimant: Claimant,
}

//! Asks the zone group that has custody of the order key's slot for the right to run an order.

use chicory_types::{OrderKey, ServiceName};
use serde::{Deserialize, Serialize};

use crate::Claimant;

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

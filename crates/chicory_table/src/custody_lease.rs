//! How long an unreachable availability zone keeps custody of its slots.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long an unreachable availability zone keeps custody of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustodyLease {
    /// The zone keeps its slots until an operator evicts it.
    Unlimited,
    /// Other zones take over the slots once this time has passed without a renewal.
    Limited(Duration),
}

//! How long an availability zone keeps custody of its slots when it can't be reached.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long an availability zone keeps custody of its slots when it can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustodyLease {
    /// The zone keeps its slots until an operator evicts it.
    Unlimited,
    /// Other zones take the slots over once this span has passed without renewal.
    Limited(Duration),
}

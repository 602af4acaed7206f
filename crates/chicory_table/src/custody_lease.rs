//! How long an availability zone keeps custody of its slots when it can't be reached.

use std::time::Duration;

/// How long an availability zone keeps custody of its slots when it can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CustodyLease {
    /// The zone keeps its slots until an operator evicts it.
    Unlimited,
    /// Other zones take the slots over once this span has passed without renewal.
    Limited(Duration),
}

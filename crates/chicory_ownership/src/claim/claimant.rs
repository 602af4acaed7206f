//! The process that dispatches a claimed order.

use chicory_types::{Incarnation, RequestId, VmId};
use serde::{Deserialize, Serialize};

/// The process that dispatches a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimant {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The request that it dispatches. A resent claim of the same attempt gets the same answer.
    pub attempt: RequestId,
}

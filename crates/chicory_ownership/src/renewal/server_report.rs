//! A dispatcher's report on one backend server.

use chicory_types::{Incarnation, ServerId};
use serde::{Deserialize, Serialize};

use crate::{ServerCondition, SlotHeat};

/// A dispatcher's report on one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The backend server.
    pub server: ServerId,
    /// The incarnation of the server that the report is about.
    pub incarnation: Incarnation,
    /// Its condition.
    pub condition: ServerCondition,
    /// Requests dispatched since the last report.
    pub requests: u32,
    /// Its slots with the most requests, at most
    /// [`MAX_REPORTED_SLOTS`](crate::RenewRequest::MAX_REPORTED_SLOTS).
    pub hottest_slots: Vec<SlotHeat>,
}

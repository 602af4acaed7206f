//! Custody of all slots at one version.

use serde::{Deserialize, Serialize};

use crate::{CustodyHandover, CustodyRun};

/// Custody of all slots at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyUpdate {
    /// The version.
    pub version: u64,
    /// Custody of all slots.
    pub runs: Vec<CustodyRun>,
    /// Handovers to the receiving zone that are newer than the version it has in force.
    pub handovers: Vec<CustodyHandover>,
}

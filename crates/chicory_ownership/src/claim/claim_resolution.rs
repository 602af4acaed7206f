//! How a claimed order ended.

use serde::{Deserialize, Serialize};

use crate::StoredAnswer;

/// How a claimed order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResolution {
    /// It ran and returned this answer.
    Answered(StoredAnswer),
    /// It certainly did not run, so the key may be claimed again.
    NotRun,
    /// It may have run.
    Unknown,
}

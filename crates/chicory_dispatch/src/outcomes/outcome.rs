//! Whether a request ran.

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and the answer comes from the backend server.
    Ran,
    /// It did not run and never will.
    NotRun,
    /// It may have run or may still run.
    Unknown,
}

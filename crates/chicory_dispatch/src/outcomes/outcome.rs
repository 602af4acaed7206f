//! Whether a request ran.

use serde::{Deserialize, Serialize};

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; the answer is the server's.
    Ran,
    /// It did not run and never will.
    NotRun,
    /// It may have run or may still run.
    Unknown,
}

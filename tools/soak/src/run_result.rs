//! The result of a run.

use std::fmt;

use crate::entry_cut_guarantees::WITHOUT_PATH;

/// The result of a run: its counts and the violations found.
pub struct RunResult {
    pub(crate) seed: u64,
    pub(crate) sent: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) steps: usize,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
}

impl RunResult {
    /// Whether a guarantee was violated other than that of entry VMs without a path to servers.
    #[must_use]
    pub fn has_other_violations(&self) -> bool {
        let mut violations = self.violations.iter();
        violations.any(|violation| !violation.contains(WITHOUT_PATH))
    }
}

impl fmt::Display for RunResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults and planned steps, {} requests, {} served, {} refused, \
             {} violations",
            self.seed,
            self.steps,
            self.sent,
            self.served,
            self.refused,
            self.violations.len()
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

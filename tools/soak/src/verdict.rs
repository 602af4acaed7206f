//! What a run showed.

use std::fmt;

/// What a run showed.
pub struct Verdict {
    pub(crate) seed: u64,
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) steps: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults and works, {} requests, {} served, {} refused, {} violations",
            self.seed,
            self.steps,
            self.asked,
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

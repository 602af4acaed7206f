//! What is measured under a load.

/// What is measured under a load.
#[derive(Debug, Default)]
pub struct Measured {
    /// Requests that arrived at a server, with repeated ones.
    pub arrived: u32,
    /// Requests that arrived at a full server while another one had a free slot.
    pub avoidably_full: u32,
    /// Requests that a server rejected.
    pub rejected: u32,
    pub times_s: Vec<f64>,
}

impl Measured {
    pub fn full_share(&self) -> f64 {
        f64::from(self.avoidably_full) / f64::from(self.arrived)
    }

    pub fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.arrived)
    }

    /// Returns the time within which a number of callers in a hundred were answered.
    pub fn percentile_s(&self, percent: usize) -> f64 {
        let mut times_s = self.times_s.clone();
        times_s.sort_by(f64::total_cmp);
        times_s[times_s.len() * percent / 100]
    }
}

//! The loads that choices are compared under.

/// A service, its entry VMs and the demand.
#[derive(Clone, Debug)]
pub struct Load {
    pub entries: usize,
    pub zones: usize,
    pub servers: usize,
    pub slots: u32,
    /// Speeds of the servers of a zone, repeated.
    pub speeds: Vec<f64>,
    /// Time of a request's work at speed 1.
    pub work_s: f64,
    /// Demand as a share of what all servers can serve, slow phases included.
    pub share_of_capacity: f64,
    /// Share of the time that each server is slow.
    pub slow_share: f64,
    pub seconds: f64,
    pub seed: u64,
}

impl Load {
    /// The deployment that was measured on real programs.
    pub fn measured_deployment(share_of_capacity: f64) -> Self {
        Self {
            entries: 12,
            zones: 3,
            servers: 12,
            slots: 3,
            speeds: vec![0.5, 0.7, 1.0, 1.6],
            work_s: 0.05,
            share_of_capacity,
            slow_share: 0.0,
            seconds: 65.0,
            seed: 1,
        }
    }

    /// The orders of the deployment "bookings", which has 75 entry VMs.
    pub fn orders(entries: usize, share_of_capacity: f64) -> Self {
        Self {
            entries,
            servers: 63,
            speeds: vec![0.7, 0.7, 1.6],
            work_s: 0.21,
            ..Self::measured_deployment(share_of_capacity)
        }
    }

    /// Has each server be slow for a fifth of the time.
    pub fn with_slow_phases(self) -> Self {
        Self {
            slow_share: 0.2,
            ..self
        }
    }
}

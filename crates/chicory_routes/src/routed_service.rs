//! One service of the route table.

use std::time::Duration;

use chicory_types::ServiceName;

/// What the operator states about a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: Option<String>,
    /// Greatest number of connections that one backend server accepts from all callers together.
    pub max_connections: Option<u32>,
    /// Protocol that the backend servers speak.
    pub protocol: Option<String>,
    /// Whether connections to the backend servers are encrypted.
    pub has_tls: Option<bool>,
    /// Whether backend servers own keys exclusively.
    pub is_keyed: Option<bool>,
    /// How long requests for keys stay slow if the keys arrive without the state of
    /// their former owner.
    pub warmup: Option<Duration>,
    /// How backend servers are notified of the keys that they own.
    pub grant_mode: Option<String>,
    /// How long a backend server stays cold after its start.
    pub cold_time: Option<Duration>,
    /// Requests that a cold backend server bears in 1000 seconds, which makes it the rate in
    /// millihertz; see [`Self::cold_rate_per_s`].
    pub cold_rate_millihertz: Option<u32>,
}

impl RoutedService {
    /// Returns the requests that a cold backend server bears in a second, from all entry VMs
    /// together. `None` if cold servers have no limit, which is also what a rate of 0 means.
    #[must_use]
    pub fn cold_rate_per_s(&self) -> Option<f64> {
        let rate_millihertz = self.cold_rate_millihertz.filter(|rate| *rate > 0)?;
        Some(f64::from(rate_millihertz) / 1000.0)
    }
}

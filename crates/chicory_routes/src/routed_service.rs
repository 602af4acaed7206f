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
}

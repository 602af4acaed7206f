//! Settings of the backend servers of one process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::ServiceTime;

/// Settings of the backend servers of one process.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Service that they serve.
    pub service: String,
    /// Name; a number is appended if there is more than one server.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Number of servers in the process.
    pub count: u32,
    /// Address for requests; its port counts up from server to server unless it is 0.
    pub listen: SocketAddr,
    /// Address for changes of behaviour.
    pub control_listen: SocketAddr,
    /// Addresses of the announce listeners of entry processes.
    pub announce: Vec<String>,
    /// Requests that a server runs at a time.
    pub slots: u32,
    /// Connections that a server accepts.
    pub connections: u32,
    /// Time that a server takes for a request.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Length of an answer in bytes.
    pub answer_bytes: usize,
    /// Whether requests need a current fencing token.
    pub checks_grants: bool,
    /// Incarnation of the servers.
    pub incarnation: u64,
    /// Time limit of an announcement.
    pub announce_timeout: Duration,
    /// File to append the history of the servers to.
    pub history: Option<PathBuf>,
}

/// Builds a [`ServerConfig`] from its defaults.
#[derive(Clone, Debug)]
pub struct ServerConfigBuilder {
    config: ServerConfig,
}

impl ServerConfigBuilder {
    /// Creates a builder whose defaults are one server of `service` in `zone` on any loopback port.
    #[must_use]
    pub fn new(service: &str, zone: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            config: ServerConfig {
                service: service.to_owned(),
                name: service.to_owned(),
                zone: zone.to_owned(),
                count: 1,
                listen: any_port,
                control_listen: any_port,
                announce: Vec::new(),
                slots: 3,
                connections: 100,
                service_time: ServiceTime::Fixed(Duration::from_millis(1)),
                seed: 1,
                answer_bytes: 256,
                checks_grants: false,
                incarnation: 1,
                announce_timeout: Duration::from_secs(1),
                history: None,
            },
        }
    }

    /// Applies `change` to the settings.
    #[must_use]
    pub fn with(mut self, change: impl FnOnce(&mut ServerConfig)) -> Self {
        change(&mut self.config);
        self
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> ServerConfig {
        self.config
    }
}

//! Settings of the request path.

use std::time::Duration;

use chicory_types::{Incarnation, VmId, ZoneName};

use crate::RequestPathConfigBuilder;
use serde::{Deserialize, Serialize};

/// Settings of a [`RequestPath`](crate::RequestPath).
///
/// # Examples
///
/// ```
/// use chicory_dispatch::RequestPathConfig;
///
/// let config = RequestPathConfig::builder("entry-1", "vake-hall")
///     .peer_address("10.0.0.1:7001")
///     .seed(7)
///     .build();
/// assert_eq!(config.max_hops, 2);
/// ```
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestPathConfig {
    /// Name of the VM.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Host and port for relays from other entry processes.
    pub peer_address: String,
    /// Host and port for announcements of backend servers.
    pub announce_address: String,
    /// Time between renewals of the lease.
    pub renew_interval: Duration,
    /// Longest lease granted to a backend server.
    pub server_lease: Duration,
    /// Silence of an exchange before its answer after which the server is probed.
    pub progress_timeout: Duration,
    /// Silence within an answer after which the answer is broken off.
    pub stall_timeout: Duration,
    /// Retries as a share of fresh requests, per service.
    pub retry_share: f64,
    /// Most tries of one request, the first included.
    pub max_tries: u32,
    /// Relays that one request may take.
    pub max_hops: u8,
    /// Requests open at a time in this process.
    pub max_requests: usize,
    /// Idle time after which a connection is closed.
    pub idle_cap: Duration,
    /// Age after which a connection takes no further request.
    pub age_cap: Duration,
    /// New connections per second, to all servers together.
    pub connect_rate_per_s: u32,
    /// Span over which a started server's weight grows to its full value.
    pub ramp: Duration,
    /// Consecutive failures after which a server is ejected.
    pub eject_after_failures: u32,
    /// How long an ejected server gets no request by choice.
    pub ejection: Duration,
    /// Time between two reports on a server that is up.
    pub report_interval: Duration,
    /// Time from a server's wish to drain until it gets no request at all.
    pub drain_grace: Duration,
    /// Longest wait of a stopping process for its roles to be taken over.
    pub stop_grace: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl RequestPathConfig {
    /// Starts a builder with the default settings.
    pub fn builder(vm: impl Into<VmId>, zone: impl Into<ZoneName>) -> RequestPathConfigBuilder {
        RequestPathConfigBuilder::new(Self {
            vm: vm.into(),
            incarnation: 1,
            zone: zone.into(),
            peer_address: String::new(),
            announce_address: String::new(),
            renew_interval: Duration::from_millis(400),
            server_lease: Duration::from_millis(2_200),
            progress_timeout: Duration::from_millis(600),
            stall_timeout: Duration::from_secs(5),
            retry_share: 0.1,
            max_tries: 3,
            max_hops: 2,
            max_requests: 20_000,
            idle_cap: Duration::from_secs(30),
            age_cap: Duration::from_mins(5),
            connect_rate_per_s: 200,
            ramp: Duration::from_secs(5),
            eject_after_failures: 5,
            ejection: Duration::from_secs(5),
            report_interval: Duration::from_secs(5),
            drain_grace: Duration::from_millis(1_500),
            stop_grace: Duration::from_secs(3),
            seed: 0,
        })
    }
}

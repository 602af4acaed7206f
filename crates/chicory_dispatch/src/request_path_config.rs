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
    /// Incarnation of the process: a number that grows with each start.
    pub incarnation: Incarnation,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Host and port on which relays from other entry processes are accepted.
    pub peer_address: String,
    /// Host and port on which announcements of backend servers are accepted.
    pub announce_address: String,
    /// Interval between renewals of the lease.
    pub renew_interval: Duration,
    /// Longest lease granted to a backend server.
    pub server_lease: Duration,
    /// Time without progress before the answer after which the server is probed.
    pub progress_timeout: Duration,
    /// Time without progress within an answer after which the answer is aborted.
    pub stall_timeout: Duration,
    /// Allowed retries as a share of the new requests of a service.
    pub retry_share: f64,
    /// Maximum number of tries of one request, including the first.
    pub max_tries: u32,
    /// Maximum number of relays of one request.
    pub max_hops: u8,
    /// Maximum number of open requests in this process.
    pub max_requests: usize,
    /// Idle time after which a connection is closed.
    pub idle_cap: Duration,
    /// Age after which a connection is not used for another request.
    pub age_cap: Duration,
    /// Maximum rate of new connections per second, over all servers.
    pub connect_rate_per_s: u32,
    /// Time over which the weight of a server that has just started grows to its full value.
    pub ramp: Duration,
    /// Number of consecutive failures after which a server is ejected.
    pub eject_after_failures: u32,
    /// Time for which an ejected server gets no requests that other servers could serve.
    pub ejection: Duration,
    /// Interval between two reports on a server that is up.
    pub report_interval: Duration,
    /// Time from when a server starts to drain until it gets no requests at all.
    pub drain_grace: Duration,
    /// Longest time that a stopping process waits for the zone group to acknowledge that it has
    /// resigned its dispatcher roles.
    pub stop_grace: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl RequestPathConfig {
    /// Creates a builder with the default settings.
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

//! Builder of the settings of the request path.

use std::time::Duration;

use chicory_types::Incarnation;

use crate::RequestPathConfig;

/// Builds a [`RequestPathConfig`].
#[derive(Clone, Debug)]
pub struct RequestPathConfigBuilder {
    config: RequestPathConfig,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty,)*) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub fn $name(mut self, $name: $type) -> Self {
                self.config.$name = $name;
                self
            }
        )*
    };
}

impl RequestPathConfigBuilder {
    pub(crate) fn new(config: RequestPathConfig) -> Self {
        Self { config }
    }

    /// Sets the host and port on which relays from other entry processes are accepted.
    #[must_use]
    pub fn peer_address(mut self, address: impl Into<String>) -> Self {
        self.config.peer_address = address.into();
        self
    }

    /// Sets the host and port on which announcements of backend servers are accepted.
    #[must_use]
    pub fn announce_address(mut self, address: impl Into<String>) -> Self {
        self.config.announce_address = address.into();
        self
    }

    setters! {
        /// Sets the incarnation of the process.
        incarnation: Incarnation,
        /// Sets the interval between renewals of the lease.
        renew_interval: Duration,
        /// Sets the longest lease granted to a backend server.
        server_lease: Duration,
        /// Sets the time without progress before an answer after which the server is probed.
        progress_timeout: Duration,
        /// Sets the time without progress within an answer after which the answer is aborted.
        stall_timeout: Duration,
        /// Sets the allowed retries as a share of the new requests of a service.
        retry_share: f64,
        /// Sets the maximum number of tries of one request.
        max_tries: u32,
        /// Sets the maximum number of relays of one request.
        max_hops: u8,
        /// Sets the maximum number of open requests.
        max_requests: usize,
        /// Sets the idle time after which a connection is closed.
        idle_cap: Duration,
        /// Sets the age after which a connection is not used for another request.
        age_cap: Duration,
        /// Sets the maximum rate of new connections per second.
        connect_rate_per_s: u32,
        /// Sets the time over which the weight of a started server grows to its full value.
        ramp: Duration,
        /// Sets the number of consecutive failures after which a server is ejected.
        eject_after_failures: u32,
        /// Sets how long an ejected server gets no requests that other servers could serve.
        ejection: Duration,
        /// Sets the interval between two reports on a server that is up.
        report_interval: Duration,
        /// Sets the time from when a server starts to drain until it gets no requests.
        drain_grace: Duration,
        /// Sets how long a stopping process waits for the acknowledgement of its resignations.
        stop_grace: Duration,
        /// Sets the seed of all random choices.
        seed: u64,
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> RequestPathConfig {
        self.config
    }
}

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

    /// Sets the host and port for relays from other entry processes.
    #[must_use]
    pub fn peer_address(mut self, address: impl Into<String>) -> Self {
        self.config.peer_address = address.into();
        self
    }

    /// Sets the host and port for announcements of backend servers.
    #[must_use]
    pub fn announce_address(mut self, address: impl Into<String>) -> Self {
        self.config.announce_address = address.into();
        self
    }

    setters! {
        /// Sets the start of the process.
        incarnation: Incarnation,
        /// Sets the time between renewals of the lease.
        renew_interval: Duration,
        /// Sets the longest lease granted to a backend server.
        server_lease: Duration,
        /// Sets the silence after which a server is probed.
        progress_timeout: Duration,
        /// Sets the silence within an answer after which it is broken off.
        stall_timeout: Duration,
        /// Sets the retries as a share of fresh requests.
        retry_share: f64,
        /// Sets the most tries of one request.
        max_tries: u32,
        /// Sets the relays that one request may take.
        max_hops: u8,
        /// Sets the requests open at a time.
        max_requests: usize,
        /// Sets the idle time after which a connection is closed.
        idle_cap: Duration,
        /// Sets the age after which a connection takes no further request.
        age_cap: Duration,
        /// Sets the new connections per second.
        connect_rate_per_s: u32,
        /// Sets the span of the cold-start ramp.
        ramp: Duration,
        /// Sets the consecutive failures after which a server is ejected.
        eject_after_failures: u32,
        /// Sets how long an ejected server gets no request by choice.
        ejection: Duration,
        /// Sets the time between two reports on a server that is up.
        report_interval: Duration,
        /// Sets the time from a server's wish to drain until it gets no request.
        drain_grace: Duration,
        /// Sets the longest wait of a stopping process for its roles to be taken over.
        stop_grace: Duration,
        /// Sets the seed of all random choices.
        seed: u64,
    }

    /// Ends the building.
    #[must_use]
    pub fn build(self) -> RequestPathConfig {
        self.config
    }
}

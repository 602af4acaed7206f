//! Settings of the leader of a zone group.

use std::time::Duration;

use crate::PlacementKind;

/// Length of the single lease that an entry process holds for all its dispatcher roles.
pub const DISPATCHER_LEASE: Duration = Duration::from_millis(2_200);
/// How often entry processes renew their lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time between two runs of the planner.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which slots are moved to balance load.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(5);
/// Time from the start of a server until it gets its full share of load.
pub const COLD_START_RAMP: Duration = Duration::from_secs(30);
/// How long an entry process without dispatcher roles stays registered after its lease has ended.
pub const ENTRY_RETENTION: Duration = Duration::from_secs(30);
/// How long a server without slots stays registered after the last contact with it.
pub const SERVER_RETENTION: Duration = Duration::from_mins(1);

/// Settings of the leader of a zone group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneLeaderConfig {
    /// See [`DISPATCHER_LEASE`].
    pub dispatcher_lease: Duration,
    /// See [`PLAN_INTERVAL`].
    pub plan_interval: Duration,
    /// See [`REBALANCE_INTERVAL`].
    pub rebalance_interval: Duration,
    /// See [`COLD_START_RAMP`].
    pub cold_start_ramp: Duration,
    /// Placement policy for slots.
    pub placement: PlacementKind,
}

impl ZoneLeaderConfig {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> ZoneLeaderConfigBuilder {
        ZoneLeaderConfigBuilder::default()
    }
}

impl Default for ZoneLeaderConfig {
    fn default() -> Self {
        Self {
            dispatcher_lease: DISPATCHER_LEASE,
            plan_interval: PLAN_INTERVAL,
            rebalance_interval: REBALANCE_INTERVAL,
            cold_start_ramp: COLD_START_RAMP,
            placement: PlacementKind::default(),
        }
    }
}

/// Builder of a [`ZoneLeaderConfig`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneLeaderConfigBuilder {
    config: ZoneLeaderConfig,
}

impl ZoneLeaderConfigBuilder {
    /// Sets the length of dispatcher leases.
    #[must_use]
    pub fn dispatcher_lease(mut self, span: Duration) -> Self {
        self.config.dispatcher_lease = span;
        self
    }

    /// Sets the maximum time between two runs of the planner.
    #[must_use]
    pub fn plan_interval(mut self, span: Duration) -> Self {
        self.config.plan_interval = span;
        self
    }

    /// Sets the interval at which slots are moved to balance load.
    #[must_use]
    pub fn rebalance_interval(mut self, span: Duration) -> Self {
        self.config.rebalance_interval = span;
        self
    }

    /// Sets the time from the start of a server until it gets its full share of load.
    #[must_use]
    pub fn cold_start_ramp(mut self, span: Duration) -> Self {
        self.config.cold_start_ramp = span;
        self
    }

    /// Sets the placement policy for slots.
    #[must_use]
    pub fn placement(mut self, placement: PlacementKind) -> Self {
        self.config.placement = placement;
        self
    }

    /// Builds the settings.
    #[must_use]
    pub fn build(self) -> ZoneLeaderConfig {
        self.config
    }
}

//! Settings of the leader of a zone group.

use std::time::Duration;

use crate::PlacementKind;

/// Length of the lease that an entry process holds for all its dispatcher roles.
pub const DISPATCHER_LEASE: Duration = Duration::from_millis(2_200);
/// How often entry processes renew their lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// How often the leader plans at the latest.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How often slots are moved for the sake of balance.
pub const REBALANCE_INTERVAL: Duration = Duration::from_secs(5);
/// How long a server takes from its start to its full share of load.
pub const COLD_START_RAMP: Duration = Duration::from_secs(30);
/// How long an entry process without roles is remembered after its lease has ended.
pub const ENTRY_RETENTION: Duration = Duration::from_secs(30);
/// How long a server without slots is remembered after its last announcement.
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
    /// How slots are placed.
    pub placement: PlacementKind,
}

impl ZoneLeaderConfig {
    /// Starts from the default settings.
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

/// Builds a [`ZoneLeaderConfig`].
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

    /// Sets how often the leader plans at the latest.
    #[must_use]
    pub fn plan_interval(mut self, span: Duration) -> Self {
        self.config.plan_interval = span;
        self
    }

    /// Sets how often slots are moved for the sake of balance.
    #[must_use]
    pub fn rebalance_interval(mut self, span: Duration) -> Self {
        self.config.rebalance_interval = span;
        self
    }

    /// Sets how long a server takes to its full share of load.
    #[must_use]
    pub fn cold_start_ramp(mut self, span: Duration) -> Self {
        self.config.cold_start_ramp = span;
        self
    }

    /// Sets how slots are placed.
    #[must_use]
    pub fn placement(mut self, placement: PlacementKind) -> Self {
        self.config.placement = placement;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> ZoneLeaderConfig {
        self.config
    }
}

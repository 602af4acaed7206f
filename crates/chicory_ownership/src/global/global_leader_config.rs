//! Settings of the leader of the global group.

use std::time::Duration;

/// How long after its election a leader reserves shares of slots for zones that have not registered
/// yet. After that it assigns all slots without custody to the registered zones.
pub const CUSTODY_GRACE: Duration = Duration::from_secs(3);
/// How long a zone counts as reachable after its last sync.
pub const ZONE_CONTACT_LIMIT: Duration = Duration::from_secs(2);

/// How long a reachable zone may keep custody of slots that none of its servers accepts.
pub const UNSERVED_CUSTODY_LIMIT: Duration = Duration::from_secs(10);

/// Settings of the leader of the global group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GlobalLeaderConfig {
    /// See [`CUSTODY_GRACE`].
    pub custody_grace: Duration,
    /// See [`ZONE_CONTACT_LIMIT`].
    pub zone_contact_limit: Duration,
}

impl GlobalLeaderConfig {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> GlobalLeaderConfigBuilder {
        GlobalLeaderConfigBuilder::default()
    }
}

impl Default for GlobalLeaderConfig {
    fn default() -> Self {
        Self {
            custody_grace: CUSTODY_GRACE,
            zone_contact_limit: ZONE_CONTACT_LIMIT,
        }
    }
}

/// Builder of a [`GlobalLeaderConfig`].
#[derive(Clone, Copy, Debug, Default)]
pub struct GlobalLeaderConfigBuilder {
    config: GlobalLeaderConfig,
}

impl GlobalLeaderConfigBuilder {
    /// Sets how long a leader reserves shares of slots for zones that have not registered yet.
    #[must_use]
    pub fn custody_grace(mut self, span: Duration) -> Self {
        self.config.custody_grace = span;
        self
    }

    /// Sets how long a zone counts as reachable.
    #[must_use]
    pub fn zone_contact_limit(mut self, span: Duration) -> Self {
        self.config.zone_contact_limit = span;
        self
    }

    /// Builds the settings.
    #[must_use]
    pub fn build(self) -> GlobalLeaderConfig {
        self.config
    }
}

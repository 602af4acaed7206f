//! Settings of the reducer.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_consensus::{ConfigError, Formation, MemberId, ReplicaConfig, VOTER_CONTACT_TIMEOUT};
use chicory_policy::ColdAllowance;
use chicory_ranges::GrantCoordinatorConfig;
use chicory_types::{Incarnation, ServiceName, VmId, ZoneName};

use super::fault_tolerance::MIN_VOTER_COUNT;

/// Time limit for the answer to a call that was forwarded to the leader; callers wait one second.
pub(crate) const FORWARDED_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a leader plans the owners of keys and removes unresponsive servers.
pub(crate) const PLANNING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which members other than the leader forward announcements to it.
pub(crate) const FORWARDING_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a new server of a service after which its keys are divided for the first time.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Time after the first announcement for a service after which its keys are divided for the first
/// time, even if new servers still announce themselves.
pub(crate) const MAX_SETTLING_TIME: Duration = Duration::from_millis(2500);
/// Time without an announcement after which a server is removed from the directory; several times
/// the longest network partition that is expected between servers and control VMs.
pub(crate) const SERVER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without an announcement after which a server gets no further keys, and loses those whose
/// grants have expired.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after an announcement during which no other server can have its address: an address stays
/// free for two seconds before another server gets it, and announcements are forwarded within a
/// quarter of a second.
pub(crate) const ADDRESS_HOLD_TIME: Duration = Duration::from_millis(1800);
/// Interval at which keys may be moved for load balancing alone.
pub(crate) const BALANCING_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest rest of a server for whose keys others are asked: moving them takes up to a second.
pub(crate) const MIN_REST_TO_RELIEVE: Duration = Duration::from_secs(2);
/// Time from the first report that a server rests until its keys move. The entry VMs' next reports
/// show by then whether other servers rest as well.
pub(crate) const RELIEF_DELAY: Duration = Duration::from_millis(500);
/// Number of servers of a service for each one whose keys move because it rests. If more of them
/// rest, the cause lies elsewhere, and the keys would overload the others.
pub(crate) const MIN_SERVERS_PER_RELIEVED: usize = 3;
/// Rate by which the keys of a resting server are planned, in requests per second: close to none.
pub(crate) const RATE_OF_RESTING_PER_S: f64 = 0.1;

/// Settings of the reducer.
///
/// # Examples
///
/// ```
/// use chicory_site::SiteConfig;
///
/// let seeds = vec!["10.0.0.1:7540".to_owned()];
/// let config = SiteConfig::new("10.0.0.1:7540", seeds)
///     .with_zone("north")
///     .with_voter_count(5);
/// ```
#[derive(Clone, Debug)]
pub struct SiteConfig {
    pub(super) vm: VmId,
    pub(super) seeds: Vec<VmId>,
    pub(super) zone: Option<ZoneName>,
    pub(super) zones: BTreeSet<ZoneName>,
    pub(super) voter_count: usize,
    pub(super) random_seed: u64,
    pub(super) grants: GrantCoordinatorConfig,
    pub(super) cold_allowance: ColdAllowance,
    pub(super) managed_services: BTreeSet<ServiceName>,
}

impl SiteConfig {
    /// Creates settings with the defaults. `vm` is the id of this VM, which is the address of its
    /// links; `seeds` are the control VMs named in the settings.
    #[must_use]
    pub fn new(vm: impl Into<VmId>, seeds: Vec<VmId>) -> Self {
        Self {
            vm: vm.into(),
            seeds,
            zone: None,
            zones: BTreeSet::new(),
            voter_count: MIN_VOTER_COUNT,
            random_seed: 0,
            grants: GrantCoordinatorConfig::default(),
            cold_allowance: ColdAllowance::default(),
            managed_services: BTreeSet::new(),
        }
    }

    /// Sets the availability zone of this VM.
    #[must_use]
    pub fn with_zone(mut self, zone: impl Into<ZoneName>) -> Self {
        self.zone = Some(zone.into());
        self
    }

    /// Sets the availability zones of the deployment, which operators may evacuate. If there are
    /// none, they may evacuate those in which a server or a control VM is known.
    #[must_use]
    pub fn with_zones(mut self, zones: BTreeSet<ZoneName>) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the number of voters of the control group; see
    /// [`FaultTolerance::voter_plan`](crate::FaultTolerance::voter_plan).
    #[must_use]
    pub fn with_voter_count(mut self, voter_count: usize) -> Self {
        self.voter_count = voter_count;
        self
    }

    /// Sets the seed of the random election timeouts.
    #[must_use]
    pub fn with_random_seed(mut self, random_seed: u64) -> Self {
        self.random_seed = random_seed;
        self
    }

    /// Sets the settings of grants.
    #[must_use]
    pub fn with_grants(mut self, grants: GrantCoordinatorConfig) -> Self {
        self.grants = grants;
        self
    }

    /// Sets how far the requests to a cold server may exceed its rate.
    #[must_use]
    pub fn with_cold_allowance(mut self, cold_allowance: ColdAllowance) -> Self {
        self.cold_allowance = cold_allowance;
        self
    }

    /// Sets the services whose servers' load is managed.
    #[must_use]
    pub fn with_managed_services(mut self, services: BTreeSet<ServiceName>) -> Self {
        self.managed_services = services;
        self
    }

    /// Returns the settings of the replica that runs as `incarnation` of this member.
    pub(crate) fn replica_config(
        &self,
        incarnation: Incarnation,
        is_founder: bool,
    ) -> Result<ReplicaConfig, ConfigError> {
        let formation = if is_founder {
            Formation::Unanimous
        } else {
            Formation::Join
        };
        let member = MemberId::new(&self.vm, incarnation);
        let mut builder = ReplicaConfig::builder(member, self.seeds.clone())
            .formation(formation)
            .open_membership(self.voter_count, VOTER_CONTACT_TIMEOUT)
            .seed(self.random_seed);
        if let Some(zone) = &self.zone {
            builder = builder.zone(zone.clone());
        }
        builder.build()
    }
}

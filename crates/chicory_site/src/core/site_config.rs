//! Settings of the reducer.

use std::time::Duration;

use chicory_consensus::{ConfigError, Formation, MemberId, ReplicaConfig, VOTER_CONTACT_TIMEOUT};
use chicory_ranges::GrantCoordinatorConfig;
use chicory_types::{Incarnation, VmId};

/// Voters of the group; three bear the loss of one.
pub(crate) const VOTER_COUNT: usize = 3;
/// Time for which a call that was passed to the leader may be unanswered; callers wait a second.
pub(crate) const FORWARDED_CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a leader plans and looks for servers that went.
pub(crate) const PLANNING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which announcements are passed on to the leader, and statuses go out.
pub(crate) const FORWARDING_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a new server of a service after which its keys are first divided.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Time after which keys are first divided although servers still come.
pub(crate) const MAX_SETTLING_TIME: Duration = Duration::from_millis(2500);
/// Time without an announcement after which a server is taken out of the directory; several
/// times the longest cut that is expected between servers and control VMs.
pub(crate) const SERVER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without an announcement after which a server gets no further keys, and loses those whose
/// grants have run out.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(3500);
/// Time after an announcement for which nobody else can have its address: addresses are free for two
/// seconds before another server gets them, and announcements are passed on within a quarter of one.
pub(crate) const ADDRESS_HOLD_TIME: Duration = Duration::from_millis(1800);
/// Interval at which keys are moved for balance alone.
pub(crate) const BALANCING_INTERVAL: Duration = Duration::from_millis(400);

/// Ranges of a service on their way at once, above which none moves for balance alone.
pub(crate) const MAX_PENDING_TRANSFERS: usize = 8;

/// Settings of the reducer.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Id of this VM: the address of its links.
    pub vm: VmId,
    /// Control VMs that the settings name.
    pub seeds: Vec<VmId>,
    /// Seed of the random election timeouts.
    pub random_seed: u64,
    /// Settings of grants.
    pub grants: GrantCoordinatorConfig,
}

impl SiteConfig {
    /// Settings of the replica that runs under `incarnation`.
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
        ReplicaConfig::builder(member, self.seeds.clone())
            .formation(formation)
            .open_membership(VOTER_COUNT, VOTER_CONTACT_TIMEOUT)
            .seed(self.random_seed)
            .build()
    }
}

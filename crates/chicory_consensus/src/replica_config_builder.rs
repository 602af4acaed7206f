//! Builder of the settings of a replica.

use std::time::Duration;

use chicory_types::{ClockRateMargin, VmId, ZoneName};
use snafu::ensure;

use crate::config_error::{
    ElectionTimeoutRangeSnafu, HeartbeatIntervalSnafu, LeaseExceedsElectionTimeoutSnafu,
    NoBootstrapVmSnafu, UnknownIncarnationSnafu, ZeroLimitSnafu,
};
use crate::replica_config::{
    ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HELLO_INTERVAL,
    INFLIGHT_WINDOW, LEADER_LEASE, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_UNCOMMITTED_ENTRIES,
    SNAPSHOT_AFTER_BYTES, SNAPSHOT_AFTER_ENTRIES, SNAPSHOT_CHUNK_BYTES, TRAILING_ENTRIES,
    VOTER_CONTACT_TIMEOUT,
};
use crate::{ConfigError, Formation, MemberId, ReplicaConfig};

/// Builds a [`ReplicaConfig`].
///
/// # Examples
///
/// ```
/// use chicory_consensus::{Formation, MemberId, ReplicaConfig};
///
/// let config = ReplicaConfig::builder(MemberId::new("vm-a", 1), vec!["vm-a".into()])
///     .formation(Formation::Unanimous)
///     .seed(7)
///     .build()?;
/// assert_eq!(config.group_epoch(), 1);
/// # Ok::<(), chicory_consensus::ConfigError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ReplicaConfigBuilder {
    config: ReplicaConfig,
}

impl ReplicaConfigBuilder {
    /// Creates a builder with the defaults: the group has epoch 1 and the member only joins.
    #[must_use]
    pub fn new(member: MemberId, bootstrap_vms: Vec<VmId>) -> Self {
        let config = ReplicaConfig {
            member,
            bootstrap_vms,
            group_epoch: 1,
            formation: Formation::Join,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout_min: ELECTION_TIMEOUT_MIN,
            election_timeout_max: ELECTION_TIMEOUT_MAX,
            leader_lease: LEADER_LEASE,
            hello_interval: HELLO_INTERVAL,
            max_batch_bytes: MAX_BATCH_BYTES,
            max_batch_entries: MAX_BATCH_ENTRIES,
            inflight_window: INFLIGHT_WINDOW,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            snapshot_after_bytes: SNAPSHOT_AFTER_BYTES,
            trailing_entries: TRAILING_ENTRIES,
            max_uncommitted_entries: MAX_UNCOMMITTED_ENTRIES,
            seed: 0,
            open_voter_count: None,
            voter_contact_timeout: VOTER_CONTACT_TIMEOUT,
            zone: None,
        };
        Self { config }
    }

    /// Sets the epoch of the group; a group that is formed again needs a greater one.
    #[must_use]
    pub fn group_epoch(mut self, group_epoch: u64) -> Self {
        self.config.group_epoch = group_epoch;
        self
    }

    /// Sets how a group is formed when there is none to join.
    #[must_use]
    pub fn formation(mut self, formation: Formation) -> Self {
        self.config.formation = formation;
        self
    }

    /// Sets the interval at which an idle leader sends heartbeats.
    #[must_use]
    pub fn heartbeat_interval(mut self, heartbeat_interval: Duration) -> Self {
        self.config.heartbeat_interval = heartbeat_interval;
        self
    }

    /// Sets the time for which a leader may act on its own after a quorum has answered it.
    #[must_use]
    pub fn leader_lease(mut self, leader_lease: Duration) -> Self {
        self.config.leader_lease = leader_lease;
        self
    }

    /// Sets the interval at which a member without a group sends hellos to find one.
    #[must_use]
    pub fn hello_interval(mut self, hello_interval: Duration) -> Self {
        self.config.hello_interval = hello_interval;
        self
    }

    /// Sets the largest payload of one append; a single larger entry is still sent.
    #[must_use]
    pub fn max_batch_bytes(mut self, max_batch_bytes: usize) -> Self {
        self.config.max_batch_bytes = max_batch_bytes;
        self
    }

    /// Sets the largest number of entries in one append.
    #[must_use]
    pub fn max_batch_entries(mut self, max_batch_entries: usize) -> Self {
        self.config.max_batch_entries = max_batch_entries;
        self
    }

    /// Sets the largest number of unanswered appends that a leader allows for each member.
    #[must_use]
    pub fn inflight_window(mut self, inflight_window: usize) -> Self {
        self.config.inflight_window = inflight_window;
        self
    }

    /// Sets the largest size of the data in one snapshot chunk.
    #[must_use]
    pub fn snapshot_chunk_bytes(mut self, snapshot_chunk_bytes: usize) -> Self {
        self.config.snapshot_chunk_bytes = snapshot_chunk_bytes;
        self
    }

    /// Sets the number of applied entries after which a snapshot is due.
    #[must_use]
    pub fn snapshot_after_entries(mut self, snapshot_after_entries: u64) -> Self {
        self.config.snapshot_after_entries = snapshot_after_entries;
        self
    }

    /// Sets the size of the applied payload after which a snapshot is due.
    #[must_use]
    pub fn snapshot_after_bytes(mut self, snapshot_after_bytes: u64) -> Self {
        self.config.snapshot_after_bytes = snapshot_after_bytes;
        self
    }

    /// Sets the number of entries kept in memory after a snapshot.
    #[must_use]
    pub fn trailing_entries(mut self, trailing_entries: u64) -> Self {
        self.config.trailing_entries = trailing_entries;
        self
    }

    /// Sets the number of uncommitted entries at which a leader rejects further proposals.
    #[must_use]
    pub fn max_uncommitted_entries(mut self, max_uncommitted_entries: u64) -> Self {
        self.config.max_uncommitted_entries = max_uncommitted_entries;
        self
    }

    /// Sets the seed of the randomised election timeouts.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.config.seed = seed;
        self
    }

    /// Opens the membership: any VM that sends a hello can be admitted as a learner. Once caught
    /// up, it fills the group up to `voter_count` voters, or replaces a voter that has made no
    /// contact for `voter_contact_timeout`. Voters are spread evenly over availability zones as far
    /// as these are known.
    #[must_use]
    pub fn open_membership(mut self, voter_count: usize, voter_contact_timeout: Duration) -> Self {
        self.config.open_voter_count = Some(voter_count);
        self.config.voter_contact_timeout = voter_contact_timeout;
        self
    }

    /// Sets the availability zone of this member.
    #[must_use]
    pub fn zone(mut self, zone: ZoneName) -> Self {
        self.config.zone = Some(zone);
        self
    }

    /// Sets the range of the randomised time without a leader after which a voter starts an
    /// election.
    ///
    /// An attempt without a majority is repeated after a quarter to three quarters of `min`, so
    /// `min` should exceed four round trips.
    #[must_use]
    pub fn election_timeout(mut self, min: Duration, max: Duration) -> Self {
        self.config.election_timeout_min = min;
        self.config.election_timeout_max = max;
        self
    }

    /// Checks the settings and returns them.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] for the first setting that is out of range.
    pub fn build(self) -> Result<ReplicaConfig, ConfigError> {
        self.check_members()?;
        self.check_durations()?;
        self.check_limits()?;
        Ok(self.config)
    }

    fn check_members(&self) -> Result<(), ConfigError> {
        let config = &self.config;
        ensure!(!config.bootstrap_vms.is_empty(), NoBootstrapVmSnafu);
        ensure!(config.member.incarnation != 0, UnknownIncarnationSnafu);
        Ok(())
    }

    fn check_durations(&self) -> Result<(), ConfigError> {
        let config = &self.config;
        let min = config.election_timeout_min;
        let max = config.election_timeout_max;
        ensure!(min < max, ElectionTimeoutRangeSnafu { min, max });
        let lease = config.leader_lease;
        let vote_refusal = ClockRateMargin::lease_expiry_for_grantor(Duration::ZERO, lease);
        ensure!(
            vote_refusal <= min,
            LeaseExceedsElectionTimeoutSnafu { lease, min }
        );
        let heartbeat = config.heartbeat_interval;
        ensure!(
            !heartbeat.is_zero() && heartbeat * 2 <= lease,
            HeartbeatIntervalSnafu { heartbeat, lease }
        );
        Ok(())
    }

    fn check_limits(&self) -> Result<(), ConfigError> {
        let config = &self.config;
        let limits = [
            ("max_batch_bytes", config.max_batch_bytes as u64),
            ("max_batch_entries", config.max_batch_entries as u64),
            ("inflight_window", config.inflight_window as u64),
            ("snapshot_chunk_bytes", config.snapshot_chunk_bytes as u64),
            ("snapshot_after_entries", config.snapshot_after_entries),
            ("max_uncommitted_entries", config.max_uncommitted_entries),
            (
                "open_voter_count",
                config.open_voter_count.map_or(1, |count| count as u64),
            ),
        ];
        for (limit, value) in limits {
            ensure!(value > 0, ZeroLimitSnafu { limit });
        }
        Ok(())
    }
}

//! Settings of a replica.

use std::time::Duration;

use chicory_types::VmId;

use crate::{Formation, MemberId, ReplicaConfigBuilder};

/// Interval at which an idle leader sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Least time without a leader before a voter asks for an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(400);
/// Greatest time without a leader before a voter asks for an election.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(800);
/// Time for which a quorum's answers let a leader act alone.
pub const LEADER_LEASE: Duration = Duration::from_millis(390);
/// Interval at which a member without a group looks for one.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Greatest payload of one append.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Greatest number of entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 512;
/// Appends without an answer that a leader allows for each member.
pub const INFLIGHT_WINDOW: usize = 8;
/// Data in one snapshot chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// Applied entries after which a snapshot is due.
pub const SNAPSHOT_AFTER_ENTRIES: u64 = 4096;
/// Applied payload after which a snapshot is due.
pub const SNAPSHOT_AFTER_BYTES: u64 = 4 * 1024 * 1024;
/// Entries kept in memory after a snapshot, for members that lag a little.
pub const TRAILING_ENTRIES: u64 = 512;
/// Entries that may wait for their commit.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 16_384;

/// Time without a word from a voter after which a group with open membership replaces it.
pub const VOTER_CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// Learners that a group with open membership admits at once.
pub const MAX_LEARNERS: usize = 4;

/// Settings of a replica, made by [`ReplicaConfigBuilder`].
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    pub(crate) member: MemberId,
    pub(crate) bootstrap_vms: Vec<VmId>,
    pub(crate) group_epoch: u64,
    pub(crate) formation: Formation,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) election_timeout_min: Duration,
    pub(crate) election_timeout_max: Duration,
    pub(crate) leader_lease: Duration,
    pub(crate) hello_interval: Duration,
    pub(crate) max_batch_bytes: usize,
    pub(crate) max_batch_entries: usize,
    pub(crate) inflight_window: usize,
    pub(crate) snapshot_chunk_bytes: usize,
    pub(crate) snapshot_after_entries: u64,
    pub(crate) snapshot_after_bytes: u64,
    pub(crate) trailing_entries: u64,
    pub(crate) max_uncommitted_entries: u64,
    pub(crate) seed: u64,
    pub(crate) open_voters: Option<usize>,
    pub(crate) voter_silence: Duration,
}

impl ReplicaConfig {
    /// Starts from the defaults, which are the constants of this module.
    #[must_use]
    pub fn builder(member: MemberId, bootstrap_vms: Vec<VmId>) -> ReplicaConfigBuilder {
        ReplicaConfigBuilder::new(member, bootstrap_vms)
    }

    /// The member that the replica runs as.
    #[must_use]
    pub fn member(&self) -> &MemberId {
        &self.member
    }

    /// Epoch of the group.
    #[must_use]
    pub fn group_epoch(&self) -> u64 {
        self.group_epoch
    }
}

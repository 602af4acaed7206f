//! Settings of a replica.

use std::time::Duration;

use chicory_types::{VmId, ZoneName};

use crate::{Formation, MemberId, ReplicaConfigBuilder};

/// Interval at which an idle leader sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time without a leader after which a voter starts an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(400);
/// Longest time without a leader after which a voter starts an election.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(800);
/// Time for which a leader may act on its own after a quorum has answered it.
pub const LEADER_LEASE: Duration = Duration::from_millis(390);
/// Interval at which a member without a group sends hellos to find one.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(100);
/// Largest payload of one append, unless a single entry is larger.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Largest number of entries in one append.
pub const MAX_BATCH_ENTRIES: usize = 512;
/// Largest number of unanswered appends that a leader allows for each member.
pub const INFLIGHT_WINDOW: usize = 8;
/// Largest size of the data in one snapshot chunk.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
/// Number of applied entries after which a snapshot is due.
pub const SNAPSHOT_AFTER_ENTRIES: u64 = 4096;
/// Size of the applied payload after which a snapshot is due.
pub const SNAPSHOT_AFTER_BYTES: u64 = 4 * 1024 * 1024;
/// Number of entries kept in memory after a snapshot, for members that lag slightly.
pub const TRAILING_ENTRIES: u64 = 512;
/// Number of uncommitted entries at which a leader rejects further proposals.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 16_384;

/// Time without contact after which a group with open membership replaces a voter.
pub const VOTER_CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of learners at which a group with open membership admits no further unknown VM.
pub const MAX_LEARNERS: usize = 32;
/// Number of contact timeouts after which a learner without contact is removed. It does not count
/// in a quorum, so there is no haste.
pub const LEARNER_TIMEOUT_FACTOR: u32 = 6;

/// Settings of a replica, built by [`ReplicaConfigBuilder`].
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
    pub(crate) open_voter_count: Option<usize>,
    pub(crate) voter_contact_timeout: Duration,
    pub(crate) zone: Option<ZoneName>,
}

impl ReplicaConfig {
    /// Returns a builder that starts from the defaults, which are the constants of this crate.
    #[must_use]
    pub fn builder(member: MemberId, bootstrap_vms: Vec<VmId>) -> ReplicaConfigBuilder {
        ReplicaConfigBuilder::new(member, bootstrap_vms)
    }

    /// Returns the member that the replica runs as.
    #[must_use]
    pub fn member(&self) -> &MemberId {
        &self.member
    }

    /// Returns the epoch of the group.
    #[must_use]
    pub fn group_epoch(&self) -> u64 {
        self.group_epoch
    }
}

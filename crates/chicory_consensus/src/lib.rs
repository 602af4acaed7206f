//! The replicated log as a pure reducer; it knows nothing of routing.

mod config_error;
mod entry;
mod formation;
mod group_status;
mod hard_state;
mod member_id;
mod membership;
mod membership_change;
mod memory_log;
mod peer_message;
mod persist_queue;
mod progress;
mod proposal_rejection;
mod replica;
mod replica_config;
mod replica_config_builder;
mod replica_effect;
mod replica_event;
mod restored_state;
mod role;
mod snapshot;
mod snapshot_receiver;

pub use config_error::ConfigError;
pub use entry::{Entry, EntryPayload};
pub use formation::Formation;
pub use group_status::GroupStatus;
pub use hard_state::HardState;
pub use member_id::{MemberId, UNKNOWN_INCARNATION};
pub use membership::Membership;
pub use membership_change::MembershipChange;
pub use peer_message::{AppendOutcome, HelloStatus, PeerMessage, PeerMessageBody};
pub use proposal_rejection::ProposalRejection;
pub use replica::Replica;
pub use replica_config::{
    ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HELLO_INTERVAL,
    INFLIGHT_WINDOW, LEADER_LEASE, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_UNCOMMITTED_ENTRIES,
    ReplicaConfig, SNAPSHOT_AFTER_BYTES, SNAPSHOT_AFTER_ENTRIES, SNAPSHOT_CHUNK_BYTES,
    TRAILING_ENTRIES,
};
pub use replica_config_builder::ReplicaConfigBuilder;
pub use replica_effect::ReplicaEffect;
pub use replica_event::ReplicaEvent;
pub use restored_state::RestoredState;
pub use role::Role;
pub use snapshot::{Snapshot, SnapshotHeader};

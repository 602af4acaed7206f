//! The replicated log as a pure reducer; it knows nothing of routing.
//!
//! [`Replica`] takes in [`ReplicaEvent`]s and the time, and returns [`ReplicaEffect`]s. A message
//! that promises something is held back until the state behind the promise is durable.
//!
//! # Members and incarnations
//!
//! A process without a disk forgets its votes when it stops. A [`MemberId`] therefore names the VM
//! and the incarnation of its memory: a restarted process is another member. Messages carry the
//! exact member that they are for, and a vote or an acknowledgement counts for that member only.
//!
//! - **First contact.** The settings name VMs only. A member without a group sends a hello to
//!   whichever incarnation runs on each of them, and learns the incarnations from the answers.
//! - **Formation.** With [`Formation::Unanimous`] each member binds itself to the incarnations
//!   that it heard of once every bootstrap VM takes part, and the group is formed when all are
//!   known to be bound to the same ones. A member binds itself once in an epoch, so any survivor of
//!   a formed group keeps another one of the same epoch from being formed. With
//!   [`Formation::Founders`] an outside authority has recorded the founders together with the
//!   epoch; a majority of them suffices.
//! - **Restart of a voter without a disk.** The new incarnation says hello. The leader removes the
//!   former one from the voters and adds the new one as a learner, in one entry; once it has caught
//!   up, another entry makes it a voter. The two steps are apart because quorums before and after
//!   one step must overlap: a late vote of the former incarnation together with votes of the new
//!   one could otherwise elect two leaders.
//! - **Loss of a majority of the incarnations.** No leader can be elected any more, and the group
//!   is never formed anew by itself: a member that restarted joins only. [`GroupStatus`] shows the
//!   wait. The authority of the group epoch decides on a new group, which has a greater epoch;
//!   messages of another epoch are refused, and a member of an older one stops taking part
//!   ([`ReplicaEffect::EpochSuperseded`]).
//! - **Open membership.** Where VMs are replaced at other addresses, any VM that says hello is
//!   admitted as a learner. A caught-up learner takes the place of a voter that was silent for a
//!   while: the voter is removed first, and the learner promoted in a later entry.
//! - **Damaged state.** A member with [`RestoredState::may_vote`] unset never votes before it was
//!   a learner again.
//!
//! # Leases
//!
//! A follower that has heard its leader votes for no other one for the length of the lease plus
//! the clock-rate margin, also right after a restart. A leader that a quorum has answered holds the
//! lease from before it sent the message, less the margin:
//! [`Replica::has_leader_lease`]. A transfer of leadership ends the lease first. The lease excludes
//! leaders of the same epoch only; the authority of the epoch has to wait for the lease before it
//! lets a new group act.

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
    INFLIGHT_WINDOW, LEADER_LEASE, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_LEARNERS,
    MAX_UNCOMMITTED_ENTRIES, ReplicaConfig, SNAPSHOT_AFTER_BYTES, SNAPSHOT_AFTER_ENTRIES,
    SNAPSHOT_CHUNK_BYTES, TRAILING_ENTRIES, VOTER_CONTACT_TIMEOUT,
};
pub use replica_config_builder::ReplicaConfigBuilder;
pub use replica_effect::ReplicaEffect;
pub use replica_event::ReplicaEvent;
pub use restored_state::RestoredState;
pub use role::Role;
pub use snapshot::{Snapshot, SnapshotHeader};

//! A replicated log in the manner of Raft, as a pure reducer; it knows nothing of routing.
//!
//! [`Replica`] handles [`ReplicaEvent`]s at a given time and returns [`ReplicaEffect`]s. A message
//! that depends on durable state, such as a vote or an acknowledgement, is held back until that
//! state is durable.
//!
//! # Members and incarnations
//!
//! A process without a disk forgets its votes when it stops. A [`MemberId`] therefore names the VM
//! and the incarnation of its state: a restarted process is a different member. Messages are
//! addressed to one exact member, and a vote or an acknowledgement counts for that member only.
//!
//! - **First contact.** The settings name VMs only. A member without a group sends a hello to
//!   whichever incarnation runs on each of them, and learns the incarnations from the answers.
//! - **Formation.** With [`Formation::Unanimous`] each member waits until every bootstrap VM takes
//!   part and then binds itself to their incarnations: it records them as the founders. The group
//!   is formed when all founders are known to be bound to the same set. A member binds itself only
//!   once in an epoch, so any surviving member of a formed group prevents another group with the
//!   same epoch from being formed. With [`Formation::Founders`] an outside authority has recorded
//!   the founders together with the epoch, and a majority of them suffices.
//! - **Restart of a voter without a disk.** The new incarnation sends a hello. In one entry, the
//!   leader removes the former incarnation from the voters and adds the new one as a learner; once
//!   the learner has caught up, another entry makes it a voter. These are two steps because quorums
//!   before and after one step must overlap: a delayed vote of the former incarnation together with
//!   votes of the new one could otherwise elect two leaders.
//! - **Loss of a majority of the incarnations.** No leader can be elected any more, and the group
//!   never forms itself again: a restarted member only joins. [`GroupStatus`] shows that it waits.
//!   The authority that assigns group epochs decides on a new group, which has a greater epoch.
//!   Messages of another epoch are refused, and a member of an older epoch stops taking part
//!   ([`ReplicaEffect::EpochSuperseded`]).
//! - **Open membership.** Where VMs are replaced at other addresses, any VM that sends a hello can
//!   be admitted as a learner. A caught-up learner replaces a voter that has been unresponsive for
//!   the contact timeout: the voter is removed first, and the learner is promoted in a later entry.
//!   Voters are spread over availability zones ([`VoterPlacement`]). A member that doesn't know the
//!   leader is told by any other one, so it finds the group through members without a vote, too.
//! - **Damaged state.** A member with [`RestoredState::may_vote`] unset does not vote before it has
//!   been a learner again.
//!
//! # Leases
//!
//! A follower that has received a message from its leader does not vote for another candidate
//! until the lease plus the clock-rate margin has passed; the same holds right after a restart. A
//! leader holds the lease once a quorum has answered it. The lease counts from the time at which
//! the leader sent the answered messages and is shortened by the margin:
//! [`Replica::has_leader_lease`]. Before leadership is transferred, the leader ends its lease. The
//! lease excludes leaders of the same epoch only; the authority that assigns group epochs has to
//! wait until the lease has expired before it lets a new group act.

mod config_error;
mod entry;
mod formation;
mod group_status;
mod hard_state;
mod hello;
mod hello_status;
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
mod voter_placement;

pub use config_error::ConfigError;
pub use entry::{Entry, EntryPayload};
pub use formation::Formation;
pub use group_status::GroupStatus;
pub use hard_state::HardState;
pub use hello::Hello;
pub use hello_status::HelloStatus;
pub use member_id::{MemberId, UNKNOWN_INCARNATION};
pub use membership::Membership;
pub use membership_change::MembershipChange;
pub use peer_message::{AppendOutcome, PeerMessage, PeerMessageBody};
pub use proposal_rejection::ProposalRejection;
pub use replica::Replica;
pub use replica_config::{
    ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, HELLO_INTERVAL,
    INFLIGHT_WINDOW, LEADER_LEASE, LEARNER_TIMEOUT_FACTOR, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES,
    MAX_LEARNERS, MAX_UNCOMMITTED_ENTRIES, ReplicaConfig, SNAPSHOT_AFTER_BYTES,
    SNAPSHOT_AFTER_ENTRIES, SNAPSHOT_CHUNK_BYTES, TRAILING_ENTRIES, VOTER_CONTACT_TIMEOUT,
};
pub use replica_config_builder::ReplicaConfigBuilder;
pub use replica_effect::ReplicaEffect;
pub use replica_event::ReplicaEvent;
pub use restored_state::RestoredState;
pub use role::Role;
pub use snapshot::{Snapshot, SnapshotHeader};
pub use voter_placement::{VoterPlacement, VoterStep};

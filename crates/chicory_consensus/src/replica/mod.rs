//! The reducer that runs one member of a group.

mod accessors;
mod applying;
mod election;
mod following;
mod forming;
mod leading;
mod membership_maintenance;
mod snapshots;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use chicory_types::{ClockRateMargin, Incarnation, LogIndex, MonoTime, Term, VmId, ZoneName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::memory_log::MemoryLog;
use crate::persist_queue::PersistQueue;
use crate::progress::Progress;
use crate::snapshot_receiver::SnapshotReceiver;
use crate::{
    HardState, MemberId, PeerMessage, PeerMessageBody, ProposalRejection, ReplicaConfig,
    ReplicaEffect, ReplicaEvent, RestoredState,
};

/// Status of a replica in its group, with the state that only this status needs.
#[derive(Debug)]
enum Phase {
    /// Waits for a leader to admit it.
    Joining,
    /// Waits until all bootstrap VMs take part; holds the incarnations of those that do.
    Forming {
        participants: BTreeMap<VmId, Incarnation>,
    },
    /// Has recorded the founders. `ticket` makes this durable, and `confirmed` holds the founders
    /// that are known to have recorded the same ones durably.
    Bound {
        ticket: u64,
        confirmed: BTreeSet<MemberId>,
    },
    /// Belongs to a formed group.
    Formed,
    /// The storage failed.
    Halted,
    /// A group with a greater epoch exists.
    Superseded,
}

/// Current role, with the state that only this role needs.
#[derive(Debug)]
enum RoleState {
    /// Follower or learner.
    Passive,
    PreCandidate {
        granted: BTreeSet<MemberId>,
    },
    Candidate {
        granted: BTreeSet<MemberId>,
        /// Ticket that makes the vote for itself durable.
        self_vote_ticket: u64,
    },
    Leader(LeaderState),
}

/// State that only a leader needs.
#[derive(Debug)]
struct LeaderState {
    /// Index of the first entry of the leader's term.
    first_index: LogIndex,
    progress: BTreeMap<MemberId, Progress>,
    /// Send time of the latest messages that a quorum has answered; `None` before the first.
    quorum_contact_at: Option<MonoTime>,
    elected_at: MonoTime,
}

/// Divisor of the range of election timeouts: the first deadline is drawn from the earliest part
/// only. The part is wide enough that two members do not start an election within the same round
/// trip.
const INITIAL_DEADLINE_SPREAD_DIVISOR: u32 = 3;

/// One member of a replicated log, as a reducer over [`ReplicaEvent`]s.
///
/// It does no I/O and reads no clock: the caller passes in the time and executes the returned
/// [`ReplicaEffect`]s in order.
///
/// # Examples
///
/// ```
/// use chicory_consensus::{
///     Formation, MemberId, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent, RestoredState,
/// };
/// use std::time::Duration;
///
/// let config = ReplicaConfig::builder(MemberId::new("vm-a", 1), vec!["vm-a".into()])
///     .formation(Formation::Unanimous)
///     .build()?;
/// let now = Duration::from_secs(1);
/// let mut replica = Replica::new(config, RestoredState::fresh(), now);
/// let mut events = vec![ReplicaEvent::Tick];
/// while let Some(event) = events.pop() {
///     for effect in replica.reduce(now, event) {
///         if let ReplicaEffect::Persist { ticket, .. } = effect {
///             events.push(ReplicaEvent::Persisted { ticket });
///         }
///     }
/// }
/// assert!(replica.is_leader());
/// # Ok::<(), chicory_consensus::ConfigError>(())
/// ```
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: StdRng,
    now: MonoTime,
    phase: Phase,
    role: RoleState,
    leader: Option<MemberId>,
    hard_state: HardState,
    /// Whether the replica must not vote, because it lost state but kept its identity.
    is_voting_disabled: bool,
    log: MemoryLog,
    persist_queue: PersistQueue,
    commit_index: LogIndex,
    /// Greatest commit index that a leader has advertised; this log may not reach that far yet.
    advertised_commit_index: LogIndex,
    applied_index: LogIndex,
    applied_bytes_since_snapshot: u64,
    is_snapshot_requested: bool,
    receiver: Option<SnapshotReceiver>,
    proposals: BTreeMap<LogIndex, u64>,
    /// Latest known incarnation of each VM.
    latest_incarnations: BTreeMap<VmId, Incarnation>,
    /// Time of the last message from each VM.
    last_contact_at: BTreeMap<VmId, MonoTime>,
    /// Availability zones of VMs, as far as they are known.
    zones: BTreeMap<VmId, ZoneName>,
    /// The leader that each VM has named since this member last followed one.
    named_leaders: BTreeMap<VmId, VmId>,
    election_deadline: MonoTime,
    hello_deadline: MonoTime,
    /// Time before which the replica does not vote for another candidate.
    refuse_votes_until: MonoTime,
    effects: Vec<ReplicaEffect>,
    /// Messages that are held back until their ticket is durable.
    held_messages: VecDeque<(u64, ReplicaEffect)>,
}

impl Replica {
    /// Creates a replica from stored or fresh state; the first event should be a
    /// [`Tick`](ReplicaEvent::Tick).
    ///
    /// The state machine is rebuilt from stored state: the first call of [`reduce`](Self::reduce)
    /// returns an [`InstallSnapshot`](ReplicaEffect::InstallSnapshot) if there is a snapshot, and
    /// each stored entry is applied once it is known to be committed.
    #[must_use]
    pub fn new(config: ReplicaConfig, restored: RestoredState, now: MonoTime) -> Self {
        let log = MemoryLog::restore(restored.snapshot, restored.entries);
        let snapshot_index = log.snapshot().last_index;
        let mut replica = Self {
            rng: StdRng::seed_from_u64(config.seed),
            now,
            phase: Phase::Joining,
            role: RoleState::Passive,
            leader: None,
            hard_state: restored.hard_state,
            is_voting_disabled: !restored.may_vote,
            persist_queue: PersistQueue::new(log.last_index()),
            log,
            commit_index: snapshot_index,
            advertised_commit_index: snapshot_index,
            applied_index: snapshot_index,
            applied_bytes_since_snapshot: 0,
            is_snapshot_requested: false,
            receiver: None,
            proposals: BTreeMap::new(),
            latest_incarnations: BTreeMap::new(),
            last_contact_at: BTreeMap::new(),
            zones: BTreeMap::new(),
            named_leaders: BTreeMap::new(),
            election_deadline: now,
            hello_deadline: now,
            refuse_votes_until: ClockRateMargin::lease_expiry_for_grantor(now, config.leader_lease),
            effects: Vec::new(),
            held_messages: VecDeque::new(),
            config,
        };
        if let Some(zone) = &replica.config.zone {
            let vm = replica.config.member.vm.clone();
            replica.zones.insert(vm, zone.clone());
        }
        replica.set_initial_election_deadline();
        replica.restore_applied_state();
        replica.enter_initial_phase();
        replica
    }

    /// Handles one event and returns the effects to execute, in order.
    ///
    /// Time does not go back: if `now` is earlier than in a previous call, the latest time so far
    /// is used instead.
    pub fn reduce(&mut self, now: MonoTime, event: ReplicaEvent) -> Vec<ReplicaEffect> {
        self.now = self.now.max(now);
        if self.is_stopped() {
            self.reject_while_stopped(&event);
        } else {
            self.handle_event(event);
            self.check_deadlines();
            self.advance();
        }
        std::mem::take(&mut self.effects)
    }

    fn is_stopped(&self) -> bool {
        matches!(self.phase, Phase::Halted | Phase::Superseded)
    }

    fn reject_while_stopped(&mut self, event: &ReplicaEvent) {
        let (ReplicaEvent::Propose { proposal_id, .. }
        | ReplicaEvent::ProposeMembership { proposal_id, .. }) = event
        else {
            return;
        };
        self.reject(*proposal_id, ProposalRejection::NotReady);
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Tick => {}
            ReplicaEvent::Received { from, message } => self.on_received(&from, message),
            ReplicaEvent::Located { vm, zone } => {
                self.zones.insert(vm, zone);
            }
            ReplicaEvent::Propose {
                proposal_id,
                command,
            } => self.on_propose(proposal_id, command),
            ReplicaEvent::ProposeMembership {
                proposal_id,
                change,
            } => self.on_propose_membership(proposal_id, &change),
            ReplicaEvent::Persisted { ticket } => self.on_persisted(ticket),
            ReplicaEvent::PersistFailed { .. } => self.halt(),
            ReplicaEvent::SnapshotTaken { index, data } => self.on_snapshot_taken(index, data),
            ReplicaEvent::TransferLeadership => self.on_transfer_leadership(),
        }
    }

    fn on_received(&mut self, from: &MemberId, message: PeerMessage) {
        let is_known_vm = self.config.open_voter_count.is_some()
            || self.config.bootstrap_vms.contains(&from.vm)
            || self.log.membership().is_some_and(|m| m.contains(from));
        if *from != message.from || !is_known_vm || from.vm == self.config.member.vm {
            return;
        }
        if message.group_epoch != self.config.group_epoch {
            self.on_other_epoch(from, message.group_epoch);
            return;
        }
        self.record_incarnation(from);
        if !message.to.addresses(&self.config.member) {
            self.on_misaddressed(from, &message.to);
            return;
        }
        self.detect_formed_group(from, &message.body);
        self.on_body(from, &message.to, message.body);
    }

    fn on_body(&mut self, from: &MemberId, to: &MemberId, body: PeerMessageBody) {
        match body {
            PeerMessageBody::Hello(hello) => self.on_hello(from, to, hello),
            PeerMessageBody::PreVote {
                term,
                last_index,
                last_term,
            } => self.on_pre_vote(from, term, (last_term, last_index)),
            PeerMessageBody::PreVoteResponse {
                term,
                asked_term,
                granted,
            } => self.on_pre_vote_response(from, term, asked_term, granted),
            PeerMessageBody::RequestVote {
                term,
                last_index,
                last_term,
                is_transfer,
            } => self.on_request_vote(from, term, (last_term, last_index), is_transfer),
            PeerMessageBody::VoteResponse { term, granted } => {
                self.on_vote_response(from, term, granted);
            }
            PeerMessageBody::TimeoutNow { term } => self.on_timeout_now(from, term),
            body => self.on_replication_body(from, body),
        }
    }

    fn on_replication_body(&mut self, from: &MemberId, body: PeerMessageBody) {
        match body {
            body @ PeerMessageBody::Append { .. } => self.on_append(from, body),
            PeerMessageBody::AppendResponse {
                term,
                sent_at,
                outcome,
            } => self.on_append_response(from, term, sent_at, outcome),
            body @ PeerMessageBody::SnapshotChunk { .. } => self.on_snapshot_chunk(from, body),
            body @ PeerMessageBody::SnapshotResponse { .. } => {
                self.on_snapshot_response(from, &body);
            }
            _ => {}
        }
    }

    fn on_persisted(&mut self, ticket: u64) {
        self.persist_queue.on_persisted(ticket);
        self.count_own_vote();
    }

    fn halt(&mut self) {
        self.step_down();
        self.leader = None;
        self.held_messages.clear();
        self.phase = Phase::Halted;
    }

    fn check_deadlines(&mut self) {
        self.check_forming();
        match self.role {
            RoleState::Leader(_) => self.check_leader_deadlines(),
            _ if self.now >= self.election_deadline => self.on_election_timeout(),
            _ => {}
        }
        if self.now >= self.hello_deadline {
            self.send_hellos();
        }
    }

    /// Carries out all steps that follow from the event, from membership changes to persistence.
    fn advance(&mut self) {
        self.maintain_membership();
        self.replicate();
        self.advance_commit();
        self.apply_committed();
        self.request_snapshot();
        if let Some(persist) = self.persist_queue.take_pending(&self.log) {
            self.effects.push(persist);
        }
        self.release_held_messages();
    }

    fn release_held_messages(&mut self) {
        while let Some((ticket, _)) = self.held_messages.front() {
            if !self.persist_queue.is_persisted(*ticket) {
                return;
            }
            if let Some((_, effect)) = self.held_messages.pop_front() {
                self.effects.push(effect);
            }
        }
    }

    fn send(&mut self, to: &MemberId, body: PeerMessageBody) {
        let effect = self.send_effect(to, body);
        self.effects.push(effect);
    }

    /// Sends a message once all changes so far are durable.
    fn send_when_durable(&mut self, to: &MemberId, body: PeerMessageBody) {
        let ticket = self.covering_ticket();
        let effect = self.send_effect(to, body);
        self.held_messages.push_back((ticket, effect));
    }

    fn send_effect(&self, to: &MemberId, body: PeerMessageBody) -> ReplicaEffect {
        let message = PeerMessage {
            group_epoch: self.config.group_epoch,
            from: self.config.member.clone(),
            to: to.clone(),
            body,
        };
        ReplicaEffect::Send {
            to: to.clone(),
            message,
        }
    }

    fn covering_ticket(&self) -> u64 {
        self.persist_queue.covering_ticket(self.log.last_index())
    }

    fn reject(&mut self, proposal_id: u64, reason: ProposalRejection) {
        self.effects.push(ReplicaEffect::Rejected {
            proposal_id,
            reason,
        });
    }

    /// Sets the first election deadline from the earliest part of the range.
    ///
    /// After all members have started together, the whole group waits for a leader, so the wait is
    /// kept short. A member that starts while there is a leader receives its messages before the
    /// deadline.
    fn set_initial_election_deadline(&mut self) {
        let min = self.config.election_timeout_min;
        let max = self.config.election_timeout_max;
        let spread = max.saturating_sub(min) / INITIAL_DEADLINE_SPREAD_DIVISOR;
        self.election_deadline = self.now + self.rng.random_range(min..min + spread);
    }

    fn reset_election_deadline(&mut self) {
        let min = self.config.election_timeout_min;
        let max = self.config.election_timeout_max;
        self.election_deadline = self.now + self.rng.random_range(min..max);
    }

    fn set_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.persist_queue.set_hard_state(&self.hard_state);
        }
    }

    /// Returns the other voters of the membership in effect.
    fn peer_voters(&self) -> Vec<MemberId> {
        let own_member = &self.config.member;
        let voters = self.log.membership().into_iter().flat_map(|m| &m.voters);
        voters
            .filter(|voter| *voter != own_member)
            .cloned()
            .collect()
    }

    fn is_voter(&self) -> bool {
        let membership = self.log.membership();
        membership.is_some_and(|m| m.is_voter(&self.config.member))
    }
}

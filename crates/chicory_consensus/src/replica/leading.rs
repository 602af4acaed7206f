//! Tasks of a leader: proposals, replication, commit and the lease.

use std::collections::BTreeMap;

use chicory_types::{LogIndex, MonoTime, Term};

use super::{LeaderState, Replica, RoleState};
use crate::progress::{NextSend, Progress, ProgressMode};
use crate::{
    AppendOutcome, Entry, EntryPayload, MemberId, PeerMessageBody, ProposalRejection, ReplicaEffect,
};

impl Replica {
    pub(super) fn become_leader(&mut self) {
        let term = self.hard_state.term;
        self.role = RoleState::Leader(LeaderState {
            first_index: self.log.last_index() + 1,
            progress: BTreeMap::new(),
            quorum_contact_at: None,
            elected_at: self.now,
        });
        self.leader = Some(self.config.member.clone());
        self.named_leaders.clear();
        self.effects.push(ReplicaEffect::BecameLeader { term });
        self.append_in_own_term(EntryPayload::Noop);
        self.sync_progress_with_membership();
    }

    /// Appends an entry in the leader's own term and returns its index.
    pub(super) fn append_in_own_term(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.hard_state.term,
            payload,
        };
        self.append_entry(entry);
        index
    }

    /// Keeps one [`Progress`] for each other member, and none for members that left.
    ///
    /// A learner starts from the snapshot, from which it learns the membership before the first
    /// entry.
    pub(super) fn sync_progress_with_membership(&mut self) {
        let now = self.now;
        let member = &self.config.member;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(membership) = self.log.membership() else {
            return;
        };
        leader_state
            .progress
            .retain(|peer, _| membership.contains(peer));
        let next_index = leader_state.first_index;
        for peer in membership.members().filter(|peer| *peer != member) {
            let is_learner = membership.learners.contains(peer);
            leader_state
                .progress
                .entry(peer.clone())
                .or_insert_with(|| {
                    let mut progress = Progress::new(next_index, now);
                    if is_learner {
                        progress.start_snapshot(self.log.snapshot().clone());
                    }
                    progress
                });
        }
        self.refresh_quorum_contact();
    }

    pub(super) fn on_propose(&mut self, proposal_id: u64, command: Vec<u8>) {
        if !self.is_leader() {
            let leader = self.leader.clone();
            self.reject(proposal_id, ProposalRejection::NotLeader { leader });
            return;
        }
        let uncommitted = self.log.last_index() - self.commit_index;
        if uncommitted >= self.config.max_uncommitted_entries {
            self.reject(proposal_id, ProposalRejection::Busy);
            return;
        }
        let index = self.append_in_own_term(EntryPayload::Command(command));
        self.proposals.insert(index, proposal_id);
    }

    /// Sends to each member as much as its in-flight window allows.
    pub(super) fn replicate(&mut self) {
        let mut all_progress = self.take_progress();
        for (peer, progress) in &mut all_progress {
            self.replicate_to(peer, progress);
        }
        self.put_progress(all_progress);
    }

    /// Moves the members' progress out of the role, until [`put_progress`](Self::put_progress)
    /// moves it back, so that the replica can be borrowed meanwhile. Empty unless this replica
    /// leads.
    fn take_progress(&mut self) -> BTreeMap<MemberId, Progress> {
        match &mut self.role {
            RoleState::Leader(leader_state) => std::mem::take(&mut leader_state.progress),
            _ => BTreeMap::new(),
        }
    }

    fn put_progress(&mut self, progress: BTreeMap<MemberId, Progress>) {
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.progress = progress;
        }
    }

    fn replicate_to(&mut self, peer: &MemberId, progress: &mut Progress) {
        loop {
            self.fall_back_to_snapshot(progress);
            let window = self.config.inflight_window;
            match progress.next_send(self.log.last_index(), window) {
                NextSend::Nothing => return,
                NextSend::Append => self.send_append(peer, progress),
                NextSend::Chunk => self.send_snapshot_chunk(peer, progress),
            }
        }
    }

    /// Switches to the snapshot if the entries that the member needs are no longer in the log.
    fn fall_back_to_snapshot(&self, progress: &mut Progress) {
        let is_sending = matches!(progress.mode, ProgressMode::Snapshot { .. });
        if !is_sending && progress.next_index <= self.log.base_index() {
            progress.start_snapshot(self.log.snapshot().clone());
        }
    }

    fn send_append(&mut self, peer: &MemberId, progress: &mut Progress) {
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let entries = self.log.batch(
            progress.next_index,
            self.config.max_batch_entries,
            self.config.max_batch_bytes,
        );
        self.record_append_sent(progress, entries.len());
        let body = PeerMessageBody::Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries,
            commit_index: self.commit_index,
            sent_at: self.now,
        };
        self.send(peer, body);
    }

    fn record_append_sent(&self, progress: &mut Progress, entry_count: usize) {
        progress.last_sent_at = self.now;
        if !progress.is_replicating() {
            progress.is_awaiting_response = true;
            return;
        }
        if entry_count > 0 {
            progress.next_index += entry_count as LogIndex;
            progress.inflight.push_back(progress.next_index - 1);
        }
    }

    /// Sends a heartbeat. In probe or snapshot mode it repeats the last message, which may have
    /// been lost.
    fn send_heartbeat(&mut self, peer: &MemberId, progress: &mut Progress) {
        progress.is_awaiting_response = false;
        self.fall_back_to_snapshot(progress);
        if matches!(progress.mode, ProgressMode::Snapshot { .. }) {
            self.send_snapshot_chunk(peer, progress);
            return;
        }
        if progress.is_replicating() {
            self.send_empty_append(peer, progress);
            return;
        }
        self.send_append(peer, progress);
    }

    fn send_empty_append(&mut self, peer: &MemberId, progress: &mut Progress) {
        let prev_index = progress.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        progress.last_sent_at = self.now;
        let body = PeerMessageBody::Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            entries: Vec::new(),
            commit_index: self.commit_index,
            sent_at: self.now,
        };
        self.send(peer, body);
    }

    pub(super) fn check_leader_deadlines(&mut self) {
        if self.has_lost_quorum() {
            self.become_passive(self.hard_state.term);
            return;
        }
        let mut all_progress = self.take_progress();
        for (peer, progress) in &mut all_progress {
            if self.now >= progress.last_sent_at + self.config.heartbeat_interval {
                self.send_heartbeat(peer, progress);
            }
        }
        self.put_progress(all_progress);
    }

    /// Returns whether no quorum has answered for too long (check-quorum). The leader then steps
    /// down, so that another one can be elected.
    fn has_lost_quorum(&self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        !self.is_sole_voter() && self.now >= self.quorum_deadline(leader_state)
    }

    fn quorum_deadline(&self, leader_state: &LeaderState) -> MonoTime {
        let since = leader_state
            .quorum_contact_at
            .unwrap_or(leader_state.elected_at);
        since + self.config.election_timeout_max
    }

    pub(super) fn leader_wakeup(&self, leader_state: &LeaderState) -> MonoTime {
        let interval = self.config.heartbeat_interval;
        let heartbeats = leader_state
            .progress
            .values()
            .map(|peer_progress| peer_progress.last_sent_at + interval);
        let heartbeat_at = heartbeats.min().unwrap_or(MonoTime::MAX);
        if self.is_sole_voter() {
            return heartbeat_at;
        }
        heartbeat_at.min(self.quorum_deadline(leader_state))
    }

    pub(super) fn on_append_response(
        &mut self,
        from: &MemberId,
        term: Term,
        sent_at: MonoTime,
        outcome: AppendOutcome,
    ) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_for_response(from, term, sent_at) else {
            return;
        };
        match outcome {
            AppendOutcome::Matched { index } if index <= last_index => progress.on_matched(index),
            AppendOutcome::Matched { .. } => {}
            AppendOutcome::Conflict {
                prev_index,
                hint_index,
            } => progress.on_conflict(prev_index, hint_index),
        }
        self.refresh_quorum_contact();
    }

    pub(super) fn on_snapshot_response(&mut self, from: &MemberId, body: &PeerMessageBody) {
        let PeerMessageBody::SnapshotResponse {
            term,
            sent_at,
            last_index,
            next_offset_bytes,
            is_installed,
        } = *body
        else {
            return;
        };
        let Some(progress) = self.progress_for_response(from, term, sent_at) else {
            return;
        };
        if is_installed {
            progress.on_snapshot_installed(last_index);
        } else {
            progress.on_chunk_accepted(last_index, next_offset_bytes);
        }
        self.refresh_quorum_contact();
    }

    /// Records the contact that a response proves and returns the progress of its sender. Steps
    /// down instead if the response has a greater term.
    fn progress_for_response(
        &mut self,
        from: &MemberId,
        term: Term,
        sent_at: MonoTime,
    ) -> Option<&mut Progress> {
        if term > self.hard_state.term {
            self.become_passive(term);
            return None;
        }
        let is_plausible = term == self.hard_state.term && sent_at <= self.now;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return None;
        };
        let progress = leader_state
            .progress
            .get_mut(from)
            .filter(|_| is_plausible)?;
        progress.record_contact(sent_at);
        Some(progress)
    }

    /// Updates the send time of the latest messages that a quorum has answered. This leader counts
    /// towards the quorum if it is a voter.
    pub(super) fn refresh_quorum_contact(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(membership) = self.log.membership() else {
            return;
        };
        let own_contact = membership.is_voter(&self.config.member).then_some(self.now);
        let peers = leader_state.progress.iter();
        let voters = peers.filter(|(peer, _)| membership.is_voter(peer));
        let mut contact_times: Vec<_> = voters
            .map(|(_, peer_progress)| peer_progress.contact_at)
            .chain([own_contact])
            .collect();
        contact_times.sort_unstable_by(|a, b| b.cmp(a));
        let at_quorum = contact_times
            .get(membership.quorum() - 1)
            .copied()
            .flatten();
        leader_state.quorum_contact_at = at_quorum;
    }

    /// Commits the entries that a quorum holds durably, once an entry of the leader's own term is
    /// among them.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let Some(membership) = self.log.membership() else {
            return;
        };
        if self.commit_index >= self.log.last_index() {
            return;
        }
        let durable_index = self.persist_queue.durable_index();
        let own_match = membership
            .is_voter(&self.config.member)
            .then_some(durable_index);
        let peers = leader_state.progress.iter();
        let voters = peers.filter(|(peer, _)| membership.is_voter(peer));
        let mut matched: Vec<_> = voters
            .map(|(_, peer_progress)| peer_progress.match_index)
            .chain(own_match)
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let at_quorum = matched.get(membership.quorum() - 1).copied().unwrap_or(0);
        if at_quorum > self.commit_index && at_quorum >= leader_state.first_index {
            self.commit_index = at_quorum;
        }
    }

    pub(super) fn most_advanced_voter(&self) -> Option<MemberId> {
        let RoleState::Leader(leader_state) = &self.role else {
            return None;
        };
        let voters = leader_state.progress.iter();
        let ready = voters.filter(|(peer, peer_progress)| {
            self.membership().is_voter(peer) && peer_progress.is_replicating()
        });
        let best = ready.max_by_key(|(_, peer_progress)| peer_progress.match_index);
        best.map(|(peer, _)| peer.clone())
    }
}

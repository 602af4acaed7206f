//! First contact, formation of the group, and incarnations of members.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{MonoTime, VmId};

use super::{Phase, Replica, RoleState};
use crate::{
    Formation, Hello, HelloStatus, MemberId, Membership, PeerMessageBody, ReplicaEffect, Snapshot,
    UNKNOWN_INCARNATION,
};

impl Replica {
    pub(super) fn enter_initial_phase(&mut self) {
        self.phase = self.initial_phase();
        if self.is_sole_voter() {
            self.election_deadline = self.now;
        }
        if matches!(self.phase, Phase::Formed) && self.is_voter() {
            self.hello_deadline = MonoTime::MAX;
        }
    }

    fn initial_phase(&mut self) -> Phase {
        if self.log.membership().is_some() {
            return self.phase_of_restored_group();
        }
        let member = self.config.member.clone();
        let is_new = !self.is_voting_disabled && self.hard_state.term == 0;
        match self.config.formation.clone() {
            Formation::Founders(founders) if is_new && founders.contains(&member) => {
                self.bind(Membership::of_voters(founders));
                Phase::Formed
            }
            Formation::Unanimous if is_new && self.config.bootstrap_vms.contains(&member.vm) => {
                Phase::Forming {
                    participants: BTreeMap::from([(member.vm, member.incarnation)]),
                }
            }
            _ => Phase::Joining,
        }
    }

    fn phase_of_restored_group(&self) -> Phase {
        let is_bound_only = self.log.last_index() == 0 && self.hard_state.term == 0;
        if is_bound_only && self.config.formation == Formation::Unanimous {
            return Phase::Bound {
                ticket: 0,
                confirmed: BTreeSet::new(),
            };
        }
        Phase::Formed
    }

    /// Records `founders` as the membership at index 0. A member does so only once in an epoch.
    fn bind(&mut self, founders: Membership) {
        let snapshot = Snapshot {
            membership: founders,
            ..Snapshot::default()
        };
        self.log.install(snapshot.clone());
        self.persist_queue.set_snapshot(snapshot);
    }

    pub(super) fn check_forming(&mut self) {
        if let Phase::Forming { participants } = &self.phase
            && participants.len() == self.config.bootstrap_vms.len()
        {
            let members = participants
                .iter()
                .map(|(vm, known_incarnation)| MemberId::new(vm, *known_incarnation));
            let founders = Membership::of_voters(members);
            self.bind(founders);
            self.phase = Phase::Bound {
                ticket: self.covering_ticket(),
                confirmed: BTreeSet::new(),
            };
            self.hello_deadline = self.now;
        }
        self.check_bound();
    }

    fn check_bound(&mut self) {
        let member = self.config.member.clone();
        let Phase::Bound { ticket, confirmed } = &mut self.phase else {
            return;
        };
        if self.persist_queue.is_persisted(*ticket) {
            confirmed.insert(member);
        }
        let founders = self.log.membership().map(|m| &m.voters);
        if founders == Some(&*confirmed) {
            self.enter_formed();
        }
    }

    fn enter_formed(&mut self) {
        self.phase = Phase::Formed;
        if self.is_voter() {
            self.hello_deadline = MonoTime::MAX;
        }
        if self.is_sole_voter() {
            self.election_deadline = self.now;
        }
    }

    /// Enters the formed phase if only a member of a formed group can have sent the message.
    pub(super) fn detect_formed_group(&mut self, from: &MemberId, body: &PeerMessageBody) {
        let is_from_leader = matches!(
            body,
            PeerMessageBody::Append { .. } | PeerMessageBody::SnapshotChunk { .. }
        );
        let proves_formation = match self.phase {
            Phase::Joining | Phase::Forming { .. } => is_from_leader,
            Phase::Bound { .. } => self.is_founder(from) && !is_hello_before_formation(body),
            _ => false,
        };
        if proves_formation {
            self.enter_formed();
        }
    }

    fn is_founder(&self, member: &MemberId) -> bool {
        let founders = self.log.membership();
        founders.is_some_and(|m| m.is_voter(member))
    }

    pub(super) fn on_hello(&mut self, from: &MemberId, to: &MemberId, hello: Hello) {
        self.record_hello(from, &hello.status);
        self.record_named_leader(from, hello.leader);
        if to.incarnation == UNKNOWN_INCARNATION {
            self.send_hello(from);
        }
    }

    /// Records which leader another member names, while this one knows none. Hellos go there, too.
    fn record_named_leader(&mut self, from: &MemberId, leader: Option<VmId>) {
        let leader = leader.filter(|leader| *leader != self.config.member.vm);
        if self.leader.is_some() || self.config.open_voter_count.is_none() {
            return;
        }
        match leader {
            Some(leader) => self.named_leaders.insert(from.vm.clone(), leader),
            None => self.named_leaders.remove(&from.vm),
        };
        if self.needs_hellos() {
            self.hello_deadline = self
                .hello_deadline
                .min(self.now + self.config.hello_interval);
        }
    }

    /// Sends a hello to a VM that asks for votes although it is not in the group any more: its
    /// former peers need not include the leader.
    pub(super) fn direct_removed_member(&mut self, from: &MemberId) {
        if self.leader.is_some() && !self.membership().contains(from) {
            self.send_hello(from);
        }
    }

    fn record_hello(&mut self, from: &MemberId, status: &HelloStatus) {
        let founders = self.log.membership().cloned();
        let is_latest = self.latest_incarnations.get(&from.vm) == Some(&from.incarnation);
        match (&mut self.phase, status) {
            (Phase::Forming { participants }, HelloStatus::Forming | HelloStatus::Bound(_))
                if is_latest && self.config.bootstrap_vms.contains(&from.vm) =>
            {
                participants.insert(from.vm.clone(), from.incarnation);
            }
            (Phase::Forming { participants }, _) => {
                participants.remove(&from.vm);
            }
            (Phase::Bound { confirmed, .. }, HelloStatus::Bound(bound_to))
                if Some(bound_to) == founders.as_ref() && bound_to.is_voter(from) =>
            {
                confirmed.insert(from.clone());
            }
            _ => {}
        }
    }

    pub(super) fn record_incarnation(&mut self, from: &MemberId) {
        let latest = self.latest_incarnations.entry(from.vm.clone()).or_default();
        *latest = from.incarnation.max(*latest);
        self.last_contact_at.insert(from.vm.clone(), self.now);
    }

    /// Answers a message to a former incarnation with a hello, so that the sender learns of this
    /// one.
    pub(super) fn on_misaddressed(&mut self, from: &MemberId, to: &MemberId) {
        if self.config.member.supersedes(to) {
            self.send_hello(from);
        }
    }

    pub(super) fn on_other_epoch(&mut self, from: &MemberId, group_epoch: u64) {
        if group_epoch < self.config.group_epoch {
            self.send_hello(from);
            return;
        }
        self.step_down();
        self.leader = None;
        self.held_messages.clear();
        self.phase = Phase::Superseded;
        self.effects
            .push(ReplicaEffect::EpochSuperseded { group_epoch });
    }

    fn hello_status(&self) -> HelloStatus {
        match &self.phase {
            Phase::Forming { .. } => HelloStatus::Forming,
            Phase::Bound { .. } => HelloStatus::Bound(self.membership().clone()),
            Phase::Formed => HelloStatus::Formed,
            _ => HelloStatus::Joining,
        }
    }

    fn send_hello(&mut self, to: &MemberId) {
        let body = PeerMessageBody::Hello(Hello {
            status: self.hello_status(),
            leader: self.leader.as_ref().map(|leader| leader.vm.clone()),
        });
        self.send_when_durable(to, body);
    }

    pub(super) fn send_hellos(&mut self) {
        if !self.needs_hellos() {
            self.hello_deadline = MonoTime::MAX;
            return;
        }
        self.hello_deadline = self.now + self.config.hello_interval;
        for vm in self.hello_receivers() {
            self.send_hello(&MemberId::any_incarnation_of(vm));
        }
    }

    /// Returns the VMs through which this member may find its group.
    fn hello_receivers(&self) -> BTreeSet<VmId> {
        let bootstrap_vms = self.config.bootstrap_vms.iter();
        let mut vms: BTreeSet<VmId> = bootstrap_vms
            .chain(self.named_leaders.values())
            .cloned()
            .collect();
        if self.config.open_voter_count.is_some() {
            vms.extend(self.membership().members().map(|member| member.vm.clone()));
        }
        vms.remove(&self.config.member.vm);
        vms
    }

    /// Returns whether the replica has to send hellos.
    ///
    /// The leader contacts voters by itself; every other member has to make itself known. A voter
    /// that others name a leader to, but that hears from none, may have been removed.
    fn needs_hellos(&self) -> bool {
        match self.phase {
            Phase::Joining | Phase::Forming { .. } | Phase::Bound { .. } => true,
            Phase::Formed => {
                let is_learner = matches!(self.role, RoleState::Passive) && !self.is_voter();
                let may_be_removed = !self.named_leaders.is_empty();
                self.leader.is_none() && (is_learner || may_be_removed)
            }
            Phase::Halted | Phase::Superseded => false,
        }
    }
}

fn is_hello_before_formation(body: &PeerMessageBody) -> bool {
    match body {
        PeerMessageBody::Hello(hello) => hello.status != HelloStatus::Formed,
        _ => false,
    }
}

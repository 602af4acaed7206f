//! The replicated log: replica effects, applying commands, snapshots.

use chicory_consensus::{ProposalRejection, Replica, ReplicaEffect, ReplicaEvent, RestoredState};
use chicory_directory::{
    CommandOutcome, EndedServer, PeerEnvelope, SiteAnswer, SiteCommand, SiteState,
};
use chicory_ranges::{GrantEvent, ServerIncarnation};
use chicory_types::{Incarnation, LogIndex, MonoTime};
use chicory_wire::proto::site;
use prost::Message;

use super::cold_servers;
use super::site_core::Proposal;
use super::{SiteCore, SiteEffect, SiteNote};

impl SiteCore {
    pub(super) fn on_storage_opened(
        &mut self,
        now: MonoTime,
        incarnation: Incarnation,
        restored: RestoredState,
        is_founder: bool,
    ) {
        let last_entry = restored.entries.last().map(|entry| entry.index);
        let snapshot = restored.snapshot.as_ref().map(|s| s.last_index);
        self.push_note(SiteNote::StorageOpened {
            incarnation,
            last_index: last_entry.or(snapshot).unwrap_or(0),
            may_vote: restored.may_vote,
        });
        self.state = SiteState::default();
        match self.config.replica_config(incarnation, is_founder) {
            Ok(config) => {
                self.replica = Some(Replica::new(config, restored, now));
                for (vm, zone) in self.control_zones.clone() {
                    self.run_replica(now, ReplicaEvent::Located { vm, zone });
                }
                self.run_replica(now, ReplicaEvent::Tick);
            }
            Err(_) => self.push_note(SiteNote::StorageFailed),
        }
    }

    /// Handles a failed write. It is unknown which state is durable now, so this member restarts
    /// from the content of the files.
    pub(super) fn on_persist_failed(&mut self) {
        if self.replica.take().is_none() {
            return;
        }
        self.push_note(SiteNote::StorageFailed);
        self.clear_leader_state();
        let proposals = std::mem::take(&mut self.proposals);
        for proposal in proposals.into_values() {
            self.fail_proposal(proposal);
        }
        self.effects.push(SiteEffect::ReopenStorage);
    }

    pub(super) fn run_replica(&mut self, now: MonoTime, event: ReplicaEvent) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        for effect in replica.reduce(now, event) {
            self.handle_replica_effect(now, effect);
        }
    }

    fn handle_replica_effect(&mut self, now: MonoTime, effect: ReplicaEffect) {
        match effect {
            ReplicaEffect::Send { to, message } => self.effects.push(SiteEffect::SendToPeer {
                to: to.vm,
                envelope: PeerEnvelope::Log(message),
            }),
            ReplicaEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } => self.effects.push(SiteEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            }),
            ReplicaEffect::Apply {
                index,
                command,
                proposal_id,
                ..
            } => self.apply(now, index, &command, proposal_id),
            ReplicaEffect::InstallSnapshot { index, data } => self.install(index, &data),
            ReplicaEffect::Rejected {
                proposal_id,
                reason,
            } => self.on_rejected(proposal_id, &reason),
            ReplicaEffect::BecameLeader { term } => self.push_note(SiteNote::BecameLeader { term }),
            ReplicaEffect::LostLeadership { term } => {
                self.push_note(SiteNote::LostLeadership { term });
                self.clear_leader_state();
            }
            ReplicaEffect::TakeSnapshot { index } => {
                let data = site::SiteSnapshot::from(&self.state).encode_to_vec();
                self.run_replica(now, ReplicaEvent::SnapshotTaken { index, data });
            }
            // The group of a site is formed once and never re-formed.
            ReplicaEffect::EpochSuperseded { .. } => self.push_note(SiteNote::StorageFailed),
        }
    }

    fn install(&mut self, index: LogIndex, data: &[u8]) {
        if data.is_empty() {
            self.state = SiteState::default();
            return;
        }
        let decoded = site::SiteSnapshot::decode(data).ok();
        match decoded.and_then(|snapshot| SiteState::try_from(snapshot).ok()) {
            Some(state) => self.state = state,
            None => self.on_unreadable(index),
        }
    }

    fn on_unreadable(&mut self, index: LogIndex) {
        self.push_note(SiteNote::LogUnreadable { index });
        self.replica = None;
        self.clear_leader_state();
    }

    fn apply(&mut self, now: MonoTime, index: LogIndex, command: &[u8], proposal_id: Option<u64>) {
        let decoded = site::SiteCommand::decode(command).ok();
        let Some(command) = decoded.and_then(|command| SiteCommand::try_from(command).ok()) else {
            self.on_unreadable(index);
            return;
        };
        let announced = cold_servers::announced_server(&command);
        let was_cold = announced.is_some_and(|server| self.state.cold_rate_per_s(server).is_some());
        let outcome = self.state.apply(index, command.clone());
        self.record_cold_outcome(now, &command, &outcome, was_cold);
        if let (SiteCommand::PutServer(record), CommandOutcome::ServerChanged { ended }) =
            (&command, &outcome)
        {
            self.note_ended_owners(now, &record.incarnation, ended);
        }
        self.handle_outcome(index, command, &outcome);
        let proposal = proposal_id.and_then(|id| self.proposals.remove(&id));
        match proposal {
            Some(Proposal::Call(reply_to)) => {
                let answer = match outcome {
                    CommandOutcome::Stale => SiteAnswer::Stale,
                    _ => SiteAnswer::Done,
                };
                self.reply(reply_to, answer);
            }
            Some(Proposal::Move { service, first, .. }) => {
                if matches!(outcome, CommandOutcome::MoveRejected(_)) {
                    let event = GrantEvent::MoveFailed { service, first };
                    self.grant_events.push_back(event);
                }
            }
            Some(Proposal::Maintenance) | None => {}
        }
    }

    /// Notes servers whose processes have ended, with the age of the last answer to a grant. An
    /// answer that is younger than the next process at the address came from that process.
    fn note_ended_owners(
        &mut self,
        now: MonoTime,
        next: &ServerIncarnation,
        ended: &[EndedServer],
    ) {
        let Some(mover) = &self.mover else { return };
        let notes: Vec<SiteNote> = ended
            .iter()
            .map(|EndedServer { incarnation, .. }| SiteNote::ServerEnded {
                server_incarnation: incarnation.clone(),
                next: next.clone(),
                range_count: mover.ranges_of(incarnation).count(),
                last_answer_age: mover
                    .last_answer_at(incarnation)
                    .map(|at| now.saturating_sub(at)),
            })
            .collect();
        for note in notes {
            self.push_note(note);
        }
    }

    fn handle_outcome(&mut self, index: LogIndex, command: SiteCommand, outcome: &CommandOutcome) {
        match (command, outcome) {
            (SiteCommand::PutRoutes(table), CommandOutcome::RoutesChanged) => {
                let routes_version = table.version;
                self.route_history.record(self.state.routes().clone());
                self.push_note(SiteNote::RoutesInForce {
                    routes_version,
                    index,
                });
            }
            (SiteCommand::PutRoutes(table), _) => self.push_note(SiteNote::RoutesUnchanged {
                sent_version: table.version,
                routes_version: self.state.routes().version,
            }),
            (SiteCommand::PutServer(record), CommandOutcome::ServerChanged { ended }) => {
                self.addresses
                    .insert(record.incarnation.clone(), record.address);
                let ended = ended.iter().cloned().map(|ended| GrantEvent::Ended {
                    incarnation: ended.incarnation,
                    successor: ended.successor,
                });
                self.grant_events.extend(ended);
                let server_incarnation = record.incarnation.clone();
                self.grant_events
                    .push_back(GrantEvent::Announced(server_incarnation));
                self.push_note(SiteNote::ServerChanged {
                    server_incarnation: record.incarnation,
                    service: record.service,
                    is_draining: record.state == chicory_directory::ServerState::Draining,
                    index,
                });
            }
            (SiteCommand::PutServer(record), CommandOutcome::Stale) => {
                self.push_note(SiteNote::StaleAnnouncement {
                    server_incarnation: record.incarnation,
                });
            }
            (SiteCommand::RemoveServer(removal), CommandOutcome::ServerRemoved(_)) => {
                let server_incarnation = removal.incarnation;
                self.push_note(SiteNote::ServerRemoved {
                    server_incarnation,
                    index,
                });
            }
            (SiteCommand::MoveRange(change), CommandOutcome::RangeMoved(fence)) => {
                self.grant_events.push_back(GrantEvent::RegistryChanged);
                let fence = *fence;
                self.push_note(SiteNote::RangeMoved { change, fence });
            }
            (_, CommandOutcome::MoveRejected(rejection)) => {
                let rejection = rejection.clone();
                self.push_note(SiteNote::MoveRejected { rejection });
            }
            (SiteCommand::BeginEvacuation(_) | SiteCommand::FinishEvacuation(_), outcome) => {
                self.on_evacuations_changed(index, outcome);
            }
            _ => {}
        }
    }

    pub(super) fn propose(&mut self, now: MonoTime, proposal: Proposal, command: SiteCommand) {
        let proposal_id = self.next_id();
        self.proposals.insert(proposal_id, proposal);
        let command = site::SiteCommand::from(command).encode_to_vec();
        if self.replica.is_none() {
            self.on_rejected(proposal_id, &ProposalRejection::NotReady);
            return;
        }
        let event = ReplicaEvent::Propose {
            proposal_id,
            command,
        };
        self.run_replica(now, event);
    }

    fn on_rejected(&mut self, proposal_id: u64, _reason: &ProposalRejection) {
        if let Some(proposal) = self.proposals.remove(&proposal_id) {
            self.fail_proposal(proposal);
        }
    }

    fn fail_proposal(&mut self, proposal: Proposal) {
        match proposal {
            Proposal::Call(reply_to) => self.reply(reply_to, SiteAnswer::Unavailable),
            Proposal::Move { service, first, .. } => {
                let event = GrantEvent::MoveFailed { service, first };
                self.grant_events.push_back(event);
            }
            Proposal::Maintenance => {}
        }
    }
}

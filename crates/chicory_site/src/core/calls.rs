//! Calls of operators and backend servers.

use chicory_directory::{
    PeerEnvelope, RemovalCause, ServerRecord, ServerRemoval, SiteAnswer, SiteCall, SiteCommand,
};
use chicory_ranges::{GrantEvent, ServerIncarnation};
use chicory_types::{MonoTime, ServerId};

use super::site_config::{ADDRESS_HOLD_TIME, FORWARDED_CALL_TIMEOUT};
use super::site_core::{ForwardedCall, Proposal, ReplyTo};
use super::{SiteCore, SiteEffect, SiteNote};

impl SiteCore {
    /// Answers a call from the applied state if that is enough. Otherwise handles it as leader, or
    /// forwards it to the leader.
    pub(super) fn on_call(&mut self, now: MonoTime, reply_to: ReplyTo, call: SiteCall) {
        match self.local_answer(now, &call) {
            Some(answer) => self.reply(reply_to, answer),
            None if self.is_leading(now) => self.on_leader_call(now, reply_to, call),
            None => self.forward_call(now, reply_to, call),
        }
    }

    /// Handles a call that another member forwarded because it regards this member as the leader.
    pub(super) fn on_forwarded_call(&mut self, now: MonoTime, reply_to: ReplyTo, call: SiteCall) {
        match self.local_answer(now, &call) {
            Some(answer) => self.reply(reply_to, answer),
            None if self.is_leading(now) => self.on_leader_call(now, reply_to, call),
            None => self.reply(reply_to, SiteAnswer::Unavailable),
        }
    }

    /// Returns the answer if the applied state already contains it. That state is committed, so no
    /// leader is needed.
    fn local_answer(&mut self, now: MonoTime, call: &SiteCall) -> Option<SiteAnswer> {
        match call {
            SiteCall::Announce(record) => self.known_announcement_answer(now, record),
            SiteCall::PutRoutes(table) => {
                let is_known = table.version <= self.state.routes().version;
                is_known.then_some(SiteAnswer::Done)
            }
            // The applied state may be behind, so only the leader answers these.
            SiteCall::Leave { .. }
            | SiteCall::ReadRoutes
            | SiteCall::ReadEvacuations
            | SiteCall::BeginEvacuation(_)
            | SiteCall::FinishEvacuation(_) => None,
        }
    }

    fn known_announcement_answer(
        &mut self,
        now: MonoTime,
        record: &ServerRecord,
    ) -> Option<SiteAnswer> {
        if !self.state.knows_service_of(record) {
            return Some(SiteAnswer::UnknownService);
        }
        if self.state.is_stale(record) {
            let server_incarnation = record.incarnation.clone();
            self.push_note(SiteNote::StaleAnnouncement { server_incarnation });
            return Some(SiteAnswer::Stale);
        }
        let merged = self.state.merged(record.clone());
        let known = self.state.server(&record.incarnation.server)?;
        if !known.equals_except_cold_for(&merged) {
            return None;
        }
        let is_cold_change = self.is_cold_change(now, &merged);
        if self.mover.is_some() {
            self.record_announcement(now, record.incarnation.clone());
        } else {
            self.unforwarded_announcements
                .insert(record.incarnation.clone());
        }
        (!is_cold_change).then_some(SiteAnswer::Done)
    }

    /// Records when a server announced itself, and notifies the grant coordinator if the directory
    /// has this incarnation of the server.
    pub(super) fn record_announcement(&mut self, now: MonoTime, incarnation: ServerIncarnation) {
        self.announced_at.insert(incarnation.clone(), now);
        let known = self.state.server(&incarnation.server);
        if known.is_some_and(|known| known.incarnation == incarnation) {
            self.grant_events
                .push_back(GrantEvent::Announced(incarnation));
        }
    }

    fn on_leader_call(&mut self, now: MonoTime, reply_to: ReplyTo, call: SiteCall) {
        let command = match call {
            SiteCall::Announce(record) if self.is_address_in_use(now, &record) => {
                let server_incarnation = record.incarnation;
                self.push_note(SiteNote::AddressInUse { server_incarnation });
                self.reply(reply_to, SiteAnswer::Unavailable);
                return;
            }
            SiteCall::Announce(record) => {
                self.record_first_announcement(now, &record);
                SiteCommand::PutServer(self.proposed_record(now, record))
            }
            SiteCall::PutRoutes(table) => SiteCommand::PutRoutes(table),
            SiteCall::BeginEvacuation(zone) | SiteCall::FinishEvacuation(zone)
                if !self.is_known_zone(&zone) =>
            {
                self.reply(reply_to, SiteAnswer::UnknownZone);
                return;
            }
            SiteCall::BeginEvacuation(zone) => SiteCommand::BeginEvacuation(zone),
            SiteCall::FinishEvacuation(zone) => {
                // Announcements that are proposed after this may be applied after it.
                self.cold.periods.hold_zone(now, zone.clone());
                SiteCommand::FinishEvacuation(zone)
            }
            SiteCall::ReadRoutes => {
                let answer = self.routes_answer();
                self.reply(reply_to, answer);
                return;
            }
            SiteCall::ReadEvacuations => {
                let zones = self.state.evacuated_zones().clone();
                self.reply(reply_to, SiteAnswer::EvacuatedZones(zones));
                return;
            }
            SiteCall::Leave {
                server,
                started_at_ms,
            } => {
                let incarnation = self.leaving_incarnation(server, started_at_ms);
                if self.state.knows_departure(&incarnation) {
                    self.reply(reply_to, SiteAnswer::Done);
                    return;
                }
                let cause = RemovalCause::Left;
                SiteCommand::RemoveServer(ServerRemoval { incarnation, cause })
            }
        };
        self.propose(now, Proposal::Call(reply_to), command);
    }

    /// Whether another server may still run at the same address, so that this announcement may come
    /// from a process that ended before, and was delayed in transit.
    ///
    /// That is so while the other server announced itself recently, and until this one has announced
    /// itself again: what a network delayed arrives once. An announcement with a later start time is
    /// accepted as valid.
    fn is_address_in_use(&mut self, now: MonoTime, record: &ServerRecord) -> bool {
        let started_at_ms = record.incarnation.started_at_ms;
        let others = self.state.other_servers_at_address(record);
        let others = others.filter(|other| started_at_ms <= other.incarnation.started_at_ms);
        let announced_at: Vec<Option<MonoTime>> = others
            .map(|other| self.announced_at.get(&other.incarnation).copied())
            .collect();
        if announced_at.is_empty() {
            return false;
        }
        let is_repeated = self.address_claims.record(now, &record.incarnation);
        let is_recent = |at: &Option<MonoTime>| at.is_some_and(|at| now < at + ADDRESS_HOLD_TIME);
        !is_repeated || announced_at.iter().any(is_recent)
    }

    /// Records an announcement that may be the first one of a server or of its service.
    fn record_first_announcement(&mut self, now: MonoTime, record: &ServerRecord) {
        self.announced_at.insert(record.incarnation.clone(), now);
        let is_new = self.state.server(&record.incarnation.server).is_none();
        let (_, latest) = self
            .new_server_times
            .entry(record.service.clone())
            .or_insert((now, now));
        if is_new {
            *latest = now;
        }
    }

    fn routes_answer(&self) -> SiteAnswer {
        let routes = self.state.routes();
        if routes.version == 0 {
            return SiteAnswer::Unavailable;
        }
        SiteAnswer::Routes((**routes).clone())
    }

    /// Returns the incarnation that leaves. A server that doesn't state its start means the last one
    /// that is known. If there is none, it states no start in its announcements either.
    fn leaving_incarnation(
        &self,
        server: ServerId,
        started_at_ms: Option<u64>,
    ) -> ServerIncarnation {
        let last_start = || {
            let known = self.state.server(&server).map(|known| &known.incarnation);
            let removed = || self.state.removal(&server).map(|last| &last.incarnation);
            known.or_else(removed).map(|last| last.started_at_ms)
        };
        let started_at_ms = started_at_ms.or_else(last_start);
        ServerIncarnation::new(server, started_at_ms.unwrap_or_default())
    }

    fn forward_call(&mut self, now: MonoTime, reply_to: ReplyTo, call: SiteCall) {
        let leader = self.leader_vm().filter(|leader| *leader != self.config.vm);
        let Some(leader) = leader else {
            self.reply(reply_to, SiteAnswer::Unavailable);
            return;
        };
        let id = self.next_id();
        let expires_at = now + FORWARDED_CALL_TIMEOUT;
        self.forwarded_calls.insert(
            id,
            ForwardedCall {
                reply_to,
                expires_at,
            },
        );
        self.effects.push(SiteEffect::SendToPeer {
            to: leader,
            envelope: PeerEnvelope::Call { id, call },
        });
    }

    pub(super) fn expire_forwarded_calls(&mut self, now: MonoTime) {
        let calls = self.forwarded_calls.iter();
        let expired = calls.filter(|(_, call)| call.expires_at <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            if let Some(forwarded) = self.forwarded_calls.remove(&id) {
                self.reply(forwarded.reply_to, SiteAnswer::Unavailable);
            }
        }
    }

    /// Reports to the leader which servers repeated their announcements to this member.
    pub(super) fn forward_announcements(&mut self) {
        if self.unforwarded_announcements.is_empty() || self.mover.is_some() {
            return;
        }
        let leader = self.leader_vm().filter(|leader| *leader != self.config.vm);
        let Some(to) = leader else { return };
        let incarnations = std::mem::take(&mut self.unforwarded_announcements);
        self.effects.push(SiteEffect::SendToPeer {
            to,
            envelope: PeerEnvelope::Announced(incarnations.into_iter().collect()),
        });
    }

    pub(super) fn reply(&mut self, reply_to: ReplyTo, answer: SiteAnswer) {
        if answer == SiteAnswer::Unavailable {
            let answer = answer.clone();
            self.push_note(SiteNote::CallUnavailable { answer });
        }
        self.effects.push(match reply_to {
            ReplyTo::Caller(caller) => SiteEffect::Answer { caller, answer },
            ReplyTo::Peer { vm, id } => SiteEffect::SendToPeer {
                to: vm,
                envelope: PeerEnvelope::Answer { id, answer },
            },
        });
    }
}

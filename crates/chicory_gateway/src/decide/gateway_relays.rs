//! Decides which requests other entry VMs relay.

use chicory_directory::{RelayPeer, ServerRecord};
use chicory_ranges::ServerIncarnation;
use chicory_types::MonoTime;

use super::relay_need::RelayNeed;
use super::{AttemptOutcome, Gateway, Policy, RefusalReason, RequestTicket};

/// Maximum number of relay peers that one request is sent to.
const MAX_RELAY_TRIES: usize = 3;
/// Maximum number of relay peers that try to reach the server of one request.
const MAX_UNREACHED_TRIES: usize = 2;

/// How a request is sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// On a connection of this entry VM.
    Direct,
    /// By way of another entry VM.
    Relay(RelayPeer),
    /// There is none at the moment.
    Cut,
}

impl Way {
    /// Returns the entry VM that relays the request, if one does.
    pub(super) fn into_relay(self) -> Option<RelayPeer> {
        match self {
            Self::Relay(peer) => Some(peer),
            Self::Direct | Self::Cut => None,
        }
    }
}

impl Gateway {
    /// Sets the entry VMs that may relay requests of this one. Returns whether they changed.
    pub fn set_relays(&mut self, relays: Vec<RelayPeer>) -> bool {
        self.relays.set_peers(relays)
    }

    /// Returns the number of entry VMs that may relay requests of this one.
    #[must_use]
    pub fn relay_count(&self) -> usize {
        self.relays.len()
    }

    fn has_relays(&self) -> bool {
        self.config.is_enabled(Policy::Relay) && !self.relays.is_empty()
    }

    /// Decides how a request is sent to a server. `cannot_connect` is whether connections to the
    /// server have failed so lately that none is tried.
    pub(super) fn choose_way(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        record: &ServerRecord,
        cannot_connect: bool,
    ) -> Way {
        let direct = if cannot_connect {
            Way::Cut
        } else {
            Way::Direct
        };
        if !self.has_relays() {
            return direct;
        }
        let is_cut = self.reachability.is_cut(record);
        let has_failed = ticket.relayed_server.as_ref() == Some(&record.incarnation);
        if !cannot_connect && !is_cut && !has_failed {
            return direct;
        }
        let tried = ticket.tried_relays();
        if tried.len() < MAX_RELAY_TRIES && self.relay_reachability.may_send(now, record) {
            let zone = &self.config.zone;
            let need = ticket.relay_need();
            if let Some(peer) = self.relays.choose(now, zone, &need, &tried, &mut self.rng) {
                return Way::Relay(peer);
            }
        }
        if is_cut && self.may_try_open_connections(now, ticket, record) {
            return Way::Direct;
        }
        Way::Cut
    }

    /// Whether there is a way to no server at all.
    pub(super) fn is_without_way(&self, now: MonoTime, ticket: &RequestTicket) -> bool {
        let tried = ticket.tried_relays();
        self.has_relays()
            && self.reachability.is_all_silent(now)
            && (tried.len() >= MAX_RELAY_TRIES
                || !self.relays.is_available(now, &ticket.relay_need(), &tried))
    }

    /// Decides how a request is sent to the owner of its key.
    ///
    /// # Errors
    ///
    /// Returns why it is not sent.
    pub(super) fn way_to_owner(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        record: &ServerRecord,
    ) -> Result<Way, RefusalReason> {
        let is_first = ticket.attempts.is_empty();
        let cannot_connect =
            is_first && (self.is_zone_cut_off(now, record) || self.is_unreachable(now, record));
        let way = self.choose_way(now, ticket, record, cannot_connect);
        let health = self.health.get(&record.incarnation);
        let is_paused = health.is_some_and(|health| health.is_paused(now));
        match way {
            Way::Cut => Err(RefusalReason::Unreachable),
            Way::Direct if !is_first && is_paused => Err(ticket.reason_after_attempts()),
            way => Ok(way),
        }
    }

    pub(super) fn record_sent(&mut self, now: MonoTime, record: &ServerRecord, way: &Way) {
        if let Way::Relay(peer) = way {
            self.relays.record_sent(peer);
            self.relay_reachability.record_sent(now, record);
            return;
        }
        if let Some(zone) = self.zones.get_mut(&record.zone) {
            zone.record_sent(now);
        }
        self.reachability.silence().record_sent(now);
    }

    /// Whether a request for a server that is cut off may be sent directly if no relay peer is
    /// available: connections that were open before the cut may still be in use.
    fn may_try_open_connections(
        &self,
        now: MonoTime,
        ticket: &RequestTicket,
        record: &ServerRecord,
    ) -> bool {
        let mut attempts = ticket.attempts.iter();
        attempts.all(|attempt| attempt.relay.is_some())
            && self.reachability.is_answering(now, record)
    }

    /// Decides whether a request whose attempt has just ended is sent to the same server another
    /// way, and records that in the request.
    pub(super) fn try_other_way(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) -> bool {
        let Some(record) = self.directory.server(incarnation).cloned() else {
            return false;
        };
        if outcome == AttemptOutcome::UnreachableFromRelay && self.has_left(now, incarnation) {
            return false;
        }
        let is_tried = match outcome {
            // One server that fails is no reason for a relay if others can serve the request.
            AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
                let is_slow = outcome == AttemptOutcome::Unreachable
                    && !self.reachability.is_zone_silent(now, &record);
                let has_no_other = ticket.key.is_some() || ticket.attempts_left() == 0;
                (has_no_other && !is_slow) || self.reachability.is_suspected(now, &record)
            }
            AttemptOutcome::RelayUnavailable | AttemptOutcome::RefusedByRelay => true,
            AttemptOutcome::UnreachableFromRelay => {
                let attempts = ticket.attempts.iter();
                let unreached = attempts.filter(|attempt| {
                    attempt.outcome() == Some(AttemptOutcome::UnreachableFromRelay)
                });
                unreached.count() < MAX_UNREACHED_TRIES
            }
            _ => false,
        };
        let has_other_way = is_tried && self.has_other_way(now, ticket, &record, outcome);
        if has_other_way {
            ticket.relayed_server = Some(incarnation.clone());
            ticket.not_before = now;
            if let Some(attempt) = ticket.attempts.last_mut() {
                attempt.is_replaced = true;
            }
        } else if outcome == AttemptOutcome::UnreachableFromRelay {
            self.relay_reachability.record_unreached(now, &record);
        }
        has_other_way
    }

    fn has_other_way(
        &self,
        now: MonoTime,
        ticket: &RequestTicket,
        record: &ServerRecord,
        outcome: AttemptOutcome,
    ) -> bool {
        let tried = ticket.tried_relays();
        let has_relay = self.has_relays()
            && tried.len() < MAX_RELAY_TRIES
            && self.relays.is_available(now, &ticket.relay_need(), &tried)
            && self.relay_reachability.is_usable(now, record);
        let is_unsent = matches!(
            outcome,
            AttemptOutcome::RelayUnavailable | AttemptOutcome::RefusedByRelay
        );
        let has_connections = is_unsent && self.may_try_open_connections(now, ticket, record);
        has_relay || has_connections
    }

    /// Records what the end of a relayed attempt shows about the relay peer, and about the path from
    /// it to the server.
    pub(super) fn record_relayed_end(
        &mut self,
        now: MonoTime,
        peer: &RelayPeer,
        (incarnation, need): (&ServerIncarnation, &RelayNeed),
        outcome: AttemptOutcome,
    ) {
        self.relays.record_end(peer);
        match outcome {
            AttemptOutcome::RefusedByRelay => self.relays.record_refusal(now, peer, need),
            AttemptOutcome::RelayUnavailable | AttemptOutcome::RelayBroken => {
                self.relays.record_failure(now, peer);
            }
            AttemptOutcome::UnreachableFromRelay => {
                // A relay peer sends nothing to a server that has left, which shows nothing about
                // its paths.
                if !self.has_left(now, incarnation) {
                    self.relays.record_unreached(now, peer, need);
                }
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::WrongServer
            | AttemptOutcome::OtherServer => {
                self.relays.record_answer(peer, need);
                if let Some(record) = self.directory.server(incarnation) {
                    self.relay_reachability.record_contact(record);
                }
            }
            AttemptOutcome::Refused
            | AttemptOutcome::Unreachable
            | AttemptOutcome::ConnectionRejected
            | AttemptOutcome::Withheld
            | AttemptOutcome::Broken
            | AttemptOutcome::Garbled
            | AttemptOutcome::Silent
            | AttemptOutcome::Cancelled => {}
        }
    }
}

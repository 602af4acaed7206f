//! Chooses backend servers by the part of their slots that this entry VM prefers.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{ServerRecord, ServiceShares};
use chicory_policy::{SlotCandidate, SlotChoice, SlotStep};
use chicory_ranges::ServerIncarnation;
use chicory_types::{MonoTime, ServiceName};
use rand::RngExt;

use super::gateway_choice::{CROSS_ZONE_COST_FACTOR, Choice};
use super::gateway_notices::Denial;
use super::known_load::KnownLoad;
use super::service_part::ServicePart;
use super::{
    AttemptOutcome, Gateway, LoadNotice, Policy, RequestTicket, ServerNotices, ShareCounts,
};

/// Failure rate from which own slots at a server are not preferred.
const MAX_FAILURE_RATE: f64 = 0.3;
/// Factor on the cost of a server whose requests all fail, in addition to 1, as in
/// [`ServerHealth::cost`](super::server_health::ServerHealth::cost).
const FAILURE_COST_FACTOR: f64 = 6.0;
/// Ratio of a server's latency to the one expected by its speed from which it counts as slower than
/// the leader says. Most of the usual spread of averages is below it.
const SLOW_RATIO: f64 = 2.0;
/// Greatest part of the time until the deadline for which a request waits for an own slot.
const MAX_WAIT_FRACTION: f64 = 0.125;

impl Gateway {
    /// Records the parts of servers' slots that the leader sends.
    pub fn record_server_shares(&mut self, now: MonoTime, services: Vec<ServiceShares>) {
        self.shares.replace(now, services);
    }

    /// Returns the time since shares were last received.
    #[must_use]
    pub fn shares_age(&self, now: MonoTime) -> Option<Duration> {
        let received_at = self.shares.received_at()?;
        Some(now.saturating_sub(received_at))
    }

    /// Returns the counts since the previous call.
    pub fn take_share_counts(&mut self) -> ShareCounts {
        std::mem::take(&mut self.shares.counts)
    }

    /// Returns the processor cores that this entry VM may use, if they are known.
    #[must_use]
    pub fn cpu_share(&self) -> Option<f64> {
        self.config.cpu_share
    }

    /// Whether a request may wait for a slot that has just become free.
    #[must_use]
    pub fn has_awaited_slots(&self, now: MonoTime) -> bool {
        self.shares.has_awaited(now)
    }

    /// Records the load that a server states in an answer.
    pub fn record_load(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        notices: &ServerNotices,
    ) {
        let LoadNotice::Stated(stated) = notices.load else {
            return;
        };
        let Some(record) = self.directory.server(incarnation) else {
            return;
        };
        let health = self.health.entry(incarnation.clone()).or_default();
        health.load = Some(KnownLoad {
            stated: Some(stated),
            at: now,
            // The request that is being answered has left the server.
            own_in_flight: health.in_flight.saturating_sub(1),
            was_rejected: false,
        });
        if let Some(part) = self.shares.part_mut(&record.service) {
            part.record_load(stated.total() >= record.slots);
        }
    }

    /// Records the end of an attempt for the choice by shares. A server that rejects a request is
    /// full, whatever it states.
    pub(super) fn record_end_for_shares(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        incarnation: &ServerIncarnation,
        (outcome, took): (AttemptOutcome, Duration),
    ) {
        let Some(part) = self.shares.part_mut(service) else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Silent => part.record_answer(took),
            AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected => {
                self.shares.counts.rejected += 1;
                if let Some(health) = self.health.get_mut(incarnation) {
                    health.load = Some(KnownLoad {
                        stated: health.load.and_then(|load| load.stated),
                        at: now,
                        own_in_flight: health.in_flight,
                        was_rejected: true,
                    });
                }
            }
            _ => {}
        }
    }

    /// Returns the part of a service's slots by which its servers are chosen, if the leader has
    /// sent one.
    pub(super) fn service_part(&self, service: &str) -> Option<&ServicePart> {
        let part = self.shares.part(service)?;
        self.config.is_enabled(Policy::Shares).then_some(part)
    }

    /// Counts a request that is sent to a server of a service whose slots are divided.
    pub(super) fn count_for_shares(&mut self, service: &str, is_own_slot: bool) {
        if self.service_part(service).is_none() {
            return;
        }
        let counts = &mut self.shares.counts;
        if is_own_slot {
            counts.within += 1;
        } else {
            counts.beyond += 1;
        }
    }

    /// Chooses among the servers that are not excluded and need not be avoided. Returns
    /// [`Choice::None`] if there are none.
    pub(super) fn choose_by_shares(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        denials: &BTreeMap<ServerIncarnation, Option<Denial>>,
    ) -> Choice {
        let rank = ticket.route.route.rank();
        let Some(part) = self.shares.part(&ticket.service) else {
            return Choice::None;
        };
        let is_large = ticket.route.route.kind.is_large();
        let prefers_zone = is_large && self.config.is_enabled(Policy::OwnZone);
        let prefers_cold = self.warm_room.is_used_up(&ticket.service);
        let mut choice = SlotChoice::default();
        for record in self.directory.ready_servers(&ticket.service) {
            if self.is_excluded(ticket, record, denials) {
                continue;
            }
            if ticket.prefers(&record.incarnation) {
                return Choice::Server(record.clone());
            }
            if self.is_cold(now, record) {
                // The choice by cost knows when cold servers go first.
                if prefers_cold {
                    return Choice::None;
                }
                continue;
            }
            if self.is_avoided(now, record, rank) {
                continue;
            }
            let mut candidate = self.slot_candidate(now, part, record);
            if prefers_zone && record.zone != self.config.zone {
                candidate.speed /= CROSS_ZONE_COST_FACTOR;
            }
            let randoms = [(); 2].map(|()| self.rng.random_range(0.0..1.0));
            choice.consider(record, &candidate, randoms);
        }
        let longest_wait = SlotChoice::<()>::longest_wait(part.request_time());
        let time_left = ticket.deadline.saturating_sub(ticket.arrived_at);
        let wait_until = ticket.arrived_at + longest_wait.min(time_left.mul_f64(MAX_WAIT_FRACTION));
        let may_wait = ticket.attempts.is_empty() && now < wait_until;
        match choice.step() {
            None => Choice::None,
            Some(SlotStep::AwaitOwn(record)) if may_wait => {
                Choice::Wait(record.clone(), wait_until)
            }
            Some(SlotStep::Own(record)) => Choice::OwnSlot(record.clone()),
            Some(SlotStep::Beyond(record) | SlotStep::AwaitOwn(record)) => {
                Choice::Server(record.clone())
            }
        }
    }

    /// Returns what is known of a server. This entry VM's own answers count more than what the
    /// server states and the leader estimates.
    fn slot_candidate(
        &self,
        now: MonoTime,
        part: &ServicePart,
        record: &ServerRecord,
    ) -> SlotCandidate {
        let (own_slots, speed) = part.slots_and_speed(&record.incarnation);
        let mut candidate = SlotCandidate {
            own_slots,
            slots: record.slots,
            in_flight: 0,
            speed,
            full_probability: part.full_share,
        };
        let Some(health) = self.health.get(&record.incarnation) else {
            return candidate;
        };
        candidate.in_flight = health.in_flight;
        let request_time = part.request_time();
        if let Some(load) = health.load {
            // A long queue would show in latencies.
            let is_contradicted =
                load.has_long_queue(record.slots) && !load.was_rejected && !health.is_congested();
            if !is_contradicted {
                let counts = (health.in_flight, record.slots);
                candidate.full_probability = load.occupancy(record.slots).full_probability(
                    now,
                    counts,
                    request_time,
                    part.full_share,
                );
            }
        }
        if let Some(latency) = health.latency() {
            let expected = request_time.as_secs_f64() / speed;
            let slowness = latency.as_secs_f64() / (SLOW_RATIO * expected).max(f64::MIN_POSITIVE);
            candidate.speed /= slowness.max(1.0);
        }
        let failure_rate = health.failure_rate();
        candidate.speed /= 1.0 + FAILURE_COST_FACTOR * failure_rate;
        if failure_rate > MAX_FAILURE_RATE {
            candidate.own_slots = 0.0;
        }
        candidate
    }
}

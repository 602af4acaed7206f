//! Handles what shows whether this entry VM's own path to backend servers is cut.

use std::time::Duration;

use chicory_directory::{ServerRecord, ServerState};
use chicory_ranges::ServerIncarnation;
use chicory_routes::Route;
use chicory_types::MonoTime;

use super::path_failure::PathFailure;
use super::server_group::ServerGroup;
use super::{AttemptOutcome, Gateway, Policy, ProbeResult, ReachabilityChange, RequestTicket};

impl Gateway {
    /// Returns the servers that have to be probed now, to find out if they answer on a new
    /// connection; [`record_probe`](Self::record_probe) records the result. There are none
    /// while nothing hints at a cut. At most one is returned each 100 ms;
    /// [`next_probe_at`](Self::next_probe_at) tells when to call this again.
    ///
    /// A probe succeeds if a new connection opens within the
    /// [`probe_timeout`](Self::probe_timeout), and the server answers on it.
    pub fn take_probes(&mut self, now: MonoTime) -> Vec<ServerRecord> {
        if !self.config.is_enabled(Policy::Relay) {
            return Vec::new();
        }
        let probe = self
            .reachability
            .take_probe(now, &self.directory, &mut self.rng);
        probe.into_iter().collect()
    }

    /// Returns when [`take_probes`](Self::take_probes) may next return a server if no attempt and no
    /// probe ends until then; `None` if nothing hints at a cut.
    #[must_use]
    pub fn next_probe_at(&self, now: MonoTime) -> Option<MonoTime> {
        if !self.config.is_enabled(Policy::Relay) {
            return None;
        }
        self.reachability.next_probe_at(now)
    }

    /// Returns the time limit for opening the connection of a probe, and again for its answer.
    pub fn probe_timeout(&mut self, now: MonoTime) -> Duration {
        self.connect_delay.probe_timeout(now)
    }

    /// Records how long a new connection to a server took to open.
    pub fn record_connect_time(&mut self, now: MonoTime, took: Duration) {
        self.connect_delay.record(now, took);
    }

    /// Records how a server that had to be probed answered on a new connection.
    pub fn record_probe(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        result: ProbeResult,
    ) {
        let was_in_progress = self.reachability.record_probe_end(incarnation);
        let Some(record) = self.directory.server(incarnation).cloned() else {
            return;
        };
        if !was_in_progress {
            return;
        }
        if result != ProbeResult::Answered {
            let failure = PathFailure {
                is_refused: result == ProbeResult::Refused,
                is_probe: true,
            };
            self.reachability
                .record_failure(now, &record, &self.directory, failure);
            self.discard_suspects_behind_cuts();
            return;
        }
        if let Some(zone) = self.zones.get_mut(&record.zone) {
            zone.record_contact();
        }
        self.unreachable.record_usable(incarnation);
        let restored = self.reachability.record_open(now, &record, &self.directory);
        for group in restored {
            self.record_restored_group(&group);
        }
    }

    /// Makes the servers of a group usable at once: they were not at fault.
    fn record_restored_group(&mut self, group: &ServerGroup) {
        let servers = self.directory.servers();
        for record in servers.filter(|record| group.contains(record)) {
            if let Some(zone) = self.zones.get_mut(&record.zone) {
                zone.record_contact();
            }
            self.unreachable.record_usable(&record.incarnation);
            if let Some(health) = self.health.get_mut(&record.incarnation) {
                health.end_pause();
            }
        }
    }

    /// Records that part of an answer was received from a server: the path to it carries bytes, however
    /// long the rest takes.
    pub fn record_progress(&mut self, now: MonoTime, incarnation: &ServerIncarnation) {
        if let Some(record) = self.directory.server(incarnation) {
            self.reachability.record_answer(now, record);
        }
    }

    /// Returns for which servers this entry VM's own path was found to be cut or to be usable again
    /// since the previous call.
    pub fn take_reachability_changes(&mut self) -> Vec<ReachabilityChange> {
        self.reachability.take_changes()
    }

    /// Whether this entry VM can relay requests of others: it reaches most servers and is not about
    /// to stop.
    #[must_use]
    pub fn can_relay(&self, now: MonoTime) -> bool {
        if self.stops_at.is_some()
            || self.reachability.is_all_suspected(now)
            || !self.config.is_enabled(Policy::Relay)
        {
            return false;
        }
        let servers = self.directory.servers();
        let evacuations = self.directory.evacuations();
        let ready = servers.filter(|record| {
            record.state == ServerState::Ready && !evacuations.contains(&record.zone)
        });
        let (cut, reached): (Vec<_>, Vec<_>) =
            ready.partition(|record| self.reachability.is_cut(record));
        !reached.is_empty() && cut.len() <= reached.len()
    }

    /// Whether this entry VM can relay requests of others to a server: the path to it isn't cut.
    #[must_use]
    pub fn can_relay_to(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let record = self.directory.server(incarnation);
        self.can_relay(now) && !record.is_some_and(|record| self.reachability.is_cut(record))
    }

    /// Records that this entry VM is about to stop, and when it answers requests that still wait.
    pub fn set_stopping(&mut self, stops_at: MonoTime) {
        self.stops_at = Some(stops_at);
    }

    /// Whether a request that is sent now may still run when this entry VM stops.
    #[must_use]
    pub fn outlasts_stop(&self, now: MonoTime, ticket: &RequestTicket) -> bool {
        self.route_outlasts_stop(now, &ticket.route.route, ticket.deadline)
    }

    /// Whether a request on this route that is sent now may still run when this entry VM stops. It
    /// takes up to twice the latency target of the route. Without a target, an order may take all of
    /// its time, and nothing is known of a request that may be repeated.
    #[must_use]
    pub fn route_outlasts_stop(&self, now: MonoTime, route: &Route, deadline: MonoTime) -> bool {
        let Some(stops_at) = self.stops_at else {
            return false;
        };
        match route.latency_target {
            Some(target) => stops_at < deadline.min(now + target * 2),
            None => !route.kind.is_repeatable() && stops_at < deadline,
        }
    }

    pub(super) fn is_zone_cut_off(&self, now: MonoTime, record: &ServerRecord) -> bool {
        let reachability = self.zones.get(&record.zone);
        reachability.is_some_and(|reachability| reachability.is_cut_off(now))
    }

    /// Whether no connection to a server could be opened, and it is too early to try again.
    pub(super) fn is_unreachable(&mut self, now: MonoTime, record: &ServerRecord) -> bool {
        self.config.is_enabled(Policy::Outages)
            && !self.unreachable.try_start_probe(now, &record.incarnation)
    }

    /// Whether an attempt may have failed because this entry VM's own path to its server is cut,
    /// rather than because the server has ended.
    pub(super) fn may_be_path_fault(
        &self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) -> bool {
        let record = self.directory.server(incarnation);
        matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::Refused)
            && record.is_some_and(|record| self.reachability.is_suspected(now, record))
    }

    /// Discards what makes requests look as if they crashed their server, if the path to the server
    /// is cut: it broke and refused connections just the same.
    fn discard_suspects_behind_cuts(&mut self) {
        let (directory, reachability) = (&self.directory, &self.reachability);
        self.crashes.discard(|incarnation| {
            let record = directory.server(incarnation);
            record.is_some_and(|record| reachability.is_cut(record))
        });
    }

    /// Records what the end of an attempt that was sent directly shows about the path to its
    /// server.
    pub(super) fn record_reachability(
        &mut self,
        now: MonoTime,
        incarnation: &ServerIncarnation,
        outcome: AttemptOutcome,
    ) {
        self.reachability.silence().record_end();
        let Some(record) = self.directory.server(incarnation) else {
            return;
        };
        // A request that was held back just before it was sent shows nothing about the path.
        if outcome == AttemptOutcome::Unreachable && self.is_evacuated(now, record) {
            return;
        }
        let zone = self.zones.entry(record.zone.clone()).or_default();
        match outcome {
            // While the network is cut, new connections may be answered with resets.
            AttemptOutcome::Unreachable | AttemptOutcome::Refused => {
                zone.record_failed_connection(now);
                self.unreachable.record_unusable(now, incarnation);
                let failure = PathFailure {
                    is_refused: outcome == AttemptOutcome::Refused,
                    is_probe: false,
                };
                self.reachability
                    .record_failure(now, record, &self.directory, failure);
                self.discard_suspects_behind_cuts();
            }
            AttemptOutcome::ConnectionRejected => {
                zone.record_contact();
                self.unreachable.record_usable(incarnation);
                self.reachability.silence().record_unanswered();
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::WrongServer
            | AttemptOutcome::OtherServer
            | AttemptOutcome::Garbled => {
                zone.record_contact();
                self.unreachable.record_usable(incarnation);
                self.reachability.record_answer(now, record);
            }
            AttemptOutcome::Broken | AttemptOutcome::Silent => {
                self.reachability.silence().record_unanswered();
            }
            AttemptOutcome::Withheld
            | AttemptOutcome::RelayUnavailable
            | AttemptOutcome::RefusedByRelay
            | AttemptOutcome::UnreachableFromRelay
            | AttemptOutcome::RelayBroken
            | AttemptOutcome::Cancelled => {}
        }
    }
}

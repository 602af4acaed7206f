//! Backend servers that bear few requests because they started a short time ago.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_directory::{CommandOutcome, ServerRecord, SiteCommand};
use chicory_policy::{ColdAllowance, PermitLimit};
use chicory_ranges::{KeyRange, KeyWeights, PlannedServer, ServerIncarnation};
use chicory_types::MonoTime;

use super::cold_capacities::{ColdCapacities, ColdLimit};
use super::cold_periods::ColdPeriods;
use super::note_budget::NoteBudget;
use super::{SiteCore, SiteNote};

/// Time that a request is assumed to take until entry VMs report how long requests take.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(200);

/// What this member knows of cold servers beside the log.
#[derive(Debug, Default)]
pub(super) struct ColdServers {
    pub(super) periods: ColdPeriods,
    capacities: ColdCapacities,
    notes: NoteBudget,
}

impl ColdServers {
    /// Forgets what only a leader uses.
    pub(super) fn clear_leader_state(&mut self) {
        self.capacities = ColdCapacities::default();
    }

    /// Removes what no longer counts.
    pub(super) fn remove_expired(
        &mut self,
        now: MonoTime,
        is_known: impl Fn(&ServerIncarnation) -> bool,
    ) {
        self.periods.remove_expired(now, &is_known);
        self.capacities.remove_expired(now, is_known);
    }
}

impl SiteCore {
    /// Returns the number of servers that are cold according to the applied state.
    #[must_use]
    pub fn cold_count(&self) -> usize {
        let servers = self.state.servers();
        let is_cold = |record: &&ServerRecord| {
            !record.cold_for.is_zero() && self.state.has_cold_limit(&record.service)
        };
        servers.filter(is_cold).count()
    }

    /// Returns whether an announcement that differs from the known record in nothing but the cold
    /// time has to be committed.
    pub(super) fn is_cold_change(&mut self, now: MonoTime, announced: &ServerRecord) -> bool {
        let state = &self.state;
        let Some(known) = state.server(&announced.incarnation.server) else {
            return false;
        };
        state.has_cold_limit(&known.service) && self.cold.periods.is_change(now, known, announced)
    }

    /// Returns the record to propose for an announcement.
    pub(super) fn proposed_record(&self, now: MonoTime, announced: ServerRecord) -> ServerRecord {
        let known = self.state.server(&announced.incarnation.server);
        let periods = &self.cold.periods;
        periods.without_early_warmth(now, known, announced)
    }

    /// Records what an applied command says about cold servers. `was_cold` tells whether the server
    /// of the command was cold before.
    pub(super) fn record_cold_outcome(
        &mut self,
        now: MonoTime,
        command: &SiteCommand,
        outcome: &CommandOutcome,
        was_cold: bool,
    ) {
        match (command, outcome) {
            (
                SiteCommand::PutServer(record),
                CommandOutcome::ServerChanged { .. } | CommandOutcome::ColdTimeChanged,
            ) => {
                let incarnation = record.incarnation.clone();
                if let Some(record) = self.state.server(&incarnation.server) {
                    self.cold.periods.record_applied(now, record);
                }
                self.note_cold_change(now, incarnation, was_cold);
            }
            (_, CommandOutcome::EvacuationFinished(zone)) => {
                self.cold.periods.hold_zone(now, zone.clone());
                let servers = self.state.servers();
                for record in servers.filter(|record| record.zone == *zone) {
                    self.cold.periods.record_applied(now, record);
                }
            }
            _ => {}
        }
    }

    fn note_cold_change(
        &mut self,
        now: MonoTime,
        server_incarnation: ServerIncarnation,
        was_cold: bool,
    ) {
        let is_cold = self.state.cold_rate_per_s(&server_incarnation).is_some();
        if is_cold != was_cold
            && let Some(suppressed) = self.cold.notes.take(now)
        {
            self.push_note(SiteNote::ServerColdChanged {
                server_incarnation,
                is_cold,
                suppressed,
            });
        }
    }

    /// Limits the capacities of cold servers of a service. Returns the servers that may get keys
    /// although no other one is overloaded, because they were cold until a short time ago.
    pub(super) fn limit_cold_servers(
        &mut self,
        now: MonoTime,
        servers: &mut [PlannedServer],
        owners: &[(KeyRange, ServerIncarnation)],
        weights: &KeyWeights,
    ) -> std::collections::BTreeSet<ServerIncarnation> {
        let incarnations: Vec<ServerIncarnation> = servers
            .iter()
            .map(|server| server.incarnation.clone())
            .collect();
        let request_time = self.speeds.median_request_time(&incarnations);
        let request_time = request_time.unwrap_or(DEFAULT_REQUEST_TIME);
        let state = &self.state;
        let limits: BTreeMap<ServerIncarnation, ColdLimit> = incarnations
            .into_iter()
            .filter_map(|incarnation| {
                let rate_per_s = state.cold_rate_per_s(&incarnation)?;
                let cold_for = state.server(&incarnation.server)?.cold_for;
                let limit = ColdLimit {
                    capacity: rate_per_s * request_time.as_secs_f64(),
                    cold_for,
                };
                Some((incarnation, limit))
            })
            .collect();
        let capacities = &mut self.cold.capacities;
        capacities.limit(now, servers, &limits, owners, weights);
        capacities.growing(now)
    }
}

/// Returns the limit by which permits for a cold server are issued.
pub(super) fn cold_permit_limit(
    state: &chicory_directory::SiteState,
    allowance: ColdAllowance,
    incarnation: &ServerIncarnation,
) -> Option<PermitLimit> {
    let rate_per_s = state.cold_rate_per_s(incarnation)?;
    Some(allowance.permit_limit(rate_per_s))
}

/// Returns the server that a command is about, if it announces one.
pub(super) fn announced_server(command: &SiteCommand) -> Option<&ServerIncarnation> {
    match command {
        SiteCommand::PutServer(record) => Some(&record.incarnation),
        _ => None,
    }
}

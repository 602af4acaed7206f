//! Work that only a leader does: granting keys, planning their owners, and
//! removing unresponsive servers.

use std::collections::BTreeMap;

use chicory_consensus::Replica;
use chicory_directory::{RemovalCause, ServerRecord, ServerRemoval, ServerState, SiteCommand};
use chicory_policy::Rests;
use chicory_ranges::{
    CALL_TIMEOUT, CallId, CallOutcome, GrantCoordinator, GrantEffect, GrantEvent, KeyRange,
    KeyWeights, PlannedServer, RangePlanner, ServerIncarnation, Transfer,
};
use chicory_types::{MonoTime, ServiceName};

use super::site_config::{
    BALANCING_INTERVAL, MAX_SETTLING_TIME, MIN_REST_TO_RELIEVE, MIN_SERVERS_PER_RELIEVED,
    OWNER_TIMEOUT, RATE_OF_RESTING_PER_S, RELIEF_DELAY, SERVER_REMOVAL_TIMEOUT, SETTLING_TIME,
};
use super::site_core::{Proposal, RunningGrantCall};
use super::{GrantRequest, SiteCore, SiteEffect, SiteNote};

/// The servers of a service that may own keys, and those among them that rest or have rested.
#[derive(Default)]
struct ServiceRests {
    ready_count: usize,
    resting_count: usize,
    /// Servers that rest for longer than a move of their keys takes.
    to_relieve: Vec<ServerIncarnation>,
}

impl SiteCore {
    /// Creates the leader's state once this member acts as leader, and clears it once this member
    /// no longer leads. A leader whose lease has expired keeps the state.
    pub(super) fn update_leader_state(&mut self, now: MonoTime) {
        let is_leading = self.is_leading(now);
        if is_leading == self.mover.is_some() {
            return;
        }
        if !is_leading {
            if !self.replica.as_ref().is_some_and(Replica::is_leader) {
                self.clear_leader_state();
            }
            return;
        }
        let version = self.state.version();
        self.push_note(SiteNote::ActingAsLeader { version });
        let registry = self.state.registry();
        // Entries of the log that were applied just now tell of former announcements.
        self.grant_events.clear();
        self.mover = Some(GrantCoordinator::new(
            self.config.grants.clone(),
            now,
            registry,
        ));
        for record in self.state.servers() {
            self.addresses
                .insert(record.incarnation.clone(), record.address);
            self.announced_at.insert(record.incarnation.clone(), now);
        }
        self.plan_at = now;
        self.balance_at = now + BALANCING_INTERVAL;
    }

    pub(super) fn clear_leader_state(&mut self) {
        self.mover = None;
        self.address_claims.clear();
        self.running_grant_calls.clear();
        self.new_server_times.clear();
        self.loads.clear();
        self.leaving.clear();
        self.rests = Rests::default();
        self.limits.clear();
        self.shared_slots.clear();
        self.divided_services.clear();
        self.planned_rates.clear();
        self.cold.clear_leader_state();
        self.admissions.clear();
        self.grant_events.clear();
    }

    pub(super) fn on_grant_call_ended(&mut self, call: CallId, outcome: CallOutcome) {
        let Some(running) = self.running_grant_calls.remove(&call) else {
            return;
        };
        if !matches!(outcome, CallOutcome::Done { .. }) {
            self.push_note(SiteNote::GrantCallFailed {
                server_incarnation: running.server_incarnation.clone(),
                content: running.content,
                outcome: outcome.clone(),
            });
        }
        let event = GrantEvent::CallEnded { call, outcome };
        self.grant_events.push_back(event);
    }

    pub(super) fn run_grant_events(&mut self, now: MonoTime) {
        while !self.grant_events.is_empty() {
            let events = std::mem::take(&mut self.grant_events);
            let Some(mover) = &mut self.mover else { return };
            for effect in mover.reduce_all(now, events, self.state.registry()) {
                self.handle_grant_effect(now, effect);
            }
        }
    }

    fn handle_grant_effect(&mut self, now: MonoTime, effect: GrantEffect) {
        match effect {
            GrantEffect::Propose(change) => {
                let proposal = Proposal::Move {
                    service: change.service.clone(),
                    first: change.range.first,
                    is_to_same_owner: change.from.as_ref() == Some(&change.to),
                };
                self.propose(now, proposal, SiteCommand::MoveRange(change));
            }
            GrantEffect::Call {
                call,
                to,
                content,
                link,
                ..
            } => {
                let address = self.addresses.get(&to).copied();
                let is_leading = self.is_leading(now);
                let Some(address) = address.filter(|_| is_leading) else {
                    let outcome = CallOutcome::Unreachable;
                    let event = GrantEvent::CallEnded { call, outcome };
                    self.grant_events.push_back(event);
                    return;
                };
                let running = RunningGrantCall {
                    server_incarnation: to.clone(),
                    content: content.clone(),
                };
                self.running_grant_calls.insert(call, running);
                self.effects.push(SiteEffect::Grant(GrantRequest {
                    call,
                    incarnation: to,
                    address,
                    content,
                    link,
                    send_before: now + CALL_TIMEOUT,
                }));
            }
        }
    }

    /// Runs a leader's regular maintenance.
    pub(super) fn run_maintenance(&mut self, now: MonoTime) {
        self.remove_unresponsive_servers(now);
        let state = &self.state;
        self.speeds
            .retain(|incarnation| state.server(&incarnation.server).is_some());
        let is_known = |incarnation: &ServerIncarnation| {
            let record = state.server(&incarnation.server);
            record.is_some_and(|record| record.incarnation == *incarnation)
        };
        self.leaving.retain(|incarnation| is_known(incarnation));
        self.limits.remove_expired(now, is_known);
        self.rests.retain(now, is_known);
        self.cold.remove_expired(now, is_known);
        let resting = self.resting_servers_to_relieve(now);
        let resting = resting
            .into_iter()
            .map(|incarnation| (incarnation, RATE_OF_RESTING_PER_S));
        let rates = self.limits.in_force().chain(resting);
        self.planned_rates.update(now, rates);
        for load in self.loads.values_mut() {
            load.decay(now);
        }
        let has_open_moves = self.proposals.values().any(|proposal| {
            matches!(
                proposal,
                Proposal::Move {
                    is_to_same_owner: false,
                    ..
                }
            )
        });
        if has_open_moves && !self.evacuations.is_any_pending() {
            return;
        }
        let may_balance = now >= self.balance_at && !has_open_moves;
        if may_balance {
            self.balance_at = now + BALANCING_INTERVAL;
        }
        let routes = self.state.routes().clone();
        let keyed = routes.services.iter().filter(|s| s.is_keyed == Some(true));
        for service in keyed {
            self.plan_service(now, &service.name, may_balance, has_open_moves);
        }
    }

    /// Returns the resting servers whose keys other servers should serve meanwhile: those that rest
    /// for longer than a move takes or have gone on resting for that long, of services whose other servers can bear that.
    fn resting_servers_to_relieve(&self, now: MonoTime) -> Vec<ServerIncarnation> {
        let mut services: BTreeMap<&ServiceName, ServiceRests> = BTreeMap::new();
        for record in self.state.servers() {
            if !self.may_own(now, record) {
                continue;
            }
            let service = services.entry(&record.service).or_default();
            service.ready_count += 1;
            // A server that has just stopped resting may be about to ask again.
            if self.rests.has_rested_recently(&record.incarnation) {
                service.resting_count += 1;
            }
            let Some(rest) = self.rests.rest(now, &record.incarnation) else {
                continue;
            };
            let is_long =
                rest.until >= now + MIN_REST_TO_RELIEVE || now >= rest.since + MIN_REST_TO_RELIEVE;
            if is_long && now >= rest.since + RELIEF_DELAY {
                service.to_relieve.push(record.incarnation.clone());
            }
        }
        let bearable = services.into_values().filter(|service| {
            service.resting_count * MIN_SERVERS_PER_RELIEVED <= service.ready_count
        });
        bearable.flat_map(|service| service.to_relieve).collect()
    }

    /// Plans the owners of a service's keys. While other moves are open, only keys of evacuated zones
    /// are moved: their moves don't wait for those that were planned before, and hundreds of moves
    /// under way would hardly leave a moment without an open one.
    fn plan_service(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        may_balance: bool,
        has_open_moves: bool,
    ) {
        let Some(mover) = &self.mover else { return };
        let is_new = self.state.registry().ranges(service).next().is_none();
        if is_new && !self.has_settled(now, service) {
            return;
        }
        let mut servers = self.eligible_servers(now, service);
        let load = self.loads.get(service);
        let weights = load.map_or_else(KeyWeights::even, chicory_ranges::KeyLoad::weights);
        let owners = self.expected_owners(mover, service);
        let pending_count = mover.pending_transfers(service).count();
        let growing = self.limit_cold_servers(now, &mut servers, &owners, &weights);
        let planner = RangePlanner::new(service.clone(), servers, weights).with_growing(growing);
        let may_balance = may_balance && pending_count < planner.max_pending_transfers();
        let transfers = planner.plan(&owners);
        for transfer in transfers {
            let is_due = if has_open_moves {
                self.is_from_evacuated_zone(&transfer)
            } else {
                may_balance || self.is_needed(now, &transfer)
            };
            if is_due {
                self.grant_events.push_back(GrantEvent::Transfer(transfer));
            }
        }
    }

    /// Whether a transfer is needed regardless of load: the keys have no owner, or their owner may
    /// not own keys.
    fn is_needed(&self, now: MonoTime, transfer: &Transfer) -> bool {
        let Some(from) = &transfer.from else {
            return true;
        };
        let known = self.state.server(&from.server);
        known.is_none_or(|record| record.incarnation != *from || !self.may_own(now, record))
    }

    /// Whether all of the first servers of a service have had time to announce themselves.
    fn has_settled(&self, now: MonoTime, service: &ServiceName) -> bool {
        let Some((first, latest)) = self.new_server_times.get(service) else {
            return self
                .state
                .servers()
                .any(|record| record.service == *service);
        };
        now >= *latest + SETTLING_TIME || now >= *first + MAX_SETTLING_TIME
    }

    fn eligible_servers(&self, now: MonoTime, service: &ServiceName) -> Vec<PlannedServer> {
        let servers = self.state.servers();
        let (incarnations, slots): (Vec<ServerIncarnation>, Vec<u32>) = servers
            .filter(|record| record.service == *service && self.may_own(now, record))
            .map(|record| (record.incarnation.clone(), record.slots.max(1)))
            .unzip();
        let speeds = self.speeds.relative(&incarnations);
        let request_time = self.speeds.median_request_time(&incarnations);
        let servers = incarnations.into_iter().zip(slots).zip(speeds);
        servers
            .map(|((incarnation, slots), speed)| {
                let capacity = f64::from(slots) * speed;
                let limit = self.planned_rates.rate_per_s(&incarnation);
                // By Little's law, requests at the rate limit keep this many slots busy.
                let limit = limit.zip(request_time);
                let limit = limit.map(|(rate_per_s, time)| rate_per_s * time.as_secs_f64());
                PlannedServer {
                    incarnation,
                    capacity: limit.map_or(capacity, |limit| capacity.min(limit)),
                }
            })
            .collect()
    }

    pub(super) fn may_own(&self, now: MonoTime, record: &ServerRecord) -> bool {
        record.state == ServerState::Ready
            && !self.leaving.contains(&record.incarnation)
            && !self.is_evacuated(record)
            && !self.is_unresponsive(now, &record.incarnation)
    }

    /// Whether a server does not announce itself, and all grants that it had have expired.
    fn is_unresponsive(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let announced_at = self.announced_at.get(incarnation);
        let is_overdue = announced_at.is_none_or(|at| now > *at + OWNER_TIMEOUT);
        let mover = self.mover.as_ref();
        is_overdue && !mover.is_some_and(|mover| mover.may_hold(now, incarnation))
    }

    /// Returns the owners of a service's keys as they are after all pending transfers.
    fn expected_owners(
        &self,
        mover: &GrantCoordinator,
        service: &ServiceName,
    ) -> Vec<(KeyRange, ServerIncarnation)> {
        let pending: Vec<_> = mover.pending_transfers(service).collect();
        let mut owners = Vec::new();
        for owned in self.state.registry().ranges(service) {
            let mut rest = vec![owned.range];
            for (range, to) in pending.iter().filter(|(r, _)| owned.range.covers(*r)) {
                rest = rest
                    .iter()
                    .flat_map(|part| part.without(*range))
                    .flatten()
                    .collect();
                owners.push((*range, (*to).clone()));
            }
            owners.extend(rest.into_iter().map(|part| (part, owned.owner.clone())));
        }
        owners
    }

    fn remove_unresponsive_servers(&mut self, now: MonoTime) {
        let servers = self.state.servers();
        let unresponsive = servers.filter(|record| {
            let announced_at = self.announced_at.get(&record.incarnation);
            announced_at.is_none_or(|at| now > *at + SERVER_REMOVAL_TIMEOUT)
        });
        for incarnation in unresponsive
            .map(|record| record.incarnation.clone())
            .collect::<Vec<_>>()
        {
            self.push_note(SiteNote::ServerUnresponsive {
                server_incarnation: incarnation.clone(),
            });
            self.announced_at.insert(incarnation.clone(), now);
            let cause = RemovalCause::Silent;
            let command = SiteCommand::RemoveServer(ServerRemoval { incarnation, cause });
            self.propose(now, Proposal::Maintenance, command);
        }
    }
}

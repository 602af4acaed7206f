//! Which backend server a request goes to, and what follows from each attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_directory::{
    DirectoryUpdate, EntryReport, KeyCount, MovesChange, MovingRange, RequestFingerprint,
    ServerLoad, ServerRecord,
};
use chicory_policy::Outages;
use chicory_ranges::{Fence, Key, OwnedRange, ServerIncarnation};
use chicory_types::{MonoTime, ServiceName, ZoneName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::crash_watch::CrashWatch;
use super::entry_count::EntryCount;
use super::request_ticket::Attempt;
use super::server_health::ServerHealth;
use super::table_lag::TableLag;
use super::zone_reach::ZoneReach;
use super::{
    AttemptOutcome, GatewayConfig, NextStep, Policy, Refusal, RefusalReason, RequestMetadata,
    RequestTicket, RetryBudget, Target,
};
use crate::{Directory, UpdateOutcome};

/// Time that a caller waits if it does not say how long.
pub(super) const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(30);
/// Part of the end that is kept for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Part of the time left that one attempt may take while another one could follow.
const ATTEMPT_PART: f64 = 0.65;
/// Longest wait for a key that changes hands: a release waits for running work.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(900);
/// Part of the time left that is spent on waiting for an owner at most.
const OWNER_WAIT_PART: f64 = 0.6;
/// Pause before a server that did not own a key yet is asked again.
pub(super) const GRANT_LAG: Duration = Duration::from_millis(50);
/// Tries at the owner of a key before the request is refused.
pub(super) const MAX_OWNER_TRIES: u32 = 3;
/// Time for which a draining server still gets requests for keys that it owns.
const DRAINING_GRACE: Duration = Duration::from_millis(1200);
/// Longest time for a connection to come about where another server could serve.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle connections older than this may have been forgotten by servers.
const MAX_IDLE: Duration = Duration::from_secs(6);
/// The same for orders, which can't be repeated when the connection turns out to be dead.
const MAX_IDLE_OF_ORDERS: Duration = Duration::from_secs(2);
/// Assumed time to an answer before there was one.
const TYPICAL_LATENCY: Duration = Duration::from_millis(200);
/// Time without contact to a majority of control VMs after which unknown routes are not denied.
const STALE_AFTER: Duration = Duration::from_millis(1500);
/// Cost of a large request or answer over the border of an availability zone, relative to one within:
/// these are what fills the links between zones.
const FAR_LARGE_COST: f64 = 1.8;

/// What an arriving request meets.
#[derive(Debug)]
pub enum Arrival {
    /// It is on its way; ask for the [`NextStep`].
    Accepted(RequestTicket),
    /// It is not served.
    Refused(Refusal),
}

/// Decides which backend server requests go to.
///
/// # Examples
///
/// ```
/// use chicory_gateway::{Arrival, RequestMetadata, Gateway, GatewayConfig};
/// use std::time::Duration;
///
/// let mut gateway = Gateway::new(GatewayConfig::default());
/// let arrival = gateway.arrive(Duration::ZERO, "host", "/a/", &RequestMetadata::default());
/// assert!(matches!(arrival, Arrival::Refused(_)));
/// ```
#[derive(Debug)]
pub struct Gateway {
    pub(super) config: GatewayConfig,
    pub(super) directory: Directory,
    pub(super) health: BTreeMap<ServerIncarnation, ServerHealth>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(super) entry_count: EntryCount,
    pub(super) poison: BTreeSet<RequestFingerprint>,
    moving: BTreeSet<MovingRange>,
    pub(super) in_contact_at: Option<MonoTime>,
    pub(super) table_lag: TableLag,
    key_counts: BTreeMap<(ServiceName, Key), u32>,
    pub(super) crashes: CrashWatch,
    pub(super) zones: BTreeMap<ZoneName, ZoneReach>,
    /// Keys without a usable owner, by service and fence.
    ownerless: Outages<(ServiceName, Fence)>,
    /// Servers to which no connection comes about.
    pub(super) unreachable: Outages<ServerIncarnation>,
    pub(super) rng: StdRng,
}

impl Gateway {
    /// Starts without a directory.
    #[must_use]
    pub fn new(config: GatewayConfig) -> Self {
        Self {
            rng: StdRng::seed_from_u64(config.random_seed),
            config,
            directory: Directory::default(),
            health: BTreeMap::new(),
            budgets: BTreeMap::new(),
            entry_count: EntryCount::default(),
            poison: BTreeSet::new(),
            moving: BTreeSet::new(),
            in_contact_at: None,
            table_lag: TableLag::default(),
            key_counts: BTreeMap::new(),
            crashes: CrashWatch::default(),
            zones: BTreeMap::new(),
            ownerless: Outages::default(),
            unreachable: Outages::default(),
        }
    }

    /// The directory.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes in a change of the directory.
    pub fn update(&mut self, now: MonoTime, update: DirectoryUpdate) -> UpdateOutcome {
        let outcome = self.directory.apply(now, update);
        let directory = &self.directory;
        let own_version = directory.routes().version;
        self.table_lag.note_own(now, own_version);
        self.health.retain(|incarnation, health| {
            health.in_flight > 0 || directory.server(incarnation).is_some()
        });
        self.unreachable
            .retain(|incarnation| directory.server(incarnation).is_some());
        self.ownerless.remove_expired(now);
        self.crashes
            .note_ended(|incarnation| directory.server(incarnation).is_some());
        outcome
    }

    /// Takes in that an update was lost: the next control VM is asked for everything.
    pub fn note_lost_update(&mut self) {
        self.directory.set_incomplete();
    }

    /// Takes in that other keys move than before: requests for these wait.
    pub fn note_moves(&mut self, change: MovesChange) {
        change.apply(&mut self.moving);
    }

    /// Takes in a request.
    pub fn arrive(
        &mut self,
        now: MonoTime,
        host: &str,
        path: &str,
        metadata: &RequestMetadata,
    ) -> Arrival {
        if !self.is_ready() {
            return self.refuse(metadata, RefusalReason::NoDirectory);
        }
        if self.table_lag.is_overdue(now) {
            return self.refuse(metadata, RefusalReason::RoutesBehind);
        }
        let Some(route) = self.directory.matcher().find(host, path).cloned() else {
            let is_stale = self.contact_age(now).is_none_or(|age| age > STALE_AFTER);
            let reason = if is_stale {
                RefusalReason::NoDirectory
            } else if self.table_lag.is_behind() {
                RefusalReason::RoutesBehind
            } else {
                RefusalReason::NoRoute
            };
            return self.refuse(metadata, reason);
        };
        let service = route.next_service().clone();
        let is_keyed = self.directory.is_keyed(&service);
        let key = metadata.key.filter(|_| is_keyed);
        if is_keyed && key.is_none() {
            return self.refuse(metadata, RefusalReason::NoKey);
        }
        if let Some(key) = key {
            *self.key_counts.entry((service.clone(), key)).or_default() += 1;
        }
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.note_request(now, self.config.retry_window);
        let time_left = metadata.time_left.unwrap_or(DEFAULT_TIME_LEFT);
        let timeout = route.route.timeout.unwrap_or(time_left);
        let ends_at = now + time_left.min(timeout).saturating_sub(ANSWER_MARGIN);
        Arrival::Accepted(RequestTicket {
            route,
            routes_version: self.directory.routes().version,
            service,
            key,
            arrived_at: now,
            ends_at,
            caller_ends_at: now + time_left,
            fingerprint: None,
            attempts: Vec::new(),
            may_have_run: false,
            waiting_since: None,
            not_before: now,
        })
    }

    fn refuse(&mut self, metadata: &RequestMetadata, reason: RefusalReason) -> Arrival {
        Arrival::Refused(self.refusal_at_arrival(metadata, reason))
    }

    /// What is to be done for a request now.
    pub fn next_step(&mut self, now: MonoTime, ticket: &mut RequestTicket) -> NextStep {
        if now >= ticket.ends_at {
            return NextStep::Refuse(self.late_refusal(now, ticket));
        }
        if ticket.fingerprint.is_some_and(|f| self.poison.contains(&f)) {
            let reason = RefusalReason::Poisoned;
            return NextStep::Refuse(self.refusal(now, ticket, reason));
        }
        if ticket.key.is_some() {
            return self.step_to_owner(now, ticket);
        }
        self.step_to_any(now, ticket)
    }

    fn step_to_owner(&mut self, now: MonoTime, ticket: &mut RequestTicket) -> NextStep {
        if now < ticket.not_before {
            return NextStep::Wait(ticket.not_before);
        }
        let key = ticket.key.unwrap_or_default();
        let entry = self.directory.owner(&ticket.service, key);
        let record = entry.and_then(|owned| self.directory.server(&owned.owner));
        let is_moving = entry.is_some_and(|owned| self.is_moving(&ticket.service, key, owned));
        let usable = record.filter(|record| !is_moving && self.may_take(now, record));
        let fence = entry.map_or(0, |owned| owned.fence);
        let part = (ticket.service.clone(), fence);
        let Some(record) = usable.cloned() else {
            return self.wait_for_owner(now, ticket, &part);
        };
        self.ownerless.record_usable(&part);
        if let Some(reason) = self.reason_to_hold_back(now, ticket, &record) {
            return NextStep::Refuse(self.refusal(now, ticket, reason));
        }
        self.send(now, ticket, &record)
    }

    /// Why a request is kept from the owner of its key, if it is.
    fn reason_to_hold_back(
        &mut self,
        now: MonoTime,
        ticket: &RequestTicket,
        record: &ServerRecord,
    ) -> Option<RefusalReason> {
        if ticket.attempts.is_empty() {
            let is_away = self.is_zone_closed(now, record) || self.is_unreachable(now, record);
            return is_away.then_some(RefusalReason::Unreachable);
        }
        let health = self.health.get(&record.incarnation);
        let is_paused = health.is_some_and(|health| health.is_paused(now));
        is_paused.then(|| ticket.reason_after_attempts())
    }

    fn is_zone_closed(&self, now: MonoTime, record: &ServerRecord) -> bool {
        let reach = self.zones.get(&record.zone);
        reach.is_some_and(|reach| reach.is_closed(now))
    }

    /// Whether no connection to a server came about, and it is too early to try again.
    fn is_unreachable(&mut self, now: MonoTime, record: &ServerRecord) -> bool {
        self.config.uses(Policy::Outages)
            && !self.unreachable.try_start_probe(now, &record.incarnation)
    }

    /// Whether the owner is giving the key up.
    fn is_moving(&self, service: &str, key: Key, owned: &OwnedRange) -> bool {
        let mut moving = self.moving.iter();
        moving.any(|moving| {
            moving.service == service && moving.range.contains(key) && moving.fence == owned.fence
        })
    }

    /// Whether a request that was meant for a server may still go there: connecting takes time, and
    /// the server may have begun to drain or have left meanwhile.
    #[must_use]
    pub fn may_still_send(&self, now: MonoTime, incarnation: &ServerIncarnation) -> bool {
        let record = self.directory.server(incarnation);
        record.is_some_and(|record| self.may_take(now, record))
    }

    fn may_take(&self, now: MonoTime, record: &ServerRecord) -> bool {
        if self
            .health
            .get(&record.incarnation)
            .is_some_and(|health| health.is_gone)
        {
            return false;
        }
        let draining_since = self.directory.draining_since(&record.incarnation);
        draining_since.is_none_or(|since| now < since + DRAINING_GRACE)
    }

    /// A key without a usable owner gets one soon, unless it has been without one for long.
    fn wait_for_owner(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        part: &(ServiceName, Fence),
    ) -> NextStep {
        let is_lasting = self.ownerless.record_unusable(now, part);
        if is_lasting && self.config.uses(Policy::Outages) {
            return NextStep::Refuse(self.refusal(now, ticket, RefusalReason::NoOwner));
        }
        let since = *ticket.waiting_since.get_or_insert(now);
        let left = ticket.ends_at.saturating_sub(since);
        let wait = left.mul_f64(OWNER_WAIT_PART).min(MAX_OWNER_WAIT);
        if now >= since + wait {
            let reason = RefusalReason::NoOwner;
            return NextStep::Refuse(self.refusal(now, ticket, reason));
        }
        NextStep::Wait(since + wait)
    }

    fn step_to_any(&mut self, now: MonoTime, ticket: &mut RequestTicket) -> NextStep {
        let Some(record) = self.choose(now, ticket) else {
            let reason = ticket.reason_after_attempts();
            return NextStep::Refuse(self.refusal(now, ticket, reason));
        };
        self.send(now, ticket, &record)
    }

    /// The server with the least expected cost; paused ones only if there is no other.
    fn choose(&mut self, now: MonoTime, ticket: &RequestTicket) -> Option<ServerRecord> {
        let tried: BTreeSet<&ServerIncarnation> =
            ticket.attempts.iter().map(|a| &a.incarnation).collect();
        let typical = self.typical_latency(&ticket.service);
        let mut best: Option<(bool, f64, ServerRecord)> = None;
        for record in self.directory.ready_servers(&ticket.service) {
            let health = self.health.get(&record.incarnation);
            if tried.contains(&record.incarnation) || health.is_some_and(|health| health.is_gone) {
                continue;
            }
            let is_paused = health.is_some_and(|health| health.is_paused(now))
                || self.is_zone_closed(now, record);
            let cost = health.map_or_else(
                || ServerHealth::default().cost(record.slots, typical),
                |health| health.cost(record.slots, typical),
            );
            let is_large = ticket.route.route.kind.is_large();
            let is_far = record.zone != self.config.zone;
            let cost = if is_large && is_far && self.config.uses(Policy::OwnZone) {
                cost * FAR_LARGE_COST
            } else {
                cost
            };
            // A little chance keeps entry VMs that know the same from choosing the same.
            let cost = cost * self.rng.random_range(0.9..1.1);
            let is_better = best
                .as_ref()
                .is_none_or(|(paused, least, _)| (is_paused, cost) < (*paused, *least));
            if is_better {
                best = Some((is_paused, cost, record.clone()));
            }
        }
        best.map(|(_, _, record)| record)
    }

    fn typical_latency(&self, service: &str) -> Duration {
        let servers = self.directory.ready_servers(service);
        let known = servers.filter_map(|record| self.health.get(&record.incarnation)?.latency());
        let (sum, count) = known.fold((Duration::ZERO, 0), |(sum, n), latency| {
            (sum + latency, n + 1)
        });
        if count == 0 {
            TYPICAL_LATENCY
        } else {
            sum / count
        }
    }

    fn send(
        &mut self,
        now: MonoTime,
        ticket: &mut RequestTicket,
        record: &ServerRecord,
    ) -> NextStep {
        if !ticket.attempts.is_empty() && !self.may_send_again(now, ticket) {
            let reason = RefusalReason::NoRetryLeft;
            return NextStep::Refuse(self.refusal(now, ticket, reason));
        }
        let is_order = !ticket.route.route.kind.is_repeatable();
        let health = self.health.entry(record.incarnation.clone()).or_default();
        health.in_flight += 1;
        if let Some(reach) = self.zones.get_mut(&record.zone) {
            reach.note_sent(now);
        }
        let settle = if is_order || health.is_wary(now) {
            self.config.settle
        } else {
            Duration::ZERO
        };
        ticket.attempts.push(Attempt {
            incarnation: record.incarnation.clone(),
            started_at: now,
            ended: None,
        });
        let left = ticket.ends_at.saturating_sub(now);
        let can_follow = !is_order && ticket.key.is_none() && ticket.attempts_left() > 0;
        let part = if can_follow {
            left.mul_f64(ATTEMPT_PART)
        } else {
            left
        };
        NextStep::Send(Target {
            incarnation: record.incarnation.clone(),
            address: record.address,
            give_up_at: now + part,
            max_idle: if is_order {
                MAX_IDLE_OF_ORDERS
            } else {
                MAX_IDLE
            },
            connect_timeout: CONNECT_TIMEOUT.min(left),
            settle,
        })
    }

    fn may_send_again(&mut self, now: MonoTime, ticket: &RequestTicket) -> bool {
        let last = ticket.attempts.last().and_then(|attempt| attempt.ended);
        let has_arrived = last.is_some_and(|(outcome, _)| {
            !matches!(
                outcome,
                AttemptOutcome::Refused | AttemptOutcome::Unreachable | AttemptOutcome::TurnedAway
            )
        });
        if !has_arrived {
            return true;
        }
        let budget = self.budgets.entry(ticket.service.clone()).or_default();
        budget.try_retry(now, &self.config, self.entry_count.get())
    }

    /// What happened since the former report.
    pub fn take_report(&mut self) -> EntryReport {
        let keys = std::mem::take(&mut self.key_counts).into_iter();
        let servers = self
            .health
            .iter_mut()
            .filter(|(_, health)| health.answered + health.shed > 0);
        EntryReport {
            keys: keys
                .map(|((service, key), request_count)| KeyCount {
                    service,
                    key,
                    request_count,
                })
                .collect(),
            servers: servers
                .map(|(incarnation, health)| ServerLoad {
                    incarnation: incarnation.clone(),
                    in_flight: health.in_flight,
                    answered: std::mem::take(&mut health.answered),
                    shed: std::mem::take(&mut health.shed),
                    service_time: std::mem::take(&mut health.service_time),
                })
                .collect(),
            poison: self.crashes.take_reports(),
        }
    }
}

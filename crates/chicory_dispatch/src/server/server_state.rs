//! The state of a backend server that this process dispatches to.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::ServerRecord;
use chicory_policy::TokenBucket;
use chicory_types::{Incarnation, MonoTime, RequestId, ServerId, Slot, SlotRun};

use crate::server::{
    Admission, ConnectionBreak, ConnectionPool, FairQueue, FlowId, GrantRegistry, NextStep,
    QueueEntry, ReportSchedule, ServerHealth, ServerLimits, ServiceTime,
};
use crate::{ConnectionId, RefusalReason, RelayLoad};

/// Contact timeout before enough service times were measured, in progress timeouts.
const INITIAL_TIMEOUT_FACTOR: u32 = 3;
/// Contact timeout as a multiple of the time that the slowest of the recent answers took to begin.
const PEAK_TIMEOUT_FACTOR: u32 = 4;
/// Maximum contact timeout, in progress timeouts.
const MAX_TIMEOUT_FACTOR: u32 = 10;

/// The state of a backend server that this process dispatches to.
#[derive(Clone, Debug)]
pub(crate) struct ServerState {
    pub(crate) id: ServerId,
    pub(crate) address: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: u64,
    pub(crate) checks_grants: bool,
    pub(crate) limits: ServerLimits,
    pub(crate) health: ServerHealth,
    pub(crate) queue: FairQueue,
    pub(crate) in_flight: Vec<RequestId>,
    /// Number of requests that wait for the answer to their claim. They count as queued, so that a
    /// place in the queue is free once the claim is granted.
    pub(crate) pending_claims: usize,
    /// The request that must be the only one in flight, while it runs.
    pub(crate) isolated: Option<RequestId>,
    pub(crate) pool: ConnectionPool,
    pub(crate) grants: GrantRegistry,
    pub(crate) service_time: ServiceTime,
    pub(crate) recent_breaks: Vec<ConnectionBreak>,
    /// Slots of cancelled exchanges that may still run at the server, with the time until which
    /// they may.
    pub(crate) cancelled: Vec<(Slot, MonoTime)>,
    /// Number of consecutive exchanges that reached their deadline without any answer.
    pub(crate) consecutive_expired: u32,
    pub(crate) reports: ReportSchedule,
    pub(crate) requests_since_report: u32,
    /// Requests sent per slot since the last report.
    pub(crate) heat: BTreeMap<Slot, u32>,
    pub(crate) draining_since: Option<MonoTime>,
    /// Whether the dispatcher role for this server is being resigned.
    pub(crate) is_resigning: bool,
    pub(crate) announced_at: Option<MonoTime>,
    /// When a probe last cleared a suspicion and found the server alive.
    pub(crate) last_alive_at: Option<MonoTime>,
    /// Slots that the last renewal reported as released.
    pub(crate) reported_released: Vec<SlotRun>,
    rate: Option<TokenBucket>,
}

impl ServerState {
    pub(crate) fn new(record: &ServerRecord, epoch: u64, grants: GrantRegistry) -> Self {
        Self {
            id: record.server.clone(),
            address: record.address.clone(),
            incarnation: record.incarnation,
            epoch,
            checks_grants: record.checks_grants,
            limits: ServerLimits::default(),
            health: ServerHealth::Up,
            queue: FairQueue::default(),
            in_flight: Vec::new(),
            pending_claims: 0,
            isolated: None,
            pool: ConnectionPool::default(),
            grants,
            service_time: ServiceTime::new(),
            recent_breaks: Vec::new(),
            cancelled: Vec::new(),
            consecutive_expired: 0,
            reports: ReportSchedule::default(),
            requests_since_report: 0,
            heat: BTreeMap::new(),
            draining_since: None,
            is_resigning: false,
            announced_at: None,
            last_alive_at: None,
            reported_released: Vec::new(),
            rate: None,
        }
    }

    pub(crate) fn set_limits(&mut self, limits: ServerLimits, now: MonoTime) {
        self.limits = limits;
        let rate = limits.rate_limit_per_s;
        if rate == 0 {
            self.rate = None;
        } else if !self.rate.as_ref().is_some_and(|b| b.has_rate(rate)) {
            self.rate = Some(TokenBucket::per_second(rate, now));
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        matches!(self.health, ServerHealth::Down { .. })
    }

    /// Returns the number of requests in flight, in the queue or waiting for their claim.
    pub(crate) fn outstanding(&self) -> usize {
        self.in_flight.len() + self.pending_claims + self.queue.len()
    }

    pub(crate) fn load(&self) -> RelayLoad {
        RelayLoad {
            outstanding: u32::try_from(self.outstanding()).unwrap_or(u32::MAX),
            expected_wait: self.wait_behind(self.queue.len()),
        }
    }

    /// Returns the expected wait of a request with `ahead` others before it in the queue.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let slots = self.limits.max_in_flight.max(1);
        let before = self.in_flight.len() + self.pending_claims + ahead;
        let rounds = (before + 1).saturating_sub(slots);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        self.service_time.mean().saturating_mul(rounds) / slots
    }

    /// Decides whether a request of `flow` with `left` until its deadline may wait for this server.
    pub(crate) fn admit(&mut self, flow: FlowId, left: Duration, now: MonoTime) -> Admission {
        let wait = self.wait_behind(self.queue.ahead_of(flow));
        // An idle server accepts every request, so that a wrong mean is corrected by new samples.
        let is_idle = self.outstanding() == 0;
        if !is_idle && wait + self.service_time.mean() > left {
            return Admission::Refused {
                reason: RefusalReason::DeadlineTooShort,
                retry_after: wait,
            };
        }
        if let Err(retry_after) = self.take_rate_token(now) {
            return Admission::Refused {
                reason: RefusalReason::RateLimited,
                retry_after,
            };
        }
        if is_idle || !self.is_full() {
            return Admission::Accepted;
        }
        match self.queue.displace_for(flow) {
            Some(entry) => Admission::Displaces(entry.request),
            None => Admission::Refused {
                reason: RefusalReason::QueueFull,
                retry_after: wait,
            },
        }
    }

    fn take_rate_token(&mut self, now: MonoTime) -> Result<(), Duration> {
        let rate = self.rate.as_mut();
        rate.map_or(Ok(()), |rate| rate.try_take(now))
    }

    fn is_full(&self) -> bool {
        let free_slots = self
            .limits
            .max_in_flight
            .saturating_sub(self.in_flight.len());
        self.pending_claims + self.queue.len() >= self.limits.queue_limit + free_slots
    }

    /// Returns the next action for the queue.
    ///
    /// The calling function must have checked the lease while handling the same event.
    pub(crate) fn next_step(&mut self, now: MonoTime) -> NextStep {
        let Some(front) = self.queue.front() else {
            return NextStep::Wait;
        };
        if self.health != ServerHealth::Up || !self.has_room_for(front) {
            return NextStep::Wait;
        }
        if self.cannot_meet_deadline(front, now) {
            self.queue.pop();
            return NextStep::MissesDeadline(front.request);
        }
        match self.pool.take_idle(front.request, now) {
            Some(connection) => self.start(front, connection),
            None => self.connect_or_wait(),
        }
    }

    fn has_room_for(&self, entry: QueueEntry) -> bool {
        if self.isolated.is_some() {
            return false;
        }
        if entry.is_isolated {
            return self.in_flight.is_empty();
        }
        self.in_flight.len() < self.limits.max_in_flight
    }

    fn cannot_meet_deadline(&self, entry: QueueEntry, now: MonoTime) -> bool {
        let left = entry.expires_at.saturating_sub(now);
        left.is_zero() || (!self.in_flight.is_empty() && left < self.service_time.mean())
    }

    fn start(&mut self, entry: QueueEntry, connection: ConnectionId) -> NextStep {
        self.queue.pop();
        self.in_flight.push(entry.request);
        if entry.is_isolated {
            self.isolated = Some(entry.request);
        }
        NextStep::Write(entry.request, connection)
    }

    fn connect_or_wait(&self) -> NextStep {
        let free = self
            .limits
            .max_in_flight
            .saturating_sub(self.in_flight.len());
        let wanted = self.queue.len().min(free);
        let needs_connection = self.pool.opening() < wanted;
        // One connection is reserved for a probe.
        let limit = self.limits.max_connections.saturating_sub(1).max(1);
        if needs_connection && self.pool.len() < limit {
            NextStep::Connect
        } else {
            NextStep::Wait
        }
    }

    /// Removes a request whose exchange has ended.
    pub(crate) fn remove_in_flight(&mut self, request: RequestId) {
        self.in_flight.retain(|other| *other != request);
        if self.isolated == Some(request) {
            self.isolated = None;
        }
    }

    /// Returns the time without contact after which the connection of an exchange is treated as
    /// dead although a probe has found the server alive.
    pub(crate) fn contact_timeout(&self, progress_timeout: Duration) -> Duration {
        if !self.service_time.has_enough_samples() {
            return progress_timeout * INITIAL_TIMEOUT_FACTOR;
        }
        let from_samples = self.service_time.head_peak() * PEAK_TIMEOUT_FACTOR;
        from_samples.clamp(progress_timeout, progress_timeout * MAX_TIMEOUT_FACTOR)
    }
}

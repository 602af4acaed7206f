//! A backend server that this process dispatches to.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::ServerRecord;
use chicory_types::{Incarnation, MonoTime, RequestId, ServerId, Slot, SlotRun};

use crate::limits::TokenBucket;
use crate::server::{
    Admission, ConnectionBreak, ConnectionPool, FairQueue, FlowId, GrantBook, NextStep, QueueEntry,
    ReportSchedule, ServerHealth, ServerLimits, ServiceTime,
};
use crate::{ConnectionId, RefusalReason, RelayLoad};

/// Silence that is borne before the service time is known, in progress timeouts.
const UNLEARNED_FACTOR: u32 = 3;
/// Silence that is borne, as a multiple of the slowest of the recent requests.
const PEAK_FACTOR: u32 = 4;
/// Longest silence that is borne, in progress timeouts.
const MAX_SILENCE_FACTOR: u32 = 10;

/// A backend server that this process dispatches to.
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
    /// Requests whose claim was asked for, which have a place in the queue already.
    pub(crate) claiming: usize,
    /// The request that runs with nothing beside it.
    pub(crate) isolated: Option<RequestId>,
    pub(crate) pool: ConnectionPool,
    pub(crate) grants: GrantBook,
    pub(crate) service_time: ServiceTime,
    pub(crate) breaks: Vec<ConnectionBreak>,
    /// Slots of cancelled exchanges that may still run, with the end of that.
    pub(crate) cancelled: Vec<(Slot, MonoTime)>,
    /// Exchanges in a row that reached their deadline without any answer.
    pub(crate) expired_in_row: u32,
    pub(crate) reports: ReportSchedule,
    pub(crate) requests_since_report: u32,
    pub(crate) heat: BTreeMap<Slot, u32>,
    pub(crate) draining_since: Option<MonoTime>,
    /// Whether the role is being given up.
    pub(crate) is_leaving: bool,
    pub(crate) announced_at: Option<MonoTime>,
    /// When a probe last found the server alive.
    pub(crate) alive_at: Option<MonoTime>,
    /// Slots that the last renewal reported as released.
    pub(crate) reported_released: Vec<SlotRun>,
    rate: Option<TokenBucket>,
}

impl ServerState {
    pub(crate) fn new(record: &ServerRecord, epoch: u64, grants: GrantBook) -> Self {
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
            claiming: 0,
            isolated: None,
            pool: ConnectionPool::default(),
            grants,
            service_time: ServiceTime::new(),
            breaks: Vec::new(),
            cancelled: Vec::new(),
            expired_in_row: 0,
            reports: ReportSchedule::default(),
            requests_since_report: 0,
            heat: BTreeMap::new(),
            draining_since: None,
            is_leaving: false,
            announced_at: None,
            alive_at: None,
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

    /// Requests that run, wait or are about to wait.
    pub(crate) fn outstanding(&self) -> usize {
        self.in_flight.len() + self.claiming + self.queue.len()
    }

    pub(crate) fn load(&self) -> RelayLoad {
        RelayLoad {
            outstanding: u32::try_from(self.outstanding()).unwrap_or(u32::MAX),
            expected_wait: self.wait_behind(self.queue.len()),
        }
    }

    /// Expected wait of a request with `ahead` others before it in the queue.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let slots = self.limits.max_in_flight.max(1);
        let before = self.in_flight.len() + self.claiming + ahead;
        let rounds = (before + 1).saturating_sub(slots);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        self.service_time.mean().saturating_mul(rounds) / slots
    }

    /// Decides whether a request of `flow` with `left` until its deadline may wait here.
    pub(crate) fn admit(&mut self, flow: FlowId, left: Duration, now: MonoTime) -> Admission {
        let wait = self.wait_behind(self.queue.ahead_of(flow));
        // An idle server takes any request, so that a wrong mean can heal.
        let is_idle = self.outstanding() == 0;
        if !is_idle && wait + self.service_time.mean() > left {
            return Admission::Refused {
                reason: RefusalReason::DeadlineTooShort,
                retry_after: wait,
            };
        }
        if let Err(retry_after) = self.take_rate(now) {
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

    fn take_rate(&mut self, now: MonoTime) -> Result<(), Duration> {
        let rate = self.rate.as_mut();
        rate.map_or(Ok(()), |rate| rate.try_take(now))
    }

    fn is_full(&self) -> bool {
        let free_slots = self
            .limits
            .max_in_flight
            .saturating_sub(self.in_flight.len());
        self.claiming + self.queue.len() >= self.limits.queue_limit + free_slots
    }

    /// What to do next for the queue; the caller has tested the lease in the same call.
    pub(crate) fn next_step(&mut self, now: MonoTime) -> NextStep {
        let Some(front) = self.queue.front() else {
            return NextStep::Wait;
        };
        if self.health != ServerHealth::Up || !self.has_room_for(front) {
            return NextStep::Wait;
        }
        if self.is_hopeless(front, now) {
            self.queue.pop();
            return NextStep::Hopeless(front.request);
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

    fn is_hopeless(&self, entry: QueueEntry, now: MonoTime) -> bool {
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
        let is_short = self.pool.opening() < wanted;
        // One connection is left for a probe.
        let limit = self.limits.max_connections.saturating_sub(1).max(1);
        if is_short && self.pool.len() < limit {
            NextStep::Connect
        } else {
            NextStep::Wait
        }
    }

    /// Ends the exchange of a request.
    pub(crate) fn end(&mut self, request: RequestId) {
        self.in_flight.retain(|other| *other != request);
        if self.isolated == Some(request) {
            self.isolated = None;
        }
    }

    /// Silence of an exchange after which its connection is taken as dead, on a living server.
    pub(crate) fn silence_limit(&self, progress_timeout: Duration) -> Duration {
        if !self.service_time.is_learned() {
            return progress_timeout * UNLEARNED_FACTOR;
        }
        let learned = self.service_time.head_peak() * PEAK_FACTOR;
        learned.clamp(progress_timeout, progress_timeout * MAX_SILENCE_FACTOR)
    }
}

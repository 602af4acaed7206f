//! The state shared by all event handlers of the request path.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ownership::{ClaimResolution, Claimant, ServerRecord};
use chicory_policy::TokenBucket;
use chicory_types::{MonoTime, OrderKey, RequestId, ServerId, ServiceName, VmId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::lease::Lease;
use crate::limits::{CrashSuspects, ServiceLimits};
use crate::request::{ClaimState, RequestState};
use crate::resignation::Resignation;
use crate::run_state::RunState;
use crate::server::{ServerObservation, ServerState};
use crate::view::{Directory, ServerIndex};
use crate::{ConnectionId, Counters, Effect, Outcome, Refusal, RefusalReason, RequestPathConfig};

/// Maximum number of remembered claims that were abandoned before they were answered.
const MAX_ABANDONED_CLAIMS: usize = 4_096;
/// Shortest retry-after time of a refusal, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The state shared by all event handlers of the request path.
pub(crate) struct PathState {
    pub(crate) now: MonoTime,
    pub(crate) config: RequestPathConfig,
    pub(crate) directory: Directory,
    pub(crate) lease: Lease,
    pub(crate) run_state: RunState,
    pub(crate) was_ready: bool,
    pub(crate) requests: BTreeMap<RequestId, Box<RequestState>>,
    pub(crate) timers: BTreeSet<(MonoTime, RequestId)>,
    /// The servers that this process dispatches to.
    pub(crate) servers: BTreeMap<ServerIndex, ServerState>,
    /// Whether some of these dispatcher roles may be in the process of being resigned.
    pub(crate) has_resigning_roles: bool,
    /// Observations of all servers of the directory, by [`ServerIndex`].
    pub(crate) observations: Vec<ServerObservation>,
    pub(crate) connections: BTreeMap<ConnectionId, ServerIndex>,
    next_connection: ConnectionId,
    pub(crate) connect_limiter: TokenBucket,
    /// When connects that the rate limit delayed are tried again.
    pub(crate) connect_retry_at: Option<MonoTime>,
    pub(crate) services: BTreeMap<ServiceName, ServiceLimits>,
    pub(crate) suspects: CrashSuspects,
    /// Entry processes to which a relay failed, with the time until which they get no relays.
    pub(crate) failed_entries: BTreeMap<VmId, MonoTime>,
    /// Announcements to send to the zone group with the next renewal.
    pub(crate) announced: BTreeMap<ServerId, ServerRecord>,
    /// Dispatcher roles that this process has resigned.
    pub(crate) resigned: BTreeMap<ServerId, Resignation>,
    /// The announcements in the pending renewal.
    pub(crate) sent_announcements: Vec<ServerRecord>,
    /// The resignations in the pending renewal.
    pub(crate) sent_resignations: Vec<ServerId>,
    /// Claims that were abandoned before they were answered, to release them if a grant arrives.
    pub(crate) abandoned_claims: BTreeMap<RequestId, (ServiceName, OrderKey)>,
    pub(crate) next_sweep_at: MonoTime,
    pub(crate) counters: Counters,
    pub(crate) effects: Vec<Effect>,
    /// Buffer for the candidate servers of a choice, kept to reuse its allocation.
    pub(crate) candidates: Vec<(ServerIndex, u64)>,
    rng: SmallRng,
}

impl PathState {
    pub(crate) fn new(config: RequestPathConfig, now: MonoTime) -> Self {
        Self {
            now,
            directory: Directory::default(),
            lease: Lease::new(config.renew_interval, now),
            run_state: RunState::Running,
            was_ready: false,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            servers: BTreeMap::new(),
            has_resigning_roles: false,
            observations: Vec::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            connect_limiter: TokenBucket::per_second(config.connect_rate_per_s, now),
            connect_retry_at: None,
            services: BTreeMap::new(),
            suspects: CrashSuspects::default(),
            failed_entries: BTreeMap::new(),
            announced: BTreeMap::new(),
            resigned: BTreeMap::new(),
            sent_announcements: Vec::new(),
            sent_resignations: Vec::new(),
            abandoned_claims: BTreeMap::new(),
            next_sweep_at: now,
            counters: Counters::default(),
            effects: Vec::new(),
            candidates: Vec::new(),
            rng: SmallRng::seed_from_u64(config.seed),
            config,
        }
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn is_running(&self) -> bool {
        self.run_state == RunState::Running
    }

    /// Returns whether the balancer may send new requests to this process.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_running() && self.lease.is_held(self.now)
    }

    /// Returns whether a process that has been stopping since `since` may exit.
    ///
    /// Open requests and dispatcher roles have to be finished first. The acknowledgement of the
    /// resignations is awaited only for the grace period and only while the lease is held.
    pub(crate) fn may_exit(&self, since: MonoTime) -> bool {
        let is_acknowledged = self.resigned.values().all(|r| r.is_acknowledged);
        let is_over = self.now >= since + self.config.stop_grace || !self.lease.is_held(self.now);
        self.requests.is_empty() && self.servers.is_empty() && (is_acknowledged || is_over)
    }

    /// Inserts a request, with its timer.
    pub(crate) fn put_request(&mut self, id: RequestId, request: Box<RequestState>) {
        self.timers.insert((request.wake_at, id));
        self.requests.insert(id, request);
    }

    /// Removes a request with its timer, either to finish it or to insert it again.
    pub(crate) fn take_request(&mut self, id: RequestId) -> Option<Box<RequestState>> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(&(request.wake_at, id));
        Some(request)
    }

    pub(crate) fn new_connection(&mut self, server: ServerIndex) -> ConnectionId {
        let id = self.next_connection;
        self.next_connection += 1;
        self.connections.insert(id, server);
        id
    }

    /// Returns a random number below `bound`, or 0 for a bound of 0.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.rng.random_range(0..bound)
    }

    /// Returns a random duration between half and three halves of `base`.
    pub(crate) fn jitter(&mut self, base: Duration) -> Duration {
        let share = u32::try_from(self.random_below(1_000)).unwrap_or(0);
        base / 2 + base * share / 1_000
    }

    /// Returns the time left until the deadline of a request.
    pub(crate) fn time_left(&self, request: &RequestState) -> Duration {
        request.expires_at.saturating_sub(self.now)
    }

    /// Refuses a request that was removed from the state, with the default retry-after time of the
    /// reason.
    pub(crate) fn refuse(&mut self, id: RequestId, request: &RequestState, reason: RefusalReason) {
        let pause = self.default_pause(reason);
        self.refuse_with(id, request, reason, pause);
    }

    /// Refuses a request that was removed from the state; its claim is resolved first.
    pub(crate) fn refuse_with(
        &mut self,
        id: RequestId,
        request: &RequestState,
        reason: RefusalReason,
        pause: Option<Duration>,
    ) {
        self.resolve_refused(id, request, request.outcome());
        if !request.is_caller_gone {
            self.emit_refusal(id, request.reported_outcome(), reason, pause);
        }
    }

    /// Emits a refusal with jitter on the retry-after time. Does not resolve a claim, unlike
    /// [`refuse_with`](Self::refuse_with).
    pub(crate) fn emit_refusal(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        reason: RefusalReason,
        pause: Option<Duration>,
    ) {
        self.counters.count_refusal(reason, outcome);
        let retry_after = pause.map(|pause| self.jitter(pause.max(MIN_RETRY_AFTER)));
        self.emit(Effect::Refuse {
            request,
            refusal: Refusal {
                outcome,
                reason,
                retry_after,
            },
        });
    }

    fn resolve_refused(&mut self, id: RequestId, request: &RequestState, outcome: Outcome) {
        if request.claim == ClaimState::None {
            return;
        }
        if request.claim == ClaimState::Requested {
            self.abandon_claim(id, request);
        }
        let resolution = match outcome {
            Outcome::NotRun => ClaimResolution::NotRun,
            Outcome::Ran | Outcome::Unknown => ClaimResolution::Unknown,
        };
        self.resolve(id, request, resolution);
    }

    /// Reports to the zone group how a claimed order ended.
    pub(crate) fn resolve(
        &mut self,
        id: RequestId,
        request: &RequestState,
        resolution: ClaimResolution,
    ) {
        let Some(order_key) = request.head.order_key.clone() else {
            return;
        };
        let claimant = self.claimant(id);
        self.emit(Effect::ResolveClaim {
            service: request.head.service.clone(),
            order_key,
            claimant,
            resolution,
        });
    }

    pub(crate) fn claimant(&self, attempt: RequestId) -> Claimant {
        Claimant {
            vm: self.config.vm.clone(),
            incarnation: self.config.incarnation,
            attempt,
        }
    }

    /// Remembers a claim that is not answered yet, so that a late grant can be released.
    fn abandon_claim(&mut self, id: RequestId, request: &RequestState) {
        let Some(order_key) = request.head.order_key.clone() else {
            return;
        };
        let service = request.head.service.clone();
        self.abandoned_claims.insert(id, (service, order_key));
        while self.abandoned_claims.len() > MAX_ABANDONED_CLAIMS {
            self.abandoned_claims.pop_first();
        }
    }

    /// Returns the default retry-after time of a refusal; `None` if a resend can't succeed.
    pub(crate) fn default_pause(&self, reason: RefusalReason) -> Option<Duration> {
        use RefusalReason as R;
        match reason {
            R::UnknownService
            | R::MissingKey
            | R::MissingOrderKey
            | R::OrderKeyReused
            | R::OrderOutcomeLost
            | R::OrderHistoryLost
            | R::Quarantined => None,
            R::NoOwner | R::NoDispatcher | R::NoLease | R::Stopping | R::TokenRefused => {
                Some(self.config.renew_interval)
            }
            R::NoServer | R::ServerFailed | R::ZoneUnreachable | R::ClaimsFull => {
                Some(self.config.renew_interval * 2)
            }
            _ => Some(self.config.renew_interval / 2),
        }
    }
}

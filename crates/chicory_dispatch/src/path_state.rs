//! The state that all parts of the request path work on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ownership::{ClaimResolution, Claimant, ServerRecord};
use chicory_types::{MonoTime, OrderKey, RequestId, ServerId, ServiceName, VmId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::lease::Lease;
use crate::life::Life;
use crate::limits::{CrashSuspects, ServiceLimits, TokenBucket};
use crate::request::{ClaimState, RequestState};
use crate::resignation::Resignation;
use crate::server::{ServerObservation, ServerState};
use crate::view::{Directory, ServerIndex};
use crate::{ConnectionId, Counters, Effect, Outcome, Refusal, RefusalReason, RequestPathConfig};

/// Claims given up before their answer that are remembered at most.
const MAX_ABANDONED_CLAIMS: usize = 4_096;
/// Shortest pause that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The state that all parts of the request path work on.
pub(crate) struct PathState {
    pub(crate) now: MonoTime,
    pub(crate) config: RequestPathConfig,
    pub(crate) directory: Directory,
    pub(crate) lease: Lease,
    pub(crate) life: Life,
    pub(crate) was_ready: bool,
    pub(crate) requests: BTreeMap<RequestId, Box<RequestState>>,
    pub(crate) timers: BTreeSet<(MonoTime, RequestId)>,
    /// Servers that this process dispatches to.
    pub(crate) servers: BTreeMap<ServerIndex, ServerState>,
    /// Whether some of these roles may be on their way out.
    pub(crate) is_any_leaving: bool,
    /// One for each server of the directory.
    pub(crate) observations: Vec<ServerObservation>,
    pub(crate) connections: BTreeMap<ConnectionId, ServerIndex>,
    next_connection: ConnectionId,
    pub(crate) connect_pace: TokenBucket,
    /// When connections that had to wait for their pace are tried again.
    pub(crate) paced_until: Option<MonoTime>,
    pub(crate) services: BTreeMap<ServiceName, ServiceLimits>,
    pub(crate) suspects: CrashSuspects,
    /// Entry processes that a relay failed to, with the end of their avoidance.
    pub(crate) failed_entries: BTreeMap<VmId, MonoTime>,
    pub(crate) announced: BTreeMap<ServerId, ServerRecord>,
    pub(crate) resigned: BTreeMap<ServerId, Resignation>,
    /// What the pending renewal tells.
    pub(crate) told_announcements: Vec<ServerRecord>,
    pub(crate) told_resigned: Vec<ServerId>,
    pub(crate) abandoned_claims: BTreeMap<RequestId, (ServiceName, OrderKey)>,
    pub(crate) next_sweep_at: MonoTime,
    pub(crate) counters: Counters,
    pub(crate) effects: Vec<Effect>,
    /// Candidates of the choice under way, kept for its memory.
    pub(crate) candidates: Vec<(ServerIndex, u64)>,
    rng: SmallRng,
}

impl PathState {
    pub(crate) fn new(config: RequestPathConfig, now: MonoTime) -> Self {
        Self {
            now,
            directory: Directory::default(),
            lease: Lease::new(config.renew_interval, now),
            life: Life::Running,
            was_ready: false,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            servers: BTreeMap::new(),
            is_any_leaving: false,
            observations: Vec::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            connect_pace: TokenBucket::per_second(config.connect_rate_per_s, now),
            paced_until: None,
            services: BTreeMap::new(),
            suspects: CrashSuspects::default(),
            failed_entries: BTreeMap::new(),
            announced: BTreeMap::new(),
            resigned: BTreeMap::new(),
            told_announcements: Vec::new(),
            told_resigned: Vec::new(),
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
        self.life == Life::Running
    }

    /// Whether the balancer may send new requests here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_running() && self.lease.is_held(self.now)
    }

    /// Whether a process that stops since `since` has nothing left to do.
    pub(crate) fn may_exit(&self, since: MonoTime) -> bool {
        let is_told = self.resigned.values().all(|r| r.is_told);
        let is_over = self.now >= since + self.config.stop_grace || !self.lease.is_held(self.now);
        self.requests.is_empty() && self.servers.is_empty() && (is_told || is_over)
    }

    /// Puts a request back with its timer.
    pub(crate) fn put(&mut self, id: RequestId, request: Box<RequestState>) {
        self.timers.insert((request.wake_at, id));
        self.requests.insert(id, request);
    }

    /// Takes a request out, to finish it or to put it back.
    pub(crate) fn take(&mut self, id: RequestId) -> Option<Box<RequestState>> {
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

    /// A random number below `bound`; 0 for a bound of 0.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.rng.random_range(0..bound)
    }

    /// Between half and three halves of `span`.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        let share = u32::try_from(self.random_below(1_000)).unwrap_or(0);
        span / 2 + span * share / 1_000
    }

    /// Time left of a request.
    pub(crate) fn left(&self, request: &RequestState) -> Duration {
        request.expires_at.saturating_sub(self.now)
    }

    /// Refuses a request that was taken out, with the usual pause before a resend.
    pub(crate) fn refuse(&mut self, id: RequestId, request: &RequestState, reason: RefusalReason) {
        let pause = self.usual_pause(reason);
        self.refuse_with(id, request, reason, pause);
    }

    /// Refuses a request that was taken out; its claim is resolved first.
    pub(crate) fn refuse_with(
        &mut self,
        id: RequestId,
        request: &RequestState,
        reason: RefusalReason,
        pause: Option<Duration>,
    ) {
        self.resolve_refused(id, request, request.outcome());
        if !request.is_caller_gone {
            self.emit_refusal(id, request.told_outcome(), reason, pause);
        }
    }

    /// Refuses a request, whatever is known of it.
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
        if request.claim == ClaimState::Asked {
            self.abandon_claim(id, request);
        }
        let resolution = match outcome {
            Outcome::NotRun => ClaimResolution::NotRun,
            Outcome::Ran | Outcome::Unknown => ClaimResolution::Unknown,
        };
        self.resolve(id, request, resolution);
    }

    /// Tells the zone group how a claimed order ended.
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

    /// Remembers a claim whose answer is still to come, so that a late grant is given back.
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

    /// When a refused caller should come back; `None` where that can't help.
    pub(crate) fn usual_pause(&self, reason: RefusalReason) -> Option<Duration> {
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

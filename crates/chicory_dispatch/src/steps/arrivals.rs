//! Arriving requests and disconnecting callers.

use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::limits::{CrashSuspicion, ServiceLimits};
use crate::path_state::PathState;
use crate::request::{Phase, RequestState, RoutingRequirements};
use crate::steps::exchange_ends::{ConnectionDisposition, end_exchange};
use crate::steps::placing::place;
use crate::{Effect, Outcome, RefusalReason, RequestHead, RequestOrigin};

/// Handles the arrival of a request.
pub(crate) fn on_arrived(state: &mut PathState, head: RequestHead) {
    let id = head.request;
    if state.requests.contains_key(&id) {
        return;
    }
    count(state, &head);
    let outcome = denied_outcome(state, &head);
    match check(state, &head) {
        Ok(checked) => {
            let request = RequestState::new(head, checked.requirements, checked.expires_at);
            place(state, id, Box::new(request));
        }
        Err(Denial { reason, pause }) => {
            let pause = pause.or_else(|| state.default_pause(reason));
            state.emit_refusal(id, outcome, reason, pause);
        }
    }
}

/// Returns the outcome to report for a request that is refused on arrival.
///
/// It is unknown for an order, because an earlier send of it may have run.
fn denied_outcome(state: &PathState, head: &RequestHead) -> Outcome {
    let policy = state.directory.policy(&head.service);
    let may_be_order = policy.is_none_or(|policy| !policy.idempotent);
    if may_be_order && !head.is_safe_method && head.order_key.is_some() {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    }
}

/// The routing requirements and the deadline of a request that passed the checks.
struct Checked {
    requirements: RoutingRequirements,
    expires_at: MonoTime,
}

/// The reason for refusing a request on arrival.
struct Denial {
    reason: RefusalReason,
    /// Retry-after time; `None` for the default of the reason.
    pause: Option<Duration>,
}

impl From<RefusalReason> for Denial {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            pause: None,
        }
    }
}

fn count(state: &mut PathState, head: &RequestHead) {
    match head.origin {
        RequestOrigin::Caller => state.counters.from_callers += 1,
        RequestOrigin::Relay { .. } => state.counters.from_relays += 1,
    }
}

fn check(state: &mut PathState, head: &RequestHead) -> Result<Checked, Denial> {
    let Some(policy) = state.directory.policy(&head.service) else {
        return Err(missing_service(state).into());
    };
    let requirements = RoutingRequirements::of(policy, head)?;
    let deadline = head.deadline.unwrap_or(policy.deadline);
    if deadline.is_zero() {
        return Err(RefusalReason::DeadlinePassed.into());
    }
    check_quarantine(state, head)?;
    if state.requests.len() >= state.config.max_requests {
        return Err(RefusalReason::QueueFull.into());
    }
    take_rate_token(state, head)?;
    Ok(Checked {
        requirements,
        expires_at: state.now + deadline,
    })
}

/// Returns why a service isn't in the table; before the first view, the table is still empty.
fn missing_service(state: &PathState) -> RefusalReason {
    if state.directory.version() == 0 {
        RefusalReason::NoLease
    } else {
        RefusalReason::UnknownService
    }
}

fn check_quarantine(state: &PathState, head: &RequestHead) -> Result<(), RefusalReason> {
    let is_refused = state.directory.is_quarantined(head.fingerprint)
        || state.suspects.suspicion(head.fingerprint) == CrashSuspicion::Refuse;
    if is_refused {
        return Err(RefusalReason::Quarantined);
    }
    Ok(())
}

/// Credits the retry budget and takes a token of the rate limit, which applies to callers only.
fn take_rate_token(state: &mut PathState, head: &RequestHead) -> Result<(), Denial> {
    let now = state.now;
    let share = state.config.retry_share;
    let limits = match state.services.get_mut(&head.service) {
        Some(limits) => limits,
        None => state
            .services
            .entry(head.service.clone())
            .or_insert_with(|| ServiceLimits::new(share, now)),
    };
    limits.retries.credit();
    if head.origin != RequestOrigin::Caller {
        return Ok(());
    }
    let taken = limits
        .rate
        .as_mut()
        .map_or(Ok(()), |rate| rate.try_take(now));
    taken.map_err(|wait| Denial {
        reason: RefusalReason::RateLimited,
        pause: Some(wait),
    })
}

/// Cancels the request of a caller that disconnected.
///
/// An order that may be running continues to its end, so that its answer is stored for a resend.
pub(crate) fn on_caller_gone(state: &mut PathState, id: RequestId) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    request.is_caller_gone = true;
    let is_running_order =
        request.requirements.needs_claim && matches!(request.phase, Phase::InFlight(_));
    if is_running_order {
        state.put_request(id, request);
        return;
    }
    leave_phase(state, id, &request);
    state.refuse(id, &request, RefusalReason::DeadlinePassed);
}

/// Removes a request from its queue, exchange or relay.
pub(crate) fn leave_phase(state: &mut PathState, id: RequestId, request: &RequestState) {
    match &request.phase {
        Phase::Placing => {}
        Phase::Claiming(index) => {
            if let Some(server) = state.servers.get_mut(index) {
                server.pending_claims = server.pending_claims.saturating_sub(1);
            }
        }
        Phase::Queued(index) => {
            if let Some(server) = state.servers.get_mut(index) {
                server.queue.remove(request.requirements.flow(), id);
            }
        }
        Phase::InFlight(exchange) => {
            end_exchange(state, id, request, *exchange, ConnectionDisposition::Close);
        }
        Phase::Relayed(relay) => {
            crate::steps::relays::end_relay(state, relay);
            state.emit(Effect::CancelRelay { request: id });
        }
    }
}

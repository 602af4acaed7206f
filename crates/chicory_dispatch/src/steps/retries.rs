//! Retries of failed requests.

use std::time::Duration;

use chicory_types::RequestId;

use crate::RefusalReason;
use crate::limits::MAX_CRASHES;
use crate::path_state::PathState;
use crate::request::{Phase, RequestState};

/// Mean pause before the first retry; it doubles with each further retry.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Retries a request after a pause, or refuses it.
///
/// `request` must have been removed from the state.
pub(crate) fn retry_or_refuse(
    state: &mut PathState,
    id: RequestId,
    request: Box<RequestState>,
    reason: RefusalReason,
) {
    if let Some(request) = retry(state, id, request) {
        state.refuse(id, &request, reason);
    }
}

/// Retries a request after a pause; returns the request if a retry isn't allowed.
///
/// `request` must have been removed from the state.
pub(crate) fn retry(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
) -> Option<Box<RequestState>> {
    let doublings = request.tries.saturating_sub(1).min(MAX_DOUBLINGS);
    let pause = state.jitter(FIRST_PAUSE * 2_u32.pow(doublings));
    if !may_retry(state, &request, pause) {
        return Some(request);
    }
    state.counters.retries += 1;
    request.phase = Phase::Placing;
    request.wake_at = request.expires_at.min(state.now + pause);
    state.put_request(id, request);
    None
}

fn may_retry(state: &mut PathState, request: &RequestState, pause: Duration) -> bool {
    let is_possible = !request.requirements.needs_claim
        && !request.is_caller_gone
        && request.head.is_replayable
        && request.tries < state.config.max_tries
        && request.broken_tries < MAX_CRASHES
        && state.time_left(request) > pause;
    is_possible && spend_retry(state, request)
}

fn spend_retry(state: &mut PathState, request: &RequestState) -> bool {
    let now = state.now;
    let limits = state.services.get_mut(&request.head.service);
    let is_allowed = limits.is_some_and(|limits| limits.retries.try_spend(now));
    if !is_allowed {
        state.counters.retries_denied += 1;
    }
    is_allowed
}

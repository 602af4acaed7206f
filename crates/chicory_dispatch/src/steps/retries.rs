//! Decides whether a failed request is tried again.

use std::time::Duration;

use chicory_types::RequestId;

use crate::RefusalReason;
use crate::limits::MAX_CRASHES;
use crate::path_state::PathState;
use crate::request::{Phase, RequestState};

/// Mean pause before the first retry; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 6;

/// Tries a request that was taken out again after a pause, or refuses it.
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

/// Tries a request that was taken out again after a pause; hands it back where that isn't allowed.
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
    state.put(id, request);
    None
}

fn may_retry(state: &mut PathState, request: &RequestState, pause: Duration) -> bool {
    let is_possible = !request.demand.needs_claim
        && !request.is_caller_gone
        && request.head.is_replayable
        && request.tries < state.config.max_tries
        && request.breaks < MAX_CRASHES
        && state.left(request) > pause;
    is_possible && spend(state, request)
}

fn spend(state: &mut PathState, request: &RequestState) -> bool {
    let now = state.now;
    let limits = state.services.get_mut(&request.head.service);
    let is_allowed = limits.is_some_and(|limits| limits.retries.try_spend(now));
    if !is_allowed {
        state.counters.retries_denied += 1;
    }
    is_allowed
}

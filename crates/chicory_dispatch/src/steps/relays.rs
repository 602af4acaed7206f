//! Answers and failures of relays to other entry processes.

use std::time::Duration;

use chicory_types::RequestId;

use crate::path_state::PathState;
use crate::request::{Phase, RelayExchange, RequestState};
use crate::steps::{placing, retries};
use crate::{Effect, Outcome, RefusalReason, RelayFailure, RelayLoad};

/// How long an entry process gets no relays after a relay to it failed.
const ENTRY_AVOIDANCE: Duration = Duration::from_millis(500);
/// Maximum retry-after time of a dispatcher's refusal for which this process retries the request
/// itself.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Removes a relay from the count of relayed requests of its server.
pub(crate) fn end_relay(state: &mut PathState, relay: &RelayExchange) {
    let observation = relay
        .server
        .and_then(|index| state.observations.get_mut(index));
    if let Some(observation) = observation {
        observation.relayed = observation.relayed.saturating_sub(1);
    }
}

fn take_relay(state: &mut PathState, id: RequestId) -> Option<(Box<RequestState>, RelayExchange)> {
    let request = state.take_request(id)?;
    if let Phase::Relayed(relay) = &request.phase {
        let relay = relay.clone();
        return Some((request, relay));
    }
    state.put_request(id, request);
    None
}

/// Handles the head of a relayed answer.
pub(crate) fn on_answered(
    state: &mut PathState,
    id: RequestId,
    outcome: Outcome,
    retry_after: Option<Duration>,
    load: RelayLoad,
) {
    let Some((request, relay)) = take_relay(state, id) else {
        return;
    };
    if relay.is_forwarding {
        state.put_request(id, request);
        return;
    }
    let now = state.now;
    state.failed_entries.remove(&relay.vm);
    if let Some(observation) = relay.server.and_then(|i| state.observations.get_mut(i)) {
        observation.record_load(load, now);
    }
    let is_retry = outcome == Outcome::NotRun && is_worth_another_try(&request, retry_after);
    let kept = if is_retry {
        try_elsewhere(state, id, request, &relay)
    } else {
        Some(request)
    };
    if let Some(request) = kept {
        forward(state, id, request, relay, load);
    }
}

/// Drops a refusal and retries the request; returns the request if a retry isn't allowed.
fn try_elsewhere(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    relay: &RelayExchange,
) -> Option<Box<RequestState>> {
    request.end_not_run();
    request.declined_by = relay.server;
    let refused = retries::retry(state, id, request);
    if refused.is_none() {
        end_relay(state, relay);
        state.emit(Effect::DiscardAnswer { request: id });
    }
    refused
}

fn forward(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    relay: RelayExchange,
    load: RelayLoad,
) {
    request.phase = Phase::Relayed(RelayExchange {
        is_forwarding: true,
        ..relay
    });
    state.put_request(id, request);
    state.counters.forwarded += 1;
    state.emit(Effect::ForwardAnswer { request: id, load });
}

/// Returns whether a refused request should be retried.
///
/// A short retry-after time can mean that the routes have just changed, so that a retry succeeds.
fn is_worth_another_try(request: &RequestState, retry_after: Option<Duration>) -> bool {
    let is_short = retry_after.is_some_and(|pause| pause <= MAX_PAUSE);
    is_short && request.tries == 1 && request.hops() == 0 && !request.requirements.needs_claim
}

/// Handles the end of a relayed answer.
pub(crate) fn on_finished(state: &mut PathState, id: RequestId) {
    let Some((request, relay)) = take_relay(state, id) else {
        return;
    };
    if !relay.is_forwarding {
        return state.put_request(id, request);
    }
    end_relay(state, &relay);
    state.counters.finished += 1;
}

/// Handles the failure of a relay.
pub(crate) fn on_failed(state: &mut PathState, id: RequestId, failure: RelayFailure) {
    let Some((mut request, relay)) = take_relay(state, id) else {
        return;
    };
    end_relay(state, &relay);
    if failure == RelayFailure::NothingSent {
        let until = state.now + ENTRY_AVOIDANCE;
        state.failed_entries.insert(relay.vm.clone(), until);
    }
    if relay.is_forwarding {
        state.counters.broken_answers += 1;
        state.emit(Effect::BreakAnswer { request: id });
        return;
    }
    match failure {
        RelayFailure::NothingSent => request.end_not_run(),
        RelayFailure::BrokenBeforeAnswer | RelayFailure::BrokenInAnswer => request.end_unknown(),
    }
    if failure == RelayFailure::NothingSent && request.requirements.needs_claim {
        return retry_unsent_order(state, id, request);
    }
    retries::retry_or_refuse(state, id, request, RefusalReason::RelayFailed);
}

/// Routes an order again that was never sent, or refuses it after too many tries.
///
/// Such an order has no claim yet, so it may be relayed to another process.
fn retry_unsent_order(state: &mut PathState, id: RequestId, request: Box<RequestState>) {
    if request.tries < state.config.max_tries {
        placing::place(state, id, request);
    } else {
        state.refuse(id, &request, RefusalReason::RelayFailed);
    }
}

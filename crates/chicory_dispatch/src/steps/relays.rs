//! Relays to other entry processes.

use std::time::Duration;

use chicory_types::RequestId;

use crate::path_state::PathState;
use crate::request::{Phase, RelayLeg, RequestState};
use crate::steps::{placing, retries};
use crate::{Effect, Outcome, RefusalReason, RelayFailure, RelayLoad};

/// How long an entry process gets no relays after one failed.
const ENTRY_AVOIDANCE: Duration = Duration::from_millis(500);
/// Longest pause that a refusing dispatcher may ask for, for the request to be tried again here.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Ends the accounting of a relay.
pub(crate) fn end(state: &mut PathState, leg: &RelayLeg) {
    let seen = leg
        .server
        .and_then(|index| state.observations.get_mut(index));
    if let Some(seen) = seen {
        seen.relayed = seen.relayed.saturating_sub(1);
    }
}

fn take_leg(state: &mut PathState, id: RequestId) -> Option<(Box<RequestState>, RelayLeg)> {
    let request = state.take(id)?;
    if let Phase::Relayed(leg) = &request.phase {
        let leg = leg.clone();
        return Some((request, leg));
    }
    state.put(id, request);
    None
}

/// Decides on the head of a relayed answer.
pub(crate) fn on_answered(
    state: &mut PathState,
    id: RequestId,
    outcome: Outcome,
    retry_after: Option<Duration>,
    load: RelayLoad,
) {
    let Some((request, leg)) = take_leg(state, id) else {
        return;
    };
    if leg.is_forwarding {
        state.put(id, request);
        return;
    }
    let now = state.now;
    state.failed_entries.remove(&leg.vm);
    if let Some(seen) = leg.server.and_then(|i| state.observations.get_mut(i)) {
        seen.hint(load, now);
    }
    let is_retry = outcome == Outcome::NotRun && is_worth_another_try(&request, retry_after);
    let kept = if is_retry {
        try_elsewhere(state, id, request, &leg)
    } else {
        Some(request)
    };
    if let Some(request) = kept {
        forward(state, id, request, leg, load);
    }
}

/// Drops a refusal and tries again; hands the request back where that isn't allowed.
fn try_elsewhere(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    leg: &RelayLeg,
) -> Option<Box<RequestState>> {
    request.end_unsent();
    request.passed_over = leg.server;
    let refused = retries::retry(state, id, request);
    if refused.is_none() {
        end(state, leg);
        state.emit(Effect::DiscardAnswer { request: id });
    }
    refused
}

fn forward(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    leg: RelayLeg,
    load: RelayLoad,
) {
    request.phase = Phase::Relayed(RelayLeg {
        is_forwarding: true,
        ..leg
    });
    state.put(id, request);
    state.counters.forwarded += 1;
    state.emit(Effect::ForwardAnswer { request: id, load });
}

/// A refusal for a short while is worth another try: the routes may have just changed.
fn is_worth_another_try(request: &RequestState, retry_after: Option<Duration>) -> bool {
    let is_short = retry_after.is_some_and(|pause| pause <= MAX_PAUSE);
    is_short && request.tries == 1 && request.hops() == 0 && !request.demand.needs_claim
}

/// The relayed answer is complete.
pub(crate) fn on_finished(state: &mut PathState, id: RequestId) {
    let Some((request, leg)) = take_leg(state, id) else {
        return;
    };
    if !leg.is_forwarding {
        return state.put(id, request);
    }
    end(state, &leg);
    state.counters.finished += 1;
}

/// The relay failed.
pub(crate) fn on_failed(state: &mut PathState, id: RequestId, failure: RelayFailure) {
    let Some((mut request, leg)) = take_leg(state, id) else {
        return;
    };
    end(state, &leg);
    if failure == RelayFailure::NothingSent {
        let until = state.now + ENTRY_AVOIDANCE;
        state.failed_entries.insert(leg.vm.clone(), until);
    }
    if leg.is_forwarding {
        state.counters.broken_answers += 1;
        state.emit(Effect::BreakAnswer { request: id });
        return;
    }
    match failure {
        RelayFailure::NothingSent => request.end_unsent(),
        RelayFailure::BrokenBeforeAnswer | RelayFailure::BrokenInAnswer => request.end_unproven(),
    }
    if failure == RelayFailure::NothingSent && request.demand.needs_claim {
        return retry_unsent_order(state, id, request);
    }
    retries::retry_or_refuse(state, id, request, RefusalReason::RelayFailed);
}

/// An order that did not leave this process has no claim yet: it may go another way.
fn retry_unsent_order(state: &mut PathState, id: RequestId, request: Box<RequestState>) {
    if request.tries < state.config.max_tries {
        placing::place(state, id, request);
    } else {
        state.refuse(id, &request, RefusalReason::RelayFailed);
    }
}

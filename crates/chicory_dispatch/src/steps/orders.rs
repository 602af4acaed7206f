//! Answers to the claims of orders.

use std::time::Duration;

use chicory_ownership::{ClaimAnswer, ClaimResolution, StoredAnswer};
use chicory_types::{OrderKey, RequestId, ServiceName, VmId};

use crate::path_state::PathState;
use crate::request::{ClaimState, OrderHistory, Phase, RequestState};
use crate::server::ServerState;
use crate::steps::placing::{enter_queue, place, send_claim};
use crate::view::ServerIndex;
use crate::{Effect, RefusalReason};

/// Pause before a claim is resent while no new leader is known.
const LEADER_PAUSE: Duration = Duration::from_millis(50);

/// Handles the answer to a claim.
pub(crate) fn on_answered(state: &mut PathState, id: RequestId, answer: ClaimAnswer) {
    let Some((mut request, index)) = take_claiming(state, id) else {
        return on_late_answer(state, id, &answer);
    };
    request.history = history_of(&answer);
    match answer {
        ClaimAnswer::Granted => on_granted(state, id, request, index),
        ClaimAnswer::Stored(answer) => answer_stored(state, id, &request, answer),
        ClaimAnswer::InProgress => refuse(state, id, request, RefusalReason::OrderInProgress),
        ClaimAnswer::Unknown => refuse(state, id, request, RefusalReason::OrderOutcomeLost),
        ClaimAnswer::KeyReused => refuse(state, id, request, RefusalReason::OrderKeyReused),
        ClaimAnswer::HistoryLost => refuse(state, id, request, RefusalReason::OrderHistoryLost),
        ClaimAnswer::NotCustodian => refuse(state, id, request, RefusalReason::ZoneUnreachable),
        ClaimAnswer::Full => refuse(state, id, request, RefusalReason::ClaimsFull),
        ClaimAnswer::NotLeader { leader } => resend_claim(state, id, request, index, leader),
    }
}

/// Returns whether the answer reports the outcome of earlier sends of the order.
fn history_of(answer: &ClaimAnswer) -> OrderHistory {
    match answer {
        ClaimAnswer::NotCustodian | ClaimAnswer::NotLeader { .. } => OrderHistory::NotReported,
        _ => OrderHistory::Reported,
    }
}

/// Removes and returns a request that waits for its claim, and releases its reserved place in the
/// queue.
fn take_claiming(state: &mut PathState, id: RequestId) -> Option<(Box<RequestState>, ServerIndex)> {
    let request = state.take_request(id)?;
    let Phase::Claiming(index) = request.phase else {
        state.put_request(id, request);
        return None;
    };
    if let Some(server) = state.servers.get_mut(&index) {
        server.pending_claims = server.pending_claims.saturating_sub(1);
    }
    Some((request, index))
}

fn on_granted(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
) {
    request.claim = ClaimState::Granted;
    request.wake_at = request.expires_at;
    if can_accept(state, index) {
        enter_queue(state, id, request, index);
    } else {
        place(state, id, request);
    }
}

/// Returns whether the server in whose queue the order has a reserved place can still accept it.
fn can_accept(state: &PathState, index: ServerIndex) -> bool {
    let is_kept = |s: &ServerState| !s.is_resigning || !state.is_running();
    let server = state.servers.get(&index);
    let is_open = server.is_some_and(|s| is_kept(s) && !s.is_down() && s.draining_since.is_none());
    is_open && state.lease.is_held(state.now)
}

fn answer_stored(
    state: &mut PathState,
    id: RequestId,
    request: &RequestState,
    answer: StoredAnswer,
) {
    state.counters.stored_answers += 1;
    if !request.is_caller_gone {
        state.emit(Effect::AnswerStored {
            request: id,
            answer,
        });
    }
}

/// Refuses an order whose claim was not granted.
///
/// While another send of the order may be running or may have run, its outcome is unknown.
fn refuse(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    reason: RefusalReason,
) {
    use RefusalReason::{OrderHistoryLost, OrderInProgress, OrderOutcomeLost};
    request.claim = ClaimState::None;
    let may_run = matches!(
        reason,
        OrderInProgress | OrderOutcomeLost | OrderHistoryLost
    );
    request.may_have_run |= may_run;
    state.refuse(id, &request, reason);
}

fn resend_claim(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    index: ServerIndex,
    leader: Option<VmId>,
) {
    if let Some(server) = state.servers.get_mut(&index) {
        server.pending_claims += 1;
    }
    if leader.is_some() && leader != state.lease.leader {
        state.lease.leader = leader;
        send_claim(state, id, &request);
    } else {
        request.wake_at = request.expires_at.min(state.now + LEADER_PAUSE);
    }
    state.put_request(id, request);
}

/// Resends the claim of a request whose pause is over.
///
/// `request` must have been removed from the state.
pub(crate) fn resume(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    request.wake_at = request.expires_at;
    send_claim(state, id, &request);
    state.put_request(id, request);
}

/// Handles a claim that failed without an answer.
///
/// The claim may have been granted, so it is released before the request is refused.
pub(crate) fn on_failed(state: &mut PathState, id: RequestId) {
    let Some((mut request, _)) = take_claiming(state, id) else {
        return on_late_answer(state, id, &ClaimAnswer::Granted);
    };
    request.claim = ClaimState::Granted;
    state.refuse(id, &request, RefusalReason::ClaimUnavailable);
}

/// Releases a claim that was granted after its request had been refused.
fn on_late_answer(state: &mut PathState, id: RequestId, answer: &ClaimAnswer) {
    let Some((service, order_key)) = state.abandoned_claims.remove(&id) else {
        return;
    };
    if *answer == ClaimAnswer::Granted {
        release_claim(state, id, service, order_key);
    }
}

fn release_claim(state: &mut PathState, id: RequestId, service: ServiceName, order_key: OrderKey) {
    let claimant = state.claimant(id);
    state.emit(Effect::ResolveClaim {
        service,
        order_key,
        claimant,
        resolution: ClaimResolution::NotRun,
    });
}

//! Timers: deadlines, pauses and the periodic check of servers and connections.

use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::path_state::PathState;
use crate::request::{Phase, RelayExchange, RequestState, ServerExchange};
use crate::run_state::RunState;
use crate::server::{ServerHealth, Suspicion};
use crate::steps::exchange_ends::{ConnectionDisposition, break_answer, close, end_exchange};
use crate::steps::placing::{dispatch_all_queued, dispatch_queued, place};
use crate::steps::{arrivals, connections, health, orders, relays, renewals};
use crate::view::ServerIndex;
use crate::{Effect, RefusalReason};

/// Interval between checks of servers and connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between wake-ups of a process that may exit.
const STOPPED_WAKEUP_INTERVAL: Duration = Duration::from_mins(1);
/// Number of announcements that a server may miss before it is probed.
const MISSED_ANNOUNCEMENTS: u32 = 4;
/// How long a broken connection counts as a possible sign of a crash.
const BREAK_RETENTION: Duration = Duration::from_secs(2);
/// A server is ejected as an outlier if its mean time until an answer begins is longer than this
/// multiple of the median of the service's servers that this process dispatches to.
const OUTLIER_FACTOR: u32 = 5;
/// Mean time until an answer begins below which no server is an outlier.
const OUTLIER_FLOOR: Duration = Duration::from_millis(20);
/// Minimum number of measured servers of a service for which outliers are determined.
const MIN_PEERS: usize = 3;

/// Runs everything that is due: timers, the periodic check and delayed connects.
pub(crate) fn advance(state: &mut PathState) {
    fire_timers(state);
    if state.now >= state.next_sweep_at {
        state.next_sweep_at = state.now + SWEEP_INTERVAL;
        sweep(state);
    }
    if state.connect_retry_at.is_some_and(|at| state.now >= at) {
        state.connect_retry_at = None;
        dispatch_all_queued(state);
    }
}

fn fire_timers(state: &mut PathState) {
    while let Some((at, id)) = state.timers.first().copied() {
        if at > state.now {
            return;
        }
        let Some(request) = state.take_request(id) else {
            state.timers.remove(&(at, id));
            continue;
        };
        fire(state, id, request);
    }
}

fn fire(state: &mut PathState, id: RequestId, request: Box<RequestState>) {
    if state.now >= request.expires_at {
        return expire(state, id, request);
    }
    match request.phase {
        Phase::Claiming(_) => orders::resume(state, id, request),
        _ => resume(state, id, request),
    }
}

fn resume(state: &mut PathState, id: RequestId, mut request: Box<RequestState>) {
    request.wake_at = request.expires_at;
    if matches!(request.phase, Phase::Placing) {
        place(state, id, request);
    } else {
        state.put_request(id, request);
    }
}

/// Ends a request whose deadline has passed: refuses it, or aborts its answer if that is being
/// forwarded.
fn expire(state: &mut PathState, id: RequestId, request: Box<RequestState>) {
    match request.phase.clone() {
        Phase::InFlight(exchange) => expire_exchange(state, id, request, exchange),
        Phase::Relayed(relay) => expire_relay(state, id, request, &relay),
        Phase::Placing | Phase::Claiming(_) | Phase::Queued(_) => {
            arrivals::leave_phase(state, id, &request);
            state.refuse(id, &request, RefusalReason::DeadlinePassed);
        }
    }
}

fn expire_exchange(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    exchange: ServerExchange,
) {
    end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
    if exchange.is_forwarding {
        break_answer(state, id, &mut request);
    } else {
        request.end_unknown();
        state.refuse(id, &request, RefusalReason::DeadlinePassed);
        health::record_expired(state, exchange.server, exchange.written_at);
    }
    dispatch_queued(state, exchange.server);
}

fn expire_relay(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    relay: &RelayExchange,
) {
    relays::end_relay(state, relay);
    if relay.is_forwarding {
        state.counters.broken_answers += 1;
        state.emit(Effect::BreakAnswer { request: id });
        return;
    }
    state.emit(Effect::CancelRelay { request: id });
    request.end_unknown();
    state.refuse(id, &request, RefusalReason::DeadlinePassed);
}

fn sweep(state: &mut PathState) {
    let local_servers: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in local_servers {
        sweep_connections(state, index);
        sweep_exchanges(state, index);
        sweep_announcements(state, index);
        remove_expired(state, index);
        health::sweep(state, index);
        eject_outlier(state, index);
        if renewals::has_unreported_releases(state, index) {
            state.lease.renew_soon(state.now);
        }
        dispatch_queued(state, index);
    }
    let now = state.now;
    state.suspects.forget_old(now);
    state.failed_entries.retain(|_, until| now < *until);
}

fn sweep_connections(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let past_close_delay = server.pool.past_close_delay(now);
    let overdue = server
        .pool
        .overdue(now, state.config.idle_cap, state.config.age_cap);
    for connection in past_close_delay {
        connections::forget(state, connection);
    }
    for connection in overdue {
        close(state, connection);
    }
}

fn sweep_exchanges(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let limit = state.config.progress_timeout;
    for id in server.in_flight.clone() {
        let phase = state.requests.get(&id).map(|request| &request.phase);
        if let Some(Phase::InFlight(exchange)) = phase {
            check_progress(state, id, *exchange, limit);
        }
    }
}

fn check_progress(state: &mut PathState, id: RequestId, exchange: ServerExchange, limit: Duration) {
    let since_contact = state.now.saturating_sub(exchange.last_contact_at);
    if exchange.is_forwarding {
        if since_contact >= state.config.stall_timeout {
            break_stalled(state, id, exchange);
        }
    } else if since_contact >= limit && is_probe_due(state, exchange) {
        let suspicion = Suspicion::Unresponsive(exchange.last_contact_at);
        health::suspect(state, exchange.server, suspicion);
    }
}

/// Returns whether the server may be probed: no probe has found it alive within the last half
/// progress timeout.
fn is_probe_due(state: &PathState, exchange: ServerExchange) -> bool {
    let pause = state.config.progress_timeout / 2;
    let server = state.servers.get(&exchange.server);
    let last_alive_at = server.and_then(|server| server.last_alive_at);
    last_alive_at.is_none_or(|at| state.now >= at + pause)
}

fn break_stalled(state: &mut PathState, id: RequestId, exchange: ServerExchange) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
    break_answer(state, id, &mut request);
}

/// Suspects a server that has missed its announcements.
///
/// That is only a hint; a probe decides whether the server is down.
fn sweep_announcements(state: &mut PathState, index: ServerIndex) {
    let limit = state.config.renew_interval * MISSED_ANNOUNCEMENTS;
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    if server.health != ServerHealth::Up || server.announced_at.is_none_or(|at| now < at + limit) {
        return;
    }
    server.announced_at = Some(now);
    health::suspect(state, index, Suspicion::MissedAnnouncements);
}

fn remove_expired(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server
            .recent_breaks
            .retain(|b| now < b.at + BREAK_RETENTION);
        server.cancelled.retain(|(_, until)| now < *until);
    }
}

fn eject_outlier(state: &mut PathState, index: ServerIndex) {
    let local_server = state.servers.get(&index);
    let Some(mean) = local_server.and_then(|local_server| local_server.service_time.head_mean())
    else {
        return;
    };
    let is_ejected = state.observations[index].is_ejected(state.now);
    if mean < OUTLIER_FLOOR || is_ejected {
        return;
    }
    let median = median_of_peers(state, index);
    if median.is_some_and(|median| mean > median * OUTLIER_FACTOR) {
        health::eject(state, index);
    }
}

fn median_of_peers(state: &PathState, index: ServerIndex) -> Option<Duration> {
    let record = state.directory.server(index)?.record.as_ref()?;
    let peers = state.directory.servers_of(&record.service).iter();
    let local_peers = peers.filter_map(|peer| state.servers.get(peer));
    let mut means: Vec<Duration> = local_peers
        .filter_map(|s| s.service_time.head_mean())
        .collect();
    means.sort_unstable();
    (means.len() >= MIN_PEERS).then(|| means[means.len() / 2])
}

/// Returns when the next timer or periodic check is due.
pub(crate) fn next_wakeup(state: &PathState) -> MonoTime {
    if state.run_state == RunState::Stopped {
        return state.now + STOPPED_WAKEUP_INTERVAL;
    }
    let timer = state.timers.first().map(|(at, _)| *at);
    let lease = state.lease.next_wakeup(state.now);
    let known = [timer, lease, state.connect_retry_at];
    let all = known.into_iter().flatten();
    all.chain([state.next_sweep_at]).min().unwrap_or(state.now)
}

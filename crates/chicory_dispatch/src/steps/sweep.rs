//! Timers: deadlines, pauses and the periodic look at servers and connections.

use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::life::Life;
use crate::path_state::PathState;
use crate::request::{Phase, RelayLeg, RequestState, ServerExchange};
use crate::server::{ServerHealth, Suspicion};
use crate::steps::exchange_ends::{ConnectionFate, break_answer, close, end_exchange};
use crate::steps::placing::{place, pump, pump_all};
use crate::steps::{arrivals, connections, health, orders, relays, renewals};
use crate::view::ServerIndex;
use crate::{Effect, RefusalReason};

/// Time between looks at servers and connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between wake-ups of a process that may exit.
const AFTER_STOP: Duration = Duration::from_mins(1);
/// Announcements that a server may miss before it is probed.
const MISSED_ANNOUNCEMENTS: u32 = 4;
/// How long a break counts as the possible sign of a crash.
const BREAK_LIFE: Duration = Duration::from_secs(2);
/// Mean service time, as a multiple of the median of its peers, at which a server is ejected.
const OUTLIER_FACTOR: u32 = 5;
/// Mean service time below which no server is an outlier.
const OUTLIER_FLOOR: Duration = Duration::from_millis(20);
/// Servers of a service below which there are no outliers.
const MIN_PEERS: usize = 3;

/// Does all that is due by now.
pub(crate) fn advance(state: &mut PathState) {
    fire_timers(state);
    if state.now >= state.next_sweep_at {
        state.next_sweep_at = state.now + SWEEP_INTERVAL;
        sweep(state);
    }
    if state.paced_until.is_some_and(|at| state.now >= at) {
        state.paced_until = None;
        pump_all(state);
    }
}

fn fire_timers(state: &mut PathState) {
    while let Some((at, id)) = state.timers.first().copied() {
        if at > state.now {
            return;
        }
        let Some(request) = state.take(id) else {
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
        state.put(id, request);
    }
}

/// The deadline has passed: the final answer goes out now.
fn expire(state: &mut PathState, id: RequestId, request: Box<RequestState>) {
    match request.phase.clone() {
        Phase::InFlight(exchange) => expire_exchange(state, id, request, exchange),
        Phase::Relayed(leg) => expire_relay(state, id, request, &leg),
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
    end_exchange(state, id, &request, exchange, ConnectionFate::Close);
    if exchange.is_forwarding {
        break_answer(state, id, &mut request);
    } else {
        request.end_unproven();
        state.refuse(id, &request, RefusalReason::DeadlinePassed);
        health::note_expired(state, exchange.server, exchange.written_at);
    }
    pump(state, exchange.server);
}

fn expire_relay(
    state: &mut PathState,
    id: RequestId,
    mut request: Box<RequestState>,
    leg: &RelayLeg,
) {
    relays::end(state, leg);
    if leg.is_forwarding {
        state.counters.broken_answers += 1;
        state.emit(Effect::BreakAnswer { request: id });
        return;
    }
    state.emit(Effect::CancelRelay { request: id });
    request.end_unproven();
    state.refuse(id, &request, RefusalReason::DeadlinePassed);
}

fn sweep(state: &mut PathState) {
    let own: Vec<ServerIndex> = state.servers.keys().copied().collect();
    for index in own {
        sweep_connections(state, index);
        sweep_exchanges(state, index);
        sweep_announcements(state, index);
        forget_past(state, index);
        health::sweep(state, index);
        eject_outlier(state, index);
        if renewals::has_news(state, index) {
            state.lease.hurry(state.now);
        }
        pump(state, index);
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
    let lingered = server.pool.lingered(now);
    let overdue = server
        .pool
        .overdue(now, state.config.idle_cap, state.config.age_cap);
    for connection in lingered {
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
    let silence = state.now.saturating_sub(exchange.heard_at);
    if exchange.is_forwarding {
        if silence >= state.config.stall_timeout {
            break_stalled(state, id, exchange);
        }
    } else if silence >= limit && is_unheard(state, exchange) {
        let suspicion = Suspicion::Silent(exchange.heard_at);
        health::suspect(state, exchange.server, suspicion);
    }
}

/// Whether no probe has found the server alive a short while ago.
fn is_unheard(state: &PathState, exchange: ServerExchange) -> bool {
    let pause = state.config.progress_timeout / 2;
    let server = state.servers.get(&exchange.server);
    let alive_at = server.and_then(|server| server.alive_at);
    alive_at.is_none_or(|at| state.now >= at + pause)
}

fn break_stalled(state: &mut PathState, id: RequestId, exchange: ServerExchange) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    end_exchange(state, id, &request, exchange, ConnectionFate::Close);
    break_answer(state, id, &mut request);
}

/// Missed announcements are a hint only: the probe decides.
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
    health::suspect(state, index, Suspicion::Unannounced);
}

fn forget_past(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.breaks.retain(|b| now < b.at + BREAK_LIFE);
        server.cancelled.retain(|(_, until)| now < *until);
    }
}

fn eject_outlier(state: &mut PathState, index: ServerIndex) {
    let own = state.servers.get(&index);
    let Some(mean) = own.and_then(|own| own.service_time.head_mean()) else {
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
    let own = peers.filter_map(|peer| state.servers.get(peer));
    let mut means: Vec<Duration> = own.filter_map(|s| s.service_time.head_mean()).collect();
    means.sort_unstable();
    (means.len() >= MIN_PEERS).then(|| means[means.len() / 2])
}

/// When the next timer or look is due.
pub(crate) fn next_wakeup(state: &PathState) -> MonoTime {
    if state.life == Life::Stopped {
        return state.now + AFTER_STOP;
    }
    let timer = state.timers.first().map(|(at, _)| *at);
    let lease = state.lease.next_wakeup(state.now);
    let known = [timer, lease, state.paced_until];
    let all = known.into_iter().flatten();
    all.chain([state.next_sweep_at]).min().unwrap_or(state.now)
}

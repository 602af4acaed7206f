//! Health of backend servers: suspicion, probes, failover and ejection.

use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::path_state::PathState;
use crate::request::Phase;
use crate::server::{ServerHealth, Suspicion};
use crate::steps::exchange_ends::{ConnectionFate, break_answer, close, end_exchange};
use crate::steps::placing::{place, pump};
use crate::steps::retries;
use crate::view::ServerIndex;
use crate::{Effect, ProbeResult, RefusalReason};

/// Mean pause between probes of a server that is down.
const DOWN_PROBE_PAUSE: Duration = Duration::from_millis(400);
/// How long a probe may take before it counts as timed out.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// Exchanges without any answer in a row at which a server is suspected.
const EXPIRED_LIMIT: u32 = 2;
/// How much longer the silence of an order is borne: to cut it off can't help it, only make its
/// outcome unknown.
const ORDER_PATIENCE: u32 = 3;
/// An ejection leaves at least one in this number of a service's servers in.
const EJECTION_FLOOR: usize = 2;

/// Asks over a fresh connection whether a server is alive.
pub(crate) fn suspect(state: &mut PathState, index: ServerIndex, suspicion: Suspicion) {
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    match &mut server.health {
        ServerHealth::Up => {}
        ServerHealth::Suspected {
            suspicion: known, ..
        } => {
            if matches!(suspicion, Suspicion::Silent(_)) && !matches!(known, Suspicion::Silent(_)) {
                *known = suspicion;
            }
            return;
        }
        ServerHealth::Down { .. } => return,
    }
    server.health = ServerHealth::Suspected {
        suspicion,
        probed_at: now,
    };
    probe(state, index);
}

fn probe(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let effect = Effect::Probe {
        server: server.id.clone(),
        address: server.address.clone(),
    };
    state.counters.probes += 1;
    state.emit(effect);
}

/// Takes the result of a probe.
pub(crate) fn on_probed(state: &mut PathState, id: &str, result: ProbeResult) {
    let found = state.servers.iter().find(|(_, server)| server.id == id);
    let Some((index, health)) = found.map(|(index, server)| (*index, server.health)) else {
        return;
    };
    let is_alive = matches!(result, ProbeResult::Answered { .. });
    match health {
        ServerHealth::Up => {}
        ServerHealth::Suspected { suspicion, .. } if is_alive => {
            settle_alive(state, index, suspicion);
        }
        ServerHealth::Suspected { .. } => go_down(state, index, result),
        ServerHealth::Down { .. } if is_alive => come_up(state, index),
        ServerHealth::Down { .. } => probe_later(state, index),
    }
}

/// The server answers: connections that are silent nevertheless are dead.
fn settle_alive(state: &mut PathState, index: ServerIndex, suspicion: Suspicion) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.health = ServerHealth::Up;
        server.expired_in_row = 0;
        server.alive_at = Some(now);
    }
    if let Suspicion::Silent(since) = suspicion {
        close_silent(state, index, since);
    }
    pump(state, index);
}

/// Closes all connections on which the server wasn't heard since `since`, together.
fn close_silent(state: &mut PathState, index: ServerIndex, since: MonoTime) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let idle = server.pool.silent_idle(since);
    let limit = server.silence_limit(state.config.progress_timeout);
    let running = server.in_flight.clone();
    state.counters.silent_connections += idle.len() as u64;
    for connection in idle {
        close(state, connection);
    }
    for id in running {
        cut_if_silent(state, id, limit);
    }
}

fn cut_if_silent(state: &mut PathState, id: RequestId, limit: Duration) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    let now = state.now;
    let limit = if request.demand.needs_claim {
        limit * ORDER_PATIENCE
    } else {
        limit
    };
    match request.phase {
        Phase::InFlight(exchange)
            if !exchange.is_forwarding && now >= exchange.heard_at + limit =>
        {
            if let Some(server) = state.servers.get_mut(&exchange.server) {
                let silence = now.saturating_sub(exchange.heard_at);
                server.service_time.widen(silence);
            }
            state.counters.silent_connections += 1;
            end_exchange(state, id, &request, exchange, ConnectionFate::Close);
            request.end_unproven();
            retries::retry_or_refuse(state, id, request, RefusalReason::NoProgress);
        }
        _ => state.put(id, request),
    }
}

/// Fails over from a dead server.
fn go_down(state: &mut PathState, index: ServerIndex, result: ProbeResult) {
    let is_crash = result == ProbeResult::Refused;
    let pause = state.jitter(DOWN_PROBE_PAUSE);
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.health = ServerHealth::Down {
        next_probe_at: now + pause,
        is_probing: false,
    };
    let running = server.in_flight.clone();
    state.counters.servers_down += 1;
    if is_crash {
        report_crash(state, index);
    }
    for id in running {
        fail_over(state, id, is_crash);
    }
    replace_queue(state, index);
    close_idle(state, index);
    state.lease.hurry(now);
}

fn fail_over(state: &mut PathState, id: RequestId, is_crash: bool) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    let Phase::InFlight(exchange) = request.phase else {
        return state.put(id, request);
    };
    end_exchange(state, id, &request, exchange, ConnectionFate::Close);
    if exchange.is_forwarding {
        return break_answer(state, id, &mut request);
    }
    request.end_unproven();
    request.avoid(exchange.server);
    request.breaks += u32::from(is_crash);
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

/// Blames what was in flight at a server that crashed.
pub(crate) fn report_crash(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    let broken = std::mem::take(&mut server.breaks);
    let running = server.in_flight.clone();
    let id = server.id.clone();
    let mut fingerprints: Vec<u64> = broken.iter().map(|b| b.fingerprint).collect();
    let still_running = running.iter().filter_map(|id| state.requests.get(id));
    fingerprints.extend(still_running.map(|request| request.head.fingerprint));
    fingerprints.sort_unstable();
    fingerprints.dedup();
    if fingerprints.is_empty() {
        return;
    }
    let was_alone = match (broken.as_slice(), running.as_slice()) {
        ([only], []) => only.was_alone,
        ([], [_]) => true,
        _ => false,
    };
    for fingerprint in &fingerprints {
        state.suspects.blame(*fingerprint, was_alone, state.now);
    }
    state.counters.crashes += 1;
    state.emit(Effect::ReportCrash {
        server: id,
        fingerprints,
        was_alone,
    });
}

/// Finds another place for all that waits for a server.
pub(crate) fn replace_queue(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.queue.requests() {
        replace_queued(state, index, id);
    }
}

/// Takes one request from a server's queue and finds another place for it.
pub(crate) fn replace_queued(state: &mut PathState, index: ServerIndex, id: RequestId) {
    let Some(mut request) = state.take(id) else {
        return;
    };
    if let Some(server) = state.servers.get_mut(&index) {
        server.queue.remove(request.demand.flow(), id);
    }
    request.phase = Phase::Placing;
    place(state, id, request);
}

fn close_idle(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for connection in server.pool.silent_idle(state.now) {
        close(state, connection);
    }
}

fn come_up(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.health = ServerHealth::Up;
        server.expired_in_row = 0;
        server.breaks.clear();
    }
    if let Some(seen) = state.observations.get_mut(index) {
        seen.start_ramp(now);
    }
    state.lease.hurry(now);
    pump(state, index);
}

fn probe_later(state: &mut PathState, index: ServerIndex) {
    let pause = state.jitter(DOWN_PROBE_PAUSE);
    let next_probe_at = state.now + pause;
    if let Some(server) = state.servers.get_mut(&index) {
        server.health = ServerHealth::Down {
            next_probe_at,
            is_probing: false,
        };
    }
}

/// Sends probes that are due and ends those that took too long.
pub(crate) fn sweep(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    match &mut server.health {
        ServerHealth::Up => {}
        ServerHealth::Suspected { probed_at, .. } => {
            if now >= *probed_at + PROBE_LIMIT {
                go_down(state, index, ProbeResult::TimedOut);
            }
        }
        ServerHealth::Down {
            next_probe_at,
            is_probing,
        } => {
            if now < *next_probe_at {
                return;
            }
            if *is_probing {
                return probe_later(state, index);
            }
            *is_probing = true;
            *next_probe_at = now + PROBE_LIMIT;
            probe(state, index);
        }
    }
}

/// Notes that an exchange reached its deadline without any answer.
pub(crate) fn note_expired(state: &mut PathState, index: ServerIndex, written_at: MonoTime) {
    note_failure(state, index);
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.expired_in_row += 1;
    if server.expired_in_row >= EXPIRED_LIMIT {
        suspect(state, index, Suspicion::Silent(written_at));
    }
}

/// Notes a failure of a server; one of many in a row ejects it.
pub(crate) fn note_failure(state: &mut PathState, index: ServerIndex) {
    let limit = state.config.eject_after_failures;
    let Some(seen) = state.observations.get_mut(index) else {
        return;
    };
    if seen.failed(limit) {
        eject(state, index);
    }
}

/// Ejects a server, unless too many of its service are ejected already.
pub(crate) fn eject(state: &mut PathState, index: ServerIndex) {
    let record = state
        .directory
        .server(index)
        .and_then(|s| s.record.as_ref());
    let Some(record) = record else {
        return;
    };
    let peers = state.directory.servers_of(&record.service);
    let now = state.now;
    let is_ejected = |peer: &&ServerIndex| {
        let seen = state.observations.get(**peer);
        **peer == index || seen.is_some_and(|seen| seen.is_ejected(now))
    };
    let ejected = peers.iter().filter(is_ejected).count();
    if ejected * EJECTION_FLOOR > peers.len() {
        return;
    }
    let until = now + state.config.ejection;
    if let Some(seen) = state.observations.get_mut(index) {
        seen.eject(until);
        state.counters.ejections += 1;
    }
}

/// Gives a server that wants to drain no new work of choice from now on.
pub(crate) fn drain(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    if server.draining_since.is_some() {
        return;
    }
    server.draining_since = Some(now);
    let waiting = server.queue.requests();
    for id in waiting {
        let is_free = state.requests.get(&id).is_some_and(|r| r.grant.is_none());
        if is_free {
            replace_queued(state, index, id);
        }
    }
}

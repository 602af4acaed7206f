//! Health of backend servers: suspicion, probes, failover and ejection.

use std::time::Duration;

use chicory_types::{MonoTime, RequestId};

use crate::path_state::PathState;
use crate::request::Phase;
use crate::server::{ServerHealth, Suspicion};
use crate::steps::exchange_ends::{ConnectionDisposition, break_answer, close, end_exchange};
use crate::steps::placing::{dispatch_queued, place};
use crate::steps::retries;
use crate::view::ServerIndex;
use crate::{Effect, ProbeResult, RefusalReason};

/// Mean pause between probes of a server that is down.
const DOWN_PROBE_PAUSE: Duration = Duration::from_millis(400);
/// Time after which a probe is treated as timed out.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive exchanges without any answer at which a server is suspected.
const EXPIRED_LIMIT: u32 = 2;
/// Factor on the contact timeout for orders. Cancelling an order doesn't help it, since it is not
/// retried and its outcome becomes unknown.
const ORDER_TIMEOUT_FACTOR: u32 = 3;
/// The share of a service's servers that may be ejected is at most one divided by this value.
const MAX_EJECTED_DIVISOR: usize = 2;

/// Suspects a server of being dead, and probes it over a new connection.
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
            if matches!(suspicion, Suspicion::Unresponsive(_))
                && !matches!(known, Suspicion::Unresponsive(_))
            {
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

/// Handles the result of a probe.
pub(crate) fn on_probed(state: &mut PathState, id: &str, result: ProbeResult) {
    let found = state.servers.iter().find(|(_, server)| server.id == id);
    let Some((index, health)) = found.map(|(index, server)| (*index, server.health)) else {
        return;
    };
    let is_alive = matches!(result, ProbeResult::Answered { .. });
    match health {
        ServerHealth::Up => {}
        ServerHealth::Suspected { suspicion, .. } if is_alive => {
            handle_alive(state, index, suspicion);
        }
        ServerHealth::Suspected { .. } => mark_down(state, index, result),
        ServerHealth::Down { .. } if is_alive => mark_up(state, index),
        ServerHealth::Down { .. } => probe_later(state, index),
    }
}

/// Handles a probe that found a suspected server alive.
///
/// Connections that are unresponsive although the server is alive are treated as dead.
fn handle_alive(state: &mut PathState, index: ServerIndex, suspicion: Suspicion) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.health = ServerHealth::Up;
        server.consecutive_expired = 0;
        server.last_alive_at = Some(now);
    }
    if let Suspicion::Unresponsive(since) = suspicion {
        close_unresponsive(state, index, since);
    }
    dispatch_queued(state, index);
}

/// Closes the connections without a request in flight that had no contact after `since`, and
/// cancels the requests in flight that have exceeded the contact timeout.
fn close_unresponsive(state: &mut PathState, index: ServerIndex, since: MonoTime) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    let idle = server.pool.idle_without_contact_since(since);
    let limit = server.contact_timeout(state.config.progress_timeout);
    let running = server.in_flight.clone();
    state.counters.silent_connections += idle.len() as u64;
    for connection in idle {
        close(state, connection);
    }
    for id in running {
        cancel_if_unresponsive(state, id, limit);
    }
}

fn cancel_if_unresponsive(state: &mut PathState, id: RequestId, limit: Duration) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    let now = state.now;
    let limit = if request.requirements.needs_claim {
        limit * ORDER_TIMEOUT_FACTOR
    } else {
        limit
    };
    match request.phase {
        Phase::InFlight(exchange)
            if !exchange.is_forwarding && now >= exchange.last_contact_at + limit =>
        {
            if let Some(server) = state.servers.get_mut(&exchange.server) {
                let waited = now.saturating_sub(exchange.last_contact_at);
                server.service_time.widen(waited);
            }
            state.counters.silent_connections += 1;
            end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
            request.end_unknown();
            retries::retry_or_refuse(state, id, request, RefusalReason::NoProgress);
        }
        _ => state.put_request(id, request),
    }
}

/// Marks a server as down, retries its requests in flight and routes its queued requests again.
fn mark_down(state: &mut PathState, index: ServerIndex, result: ProbeResult) {
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
    reroute_queue(state, index);
    close_idle(state, index);
    state.lease.renew_soon(now);
}

fn fail_over(state: &mut PathState, id: RequestId, is_crash: bool) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    let Phase::InFlight(exchange) = request.phase else {
        return state.put_request(id, request);
    };
    end_exchange(state, id, &request, exchange, ConnectionDisposition::Close);
    if exchange.is_forwarding {
        return break_answer(state, id, &mut request);
    }
    request.end_unknown();
    request.avoid(exchange.server);
    request.broken_tries += u32::from(is_crash);
    retries::retry_or_refuse(state, id, request, RefusalReason::ServerFailed);
}

/// Records and reports all requests that were in flight at a server when it crashed.
pub(crate) fn report_crash(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    let broken = std::mem::take(&mut server.recent_breaks);
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
        state
            .suspects
            .record_crash(*fingerprint, was_alone, state.now);
    }
    state.counters.crashes += 1;
    state.emit(Effect::ReportCrash {
        server: id,
        fingerprints,
        was_alone,
    });
}

/// Routes all requests in a server's queue again.
pub(crate) fn reroute_queue(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for id in server.queue.requests() {
        reroute_queued(state, index, id);
    }
}

/// Removes a request from a server's queue and routes it again.
pub(crate) fn reroute_queued(state: &mut PathState, index: ServerIndex, id: RequestId) {
    let Some(mut request) = state.take_request(id) else {
        return;
    };
    if let Some(server) = state.servers.get_mut(&index) {
        server.queue.remove(request.requirements.flow(), id);
    }
    request.phase = Phase::Placing;
    place(state, id, request);
}

fn close_idle(state: &mut PathState, index: ServerIndex) {
    let Some(server) = state.servers.get(&index) else {
        return;
    };
    for connection in server.pool.idle_without_contact_since(state.now) {
        close(state, connection);
    }
}

fn mark_up(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.health = ServerHealth::Up;
        server.consecutive_expired = 0;
        server.recent_breaks.clear();
    }
    if let Some(observation) = state.observations.get_mut(index) {
        observation.start_ramp(now);
    }
    state.lease.renew_soon(now);
    dispatch_queued(state, index);
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

/// Sends a probe that is due, and handles one that timed out.
pub(crate) fn sweep(state: &mut PathState, index: ServerIndex) {
    let now = state.now;
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    match &mut server.health {
        ServerHealth::Up => {}
        ServerHealth::Suspected { probed_at, .. } => {
            if now >= *probed_at + PROBE_TIMEOUT {
                mark_down(state, index, ProbeResult::TimedOut);
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
            *next_probe_at = now + PROBE_TIMEOUT;
            probe(state, index);
        }
    }
}

/// Records that an exchange reached its deadline without any answer.
pub(crate) fn record_expired(state: &mut PathState, index: ServerIndex, written_at: MonoTime) {
    record_failure(state, index);
    let Some(server) = state.servers.get_mut(&index) else {
        return;
    };
    server.consecutive_expired += 1;
    if server.consecutive_expired >= EXPIRED_LIMIT {
        suspect(state, index, Suspicion::Unresponsive(written_at));
    }
}

/// Records a failure of a server, and ejects it after too many consecutive failures.
pub(crate) fn record_failure(state: &mut PathState, index: ServerIndex) {
    let limit = state.config.eject_after_failures;
    let Some(observation) = state.observations.get_mut(index) else {
        return;
    };
    if observation.count_failure(limit) {
        eject(state, index);
    }
}

/// Ejects a server, unless too many servers of its service are ejected already.
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
        let observation = state.observations.get(**peer);
        **peer == index || observation.is_some_and(|observation| observation.is_ejected(now))
    };
    let ejected = peers.iter().filter(is_ejected).count();
    if ejected * MAX_EJECTED_DIVISOR > peers.len() {
        return;
    }
    let until = now + state.config.ejection;
    if let Some(observation) = state.observations.get_mut(index) {
        observation.eject(until);
        state.counters.ejections += 1;
    }
}

/// Starts to drain a server: it gets no new requests that other servers could serve, and such
/// requests in its queue are routed again.
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
        let is_unkeyed = state.requests.get(&id).is_some_and(|r| r.grant.is_none());
        if is_unkeyed {
            reroute_queued(state, index, id);
        }
    }
}

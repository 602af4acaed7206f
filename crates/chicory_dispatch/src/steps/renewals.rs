//! Renewals of the lease, with the reports they carry and the view updates in their answers.

use std::time::Duration;

use chicory_ownership::{
    EntryRecord, ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerCondition,
    ServerReport, SlotHeat, ViewChange, ViewUpdate,
};
use chicory_types::{MonoTime, ServerId, Slot, VmId};

use crate::Effect;
use crate::path_state::PathState;
use crate::run_state::RunState;
use crate::server::ServerState;
use crate::steps::{placing, roles};
use crate::view::ServerIndex;

/// Sends a renewal if one is due.
pub(crate) fn send_if_due(state: &mut PathState) {
    if state.run_state == RunState::Stopped || !state.lease.is_due(state.now) {
        return;
    }
    let request = request(state);
    state
        .lease
        .record_sent(state.now, state.directory.version());
    state.counters.renewals += 1;
    let leader = state.lease.leader.clone();
    state.emit(Effect::Renew { leader, request });
}

fn request(state: &mut PathState) -> RenewRequest {
    let released = released(state);
    state.sent_announcements = state.announced.values().cloned().collect();
    state.sent_resignations = unacknowledged_resignations(state);
    let now = state.now;
    let interval = state.config.report_interval;
    let reports = state
        .servers
        .values_mut()
        .filter_map(|server| report_if_due(now, server, interval))
        .collect();
    RenewRequest {
        entry: own_record(state),
        known_view: state.directory.version(),
        stopping: !state.is_running(),
        announcements: state.sent_announcements.clone(),
        released,
        resigned: state.sent_resignations.clone(),
        reports,
    }
}

/// Returns the record of this process, without its addresses once the view shows that the zone
/// group has them.
fn own_record(state: &PathState) -> EntryRecord {
    let config = &state.config;
    let record = EntryRecord {
        vm: config.vm.clone(),
        incarnation: config.incarnation,
        peer_address: config.peer_address.clone(),
        announce_address: config.announce_address.clone(),
    };
    let registered = state.directory.entry(&config.zone, &config.vm);
    if registered == Some(&record) {
        record.without_addresses()
    } else {
        record
    }
}

fn unacknowledged_resignations(state: &PathState) -> Vec<ServerId> {
    let unacknowledged = state.resigned.iter().filter(|(_, r)| !r.is_acknowledged);
    unacknowledged.map(|(id, _)| id.clone()).collect()
}

fn report_if_due(
    now: MonoTime,
    server: &mut ServerState,
    interval: Duration,
) -> Option<ServerReport> {
    let is_down = server.is_down();
    server
        .reports
        .take_due(now, is_down, interval)
        .then(|| report(server))
}

fn report(server: &mut ServerState) -> ServerReport {
    let mut heat: Vec<SlotHeat> = std::mem::take(&mut server.heat)
        .into_iter()
        .map(|(slot, requests)| SlotHeat { slot, requests })
        .collect();
    heat.sort_by_key(|heat| std::cmp::Reverse(heat.requests));
    heat.truncate(RenewRequest::MAX_REPORTED_SLOTS);
    let condition = if server.is_down() {
        ServerCondition::Down
    } else {
        ServerCondition::Up
    };
    ServerReport {
        server: server.id.clone(),
        incarnation: server.incarnation,
        condition,
        requests: std::mem::take(&mut server.requests_since_report),
        hottest_slots: heat,
    }
}

/// Returns all released slots, which every renewal reports until the view no longer lists them as
/// releasing.
fn released(state: &mut PathState) -> Vec<ReleasedSlots> {
    let local_servers: Vec<ServerIndex> = state.servers.keys().copied().collect();
    let mut all = Vec::new();
    for index in local_servers {
        let in_use = slots_in_use(state, index);
        let record = state
            .directory
            .server(index)
            .and_then(|s| s.record.as_ref());
        let service = record.map(|record| record.service.clone());
        let (Some(server), Some(service)) = (state.servers.get_mut(&index), service) else {
            continue;
        };
        let runs = server.grants.released(state.now, &in_use);
        server.reported_released.clone_from(&runs);
        if !runs.is_empty() {
            all.push(ReleasedSlots {
                service,
                runs,
                server: server.id.clone(),
            });
        }
    }
    all
}

/// Returns the slots of a server with requests that run, or that may still run after they were
/// cancelled.
fn slots_in_use(state: &PathState, index: ServerIndex) -> Vec<Slot> {
    let Some(server) = state.servers.get(&index) else {
        return Vec::new();
    };
    let running = server
        .in_flight
        .iter()
        .filter_map(|id| state.requests.get(id));
    let granted = running.filter_map(|request| request.grant.map(|(slot, _)| slot));
    let cancelled = server
        .cancelled
        .iter()
        .filter(|(_, until)| state.now < *until);
    granted.chain(cancelled.map(|(slot, _)| *slot)).collect()
}

/// Returns whether the released slots differ from those that the last renewal reported.
pub(crate) fn has_unreported_releases(state: &PathState, index: ServerIndex) -> bool {
    let Some(server) = state.servers.get(&index) else {
        return false;
    };
    let in_use = slots_in_use(state, index);
    server.grants.released(state.now, &in_use) != server.reported_released
}

/// Handles the answer to a renewal; an answer to a renewal that is no longer pending is ignored.
pub(crate) fn on_answered(
    state: &mut PathState,
    sent_at: MonoTime,
    from: VmId,
    answer: RenewAnswer,
) {
    let Some(pending) = state.lease.take_pending(sent_at) else {
        return;
    };
    match answer {
        RenewAnswer::Granted { lease, update } => {
            state.lease.granted(pending.sent_at, lease, from);
            remove_acknowledged(state);
            if pending.known_view == state.directory.version() {
                apply(state, update);
            }
        }
        RenewAnswer::NotLeader { leader } => state.lease.redirected(leader, &from, state.now),
        RenewAnswer::Refused(RenewRefusal::SupersededIncarnation) => {
            state.lease.mark_superseded();
            roles::on_lease_end(state);
        }
        RenewAnswer::Refused(RenewRefusal::WrongZone) => {
            state.announced.clear();
            state.lease.renewal_failed(state.now);
        }
    }
}

/// Removes the announcements that the answered renewal reported, and marks its resignations as
/// acknowledged. Later ones are reported by the next renewal.
fn remove_acknowledged(state: &mut PathState) {
    for record in std::mem::take(&mut state.sent_announcements) {
        if state.announced.get(&record.server) == Some(&record) {
            state.announced.remove(&record.server);
        }
    }
    for id in std::mem::take(&mut state.sent_resignations) {
        if let Some(resignation) = state.resigned.get_mut(&id) {
            resignation.is_acknowledged = true;
        }
    }
}

fn apply(state: &mut PathState, update: ViewUpdate) {
    let is_first_view = state.directory.version() == 0;
    let has_changes = !update.changes.is_empty();
    for change in &update.changes {
        if let ViewChange::QuarantineLifted { fingerprint } = change {
            state.suspects.clear_suspicion(*fingerprint);
        }
    }
    state.directory.apply(update);
    if has_changes {
        roles::sync(state, is_first_view);
    } else {
        placing::dispatch_all_queued(state);
    }
}

//! Renewals of the lease and what comes and goes with them.

use std::time::Duration;

use chicory_ownership::{
    EntryRecord, ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerCondition,
    ServerReport, SlotHeat, ViewChange, ViewUpdate,
};
use chicory_types::{MonoTime, ServerId, Slot, VmId};

use crate::Effect;
use crate::life::Life;
use crate::path_state::PathState;
use crate::server::ServerState;
use crate::steps::{placing, roles};
use crate::view::ServerIndex;

/// Sends a renewal if one is due.
pub(crate) fn send_if_due(state: &mut PathState) {
    if state.life == Life::Stopped || !state.lease.is_due(state.now) {
        return;
    }
    let request = request(state);
    state.lease.sent(state.now, state.directory.version());
    state.counters.renewals += 1;
    let leader = state.lease.leader.clone();
    state.emit(Effect::Renew { leader, request });
}

fn request(state: &mut PathState) -> RenewRequest {
    let released = released(state);
    state.told_announcements = state.announced.values().cloned().collect();
    state.told_resigned = untold_resignations(state);
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
        announcements: state.told_announcements.clone(),
        released,
        resigned: state.told_resigned.clone(),
        reports,
    }
}

/// This process's record; the zone group knows its addresses once they are in the view.
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
        record.brief()
    } else {
        record
    }
}

fn untold_resignations(state: &PathState) -> Vec<ServerId> {
    let untold = state.resigned.iter().filter(|(_, r)| !r.is_told);
    untold.map(|(id, _)| id.clone()).collect()
}

fn report_if_due(
    now: MonoTime,
    server: &mut ServerState,
    interval: Duration,
) -> Option<ServerReport> {
    let is_down = server.is_down();
    server
        .reports
        .take(now, is_down, interval)
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

/// All released slots, told again until the view shows that they have gone on.
fn released(state: &mut PathState) -> Vec<ReleasedSlots> {
    let own: Vec<ServerIndex> = state.servers.keys().copied().collect();
    let mut all = Vec::new();
    for index in own {
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

/// Slots of a server with requests that run, or may still run after they were cancelled.
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

/// Whether slots were released that no renewal has told of yet.
pub(crate) fn has_news(state: &PathState, index: ServerIndex) -> bool {
    let Some(server) = state.servers.get(&index) else {
        return false;
    };
    let in_use = slots_in_use(state, index);
    server.grants.released(state.now, &in_use) != server.reported_released
}

/// Takes the answer to a renewal; one that isn't awaited any more changes nothing.
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
            forget_told(state);
            if pending.known_view == state.directory.version() {
                apply(state, update);
            }
        }
        RenewAnswer::NotLeader { leader } => state.lease.redirected(leader, &from, state.now),
        RenewAnswer::Refused(RenewRefusal::SupersededIncarnation) => {
            state.lease.superseded();
            roles::on_lease_end(state);
        }
        RenewAnswer::Refused(RenewRefusal::WrongZone) => {
            state.announced.clear();
            state.lease.failed(state.now);
        }
    }
}

/// Forgets what the answered renewal has told; what came later is told by the next one.
fn forget_told(state: &mut PathState) {
    for record in std::mem::take(&mut state.told_announcements) {
        if state.announced.get(&record.server) == Some(&record) {
            state.announced.remove(&record.server);
        }
    }
    for id in std::mem::take(&mut state.told_resigned) {
        if let Some(resignation) = state.resigned.get_mut(&id) {
            resignation.is_told = true;
        }
    }
}

fn apply(state: &mut PathState, update: ViewUpdate) {
    let is_first_view = state.directory.version() == 0;
    let has_changes = !update.changes.is_empty();
    for change in &update.changes {
        if let ViewChange::QuarantineLifted { fingerprint } = change {
            state.suspects.acquit(*fingerprint);
        }
    }
    state.directory.apply(update);
    if has_changes {
        roles::sync(state, is_first_view);
    } else {
        placing::pump_all(state);
    }
}

//! Announcements of backend servers.

use std::time::Duration;

use chicory_ownership::ServerRecord;

use crate::path_state::PathState;
use crate::server::DispatcherLocation;
use crate::steps::roles;
use crate::view::ServerIndex;
use crate::{Announcement, AnnouncementAnswer, AnnouncementError, Effect};

/// Maximum number of servers whose announcements wait for the next renewal.
const MAX_PENDING: usize = 4_096;
/// Time until the next announcement while the server has no dispatcher or this process can't grant
/// it a lease.
const RETRY_WITHOUT_DISPATCHER: Duration = Duration::from_millis(100);

/// Handles an announcement: queues it for the zone group and answers it.
pub(crate) fn on_announced(state: &mut PathState, announcement: &Announcement) {
    let exchange = announcement.exchange;
    let checked = check(state, &announcement.record);
    let answer = match checked {
        Ok(()) => Ok(accept(state, announcement)),
        Err(error) => {
            state.counters.announcements_refused += 1;
            Err(error)
        }
    };
    state.emit(Effect::AnswerAnnouncement { exchange, answer });
}

fn check(state: &PathState, record: &ServerRecord) -> Result<(), AnnouncementError> {
    if record.zone != state.config.zone {
        return Err(AnnouncementError::WrongZone {
            expected: state.config.zone.clone(),
            found: record.zone.clone(),
        });
    }
    let is_known = state.directory.policy(&record.service).is_some();
    if !is_known && state.directory.version() > 0 {
        return Err(AnnouncementError::UnknownService {
            service: record.service.clone(),
        });
    }
    if is_superseded(state, record) {
        return Err(AnnouncementError::SupersededIncarnation {
            server: record.server.clone(),
        });
    }
    Ok(())
}

fn is_superseded(state: &PathState, record: &ServerRecord) -> bool {
    let registered = state.directory.server_by_id(&record.server);
    let registered = registered.and_then(|s| s.record.as_ref());
    let announced = state.announced.get(&record.server);
    let mut known = registered.into_iter().chain(announced);
    known.any(|known| known.incarnation > record.incarnation)
}

fn accept(state: &mut PathState, announcement: &Announcement) -> AnnouncementAnswer {
    let index = state.directory.server_index(&announcement.record.server);
    queue_for_zone_group(state, &announcement.record);
    let dispatched_here = index.filter(|index| is_dispatched_here(state, *index));
    match dispatched_here {
        Some(index) => {
            update_server(state, index, announcement);
            grant(state, index, announcement.known_grants_version)
        }
        None => refer_to_dispatcher(state, index),
    }
}

/// Queues an announcement for the next renewal, which is sent at once if the zone group doesn't
/// know the record yet.
///
/// The dispatcher of a registered server reports on it, so an unchanged announcement of a server
/// with a dispatcher is not sent to the zone group. A server without a dispatcher is announced to
/// the zone group with every renewal.
fn queue_for_zone_group(state: &mut PathState, record: &ServerRecord) {
    let registered = state.directory.server_by_id(&record.server);
    let is_changed = registered.and_then(|s| s.record.as_ref()) != Some(record);
    let has_dispatcher = registered.is_some_and(|s| s.dispatcher.is_some());
    if !is_changed && has_dispatcher {
        return;
    }
    let is_room = state.announced.len() < MAX_PENDING;
    if is_room || state.announced.contains_key(&record.server) {
        state
            .announced
            .insert(record.server.clone(), record.clone());
    }
    if is_changed {
        state.lease.renew_soon(state.now);
    }
}

fn is_dispatched_here(state: &PathState, index: ServerIndex) -> bool {
    let observation = state.observations.get(index);
    let is_assigned = observation
        .is_some_and(|observation| observation.dispatcher_location == DispatcherLocation::Local);
    is_assigned && state.lease.is_held(state.now) && state.servers.contains_key(&index)
}

/// Applies an announcement to a server that this process dispatches to.
///
/// The dispatcher reacts to a restart or to a draining server without waiting for the zone group.
fn update_server(state: &mut PathState, index: ServerIndex, announcement: &Announcement) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.announced_at = Some(now);
        server.grants.acknowledge(announcement.known_grants_version);
    }
    roles::record_restart(state, index, &announcement.record);
    roles::update_draining(state, index, announcement.record.draining);
}

fn grant(state: &mut PathState, index: ServerIndex, known_version: u64) -> AnnouncementAnswer {
    let now = state.now;
    let lease = state.config.server_lease.min(state.lease.time_left(now));
    let renew_after = state.config.renew_interval;
    let dispatcher_address = Some(state.config.announce_address.clone());
    let Some(server) = state.servers.get_mut(&index) else {
        return refer_to_dispatcher(state, Some(index));
    };
    server.grants.record_grant(now, lease);
    let version = server.grants.version();
    AnnouncementAnswer {
        renew_after,
        dispatcher_address,
        lease,
        grants_version: version,
        grants: (known_version != version).then(|| server.grants.runs()),
    }
}

/// Returns an answer that refers the server to its dispatcher and grants no lease.
fn refer_to_dispatcher(state: &PathState, index: Option<ServerIndex>) -> AnnouncementAnswer {
    let server = index.and_then(|index| state.directory.server(index));
    let vm = server.and_then(|s| s.dispatcher.as_ref());
    let entry = vm.and_then(|vm| state.directory.entry(&state.config.zone, vm));
    let is_elsewhere = vm.is_some_and(|vm| *vm != state.config.vm);
    AnnouncementAnswer {
        renew_after: if is_elsewhere {
            state.config.renew_interval
        } else {
            RETRY_WITHOUT_DISPATCHER
        },
        dispatcher_address: entry.map(|entry| entry.announce_address.clone()),
        lease: Duration::ZERO,
        grants_version: 0,
        grants: None,
    }
}

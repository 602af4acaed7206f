//! Announcements of backend servers.

use std::time::Duration;

use chicory_ownership::ServerRecord;

use crate::path_state::PathState;
use crate::server::Dispatch;
use crate::steps::roles;
use crate::view::ServerIndex;
use crate::{Announcement, AnnouncementAnswer, AnnouncementError, Effect};

/// Servers whose announcements wait for a renewal at most.
const MAX_PENDING: usize = 4_096;
/// When to announce again while the server has no dispatcher.
const SOON: Duration = Duration::from_millis(100);

/// Takes an announcement, hands it on and answers it.
pub(crate) fn on_announced(state: &mut PathState, announcement: &Announcement) {
    let exchange = announcement.exchange;
    let checked = check(state, &announcement.record);
    let answer = match checked {
        Ok(()) => Ok(take(state, announcement)),
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
    let registered = state.directory.server_named(&record.server);
    let registered = registered.and_then(|s| s.record.as_ref());
    let announced = state.announced.get(&record.server);
    let mut known = registered.into_iter().chain(announced);
    known.any(|known| known.incarnation > record.incarnation)
}

fn take(state: &mut PathState, announcement: &Announcement) -> AnnouncementAnswer {
    let index = state.directory.index_named(&announcement.record.server);
    hand_on(state, &announcement.record);
    let own = index.filter(|index| is_dispatched_here(state, *index));
    match own {
        Some(index) => {
            follow(state, index, announcement);
            grant(state, index, announcement.known_grants_version)
        }
        None => refer(state, index),
    }
}

/// Tells the zone group what it doesn't know, at once.
///
/// A registered server that has a dispatcher is reported on by that one, so its announcements end
/// here. One without a dispatcher is told of with every renewal.
fn hand_on(state: &mut PathState, record: &ServerRecord) {
    let registered = state.directory.server_named(&record.server);
    let is_news = registered.and_then(|s| s.record.as_ref()) != Some(record);
    let is_looked_after = registered.is_some_and(|s| s.dispatcher.is_some());
    if !is_news && is_looked_after {
        return;
    }
    let is_room = state.announced.len() < MAX_PENDING;
    if is_room || state.announced.contains_key(&record.server) {
        state
            .announced
            .insert(record.server.clone(), record.clone());
    }
    if is_news {
        state.lease.hurry(state.now);
    }
}

fn is_dispatched_here(state: &PathState, index: ServerIndex) -> bool {
    let seen = state.observations.get(index);
    let is_assigned = seen.is_some_and(|seen| seen.dispatch == Dispatch::Own);
    is_assigned && state.lease.is_held(state.now) && state.servers.contains_key(&index)
}

/// The dispatcher needn't wait for the zone group to see a restart or a wish to drain.
fn follow(state: &mut PathState, index: ServerIndex, announcement: &Announcement) {
    let now = state.now;
    if let Some(server) = state.servers.get_mut(&index) {
        server.announced_at = Some(now);
        server.grants.acknowledge(announcement.known_grants_version);
    }
    roles::note_restart(state, index, &announcement.record);
    roles::follow_drain(state, index, announcement.record.draining);
}

fn grant(state: &mut PathState, index: ServerIndex, known_version: u64) -> AnnouncementAnswer {
    let now = state.now;
    let lease = state.config.server_lease.min(state.lease.left(now));
    let renew_after = state.config.renew_interval;
    let dispatcher_address = Some(state.config.announce_address.clone());
    let Some(server) = state.servers.get_mut(&index) else {
        return refer(state, Some(index));
    };
    server.grants.granted(now, lease);
    let version = server.grants.version();
    AnnouncementAnswer {
        renew_after,
        dispatcher_address,
        lease,
        grants_version: version,
        grants: (known_version != version).then(|| server.grants.runs()),
    }
}

/// Sends the server on to its dispatcher, without a lease.
fn refer(state: &PathState, index: Option<ServerIndex>) -> AnnouncementAnswer {
    let server = index.and_then(|index| state.directory.server(index));
    let vm = server.and_then(|s| s.dispatcher.as_ref());
    let entry = vm.and_then(|vm| state.directory.entry(&state.config.zone, vm));
    let is_elsewhere = vm.is_some_and(|vm| *vm != state.config.vm);
    AnnouncementAnswer {
        renew_after: if is_elsewhere {
            state.config.renew_interval
        } else {
            SOON
        },
        dispatcher_address: entry.map(|entry| entry.announce_address.clone()),
        lease: Duration::ZERO,
        grants_version: 0,
        grants: None,
    }
}

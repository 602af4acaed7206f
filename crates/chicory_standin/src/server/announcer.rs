//! The task that announces a backend server and applies the grants that it gets in answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::StatusCode;

use super::{AnnounceAnswer, AnnounceRequest, ServerState, send_once};

/// Path of announcements at the entry processes.
const ANNOUNCE_PATH: &str = "/.chicory/announce";
/// Shortest time between two announcements.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time until the next announcement after one that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Announces `server` until the process ends; returns at once if no addresses are configured.
///
/// Each announcement goes to the dispatcher that the last answer named, or else to the next
/// configured address.
pub async fn announce(server: Rc<ServerState>) {
    let mut dispatcher: Option<String> = None;
    for iteration in 0.. {
        server.freeze.wait_until_open().await;
        let configured = configured_address(&server, iteration);
        let Some(address) = dispatcher.clone().or(configured) else {
            return;
        };
        let answer = announce_once(&server, &address).await;
        let pause = answer
            .as_ref()
            .map_or(RETRY_INTERVAL, |answer| pause_after(answer, &address));
        dispatcher = answer.and_then(|answer| answer.dispatcher);
        wait(&server, pause).await;
    }
}

fn configured_address(server: &ServerState, iteration: usize) -> Option<String> {
    let addresses = &server.config.announce;
    let index = iteration.checked_rem(addresses.len())?;
    addresses.get(index).cloned()
}

/// Returns the time until the next announcement, which is the shortest one if the answer named
/// another dispatcher and gave no lease.
fn pause_after(answer: &AnnounceAnswer, announced_to: &str) -> Duration {
    let names_another = answer
        .dispatcher
        .as_ref()
        .is_some_and(|to| to != announced_to);
    if names_another && answer.lease_ms == 0 {
        MIN_INTERVAL
    } else {
        Duration::from_millis(answer.renew_after_ms).max(MIN_INTERVAL)
    }
}

/// Waits until the next announcement is due, and voids the grants if their lease ends before.
async fn wait(server: &ServerState, pause: Duration) {
    let next_at = tokio::time::Instant::now() + pause;
    loop {
        let lease_end = server.grants.borrow().lease_end();
        let wake_at = lease_end.map_or(next_at, |end| next_at.min(end.into()));
        tokio::select! {
            () = tokio::time::sleep_until(wake_at) => {}
            () = server.announce_now.notified() => return,
        }
        server.freeze.wait_until_open().await;
        server.expire_grants();
        if tokio::time::Instant::now() >= next_at {
            return;
        }
    }
}

async fn announce_once(server: &ServerState, address: &str) -> Option<AnnounceAnswer> {
    server.expire_grants();
    let body = serde_json::to_vec(&message(server)).expect("an announcement is valid JSON");
    let sent_at = Instant::now();
    let timeout = server.config.announce_timeout;
    let answer = send_once(address, ANNOUNCE_PATH, Some(Bytes::from(body)), timeout).await;
    server.freeze.wait_until_open().await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            apply_answer(server, sent_at, &answer.body)
        }
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            eprintln!(
                "{}: {address} refused the announcement: {} {body}",
                server.name, answer.status
            );
            None
        }
        Err(_) => {
            server.expire_grants();
            None
        }
    }
}

fn apply_answer(server: &ServerState, sent_at: Instant, body: &[u8]) -> Option<AnnounceAnswer> {
    let answer: AnnounceAnswer = match serde_json::from_slice(body) {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!(
                "{}: malformed answer to the announcement: {error}",
                server.name
            );
            return None;
        }
    };
    let changes = server
        .grants
        .borrow_mut()
        .apply(sent_at, Instant::now(), &answer);
    server.write_changes(changes);
    Some(answer)
}

fn message(server: &ServerState) -> AnnounceRequest {
    let config = &server.config;
    AnnounceRequest {
        service: config.service.clone(),
        server: server.name.clone(),
        address: server.address.clone(),
        zone: config.zone.clone(),
        slots: config.slots,
        connections: config.connections,
        incarnation: config.incarnation,
        checks_grants: config.checks_grants,
        draining: server.is_draining(),
        known_grants_version: server.grants.borrow().version(),
    }
}

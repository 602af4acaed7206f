//! Opens connections to backend servers only to see whether they can be reached.

use std::sync::Arc;
use std::time::Duration;

use chicory_directory::ServerRecord;
use tokio::net::TcpStream;

use super::GatewayMetric;
use super::shared_state::SharedState;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an opened connection must stay open. A connection may be accepted only to be
/// closed.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Shortest time between two checks whether a probe is due.
const MIN_PAUSE: Duration = Duration::from_millis(25);

/// Starts the probes that are due. Each ends by itself.
pub(super) fn start_due_probes(shared: &Arc<SharedState>) {
    let now = shared.now();
    let servers = shared.gateway().take_probes(now);
    for server in servers {
        shared.metrics.increment(GatewayMetric::Probes);
        tokio::spawn(probe(shared.clone(), server));
    }
}

/// Waits until a probe may be due, or until something happened that may call for one. No timer
/// runs if nothing hints at a cut and no attempt runs.
pub(super) async fn wait_for_due_probe(shared: &SharedState) {
    let now = shared.now();
    let due_at = shared.gateway().next_probe_at(now);
    let Some(due_at) = due_at else {
        return shared.probe_hints.notified().await;
    };
    let pause = due_at.saturating_sub(now);
    tokio::time::sleep(MIN_PAUSE).await;
    tokio::select! {
        () = tokio::time::sleep(pause.saturating_sub(MIN_PAUSE)) => {}
        () = shared.probe_hints.notified() => {}
    }
}

async fn probe(shared: Arc<SharedState>, server: ServerRecord) {
    let is_open = can_connect(&server).await;
    let now = shared.now();
    shared
        .gateway()
        .record_probe(now, &server.incarnation, is_open);
    if !is_open {
        shared.metrics.increment(GatewayMetric::FailedProbes);
    }
    shared.probe_hints.notify_one();
}

async fn can_connect(server: &ServerRecord) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server.address));
    let Ok(Ok(stream)) = connected.await else {
        return false;
    };
    let mut byte = [0];
    match tokio::time::timeout(SETTLE_TIME, stream.peek(&mut byte)).await {
        Ok(peeked) => peeked.is_ok_and(|length| length > 0),
        Err(_) => true,
    }
}

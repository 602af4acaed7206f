//! Sends requests to backend servers only to see whether they can be reached.

use std::sync::Arc;
use std::time::Duration;

use chicory_directory::ServerRecord;
use chicory_net::http::{HttpBody, LinkError, SendError, ServerLink};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};

use super::GatewayMetric;
use super::shared_state::SharedState;
use crate::ProbeResult;

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
    let result = send_probe(&shared, &server).await;
    let now = shared.now();
    shared
        .gateway()
        .record_probe(now, &server.incarnation, result);
    if result != ProbeResult::Answered {
        shared.metrics.increment(GatewayMetric::FailedProbes);
    }
    shared.probe_hints.notify_one();
}

/// Sends a request that the server refuses at once. A connection that opens shows little: what stands between may accept it
/// and lose its bytes, or close it.
async fn send_probe(shared: &SharedState, server: &ServerRecord) -> ProbeResult {
    let address = server.address.to_string();
    let began_at = shared.now();
    let time_limit = shared.gateway().probe_timeout(began_at);
    let mut link = match ServerLink::open(&address, time_limit, || {}).await {
        Ok(link) => {
            shared.record_connect_time(began_at);
            link
        }
        Err(LinkError::Refused) => return ProbeResult::Refused,
        Err(_) => return ProbeResult::Unanswered,
    };
    let mut request = Request::new(HttpBody::empty());
    if let Ok(host) = HeaderValue::from_str(&address) {
        request.headers_mut().insert(HOST, host);
    }
    shared.servers.prepare_probe(request.headers_mut());
    let answer = tokio::time::timeout(time_limit, link.send(request)).await;
    match answer {
        Ok(Ok(_) | Err(SendError::Malformed)) => ProbeResult::Answered,
        _ => ProbeResult::Unanswered,
    }
}

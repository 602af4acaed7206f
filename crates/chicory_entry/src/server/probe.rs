//! Probes of backend servers over new connections.

use std::time::Duration;

use chicory_dispatch::ProbeResult;
use chicory_net::http::{HttpBody, LinkError, ServerLink};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::header::HOST;
use serde::Deserialize;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the body of an answer to a probe.
const MAX_HEALTH_BYTES: usize = 4 * 1024;
/// Path of the health endpoint of backend servers.
const HEALTH_PATH: &str = "/.chicory/health";

/// The health that a backend server reports. The other fields of the answer are not used.
#[derive(Debug, Deserialize)]
struct Health {
    healthy: bool,
}

/// Requests the health of a backend server over a new connection.
pub(crate) async fn probe(address: &str) -> ProbeResult {
    let probing = request_health(address);
    match tokio::time::timeout(PROBE_TIMEOUT, probing).await {
        Ok(result) => result,
        Err(_) => ProbeResult::TimedOut,
    }
}

async fn request_health(address: &str) -> ProbeResult {
    let mut link = match ServerLink::open(address, PROBE_TIMEOUT, || ()).await {
        Ok(link) => link,
        Err(LinkError::TimedOut) => return ProbeResult::TimedOut,
        Err(_) => return ProbeResult::Refused,
    };
    let request = Request::get(HEALTH_PATH)
        .header(HOST, address)
        .body(HttpBody::empty());
    let Ok(request) = request else {
        return ProbeResult::Refused;
    };
    let Ok(response) = link.send(request).await else {
        return ProbeResult::Refused;
    };
    let body = Limited::new(response.into_body(), MAX_HEALTH_BYTES);
    let health = match body.collect().await {
        Ok(body) => serde_json::from_slice::<Health>(&body.to_bytes()).ok(),
        Err(_) => None,
    };
    ProbeResult::Answered {
        says_healthy: health.is_some_and(|health| health.healthy),
    }
}

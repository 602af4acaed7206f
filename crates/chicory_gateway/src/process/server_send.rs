//! Sends a request on a connection to a backend server.

use chicory_net::http::{HttpBody, SendError, ServerLink};
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::GatewayMetric;
use super::follow_up::connect_outcome;
use super::shared_state::SharedState;
use crate::{AttemptOutcome, Target};

/// Sends on a pooled connection, or on a new one if there is none or the pooled one is closed.
/// `request` is asked for the request with the given id each time that one is about to be sent, and
/// may refuse it then.
pub(super) async fn send_to_server(
    shared: &SharedState,
    target: &Target,
    id: Option<&str>,
    request: impl Fn() -> Result<Request<HttpBody>, AttemptOutcome> + Send + Sync,
) -> Result<(ServerLink, Response<Incoming>), AttemptOutcome> {
    let take = || {
        let server = &target.incarnation;
        shared.pool.take(shared.now(), server, target.max_idle, id)
    };
    while let Some(mut link) = take() {
        match link.send(request()?).await {
            Ok(response) => return Ok((link, response)),
            Err(SendError::NothingSent) => {}
            Err(SendError::Malformed) => return Err(AttemptOutcome::Garbled),
            Err(SendError::Broken) => return Err(AttemptOutcome::Broken),
        }
    }
    shared.metrics.increment(GatewayMetric::Connections);
    let address = target.address.to_string();
    let began_at = shared.now();
    let opened = ServerLink::open(&address, target.connect_timeout, || {}).await;
    let mut link = opened.map_err(|failure| connect_outcome(&failure))?;
    shared.record_connect_time(began_at);
    if !target.settle_time.is_zero() {
        tokio::time::sleep(target.settle_time).await;
        if !link.is_ready() {
            return Err(AttemptOutcome::ConnectionRejected);
        }
    }
    let sent = link.send(request()?).await;
    let response = sent.map_err(|failure| match failure {
        SendError::NothingSent => AttemptOutcome::Unreachable,
        SendError::Malformed => AttemptOutcome::Garbled,
        SendError::Broken => AttemptOutcome::Broken,
    })?;
    Ok((link, response))
}

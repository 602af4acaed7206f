//! Relays requests of other entry VMs to backend servers.

use std::sync::Arc;

use chicory_net::http::{
    AnswerFuture, BodyReceiver, BodySource, BufferedBody, ConnectionShare, HttpBody, HttpHandler,
    ReceiveError, ServerLink,
};
use chicory_routes::RequestKind;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::{HeaderMap, HeaderName, HeaderValue, header, request};
use hyper::{Request, Response};
use tokio::time::Instant;

use super::attempt::{remove_hop_by_hop, server_request};
use super::bulk_transfers::ASSUMED_BYTES;
use super::caller_handler::{MAX_BODY_OVERTIME, host_of, response};
use super::interfaces::AnswerClass;
use super::relay_observer::RelayObserver;
use super::relayed_request::{RelayedRequest, SharedLoad};
use super::server_send::send_to_server;
use super::shared_state::SharedState;
use super::used_link::{LinkPeer, UsedLink};
use super::{GatewayMetric, RelayHead, RelayHeadError, RelayOutcome, RelaySize};
use crate::{AttemptOutcome, RelayRecheck};

/// Length that is assumed for a body without a stated one. Entry VMs state it.
const ASSUMED_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Header of an answer that states the [`RelayOutcome`].
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("chicory-relay-outcome");
/// Header that states what is wrong with a request that can't be read.
const REASON: HeaderName = HeaderName::from_static("chicory-relay-reason");

/// Relays requests of other entry VMs to backend servers.
///
/// The entry VM that a request comes from has decided everything about it: the server, the times and
/// the headers. Which process sends a request is not checked, as processes do not authenticate
/// themselves to each other.
pub(super) struct RelayHandler {
    pub(super) shared: Arc<SharedState>,
    pub(super) load: SharedLoad,
}

impl HttpHandler for RelayHandler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        let (shared, load) = (self.shared.clone(), self.load.clone());
        Box::pin(async move {
            let (mut head, body) = request.into_parts();
            match RelayHead::take(&mut head.headers) {
                Ok(relay_head) => {
                    let relayed = RelayedRequest::new(shared, relay_head, load);
                    relay(relayed, &head, body).await
                }
                Err(error) => refuse_unreadable(&shared, error),
            }
        })
    }
}

fn refuse_unreadable(shared: &SharedState, error: RelayHeadError) -> Response<HttpBody> {
    shared
        .metrics
        .increment(GatewayMetric::RelayRefusedMalformed);
    shared.relayed.malformed(shared.now(), error);
    let mut refused = failure(RelayOutcome::BadRequest);
    if let Ok(reason) = HeaderValue::from_str(&error.to_string()) {
        refused.headers_mut().insert(REASON, reason);
    }
    refused
}

async fn relay(
    mut relayed: RelayedRequest,
    head: &request::Parts,
    body: Incoming,
) -> Response<HttpBody> {
    let attempt_time = relayed.head.attempt_time;
    let exchange = exchange(&mut relayed, head, body);
    let ended = tokio::time::timeout(attempt_time, exchange).await;
    let ended = ended.unwrap_or_else(|_| {
        relayed.shared.pool.close_all(&relayed.head.server);
        Err(RelayOutcome::Broken)
    });
    match ended {
        Ok((link, answer)) => pass_on(relayed, link, answer),
        Err(outcome) => {
            relayed.end(outcome);
            failure(outcome)
        }
    }
}

async fn exchange(
    relayed: &mut RelayedRequest,
    head: &request::Parts,
    mut body: Incoming,
) -> Result<(ServerLink, Response<Incoming>), RelayOutcome> {
    let stated_bytes = body.size_hint().exact();
    let size = RelaySize {
        body_bytes: stated_bytes.unwrap_or(ASSUMED_BODY_BYTES),
        answer_bytes: assumed_answer_bytes(&relayed.shared, head),
    };
    if let Err(outcome) = relayed.try_admit(size) {
        drain(body).await;
        return Err(outcome);
    }
    let share = head.extensions.get::<ConnectionShare>().cloned();
    let limits = {
        let gateway = relayed.shared.gateway();
        gateway.directory().routes().limits_in_force()
    };
    let body = match read_body(&mut body, share, limits.max_body_bytes).await {
        Ok(body) => body,
        Err(error) => {
            drain(body).await;
            return Err(outcome_of(&error));
        }
    };
    relayed.add_bytes(body.len());
    relayed.wait_for_server().await?;
    if outlasts_stop(relayed, head) {
        return Err(RelayOutcome::Stopping);
    }
    let mut headers = head.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    let shared = &relayed.shared;
    let target = relayed.head.target(shared.now());
    let request = || match relayed.recheck() {
        RelayRecheck::Send => Ok(server_request(head, headers.clone(), &body)),
        RelayRecheck::Withhold | RelayRecheck::NotKnownYet => Err(AttemptOutcome::Unreachable),
    };
    let metadata = relayed.head.metadata();
    let id = metadata.attempt_id.as_deref();
    let sent = send_to_server(shared, &target, id, request).await;
    let (mut link, answer) = sent.map_err(RelayOutcome::of_attempt)?;
    let (head, body) = answer.into_parts();
    let class = shared
        .servers
        .classify(&metadata, &relayed.head.server, &head);
    if class == AnswerClass::Foreign {
        // The connection is closed: the answer to this request may still follow on it.
        shared.metrics.increment(GatewayMetric::ForeignAnswers);
        return Err(RelayOutcome::Malformed);
    }
    if class.is_refusal() {
        link.record_refusal(id);
    }
    Ok((link, Response::from_parts(head, body)))
}

/// Returns the length that the answer to a request probably has; 0 if it is small.
fn assumed_answer_bytes(shared: &SharedState, head: &request::Parts) -> u64 {
    let gateway = shared.gateway();
    let matcher = gateway.directory().matcher();
    let route = matcher.find(host_of(head), head.uri.path());
    let is_large = route.is_some_and(|route| route.route.kind == RequestKind::Download);
    if is_large { ASSUMED_BYTES } else { 0 }
}

/// Whether the request may still run when this entry VM stops.
fn outlasts_stop(relayed: &RelayedRequest, head: &request::Parts) -> bool {
    let now = relayed.shared.now();
    let gateway = relayed.shared.gateway();
    let matcher = gateway.directory().matcher();
    let Some(route) = matcher.find(host_of(head), head.uri.path()) else {
        return false;
    };
    gateway.route_outlasts_stop(now, &route.route, now + relayed.head.caller_time)
}

/// Reads the rest of the body of a request that is refused. The connection would be closed otherwise
/// while the other entry VM still sends, which would look as if it broke.
async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

async fn read_body(
    body: &mut Incoming,
    share: Option<ConnectionShare>,
    max_bytes: u64,
) -> Result<BufferedBody, ReceiveError> {
    if body.is_end_stream() {
        return Ok(BufferedBody::default());
    }
    let receiver = BodyReceiver::new(body, share, max_bytes)?;
    receiver.receive_all().await
}

/// Returns the outcome of a request whose body was not received to its end.
fn outcome_of(error: &ReceiveError) -> RelayOutcome {
    match error {
        ReceiveError::OutOfMemory => RelayOutcome::Busy,
        ReceiveError::TooLong { .. } | ReceiveError::Unreadable { .. } => RelayOutcome::BadRequest,
    }
}

/// Passes a server's answer on, unchanged except for the headers that apply to one connection only.
fn pass_on(
    mut relayed: RelayedRequest,
    link: ServerLink,
    answer: Response<Incoming>,
) -> Response<HttpBody> {
    let (head, body) = answer.into_parts();
    relayed.begin_answer(body.size_hint().exact().unwrap_or(0));
    let keep_alive = relayed.shared.servers.keep_alive(&head);
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    headers.insert(OUTCOME, outcome_value(RelayOutcome::Answer));
    let until_expiry = relayed.head.caller_time + MAX_BODY_OVERTIME;
    let expiry = link.set_expiry(Instant::now() + until_expiry);
    let peer = LinkPeer::Server(relayed.head.server.clone(), keep_alive);
    let observer = RelayObserver {
        request: relayed,
        link: UsedLink { link, peer },
    };
    let body = HttpBody::observed(BodySource::Incoming(body), Box::new(observer));
    response(head.status, headers, body.with_abort_signal(expiry))
}

/// Builds the answer to a request to which there is no answer of a server.
fn failure(outcome: RelayOutcome) -> Response<HttpBody> {
    let mut headers = HeaderMap::new();
    headers.insert(OUTCOME, outcome_value(outcome));
    response(outcome.status(), headers, HttpBody::empty())
}

fn outcome_value(outcome: RelayOutcome) -> HeaderValue {
    HeaderValue::from_static(outcome.as_str())
}

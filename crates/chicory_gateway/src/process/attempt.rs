//! One attempt to have a request served by a backend server.

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::{BufferedBody, HttpBody, ServerLink};
use chicory_ranges::ServerIncarnation;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::{HeaderMap, header, request, response};
use hyper::{Request, Response, Version};

use super::answer::{Answer, BUFFERED_BYTES};
use super::bulk_transfers::BulkTurn;
use super::follow_up::{self, FollowUpSearch};
use super::interfaces::AnswerClass;
use super::server_send::send_to_server;
use super::shared_state::SharedState;
use super::used_link::{LinkPeer, UsedLink};
use super::{GatewayMetric, RelayedCall};
use crate::{AttemptOutcome, Recheck, RequestMetadata, RequestTicket, Target};

/// Headers that apply to one connection only.
const HOP_BY_HOP: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// A request as the caller sent it.
pub(super) struct CallerRequest {
    pub(super) head: request::Parts,
    pub(super) body: BufferedBody,
    pub(super) metadata: RequestMetadata,
    /// Turn of the body on the link, for the next attempt.
    pub(super) turn: Mutex<Option<BulkTurn>>,
}

impl CallerRequest {
    /// Sets or ends the turn of the body.
    pub(super) fn set_turn(&self, turn: Option<BulkTurn>) {
        *self.turn.lock().unwrap_or_else(PoisonError::into_inner) = turn;
    }

    fn take_turn(&self) -> Option<BulkTurn> {
        let mut turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        turn.take()
    }
}

/// Result of an attempt: an answer to pass on, or none.
pub(super) enum AttemptResult {
    /// An answer. If it reports a failure, another server may still succeed.
    Answered {
        answer: Box<Answer>,
        is_failure: bool,
    },
    /// No answer to pass on.
    Ended(AttemptOutcome),
    /// No answer in time, and a connection to this server is open.
    Superseded(ServerIncarnation),
}

/// Sends a request to a server and reads its answer far enough to pass it on.
///
/// An attempt that lasts too long is abandoned once another server can take the request.
pub(super) async fn run(
    shared: &SharedState,
    request: &CallerRequest,
    ticket: &RequestTicket,
    target: &Target,
    time_left: Duration,
) -> AttemptResult {
    let mut exchange = pin!(exchange(shared, (request, ticket), target, time_left));
    let limit = target.attempt_deadline.saturating_sub(shared.now());
    if let Ok(result) = tokio::time::timeout(limit, &mut exchange).await {
        return result;
    }
    if target.can_be_followed {
        let id = request.metadata.attempt_id.as_deref();
        let search = tokio::select! {
            biased;
            result = &mut exchange => return result,
            search = follow_up::search(shared, ticket, target, id) => search,
        };
        match search {
            FollowUpSearch::Found(server) => {
                close_connections(shared, target);
                return AttemptResult::Superseded(server);
            }
            FollowUpSearch::NotFound => {
                let limit = ticket.deadline().saturating_sub(shared.now());
                if let Ok(result) = tokio::time::timeout(limit, &mut exchange).await {
                    return result;
                }
            }
            FollowUpSearch::NotNeeded => {}
        }
    }
    close_connections(shared, target);
    AttemptResult::Ended(AttemptOutcome::Silent)
}

/// Closes idle connections to a peer that did not answer in time: if one of its connections is
/// unresponsive, the others usually are as well.
fn close_connections(shared: &SharedState, target: &Target) {
    match &target.relay {
        Some(peer) => shared.relays.close_all(&peer.vm),
        None => shared.pool.close_all(&target.incarnation),
    }
}

async fn exchange(
    shared: &SharedState,
    (request, ticket): (&CallerRequest, &RequestTicket),
    target: &Target,
    time_left: Duration,
) -> AttemptResult {
    let started_at = shared.now();
    let (link, response) = match send(shared, (request, ticket), target, time_left).await {
        Ok(sent) => sent,
        Err(outcome) => return AttemptResult::Ended(outcome),
    };
    let took = shared.now().saturating_sub(started_at);
    shared.metrics.record(GatewayMetric::AttemptLatency, took);
    if target.relay.is_none() {
        let now = shared.now();
        shared.gateway().record_progress(now, &target.incarnation);
    }
    let (head, body) = response.into_parts();
    let mut link = UsedLink {
        link,
        peer: link_peer(shared, target, &head),
    };
    let class = shared
        .servers
        .classify(&request.metadata, &target.incarnation, &head);
    if !matches!(class, AnswerClass::OtherServer | AnswerClass::Foreign) {
        let notices = shared.servers.notices(&target.incarnation, &head);
        if let Some(notices) = notices {
            shared.record_notices(&target.incarnation, started_at, &notices);
        }
    }
    if class.is_refusal() {
        link.record_refusal(request.metadata.attempt_id.as_deref());
    }
    let is_failure = match class {
        AnswerClass::Answer => false,
        AnswerClass::Failure => true,
        AnswerClass::Shed => {
            keep_connection(shared, link, &body);
            return AttemptResult::Ended(AttemptOutcome::Shed);
        }
        AnswerClass::WrongServer => {
            keep_connection(shared, link, &body);
            return AttemptResult::Ended(AttemptOutcome::WrongServer);
        }
        AnswerClass::OtherServer => {
            return AttemptResult::Ended(AttemptOutcome::OtherServer);
        }
        AnswerClass::Foreign => {
            shared.metrics.increment(GatewayMetric::ForeignAnswers);
            return AttemptResult::Ended(AttemptOutcome::Garbled);
        }
    };
    match read_prefix(body).await {
        Ok((parts, rest)) => {
            let answer = Box::new(Answer {
                head,
                parts,
                rest,
                link,
            });
            AttemptResult::Answered { answer, is_failure }
        }
        Err(_) => AttemptResult::Ended(link.peer.broken_outcome()),
    }
}

/// Sends to the server, or to the entry VM that relays the request to it.
async fn send(
    shared: &SharedState,
    (request, ticket): (&CallerRequest, &RequestTicket),
    target: &Target,
    time_left: Duration,
) -> Result<(ServerLink, Response<Incoming>), AttemptOutcome> {
    let started_at = shared.now();
    let outgoing = || {
        recheck(shared, ticket, target)?;
        let left = time_left.saturating_sub(shared.now().saturating_sub(started_at));
        let mut outgoing = outgoing(shared, request, target, left);
        // If nothing of the request was sent and it is sent once more, its turn is used up.
        if let Some(turn) = request.take_turn() {
            *outgoing.body_mut() = turn.paced_body(&request.body);
        }
        Ok(outgoing)
    };
    let id = request.metadata.attempt_id.as_deref();
    let Some(peer) = &target.relay else {
        return send_to_server(shared, target, id, outgoing).await;
    };
    let call = RelayedCall {
        request: id,
        time_left,
    };
    shared.relays.send(peer, target, call, outgoing).await
}

/// Returns the other end of the connection that an answer arrived on.
fn link_peer(shared: &SharedState, target: &Target, head: &response::Parts) -> LinkPeer {
    match &target.relay {
        Some(peer) => LinkPeer::Relay(peer.vm.clone()),
        None => LinkPeer::Server(target.incarnation.clone(), shared.servers.keep_alive(head)),
    }
}

/// Checks that the request may still be sent to its target.
fn recheck(
    shared: &SharedState,
    ticket: &RequestTicket,
    target: &Target,
) -> Result<(), AttemptOutcome> {
    let now = shared.now();
    let gateway = shared.gateway();
    if gateway.outlasts_stop(now, ticket) {
        return Err(AttemptOutcome::Withheld);
    }
    match gateway.recheck(now, target) {
        Recheck::Send => Ok(()),
        Recheck::ServerLeft => Err(AttemptOutcome::Unreachable),
        Recheck::Withhold => Err(AttemptOutcome::Withheld),
    }
}

/// Builds the request that is sent to the server.
fn outgoing(
    shared: &SharedState,
    request: &CallerRequest,
    target: &Target,
    time_left: Duration,
) -> Request<HttpBody> {
    let mut headers = request.head.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::EXPECT);
    shared.servers.prepare(
        &mut headers,
        &request.metadata,
        &target.incarnation,
        time_left,
    );
    server_request(&request.head, headers, &request.body)
}

/// Builds a request to a server from a head whose headers were replaced.
pub(super) fn server_request(
    head: &request::Parts,
    headers: HeaderMap,
    body: &BufferedBody,
) -> Request<HttpBody> {
    let has_body = !body.is_empty() || headers.contains_key(header::CONTENT_LENGTH);
    let body = if has_body {
        HttpBody::buffered(body)
    } else {
        HttpBody::empty()
    };
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = head.method.clone();
    *outgoing.uri_mut() = head.uri.clone();
    *outgoing.version_mut() = Version::HTTP_11;
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Removes headers that apply to one connection only, including those that the message lists in its
/// `Connection` header.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}

/// Reads a body to its end, or up to the size that is buffered before an answer is passed on.
async fn read_prefix(
    mut body: Incoming,
) -> Result<(VecDeque<Bytes>, Option<Incoming>), hyper::Error> {
    let mut parts = VecDeque::new();
    let mut buffered_bytes = 0;
    while buffered_bytes < BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok((parts, None));
        };
        if let Ok(data) = frame?.into_data() {
            buffered_bytes += data.len();
            parts.push_back(data);
        }
    }
    let rest = (!body.is_end_stream()).then_some(body);
    Ok((parts, rest))
}

/// Keeps the connection after an answer that is not passed on, if no more of its body is to come.
fn keep_connection(shared: &SharedState, link: UsedLink, body: &Incoming) {
    if body.is_end_stream() {
        link.keep(shared);
    }
}

//! Forwards answers whose head was received.

use std::time::Duration;

use chicory_dispatch::{ConnectionId, Outcome, RelayLoad};
use chicory_net::http::{BodySource, HttpBody};
use chicory_net::peer::RelayReader;
use chicory_ownership::StoredAnswer;
use chicory_types::RequestId;
use chicory_wire::proto::relay::RelayAnswerHead;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Response, StatusCode};
use tokio::sync::oneshot;

use crate::answer::{Answer, ForwardedAnswer};
use crate::caller::{strip_hop_by_hop, strip_internal};
use crate::exchange::Exchange;
use crate::inbox::Inbox;
use crate::relay::{headers_from_wire, outcome_from_wire, relayed_body};
use crate::server::{AnswerObserver, AnswerSource, allows_reuse};
use crate::started_answer::StartedAnswer;

/// The source of the answer that is being forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forwarded {
    /// A backend server.
    FromServer {
        connection: ConnectionId,
        /// Whether the server keeps the connection open after the answer.
        allows_reuse: bool,
    },
    /// Another entry process.
    FromRelay,
}

/// Forwards a started answer to the sender of the request.
pub(crate) fn forward(
    exchange: &mut Exchange,
    started: StartedAnswer,
    request: RequestId,
    load: RelayLoad,
    inbox: Inbox,
) -> Forwarded {
    let (breaker, broken) = oneshot::channel();
    let (mut answer, forwarded) = match started {
        StartedAnswer::FromServer {
            connection,
            response,
            outcome,
            keeps_answer,
        } => {
            let forwarded = Forwarded::FromServer {
                connection,
                allows_reuse: allows_reuse(&response),
            };
            let kept = keeps_answer.then(|| kept_head(&response));
            let source = AnswerSource::Server(connection);
            let observer = AnswerObserver::new(request, source, inbox, kept);
            (answer_from_server(response, outcome, observer), forwarded)
        }
        StartedAnswer::FromRelay { head, reader } => {
            let observer = AnswerObserver::new(request, AnswerSource::Relay, inbox, None);
            let method = &exchange.head.method;
            (
                answer_from_relay(head, reader, method, observer),
                Forwarded::FromRelay,
            )
        }
    };
    answer.load = load;
    answer.body = answer.body.with_abort_signal(broken);
    exchange.breaker = Some(breaker);
    exchange.answer_task = None;
    if let Some(sender) = exchange.answer.take() {
        let _ = sender.send(Answer::Forwarded(Box::new(answer)));
    }
    forwarded
}

fn kept_head(response: &Response<Incoming>) -> StoredAnswer {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    StoredAnswer {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: Some(Vec::new()),
    }
}

fn answer_from_server(
    response: Response<Incoming>,
    outcome: Outcome,
    observer: AnswerObserver,
) -> ForwardedAnswer {
    let (parts, body) = response.into_parts();
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    strip_internal(&mut headers);
    ForwardedAnswer {
        status: parts.status,
        headers,
        body: HttpBody::observed(BodySource::Incoming(body), Box::new(observer)),
        outcome,
        reason: String::new(),
        retry_after: None,
        load: RelayLoad::default(),
    }
}

fn answer_from_relay(
    head: RelayAnswerHead,
    reader: RelayReader,
    method: &Method,
    observer: AnswerObserver,
) -> ForwardedAnswer {
    let status = u16::try_from(head.status).unwrap_or_default();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = headers_from_wire(head.headers);
    let source = if has_no_body(method, status) {
        BodySource::Empty
    } else {
        body_source(reader, &headers)
    };
    ForwardedAnswer {
        status,
        headers,
        body: HttpBody::observed(source, Box::new(observer)),
        outcome: outcome_from_wire(head.outcome),
        reason: head.reason,
        retry_after: head.retry_after_ms.map(Duration::from_millis),
        load: RelayLoad::default(),
    }
}

fn body_source(mut reader: RelayReader, headers: &HeaderMap) -> BodySource {
    let length = stated_length(headers);
    match reader.received_body() {
        Ok(Some(body)) if length.is_none_or(|length| length == body.len() as u64) => {
            BodySource::Full(body)
        }
        // An incomplete body yields an error when it is read.
        _ => relayed_body(reader, length),
    }
}

fn has_no_body(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

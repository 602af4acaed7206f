//! Handles the requests of callers.

use std::sync::Arc;

use chicory_dispatch::{Event, Outcome, Refusal, RefusalReason, RequestHead, RequestOrigin};
use chicory_net::admin::Readiness;
use chicory_net::http::{AnswerFuture, HttpBody, HttpHandler};
use chicory_types::{RequestId, fingerprint_of};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::sync::oneshot;

use crate::answer::REFUSED_STOPPING;
use crate::caller::CallerHead;
use crate::caller::answer_response::{fault_response, refusal_response, response_of};
use crate::caller::headers::{strip_hop_by_hop, strip_internal};
use crate::exchange::{Exchange, ForwardedHead};
use crate::inbox::Inbox;
use crate::request_body::RequestBody;
use crate::request_ids::RequestIds;

/// The HTTP handler for requests of callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerHandler {
    pub(crate) inbox: Inbox,
    pub(crate) ids: Arc<RequestIds>,
    pub(crate) max_buffered_bytes: usize,
    pub(crate) readiness: Readiness,
}

impl HttpHandler for CallerHandler {
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture {
        Box::pin(self.clone().answer(request))
    }
}

impl CallerHandler {
    async fn answer(self, request: Request<Incoming>) -> Response<HttpBody> {
        let readiness = self.readiness.clone();
        let mut response = self.answer_request(request).await;
        if readiness.is_stopping() {
            // The caller then opens a new connection for its next request, which reaches a process
            // that isn't stopping.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer_request(self, request: Request<Incoming>) -> Response<HttpBody> {
        let (parts, body) = request.into_parts();
        let head = match CallerHead::parse(&parts) {
            Ok(head) => head,
            Err(fault) => return fault_response(fault),
        };
        let Ok(body) = RequestBody::read(body, self.max_buffered_bytes).await else {
            // The caller's connection is broken, so this answer is not received.
            return refusal_response(&REFUSED_BODY_BROKEN);
        };
        let request = self.ids.next();
        let forwarded = forwarded_head(&head, parts, &body);
        let event = RequestHead {
            request,
            service: head.service,
            key: head.key,
            order_key: head.order_key,
            is_safe_method: head.is_safe_method,
            fingerprint: forwarded.fingerprint,
            is_replayable: body.is_replayable(),
            deadline: head.deadline,
            origin: RequestOrigin::Caller,
        };
        let (sender, receiver) = oneshot::channel();
        let exchange = Exchange::new(forwarded, body, sender);
        if !self.inbox.send_request(event, exchange) {
            return refusal_response(&REFUSED_STOPPING);
        }
        let mut guard = DisconnectGuard::new(request, self.inbox);
        let answer = receiver.await;
        guard.disarm();
        match answer {
            Ok(answer) => response_of(answer),
            Err(_) => refusal_response(&REFUSED_DROPPED),
        }
    }
}

/// The refusal of a request whose body was not received completely.
const REFUSED_BODY_BROKEN: Refusal = Refusal {
    outcome: Outcome::NotRun,
    reason: RefusalReason::AnswerBroken,
    retry_after: None,
};

/// The refusal of a request that the core loop dropped without an answer.
const REFUSED_DROPPED: Refusal = Refusal {
    outcome: Outcome::Unknown,
    reason: RefusalReason::Stopping,
    retry_after: None,
};

fn forwarded_head(head: &CallerHead, parts: Parts, body: &RequestBody) -> ForwardedHead {
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    strip_internal(&mut headers);
    let path_and_query = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string);
    let fingerprint = fingerprint_of(&[
        parts.method.as_str().as_bytes(),
        path_and_query.as_bytes(),
        head.service.as_bytes(),
        head.key.as_deref().unwrap_or_default().as_bytes(),
        body.buffered(),
    ]);
    ForwardedHead {
        method: parts.method,
        path_and_query,
        headers,
        service: head.service.clone(),
        key: head.key.clone(),
        order_key: head.order_key.clone(),
        fingerprint,
        is_safe_method: head.is_safe_method,
    }
}

/// Reports to the core loop when the caller disconnects before the answer.
#[derive(Debug)]
struct DisconnectGuard {
    request: RequestId,
    inbox: Inbox,
    is_armed: bool,
}

impl DisconnectGuard {
    fn new(request: RequestId, inbox: Inbox) -> Self {
        Self {
            request,
            inbox,
            is_armed: true,
        }
    }

    fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let request = self.request;
            self.inbox.send_event(Event::CallerGone { request });
        }
    }
}

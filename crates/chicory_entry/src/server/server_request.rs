//! Builds the requests to backend servers.

use std::time::Duration;

use chicory_net::http::{BodySource, HttpBody};
use chicory_types::{FencingToken, RequestId, Slot};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::{Request, Uri};

use crate::caller::{CHICORY_DEADLINE_MS, CHICORY_REQUEST_ID, CHICORY_SLOT, CHICORY_TOKEN};
use crate::exchange::ForwardedHead;
use crate::inbox::Inbox;
use crate::request_observer::RequestObserver;

/// The parameters that the reducer adds to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteParams {
    pub(crate) request: RequestId,
    pub(crate) slot: Option<Slot>,
    pub(crate) token: Option<FencingToken>,
    pub(crate) deadline: Duration,
}

/// Builds a request to a backend server.
pub(crate) fn server_request(
    head: &ForwardedHead,
    body: BodySource,
    address: &str,
    params: WriteParams,
    inbox: Inbox,
) -> Request<HttpBody> {
    let is_streamed = matches!(
        body,
        BodySource::Incoming(_) | BodySource::Resumed { .. } | BodySource::Parts { .. }
    );
    let body = if is_streamed {
        let request = params.request;
        HttpBody::observed(body, Box::new(RequestObserver { request, inbox }))
    } else {
        HttpBody::new(body)
    };
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = Uri::try_from(&head.path_and_query).unwrap_or_default();
    let mut headers = head.headers.clone();
    if !is_streamed {
        headers.remove(CONTENT_LENGTH);
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(address)
    {
        headers.insert(HOST, host);
    }
    insert_internal_headers(&mut headers, params);
    *request.headers_mut() = headers;
    request
}

fn insert_internal_headers(headers: &mut HeaderMap, params: WriteParams) {
    if let Ok(request_id) = HeaderValue::from_str(&format!("{:x}", params.request)) {
        headers.insert(CHICORY_REQUEST_ID, request_id);
    }
    let deadline_ms = u64::try_from(params.deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(CHICORY_DEADLINE_MS, deadline_ms.into());
    if let Some(slot) = params.slot {
        headers.insert(CHICORY_SLOT, slot.into());
    }
    if let Some(token) = params.token
        && let Ok(token) = HeaderValue::from_str(&token.to_string())
    {
        headers.insert(CHICORY_TOKEN, token);
    }
}

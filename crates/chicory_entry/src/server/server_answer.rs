//! What the head of a backend server's answer says.

use chicory_dispatch::{RequestIdEcho, ServerRefusal};
use chicory_types::RequestId;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::{Response, Version};

use crate::caller::{CHICORY_REFUSED, CHICORY_REQUEST_ID};

/// Whether the answer is that of the request.
pub(crate) fn echo_of(response: &Response<Incoming>, request: RequestId) -> RequestIdEcho {
    let Some(echo) = response.headers().get(CHICORY_REQUEST_ID) else {
        return RequestIdEcho::Absent;
    };
    let echoed = echo.to_str().ok();
    let echoed = echoed.and_then(|echo| u64::from_str_radix(echo, 16).ok());
    if echoed == Some(request) {
        RequestIdEcho::Matched
    } else {
        RequestIdEcho::Mismatched
    }
}

/// The refusal by which a server says that it did not run the request.
pub(crate) fn refusal_of(response: &Response<Incoming>) -> Option<ServerRefusal> {
    let is_error = response.status().is_client_error() || response.status().is_server_error();
    if !is_error {
        return None;
    }
    match response.headers().get(CHICORY_REFUSED)?.as_bytes() {
        b"token" => Some(ServerRefusal::Token),
        b"shed" => Some(ServerRefusal::Shed),
        b"draining" => Some(ServerRefusal::Draining),
        b"deadline" => Some(ServerRefusal::Deadline),
        _ => None,
    }
}

/// Whether the end of the answer can be told from a connection that broke.
pub(crate) fn has_stated_length(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING)
}

/// Whether the server keeps the connection open after the answer.
pub(crate) fn says_reusable(response: &Response<Incoming>) -> bool {
    let closes = response.headers().get_all(CONNECTION).iter().any(|value| {
        let tokens = value.to_str().unwrap_or_default().split(',');
        tokens
            .map(str::trim)
            .any(|token| token.eq_ignore_ascii_case("close"))
    });
    response.version() == Version::HTTP_11 && !closes
}

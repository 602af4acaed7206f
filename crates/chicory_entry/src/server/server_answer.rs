//! Evaluates the heads of backend servers' answers.

use chicory_dispatch::{RequestIdEcho, ServerRefusal};
use chicory_types::RequestId;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::{Response, Version};

use crate::caller::{CHICORY_REFUSED, CHICORY_REQUEST_ID};

/// Compares the request id that the answer repeats with that of the request.
pub(crate) fn request_id_echo(response: &Response<Incoming>, request: RequestId) -> RequestIdEcho {
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

/// Returns the refusal by which a server reports that it did not run the request.
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

/// Returns whether the complete answer can be distinguished from one cut off by a broken
/// connection.
pub(crate) fn has_stated_length(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING)
}

/// Returns whether the server keeps the connection open after the answer.
pub(crate) fn allows_reuse(response: &Response<Incoming>) -> bool {
    let closes = response.headers().get_all(CONNECTION).iter().any(|value| {
        let tokens = value.to_str().unwrap_or_default().split(',');
        tokens
            .map(str::trim)
            .any(|token| token.eq_ignore_ascii_case("close"))
    });
    response.version() == Version::HTTP_11 && !closes
}

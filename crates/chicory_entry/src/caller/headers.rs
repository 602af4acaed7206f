//! Names of headers, and removal of headers that are not forwarded.

use hyper::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

pub(crate) const CHICORY_SERVICE: HeaderName = HeaderName::from_static("chicory-service");
pub(crate) const CHICORY_KEY: HeaderName = HeaderName::from_static("chicory-key");
pub(crate) const CHICORY_DEADLINE_MS: HeaderName = HeaderName::from_static("chicory-deadline-ms");
pub(crate) const CHICORY_OUTCOME: HeaderName = HeaderName::from_static("chicory-outcome");
pub(crate) const CHICORY_REASON: HeaderName = HeaderName::from_static("chicory-reason");
pub(crate) const CHICORY_RETRY_AFTER_MS: HeaderName =
    HeaderName::from_static("chicory-retry-after-ms");
pub(crate) const CHICORY_REQUEST_ID: HeaderName = HeaderName::from_static("chicory-request-id");
pub(crate) const CHICORY_TOKEN: HeaderName = HeaderName::from_static("chicory-token");
pub(crate) const CHICORY_SLOT: HeaderName = HeaderName::from_static("chicory-slot");
pub(crate) const CHICORY_REFUSED: HeaderName = HeaderName::from_static("chicory-refused");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 10] = [
    EXPECT,
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that only this system may set on requests and answers.
const INTERNAL: [HeaderName; 8] = [
    CHICORY_DEADLINE_MS,
    CHICORY_OUTCOME,
    CHICORY_REASON,
    CHICORY_RETRY_AFTER_MS,
    CHICORY_REQUEST_ID,
    CHICORY_TOKEN,
    CHICORY_SLOT,
    CHICORY_REFUSED,
];

/// Removes the headers that concern one connection only, those named by `Connection` included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        strip_named_by_connection(headers);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers that only this system may set.
pub(crate) fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

fn strip_named_by_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
}

//! Builds the HTTP responses to callers.

use std::time::Duration;

use chicory_dispatch::{Outcome, Refusal};
use chicory_net::http::HttpBody;
use chicory_ownership::StoredAnswer;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::http::HeaderMap;
use hyper::{Response, StatusCode};

use crate::answer::Answer;
use crate::caller::headers::{CHICORY_OUTCOME, CHICORY_REASON, CHICORY_RETRY_AFTER_MS};
use crate::caller::refusal_body::RefusalBody;
use crate::caller::{HeadFault, reason_name, refusal_status};

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Returns the value of the `Chicory-Outcome` header.
pub(crate) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ran => "ran",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Builds the response of an answer.
pub(crate) fn response_of(answer: Answer) -> Response<HttpBody> {
    match answer {
        Answer::Refused(refusal) => refusal_response(&refusal),
        Answer::Stored(stored) => stored_response(stored),
        Answer::Forwarded(forwarded) => {
            let mut response = Response::new(forwarded.body);
            *response.status_mut() = forwarded.status;
            *response.headers_mut() = forwarded.headers;
            let headers = response.headers_mut();
            insert_outcome(headers, outcome_name(forwarded.outcome));
            if !forwarded.reason.is_empty()
                && let Ok(reason) = HeaderValue::from_str(&forwarded.reason)
            {
                headers.insert(CHICORY_REASON, reason);
            }
            if let Some(retry_after) = forwarded.retry_after {
                insert_retry_after(headers, retry_after);
            }
            response
        }
    }
}

/// Builds the response of a refusal.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<HttpBody> {
    let reason = reason_name(refusal.reason);
    let outcome = outcome_name(refusal.outcome);
    let body = RefusalBody {
        outcome,
        reason,
        retry_after_ms: refusal.retry_after.map(millis),
        detail: None,
    };
    let status = refusal_status(refusal.reason, refusal.outcome);
    let mut response = json_response(status, body, outcome, reason);
    if let Some(retry_after) = refusal.retry_after {
        insert_retry_after(response.headers_mut(), retry_after);
    }
    response
}

/// Builds the response to a malformed head.
pub(crate) fn fault_response(fault: HeadFault) -> Response<HttpBody> {
    let outcome = outcome_name(Outcome::NotRun);
    let reason = fault.reason_name();
    let detail = fault.to_string();
    let body = RefusalBody {
        outcome,
        reason,
        retry_after_ms: None,
        detail: Some(&detail),
    };
    json_response(StatusCode::BAD_REQUEST, body, outcome, reason)
}

fn json_response(
    status: StatusCode,
    body: RefusalBody<'_>,
    outcome: &'static str,
    reason: &'static str,
) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::full(body.to_bytes()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(CHICORY_REASON, HeaderValue::from_static(reason));
    insert_outcome(headers, outcome);
    response
}

fn stored_response(stored: StoredAnswer) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::full(stored.body.unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&stored.content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    insert_outcome(headers, outcome_name(Outcome::Ran));
    response
}

fn insert_outcome(headers: &mut HeaderMap, outcome: &'static str) {
    headers.insert(CHICORY_OUTCOME, HeaderValue::from_static(outcome));
}

fn insert_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let retry_after_ms = millis(retry_after);
    headers.insert(RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
    headers.insert(CHICORY_RETRY_AFTER_MS, retry_after_ms.into());
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

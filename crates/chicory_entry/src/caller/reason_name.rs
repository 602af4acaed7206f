//! The reasons and statuses by which refusals are reported to callers.

use chicory_dispatch::{Outcome, RefusalReason};
use hyper::StatusCode;

/// Returns the value of the `Chicory-Reason` header.
#[must_use]
pub fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownService => "unknown-service",
        RefusalReason::MissingKey => "missing-key",
        RefusalReason::MissingOrderKey => "missing-idempotency-key",
        RefusalReason::OrderKeyReused => "idempotency-key-reused",
        RefusalReason::OrderInProgress => "order-in-progress",
        RefusalReason::OrderOutcomeLost => "order-outcome-lost",
        RefusalReason::OrderHistoryLost => "order-history-lost",
        RefusalReason::ClaimsFull => "claims-full",
        RefusalReason::ClaimUnavailable => "claim-unavailable",
        RefusalReason::ZoneUnreachable => "zone-unreachable",
        RefusalReason::NoOwner => "no-owner",
        RefusalReason::NoDispatcher => "no-dispatcher",
        RefusalReason::NoServer => "no-server",
        RefusalReason::NoLease => "no-lease",
        RefusalReason::QueueFull => "queue-full",
        RefusalReason::DeadlineTooShort => "deadline-too-short",
        RefusalReason::DeadlinePassed => "deadline-passed",
        RefusalReason::RateLimited => "rate-limited",
        RefusalReason::ServerShed => "server-shed",
        RefusalReason::TokenRefused => "token-refused",
        RefusalReason::ServerFailed => "server-failed",
        RefusalReason::NoProgress => "no-progress",
        RefusalReason::AnswerBroken => "answer-broken",
        RefusalReason::RelayFailed => "relay-failed",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::Stopping => "stopping",
    }
}

/// Returns the HTTP status of a refusal.
#[must_use]
pub fn refusal_status(reason: RefusalReason, outcome: Outcome) -> StatusCode {
    match reason {
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::MissingKey | RefusalReason::MissingOrderKey => StatusCode::BAD_REQUEST,
        RefusalReason::OrderKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::OrderInProgress => StatusCode::CONFLICT,
        RefusalReason::RateLimited | RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlinePassed | RefusalReason::DeadlineTooShort => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::AnswerBroken => StatusCode::BAD_GATEWAY,
        _ if outcome != Outcome::NotRun => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

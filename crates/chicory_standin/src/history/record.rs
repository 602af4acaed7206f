//! One line of a history.

use serde::{Deserialize, Serialize};

use super::HistoryEvent;

/// One line of a history; fields that don't belong to the event are absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Monotonic time in nanoseconds, comparable between the processes of one machine.
    pub mono_ns: u64,
    /// Observer of the event, such as `server:archive-07`, `caller:1` or `operator:ana`.
    pub who: String,
    /// What happened.
    pub event: HistoryEvent,
    /// Service of the request or grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Key of the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Identifier that the caller gave one send; a resend has another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Identifier that the router gave the exchange with the backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exchange_id: Option<String>,
    /// `Idempotency-Key` of an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order_key: Option<String>,
    /// Fencing token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// First slot of a grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_slot: Option<u16>,
    /// Last slot of a grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_slot: Option<u16>,
    /// End of a backend server's lease, on the same clock as `mono_ns`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_end_ns: Option<u64>,
    /// HTTP status of an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// `ran`, `not-run` or `unknown`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<String>,
    /// Reason of a refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Whether a caller got the complete answer to its own request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_ok: Option<bool>,
    /// Identifier of an edit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<String>,
    /// Revision of the table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Availability zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

impl HistoryRecord {
    /// Creates a record without any of the optional fields.
    #[must_use]
    pub fn new(mono_ns: u64, who: &str, event: HistoryEvent) -> Self {
        Self {
            mono_ns,
            who: who.to_owned(),
            event,
            service: None,
            key: None,
            request_id: None,
            exchange_id: None,
            order_key: None,
            token: None,
            first_slot: None,
            last_slot: None,
            lease_end_ns: None,
            status: None,
            outcome: None,
            reason: None,
            body_ok: None,
            edit_id: None,
            revision: None,
            zone: None,
        }
    }
}

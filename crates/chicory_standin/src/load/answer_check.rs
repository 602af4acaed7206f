//! The caller's check that an answer is complete and belongs to its own request.

use serde::Deserialize;

use super::Call;

/// The first line of a stand-in's answer.
#[derive(Debug, Deserialize)]
pub struct AnswerLine {
    /// The backend server that ran the request.
    pub server: String,
    /// The caller's identifier of the send that ran.
    pub request_id: Option<String>,
    /// The order that ran.
    pub order_key: Option<String>,
    /// Minimum length of the complete answer.
    pub size_bytes: usize,
}

impl AnswerLine {
    /// Parses the first line of an answer; returns `None` if it is malformed.
    #[must_use]
    pub fn parse(body: &[u8]) -> Option<Self> {
        let line = body.split(|byte| *byte == b'\n').next()?;
        serde_json::from_slice(line).ok()
    }
}

/// Returns whether `body` is the complete answer to the send `request_id` of `call`.
///
/// The answer to an order may come from another send of the same order.
#[must_use]
pub fn is_own_answer(call: &Call, request_id: &str, body: &[u8]) -> bool {
    let Some(line) = AnswerLine::parse(body) else {
        return false;
    };
    let is_own = match &call.order_key {
        Some(order_key) => line.order_key.as_ref() == Some(order_key),
        None => line.request_id.as_deref() == Some(request_id),
    };
    is_own && body.len() >= line.size_bytes
}

//! The JSON body of refusals.

use bytes::Bytes;
use serde::Serialize;

/// The JSON body of a refusal.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct RefusalBody<'a> {
    /// Whether the request may have run: `not-run` or `unknown`.
    pub(crate) outcome: &'a str,
    /// The same value as that of `Chicory-Reason`.
    pub(crate) reason: &'a str,
    /// Retry-after time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry_after_ms: Option<u64>,
    /// Description of what is allowed, for malformed requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) detail: Option<&'a str>,
}

impl RefusalBody<'_> {
    pub(crate) fn to_bytes(self) -> Bytes {
        serde_json::to_vec(&self).unwrap_or_default().into()
    }
}

//! Header names of the protocols towards callers and backend servers.

/// Identifier of an exchange, which the backend server must echo.
pub const REQUEST_ID: &str = "chicory-request-id";
/// Milliseconds left for the request.
pub const DEADLINE_MS: &str = "chicory-deadline-ms";
/// Fencing token of the slot.
pub const TOKEN: &str = "chicory-token";
/// Slot of the key.
pub const SLOT: &str = "chicory-slot";
/// Reason of a backend server that did not run a request.
pub const REFUSED: &str = "chicory-refused";
/// Whether a request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "chicory-outcome";
/// Reason of a refusal.
pub const REASON: &str = "chicory-reason";
/// Key that makes an order idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The caller's identifier of a send, which the router passes on as it does any header that isn't
/// its own; a resend of the same request differs in nothing else.
pub const CALL_ID: &str = "standin-call-id";
/// Milliseconds after which a refused request may be sent again.
pub const RETRY_AFTER_MS: &str = "chicory-retry-after-ms";

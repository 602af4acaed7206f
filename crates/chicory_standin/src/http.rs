//! Names of the headers exchanged with callers and backend servers.

/// Identifier of an exchange, which the backend server must echo.
pub const REQUEST_ID: &str = "chicory-request-id";
/// Milliseconds left until the deadline of the request.
pub const DEADLINE_MS: &str = "chicory-deadline-ms";
/// Fencing token of the slot.
pub const TOKEN: &str = "chicory-token";
/// Slot of the key.
pub const SLOT: &str = "chicory-slot";
/// Reason why a backend server did not run a request.
pub const REFUSED: &str = "chicory-refused";
/// Whether a request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "chicory-outcome";
/// Reason of a refusal.
pub const REASON: &str = "chicory-reason";
/// Key that makes an order idempotent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifier that the caller gives each send of a request. The router forwards it like any header
/// that isn't its own. A resend of the same request differs in this header only.
pub const CALL_ID: &str = "standin-call-id";
/// Milliseconds after which a refused request may be sent again.
pub const RETRY_AFTER_MS: &str = "chicory-retry-after-ms";

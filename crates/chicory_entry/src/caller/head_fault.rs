//! Faults of a request's head.

use snafu::Snafu;

/// A fault of a request's head, for which the request is refused immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadFault {
    /// Neither the path nor `Chicory-Service` names a service.
    #[snafu(display("no service: use /{{service}}/{{key}}/… or Chicory-Service"))]
    MissingService,
    /// The service's name is malformed.
    #[snafu(display("a service is 1 to 64 letters, digits, '.', '-' or '_'"))]
    MalformedService,
    /// The key is malformed.
    #[snafu(display("a key is 1 to 512 bytes of UTF-8, percent-encoded in the path"))]
    MalformedKey,
    /// The deadline is malformed.
    #[snafu(display("Chicory-Deadline-Ms is a whole number from 1 to 3600000"))]
    MalformedDeadline,
    /// The order key is malformed.
    #[snafu(display("Idempotency-Key is 1 to 256 visible ASCII characters"))]
    MalformedOrderKey,
}

impl HeadFault {
    /// Returns the value of the `Chicory-Reason` header for this fault.
    #[must_use]
    pub fn reason_name(self) -> &'static str {
        match self {
            Self::MissingService => "missing-service",
            Self::MalformedService => "malformed-service",
            Self::MalformedKey => "malformed-key",
            Self::MalformedDeadline => "malformed-deadline",
            Self::MalformedOrderKey => "malformed-idempotency-key",
        }
    }
}

//! Errors of receiving a body.

use snafu::Snafu;

/// Why a body was not received to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReceiveError {
    /// It is longer than allowed.
    #[snafu(display("the body is longer than {max_bytes} bytes"))]
    TooLong {
        /// The greatest length that is allowed.
        max_bytes: u64,
    },
    /// There is no room for it in memory, or it had to make room for others.
    #[snafu(display("there is no memory for the body"))]
    OutOfMemory,
    /// Its connection broke, or it is malformed.
    #[snafu(display("the body can't be read: {source}"))]
    Unreadable {
        /// The cause.
        source: hyper::Error,
    },
}

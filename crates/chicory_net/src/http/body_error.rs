//! Errors of request and answer bodies.

use snafu::Snafu;

use crate::peer::FrameError;

/// The reason why a body ended before it was complete.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The HTTP connection that delivers the body failed.
    #[snafu(display("the HTTP connection that delivers the body failed: {source}"))]
    Http {
        /// The cause.
        source: hyper::Error,
    },
    /// The relay stream that delivers the body failed.
    #[snafu(display("the relay stream that delivers the body failed: {source}"))]
    Relay {
        /// The cause.
        source: FrameError,
    },
    /// The body was aborted on purpose, its sender was dropped before the end, or its length isn't
    /// the stated one.
    #[snafu(display("the body was aborted before its end"))]
    Aborted,
}

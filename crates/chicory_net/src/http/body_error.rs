//! Failures of bodies.

use snafu::Snafu;

use crate::peer::FrameError;

/// Why a body ended before it was complete.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The HTTP connection that it came from failed.
    #[snafu(display("the sender of the body failed: {source}"))]
    Http {
        /// The cause.
        source: hyper::Error,
    },
    /// The relay that it came through failed.
    #[snafu(display("the relay of the body failed: {source}"))]
    Relay {
        /// The cause.
        source: FrameError,
    },
    /// It was broken off on purpose.
    #[snafu(display("the body was broken off"))]
    BrokenOff,
}

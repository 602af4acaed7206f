//! Why a link ended.

use std::io;

use snafu::Snafu;

/// Why a link ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("connection failed"))]
    Io {
        /// The failure.
        source: io::Error,
    },
    /// No connection came about in time.
    #[snafu(display("no connection in time"))]
    DialTimeout,
    /// A frame holds no message of the expected type.
    #[snafu(display("frame could not be decoded"))]
    Decode {
        /// The failure.
        source: prost::DecodeError,
    },

    /// A message lacks something or is out of range.
    #[snafu(display("message is incomplete or out of range"))]
    InvalidMessage,
}

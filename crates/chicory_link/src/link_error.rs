//! Errors of links.

use std::io;

use snafu::Snafu;

/// Why a link could not be opened, or ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("connection failed"))]
    Io {
        /// The failure.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[snafu(display("connection was not established in time"))]
    DialTimeout,
    /// A frame holds no message of the expected type.
    #[snafu(display("frame could not be decoded"))]
    Decode {
        /// The failure.
        source: prost::DecodeError,
    },

    /// A message lacks a required part, or a value is out of range.
    #[snafu(display("message is incomplete or out of range"))]
    InvalidMessage,
}

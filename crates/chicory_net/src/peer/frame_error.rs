//! Errors of frames.

use snafu::Snafu;

use crate::NetMetric;
use crate::peer::{FRAME_VERSION, MAX_FRAME_BYTES};

/// The reason why a frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The frame doesn't start with the magic number.
    #[snafu(display("not a frame: it starts with {found:#06x} instead of the magic number"))]
    WrongMagic {
        /// The first two bytes.
        found: u16,
    },
    /// The frame has another protocol version.
    #[snafu(display("unsupported frame version {found}: this process supports {FRAME_VERSION}"))]
    WrongVersion {
        /// The frame's version.
        found: u16,
    },
    /// The frame is longer than allowed.
    #[snafu(display("frame of {size_bytes} bytes, but at most {MAX_FRAME_BYTES} are allowed"))]
    Oversized {
        /// The size of its message.
        size_bytes: usize,
    },
    /// The frame's message can't be decoded.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// The cause.
        source: prost::DecodeError,
    },
    /// A well-formed message was received where another kind was expected, or a frame has no
    /// complete header.
    #[snafu(display("expected {expected}"))]
    Unexpected {
        /// The expected data.
        expected: &'static str,
    },
    /// A body or frame is shorter or longer than its sender stated.
    #[snafu(display("received {received_bytes} bytes, but the sender stated {stated_bytes}"))]
    WrongLength {
        /// Number of bytes received.
        received_bytes: u64,
        /// Number of bytes stated by the sender.
        stated_bytes: u64,
    },
    /// The stream ended within a frame, or was reset.
    #[snafu(display("cannot read from the stream: {source}"))]
    Broken {
        /// The cause.
        source: quinn::ReadExactError,
    },
    /// The frame could not be written.
    #[snafu(display("cannot write to the stream: {source}"))]
    Write {
        /// The cause.
        source: quinn::WriteError,
    },
}

impl FrameError {
    /// Returns the counter of this error; `None` for network errors.
    pub(crate) fn metric(&self) -> Option<NetMetric> {
        match self {
            Self::WrongMagic { .. } => Some(NetMetric::WrongMagicFrames),
            Self::WrongVersion { .. } => Some(NetMetric::WrongVersionFrames),
            Self::Oversized { .. } => Some(NetMetric::OversizedFrames),
            Self::Malformed { .. } | Self::Unexpected { .. } | Self::WrongLength { .. } => {
                Some(NetMetric::MalformedFrames)
            }
            Self::Broken { .. } | Self::Write { .. } => None,
        }
    }
}

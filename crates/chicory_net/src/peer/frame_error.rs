//! Failures of frames.

use snafu::Snafu;

use crate::NetMetric;
use crate::peer::{FRAME_VERSION, MAX_FRAME_BYTES};

/// A frame could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The frame doesn't start with the magic number.
    #[snafu(display("not a frame: it starts with {found:#06x}"))]
    WrongMagic {
        /// What it starts with.
        found: u16,
    },
    /// The frame is of another protocol version.
    #[snafu(display("frame of version {found}, this process speaks {FRAME_VERSION}"))]
    WrongVersion {
        /// Its version.
        found: u16,
    },
    /// The frame is longer than allowed.
    #[snafu(display("frame of {size_bytes} bytes, at most {MAX_FRAME_BYTES} are allowed"))]
    Oversized {
        /// Its size.
        size_bytes: usize,
    },
    /// The frame holds no readable message.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// The cause.
        source: prost::DecodeError,
    },
    /// A well-formed message came where another one must stand.
    #[snafu(display("expected {expected}"))]
    Unexpected {
        /// What must stand there.
        expected: &'static str,
    },
    /// A body or frame is shorter or longer than its sender states.
    #[snafu(display("{received_bytes} bytes came in, the sender states {stated_bytes}"))]
    WrongLength {
        /// Bytes that came in.
        received_bytes: u64,
        /// Bytes that the sender states.
        stated_bytes: u64,
    },
    /// The stream ended within a frame, or was reset.
    #[snafu(display("the stream broke: {source}"))]
    Broken {
        /// The cause.
        source: quinn::ReadExactError,
    },
    /// The frame could not be written.
    #[snafu(display("the stream takes no more: {source}"))]
    Write {
        /// The cause.
        source: quinn::WriteError,
    },
}

impl FrameError {
    /// The counter of this failure; `None` for failures of the network.
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

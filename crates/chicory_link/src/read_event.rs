//! Results of reading from a link.

use std::time::Duration;

use crate::Frame;

/// The result of one read from a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Part of a frame: the other end is running, and a transfer makes progress.
    PartialFrame,
    /// A complete frame.
    Frame {
        /// The frame.
        frame: Frame,
        /// Size and duration of its transfer.
        transfer: FrameTransfer,
    },
    /// The other end closed the connection between two frames.
    End,
}

/// Size and duration of the transfer of a frame.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameTransfer {
    /// Size of the frame's content, without its length prefix.
    pub size_bytes: usize,
    /// Time from the read that returned the first byte of the frame to the one that returned its
    /// last byte.
    pub took: Duration,
}

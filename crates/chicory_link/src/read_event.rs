//! What arrives on a link.

use std::time::Duration;

use crate::Frame;

/// What arrived on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadEvent {
    /// Part of a frame: the other end is alive, and a transfer makes progress.
    PartialFrame,
    /// A whole frame.
    Frame {
        /// The frame.
        frame: Frame,
        /// How it came.
        transfer: FrameTransfer,
    },
    /// The connection ended between two frames.
    End,
}

/// How a frame came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameTransfer {
    /// Size of the frame.
    pub size_bytes: usize,
    /// Time from the read that brought its first byte to the one that brought its last.
    pub took: Duration,
}

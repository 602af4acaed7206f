//! Framed TCP connections between the processes of a deployment.
//!
//! A frame is a length of four bytes followed by one Protocol Buffers message. An empty frame is a
//! keep-alive: it only shows that the other end is running. This crate transports messages and
//! makes no decisions.

mod backoff;
mod dial;
mod frame;
mod frame_reader;
mod frame_writer;
mod link_error;
mod read_event;

pub use backoff::{Backoff, MAX_BACKOFF, MIN_BACKOFF};
pub use dial::{
    DIAL_TIMEOUT, LinkStream, UNACKNOWLEDGED_TIMEOUT, dial, dial_with_timeout,
    extend_unacknowledged_timeout, split,
};
pub use frame::Frame;
pub use frame_reader::{FrameReader, MAX_FRAME_BYTES};
pub use frame_writer::FrameWriter;
pub use link_error::LinkError;
pub use read_event::{FrameTransfer, ReadEvent};

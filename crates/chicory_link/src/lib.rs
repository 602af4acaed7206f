//! Framed TCP connections between the processes.
//!
//! A frame is a length of four bytes and one protocol buffers message; an empty frame only shows
//! that the other end is alive. Nothing here decides anything.

mod arrival;
mod backoff;
mod dial;
mod frame;
mod frame_reader;
mod frame_writer;
mod link_error;

pub use arrival::{Arrival, Transfer};
pub use backoff::{Backoff, MAX_BACKOFF, MIN_BACKOFF};
pub use dial::{
    DIAL_TIMEOUT, LinkStream, UNACKNOWLEDGED_TIMEOUT, bear_tables, dial, dial_within, split,
};
pub use frame::Frame;
pub use frame_reader::{FrameReader, MAX_FRAME_BYTES};
pub use frame_writer::FrameWriter;
pub use link_error::LinkError;

//! What happens to a body on its way.

use bytes::Bytes;

use crate::http::{BodyError, BodySource};

/// Learns what happens to a body; exactly one of the last three is called, once.
pub trait BodyObserver: Send {
    /// A part was taken.
    fn progressed(&mut self, part: &Bytes);

    /// The last part was taken.
    fn finished(self: Box<Self>);

    /// The sender failed before the last part.
    fn failed(self: Box<Self>, error: &BodyError);

    /// The taker left before the last part; `rest` is what it did not take.
    fn abandoned(self: Box<Self>, rest: BodySource);
}

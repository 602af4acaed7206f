//! Notification of the progress of a body.

use bytes::Bytes;

use crate::http::{BodyError, BodySource};

/// Receives the progress of a body while it is read.
///
/// Exactly one of [`finished`](Self::finished), [`failed`](Self::failed) and
/// [`abandoned`](Self::abandoned) is called, and only once.
pub trait BodyObserver: Send {
    /// Called after a part was read.
    fn progressed(&mut self, part: &Bytes);

    /// Called after the last part was read.
    fn finished(self: Box<Self>);

    /// Called if the body failed before its last part.
    fn failed(self: Box<Self>, error: &BodyError);

    /// Called if the body is dropped before its last part; `rest` is the unread remainder.
    fn abandoned(self: Box<Self>, rest: BodySource);
}

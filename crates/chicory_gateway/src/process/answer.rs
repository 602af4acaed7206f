//! An answer of a backend server, read far enough to be passed on.

use std::collections::VecDeque;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;

use super::used_link::UsedLink;

/// Bytes of a body that are read before an answer is passed on, so that the request can be sent
/// again if the answer breaks off early. Most answers fit.
pub(super) const BUFFERED_BYTES: usize = 16 * 1024;

/// An answer of a backend server.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    /// Parts of the body that were read.
    pub(super) parts: VecDeque<Bytes>,
    /// Rest of the body; `None` if all of it was read.
    pub(super) rest: Option<Incoming>,
    pub(super) link: UsedLink,
}

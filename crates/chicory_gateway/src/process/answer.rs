//! An answer of a backend server, read far enough to be passed on.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use chicory_net::http::ServerLink;
use hyper::body::Incoming;
use hyper::http::response;

/// Bytes of a body that are read before an answer is passed on, so that an answer that breaks off
/// early can be asked for again; most answers fit.
pub(super) const HELD_BYTES: usize = 16 * 1024;

/// An answer of a backend server.
pub(super) struct Answer {
    pub(super) head: response::Parts,
    /// What was read of the body.
    pub(super) parts: VecDeque<Bytes>,
    /// The rest; `None` if all was read.
    pub(super) rest: Option<Incoming>,
    pub(super) link: ServerLink,
    pub(super) keep_alive: Option<Duration>,
}

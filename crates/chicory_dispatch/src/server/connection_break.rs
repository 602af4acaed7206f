//! A connection that broke while a request was in flight on it.

use chicory_types::MonoTime;

/// A connection that broke while a request was in flight on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionBreak {
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    pub(crate) at: MonoTime,
    /// Whether the request was the only one in flight at the server.
    pub(crate) was_alone: bool,
}

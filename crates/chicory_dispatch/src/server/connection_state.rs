//! The state of a connection to a backend server.

use chicory_types::RequestId;

/// The state of a connection to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// It is being opened.
    Opening,
    /// It waits for a request.
    Idle,
    /// It carries a request.
    Busy(RequestId),
    /// It receives the rest of a dropped answer.
    Discarding,
    /// This process closed it; it may still be open at the server.
    Closing,
}

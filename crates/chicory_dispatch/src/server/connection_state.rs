//! What a connection to a backend server is doing.

use chicory_types::RequestId;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// It is being opened.
    Opening,
    /// It waits for a request.
    Idle,
    /// It carries a request.
    Busy(RequestId),
    /// It takes in the rest of a dropped answer.
    Discarding,
    /// It was closed and may still be open at the server.
    Closing,
}

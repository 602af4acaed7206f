//! The interface to backend servers.

use std::future::Future;
use std::pin::Pin;

use chicory_ranges::CallOutcome;

use crate::GrantRequest;

/// The outcome of a call to a backend server.
pub type GrantFuture = Pin<Box<dyn Future<Output = CallOutcome> + Send>>;

/// Sends calls about keys to backend servers.
pub trait GrantTransport: Send + Sync {
    /// Makes a call, which ends within [`CALL_TIMEOUT`](chicory_ranges::CALL_TIMEOUT), or within
    /// [`RELEASE_TIMEOUT`](chicory_ranges::RELEASE_TIMEOUT) for a release. If the call has no
    /// answer by then, its connection is reset, so that the server can't receive the call later.
    fn call(&self, request: GrantRequest) -> GrantFuture;
}

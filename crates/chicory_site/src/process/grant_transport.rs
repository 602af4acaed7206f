//! The border to backend servers.

use std::future::Future;
use std::pin::Pin;

use chicory_ranges::CallOutcome;

use crate::GrantRequest;

/// The end of a call to a backend server.
pub type GrantFuture = Pin<Box<dyn Future<Output = CallOutcome> + Send>>;

/// Speaks to backend servers about keys.
pub trait GrantTransport: Send + Sync {
    /// Makes a call. It ends within [`CALL_TIMEOUT`](chicory_ranges::CALL_TIMEOUT), or
    /// [`RELEASE_TIMEOUT`](chicory_ranges::RELEASE_TIMEOUT) for a release; a connection whose
    /// call had no answer by then is reset, so that the call can't arrive later.
    fn call(&self, order: GrantRequest) -> GrantFuture;
}

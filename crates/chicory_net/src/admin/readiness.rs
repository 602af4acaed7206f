//! Readiness of a process for requests from the load balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the load balancer may send requests to the process.
///
/// Clones share their state, so that the event loop sets it and the admin page reads it.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    is_ready: Arc<AtomicBool>,
    is_stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the process is ready; [`is_ready`](Self::is_ready) stays `false` while it is
    /// stopping.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns the value that was set last, whether or not the process is stopping.
    #[must_use]
    pub fn last_set(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Returns whether the process is ready and isn't stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.last_set() && !self.is_stopping()
    }

    /// Turns readiness off permanently, while requests are still served.
    ///
    /// The load balancer thereby stops sending requests before the process stops.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether readiness has been turned off permanently.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

//! Whether the balancer may send requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the balancer may send requests; shared between the loop and the admin page.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    is_ready: Arc<AtomicBool>,
    is_stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Changes the answer.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// What was set last, whether or not the process stops.
    #[must_use]
    pub fn last_set(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// The answer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.last_set() && !self.is_stopping()
    }

    /// Turns readiness off for good, while requests are still served.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Whether readiness is off for good.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

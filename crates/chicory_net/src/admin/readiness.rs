//! Whether the balancer may send requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the balancer may send requests; shared between the loop and the admin page.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    is_ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Changes the answer.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// The answer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

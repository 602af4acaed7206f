//! Whether the balancer may send requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the balancer may send requests; shared between the loop and the admin page.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    is_ready: Arc<AtomicBool>,
}

impl Readiness {
    pub(crate) fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

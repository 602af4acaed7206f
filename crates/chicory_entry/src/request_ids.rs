//! Identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

use chicory_types::RequestId;
use uuid::Uuid;

/// Hands out identifiers of requests.
///
/// They start at a random number, so that an answer meant for another process is seen as such.
#[derive(Debug)]
pub(crate) struct RequestIds {
    next: AtomicU64,
}

impl RequestIds {
    pub(crate) fn new() -> Self {
        let (start, _) = Uuid::new_v4().as_u64_pair();
        Self {
            // Halved, so that a process can't live to see the numbers wrap.
            next: AtomicU64::new(start / 2),
        }
    }

    pub(crate) fn next(&self) -> RequestId {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

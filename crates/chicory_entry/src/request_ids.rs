//! Identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

use chicory_types::RequestId;
use uuid::Uuid;

/// A generator of request identifiers.
///
/// The identifiers start at a random number, so that an answer that was meant for another process
/// has an identifier that doesn't match and is recognized.
#[derive(Debug)]
pub(crate) struct RequestIds {
    next: AtomicU64,
}

impl RequestIds {
    pub(crate) fn new() -> Self {
        let (start, _) = Uuid::new_v4().as_u64_pair();
        Self {
            // Halved, so that the numbers don't overflow while the process runs.
            next: AtomicU64::new(start / 2),
        }
    }

    pub(crate) fn next(&self) -> RequestId {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
}

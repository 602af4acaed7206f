//! How late parts of the soak's own process resumed.

use std::fmt;

/// The longest delays of a thread and of the async runtime of this process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delays {
    pub(crate) thread_ms: u64,
    pub(crate) runtime_ms: u64,
}

impl fmt::Display for Delays {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (thread_ms, runtime_ms) = (self.thread_ms, self.runtime_ms);
        write!(
            f,
            "the soak resumed late by up to {thread_ms} ms in a thread, {runtime_ms} ms in its runtime"
        )
    }
}

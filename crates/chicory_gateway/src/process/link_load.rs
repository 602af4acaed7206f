//! Answers that cross the link of an entry VM.

use std::sync::{Arc, Mutex, PoisonError};

use chicory_policy::LinkBacklog;
use chicory_types::Clock;

/// Bytes that a request and its answer take on the link beside their bodies.
const HEAD_BYTES: u64 = 800;

/// Answers that cross the link of an entry VM, if the link is thin.
#[derive(Clone)]
pub(super) struct LinkLoad {
    backlog: Option<Arc<Mutex<LinkBacklog>>>,
    clock: Arc<dyn Clock + Send + Sync>,
}

/// The part of an answer that the link still has to carry. It no longer counts when this is dropped.
pub(super) struct ExpectedAnswer {
    link: LinkLoad,
    remaining_bytes: u64,
}

impl LinkLoad {
    /// Creates the load of a link with this rate in bytes per second; `None` if it is not thin.
    pub(super) fn new(
        thin_link_bytes_per_s: Option<f64>,
        clock: Arc<dyn Clock + Send + Sync>,
    ) -> Self {
        let backlog = thin_link_bytes_per_s.map(LinkBacklog::new);
        Self {
            backlog: backlog.map(|backlog| Arc::new(Mutex::new(backlog))),
            clock,
        }
    }

    /// Counts the heads of a request and its answer, and the body of the answer, which has this
    /// length.
    pub(super) fn expect(&self, bytes: u64) -> ExpectedAnswer {
        self.change(|backlog| {
            backlog.expect(bytes);
            backlog.record_sent(self.clock.now(), HEAD_BYTES);
        });
        ExpectedAnswer {
            link: self.clone(),
            remaining_bytes: bytes,
        }
    }

    /// Returns what the link still has to carry; `None` if it is not thin.
    pub(super) fn backlog(&self) -> Option<LinkBacklog> {
        let backlog = self.backlog.as_ref()?.lock();
        Some(backlog.unwrap_or_else(PoisonError::into_inner).clone())
    }

    fn change(&self, change: impl FnOnce(&mut LinkBacklog)) {
        if let Some(backlog) = &self.backlog {
            change(&mut backlog.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}

impl ExpectedAnswer {
    /// Sets the length of what is still to come.
    pub(super) fn set_remaining(&mut self, bytes: u64) {
        let before = std::mem::replace(&mut self.remaining_bytes, bytes);
        self.link.change(|backlog| {
            backlog.forget(before);
            backlog.expect(bytes);
        });
    }

    /// Records that a part of the answer was passed on.
    pub(super) fn record_passed_on(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.set_remaining(self.remaining_bytes.saturating_sub(bytes));
        let now = self.link.clock.now();
        self.link.change(|backlog| backlog.record_sent(now, bytes));
    }
}

impl Drop for ExpectedAnswer {
    fn drop(&mut self) {
        self.set_remaining(0);
    }
}
